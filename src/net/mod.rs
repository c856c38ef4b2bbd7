//! The relay on sockets. It chooses no endpoint, retries nothing by itself and judges no load: what to
//! do comes from [`crate::decision_service`]; what bytes mean comes from [`crate::protocol`].

pub mod admit;
mod attempt;
mod client;
mod conn;
pub mod core;
pub mod engine;
pub mod fleet;
mod forward;
mod greet;
mod link;
pub mod listen;
pub mod poll;
mod session;
pub mod tls;
