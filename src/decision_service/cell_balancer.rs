//! The balancer of one cell, with the cell's metrics. It knows the endpoints of its cell only.

use super::api::CellMetrics;
use crate::decisions::api::Settings;
use crate::decisions::{Balancer, Parameters};

/// A cell's balancer and what is counted of the cell.
pub(super) struct CellBalancer {
    /// Chooses among the endpoints of the cell.
    pub balancer: Balancer,
    /// Counted here and not in the balancer; holds the cell's name.
    pub metrics: CellMetrics,
}

impl CellBalancer {
    /// A balancer without endpoints.
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
