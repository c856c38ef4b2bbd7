//! What all connections of a relay share.

use crate::api::Micros;
use crate::config::Config;
use crate::decide::Decisions;
use crate::front::line::note::Notes;
use crate::front::Rules;
use crate::net::admit::Admission;
use crate::net::session::Sessions;
use crate::ops::metrics::Metrics;
use crate::platform::directory::Directory;
use crate::sys::lock;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the network takes from the settings, all of it at once.
pub struct Terms {
    /// What the fronts take from them.
    pub rules: Arc<Rules>,
    /// The longest dial.
    pub dial_timeout: Duration,
    /// The longest wait that a refused client obeys.
    pub max_retry_after: Micros,
}

impl Terms {
    fn of(config: &Config) -> Terms {
        Terms {
            rules: Arc::new(Rules { classes: config.classes.clone(), names: config.names.clone() }),
            dial_timeout: Duration::from_micros(config.settings.dial_timeout),
            max_retry_after: config.settings.max_retry_after,
        }
    }
}

/// What all connections share.
pub struct Core {
    /// The decisions.
    pub decisions: Arc<Decisions>,
    /// The backends' addresses.
    pub directory: Arc<Directory>,
    terms: Mutex<Arc<Terms>>,
    /// What backends told lately.
    pub notes: Notes,
    /// Who may come in.
    pub admission: Arc<Admission>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// Whether this process takes clients.
    pub open: Arc<AtomicBool>,
    /// The requests and connections under way.
    pub sessions: Arc<Sessions>,
}

impl Core {
    /// What the connections of a relay with this configuration share.
    pub fn new(config: &Config, decisions: Arc<Decisions>, directory: Arc<Directory>) -> Arc<Core> {
        let metrics = Arc::new(Metrics::default());
        metrics.show(&config.classes.names());
        Arc::new(Core {
            decisions,
            directory,
            terms: Mutex::new(Arc::new(Terms::of(config))),
            notes: Notes::default(),
            admission: Admission::new(&config.limits, config.admin.is_some(), config.accept_fd.is_some()),
            metrics,
            open: Arc::default(),
            sessions: Arc::default(),
        })
    }

    /// What the settings in force say.
    pub fn terms(&self) -> Arc<Terms> {
        lock(&self.terms).clone()
    }

    /// New settings hold from now on. The decisions first: a class must mean something to them before a
    /// client can ask for it.
    pub fn adopt_settings(&self, config: &Config) {
        self.metrics.show(&config.classes.names());
        self.decisions.settings(config.settings.clone());
        *lock(&self.terms) = Arc::new(Terms::of(config));
    }
}
