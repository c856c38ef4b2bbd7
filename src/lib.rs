//! jaspermoor, a relay for long-lived connections.
//!
//! The decisions (which endpoint a request goes to, when a connection migrates, which requests are
//! rejected) are made by a [`Balancer`], which can be used without the rest of the relay.
//!
//! A proxy passes events to the balancer ([`decisions::api::Event`]) and carries out the actions
//! that it returns ([`decisions::api::Action`]). The balancer does no I/O and reads no clock: each
//! event brings the time, and the seed of its constructor is the only source of randomness.
//!
//! ```
//! use jaspermoor::decisions::api::{
//!     Action, EndpointId, EndpointListKind, EndpointState, Event, ListedEndpoint, Request,
//!     RequestId, Settings,
//! };
//! use jaspermoor::Balancer;
//!
//! let mut balancer = Balancer::new(Settings::default(), 7);
//! let mut actions = Vec::new();
//! let listed = |number| ListedEndpoint {
//!     id: EndpointId(number),
//!     zone: 0,
//!     cell: 0,
//!     state: EndpointState::Ready,
//!     size: 1.0,
//!     started_at: None,
//! };
//! let endpoints = (1..=3).map(listed).collect();
//! let list = Event::EndpointList { kind: EndpointListKind::Full, endpoints };
//! balancer.handle(0, list, &mut actions).unwrap();
//! actions.clear();
//!
//! let request = Request {
//!     id: RequestId(1),
//!     client_key: 42,
//!     time_left: 800_000,
//!     ..Request::default()
//! };
//! balancer.handle(1_000, Event::Request(request), &mut actions).unwrap();
//! assert!(actions.iter().any(|action| matches!(action, Action::Attempt { .. })));
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

/// Compiles and runs the README's example as a documentation test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
