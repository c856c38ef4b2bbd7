//! jaspermoor makes the decisions of a balancer for long-lived connections.
//!
//! A proxy tells a [`Balancer`] what it sees ([`decisions::api::Event`]) and carries out what the
//! balancer asks for ([`decisions::api::Action`]). The balancer does no I/O and reads no clock: time comes
//! in with each event, and randomness only from the seed it was made with.
//!
//! ```
//! use jaspermoor::decisions::api::{Action, Event, EndpointListKind, ListedEndpoint, EndpointState, RequestId, EndpointId, Settings};
//! use jaspermoor::Balancer;
//!
//! let mut balancer = Balancer::new(Settings::default(), 7);
//! let mut actions = Vec::new();
//! let member = |n| ListedEndpoint {
//!     id: EndpointId(n),
//!     zone: 0,
//!     cell: 0,
//!     state: EndpointState::Ready,
//!     size: 1.0,
//!     started_at: None,
//! };
//! let members = (1..=3).map(member).collect();
//! balancer.handle(0, Event::ListedEndpoints { kind: EndpointListKind::Full, members }, &mut actions).unwrap();
//! actions.clear();
//!
//! let request = jaspermoor::decisions::api::Request { id: RequestId(1), key: 42, left: 800_000, ..Default::default() };
//! balancer.handle(1_000, Event::Request(request), &mut actions).unwrap();
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! ```

pub mod cells;
pub mod config;
pub mod decision_service;
pub mod decisions;
pub mod load;
pub mod log;
pub mod net;
pub mod ops;
pub mod platform;
pub mod protocol;
pub mod sys;
pub mod wire;

pub use decisions::{Balancer, Parameters};

/// Compiles the example of the README.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
