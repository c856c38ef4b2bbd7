//! jaspermoor makes the decisions of a balancer for long-lived connections.
//!
//! A proxy tells a [`Balancer`] what it sees ([`api::Event`]) and carries out what the
//! balancer asks for ([`api::Action`]). The balancer does no I/O and reads no clock: time comes
//! in with each event, and randomness only from the seed it was made with.
//!
//! ```
//! use jaspermoor::api::{Action, Event, ListKind, Member, MemberState, RequestId, ServerId, Settings};
//! use jaspermoor::Balancer;
//!
//! let mut balancer = Balancer::new(Settings::default(), 7);
//! let mut actions = Vec::new();
//! let member = |n| Member {
//!     server: ServerId(n),
//!     zone: 0,
//!     cell: 0,
//!     state: MemberState::Ready,
//!     size: 1.0,
//!     started: None,
//! };
//! let members = (1..=3).map(member).collect();
//! balancer.handle(0, Event::Members { kind: ListKind::Full, members }, &mut actions).unwrap();
//! actions.clear();
//!
//! let request = jaspermoor::api::Request { id: RequestId(1), key: 42, left: 800_000, ..Default::default() };
//! balancer.handle(1_000, Event::Request(request), &mut actions).unwrap();
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! ```

pub mod api;
pub mod cells;
pub mod config;
pub mod decide;
pub mod front;
pub mod load;
pub mod log;
pub mod logic;
pub mod net;
pub mod ops;
pub mod platform;
pub mod random;
pub mod slots;
pub mod sys;
pub mod tuning;
pub mod wire;

pub use logic::{Balancer, Tuning};

/// Compiles the example of the README.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
