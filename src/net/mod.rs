//! The relay's sockets: connections of clients, attempts at backends, and the event loop that
//! drives them. This module does I/O only. It chooses no endpoint, retries nothing by itself and
//! judges no load: [`crate::decision_service`] tells it what to do, and [`crate::protocol`] what
//! bytes mean.
//!
//! A client's connection passes through these files: `listen` accepts it, `admission` counts it
//! against the limits, `handshake` reads its request, `placement` has the request placed, `attempt`
//! opens the connection to one backend, and `forward` passes bytes on between the two.

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
