//! Fleet emulator: hundreds of relays that run the production balancer, backends, clients,
//! discovery and the network on a virtual clock. It plays days with failures, runs experiments
//! over many seeds, prints reports and is calibrated against recorded days.

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
