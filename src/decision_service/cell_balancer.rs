//! The balancer of one cell, with the cell's metrics. It knows only the endpoints of its cell.

use super::api::CellMetrics;
use crate::decisions::api::Settings;
use crate::decisions::{Balancer, Parameters};

/// A cell's balancer and the cell's metrics.
pub(super) struct CellBalancer {
    /// Chooses among the endpoints of the cell.
    pub balancer: Balancer,
    /// Updated by the service and not by the balancer. Contains the cell's name.
    pub metrics: CellMetrics,
}

impl CellBalancer {
    /// Creates a balancer without endpoints.
    pub(super) fn new(
        cell_name: &str,
        settings: Settings,
        parameters: Parameters,
        seed: u64,
    ) -> Self {
        let mut balancer = Balancer::new(settings, seed);
        balancer.set_parameters(parameters);
        CellBalancer {
            balancer,
            metrics: CellMetrics {
                name: cell_name.into(),
                ..CellMetrics::default()
            },
        }
    }
}
