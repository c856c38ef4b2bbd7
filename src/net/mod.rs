//! The relay on sockets. It chooses no endpoint, retries nothing by itself and judges no load: what to
//! do comes from [`crate::decision_service`]; what bytes mean comes from [`crate::protocol`].

pub mod admission;
mod attempt;
mod connection;
pub mod event_loop;
pub mod fleet;
mod forward;
mod handshake;
mod link;
pub mod listen;
mod placement;
pub mod poll;
mod session;
pub mod shared;
pub mod tls;
