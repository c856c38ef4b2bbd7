//! This build does as an older one did: it reads what that one stored and handed over, takes its settings, and shows the
//! same metrics and the same texts to clients. `tests/data/older_build` has what the older build wrote.

#[allow(dead_code)]
#[path = "../peers/mod.rs"]
mod peers;

mod client_texts;
mod data;
mod ledgers;
mod metrics_page;
mod parameters;
mod process;
mod takeover;
