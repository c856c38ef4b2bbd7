//! What all connections of a relay share.

use crate::config::operator::{OperatorError, OperatorFile};
use crate::config::Config;
use crate::decision_service::DecisionService;
use crate::decisions::api::Micros;
use crate::net::admission::Admission;
use crate::net::session::WakeQueue;
use crate::net::tls::TlsConfig;
use crate::ops::metrics::Metrics;
use crate::platform::directory::Directory;
use crate::protocol::line::note::Notes;
use crate::protocol::xmpp::terms;
use crate::protocol::Rules;
use crate::sys::lock;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the network takes from the settings, all of it at once.
pub struct NetSettings {
    /// What the fronts take from them.
    pub rules: Arc<Rules>,
    /// The longest dial.
    pub dial_timeout: Duration,
    /// The longest wait that a refused client obeys.
    pub max_retry_after: Micros,
}

impl NetSettings {
    fn from_config(config: &Config) -> NetSettings {
        NetSettings {
            rules: Arc::new(Rules {
                classes: config.classes.clone(),
                names: config.names.clone(),
            }),
            dial_timeout: Duration::from_micros(config.settings.connect_timeout),
            max_retry_after: config.settings.max_retry_after,
        }
    }
}

/// The XMPP front as an install has it.
pub struct XmppFront {
    /// What its machines take from the operator file.
    pub terms: Arc<terms::Terms>,
    /// Certificates.
    pub tls: TlsConfig,
    /// The port of XMPP servers, where it is not the one that discovery gives.
    pub port: Option<u16>,
}

impl XmppFront {
    /// The front that an operator file sets, with its certificates, all checked; none where it sets none.
    pub fn from_operator_file(
        file: &OperatorFile,
        config: &Config,
    ) -> Result<Option<Arc<XmppFront>>, OperatorError> {
        let Some(x) = &file.operator.xmpp else {
            return Ok(None);
        };
        let terms = Arc::new(terms::Terms::of(file, x, &config.classes)?);
        Ok(Some(Arc::new(XmppFront {
            terms,
            tls: TlsConfig::load(file, x)?,
            port: x.servers.port,
        })))
    }
}

/// The share of the memory limit that long units may take together, all connections counted.
const LONG_UNIT_MEMORY_DIVISOR: u64 = 4;

/// Memory that is held for long units, and the most that may be: a stanza is held until it is whole, and many
/// clients with a long one each, begun and never ended, would else take all there is.
pub struct MemoryBudget {
    used: AtomicUsize,
    limit: usize,
}

impl MemoryBudget {
    /// None yet, within that limit of the process.
    pub fn new(memory_mb: u64) -> MemoryBudget {
        MemoryBudget {
            used: AtomicUsize::new(0),
            limit: (memory_mb * 1024 * 1024 / LONG_UNIT_MEMORY_DIVISOR) as usize,
        }
    }

    /// Holds so many bytes in place of so many before; false where that is more than there may be. What is held
    /// is counted in any case.
    pub fn replace(&self, before: usize, after: usize) -> bool {
        if after >= before {
            let all = self.used.fetch_add(after - before, Relaxed) + (after - before);
            return after == before || all <= self.limit;
        }
        self.used.fetch_sub(before - after, Relaxed);
        true
    }
}

/// What all connections share.
pub struct SharedState {
    /// The decisions.
    pub decisions: Arc<DecisionService>,
    /// The backends' addresses.
    pub directory: Arc<Directory>,
    settings: Mutex<Arc<NetSettings>>,
    xmpp: Mutex<Option<Arc<XmppFront>>>,
    /// What backends told lately.
    pub load_samples: Notes,
    /// Who may come in.
    pub admission: Arc<Admission>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// By when all that is owed must be answered, as a process that stops has it; [`Micros::MAX`] before that.
    pub answer_deadline: AtomicU64,
    /// Whether this process takes clients.
    pub accepting: Arc<AtomicBool>,
    /// Memory that the buffers of standing connections hold for long units.
    pub long_unit_memory: MemoryBudget,
    /// The requests and connections of which the decisions have news.
    pub wake_queue: Arc<WakeQueue>,
}

impl SharedState {
    /// What the connections of a relay with this configuration share.
    pub fn new(
        config: &Config,
        decisions: Arc<DecisionService>,
        directory: Arc<Directory>,
    ) -> Arc<SharedState> {
        let metrics = Arc::new(Metrics::default());
        metrics.show(&config.classes.names());
        Arc::new(SharedState {
            decisions,
            directory,
            settings: Mutex::new(Arc::new(NetSettings::from_config(config))),
            xmpp: Mutex::default(),
            load_samples: Notes::default(),
            admission: Admission::new(
                &config.limits,
                config.admin.is_some(),
                config.accept_fd.is_some(),
            ),
            metrics,
            long_unit_memory: MemoryBudget::new(config.limits.memory_mb),
            answer_deadline: AtomicU64::new(Micros::MAX),
            accepting: Arc::default(),
            wake_queue: Arc::default(),
        })
    }

    /// What the settings in force say.
    pub fn settings(&self) -> Arc<NetSettings> {
        lock(&self.settings).clone()
    }

    /// New settings hold from now on. The decisions first: a class must mean something to them before a
    /// client can ask for it.
    pub fn adopt_settings(&self, config: &Config) {
        self.metrics.show(&config.classes.names());
        self.decisions.update_settings(config.settings.clone());
        *lock(&self.settings) = Arc::new(NetSettings::from_config(config));
    }

    /// The XMPP front, where there is one.
    pub fn xmpp(&self) -> Option<Arc<XmppFront>> {
        lock(&self.xmpp).clone()
    }

    /// The XMPP front is as said from now on; sessions under way go on as they were admitted.
    pub fn adopt_xmpp(&self, xmpp: Option<Arc<XmppFront>>) {
        self.metrics.xmpp.on.store(xmpp.is_some(), Relaxed);
        *lock(&self.xmpp) = xmpp;
    }

    /// The port at which servers of that front are reached, where it is not the one that discovery gives.
    pub fn backend_port(&self, front: &str) -> Option<u16> {
        self.xmpp()
            .filter(|_| front == "xmpp")
            .and_then(|xmpp| xmpp.port)
    }
}
