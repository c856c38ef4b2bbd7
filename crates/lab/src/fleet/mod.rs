//! The fleet in a laboratory: hundreds of relays with their own decisions, backends, clients, discovery and the network
//! on a virtual clock; days that go wrong, experiments over many seeds, results on disk, reports and calibration.

pub mod backend;
pub mod calibrate;
pub mod days;
pub mod experiment;
pub mod policy;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod simulation;
pub mod stats;
