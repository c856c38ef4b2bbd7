//! Compatibility with an older build: this build reads what that one stored and handed over,
//! accepts its settings, and has the same metrics and client texts. `tests/data/older_build` has
//! data that the older build wrote.

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
