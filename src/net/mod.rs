//! The relay on sockets. It chooses no server, retries nothing by itself and judges no load: what to
//! do comes from [`crate::decide`]; what bytes mean comes from [`crate::front`].

pub mod admit;
pub mod attempt;
pub mod client;
pub mod core;
pub mod forward;
pub mod greet;
pub mod link;
pub mod listen;
pub mod session;
pub mod tls;
