//! State that all connections of a relay share.

use crate::config::operator::{OperatorError, OperatorFile};
use crate::config::Config;
use crate::decision_service::DecisionService;
use crate::decisions::api::{Idempotency, Micros};
use crate::net::admission::Admission;
use crate::net::session::WakeQueue;
use crate::net::tls::TlsConfig;
use crate::ops::metrics::Metrics;
use crate::platform::directory::Directory;
use crate::protocol::line::load_samples::SampleClassifier;
use crate::protocol::xmpp::settings::XmppSettings;
use crate::protocol::FrontSettings;
use crate::sys::lock;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The part of the settings that connections need. Replaced as a whole at a reload.
pub struct NetSettings {
    /// The part that the client protocols need.
    pub rules: Arc<FrontSettings>,
    /// The longest dial of a backend.
    pub dial_timeout: Duration,
    /// The longest time after which a rejected client may be told to retry.
    pub max_retry_after: Micros,
    /// The idempotency of each class, by its index.
    idempotency: Vec<Idempotency>,
}

impl NetSettings {
    fn from_config(config: &Config) -> NetSettings {
        NetSettings {
            rules: Arc::new(FrontSettings {
                classes: config.classes.clone(),
                names: config.names.clone(),
            }),
            dial_timeout: Duration::from_micros(config.settings.connect_timeout),
            max_retry_after: config.settings.max_retry_after,
            idempotency: config
                .settings
                .classes
                .iter()
                .map(|class| class.idempotency)
                .collect(),
        }
    }

    /// The idempotency of a class.
    pub fn idempotency(&self, class: usize) -> Idempotency {
        self.idempotency.get(class).copied().unwrap_or_default()
    }
}

/// The configuration of the XMPP front.
pub struct XmppFront {
    /// The part that the XMPP protocol needs.
    pub settings: Arc<XmppSettings>,
    /// The TLS configurations with their certificates.
    pub tls: TlsConfig,
    /// The port of XMPP servers, if it is not the one that discovery gives.
    pub port: Option<u16>,
}

impl XmppFront {
    /// Checks the front's section of an operator file and reads its certificates; none where the
    /// file has no such section.
    pub fn from_operator_file(
        file: &OperatorFile,
        config: &Config,
    ) -> Result<Option<Arc<XmppFront>>, OperatorError> {
        let Some(x) = &file.operator.xmpp else {
            return Ok(None);
        };
        let settings = Arc::new(XmppSettings::from_operator_file(file, x, &config.classes)?);
        Ok(Some(Arc::new(XmppFront {
            settings,
            tls: TlsConfig::load(file, x)?,
            port: x.servers.port,
        })))
    }
}

/// The memory limit divided by this is the limit for long protocol units of all connections.
const LONG_UNIT_MEMORY_DIVISOR: u64 = 4;

/// Budget for the memory of long protocol units. A stanza is buffered until it is complete, so
/// without a budget many clients that each begin a long one and never end it could use up the
/// memory.
pub struct MemoryBudget {
    used: AtomicUsize,
    limit: usize,
}

impl MemoryBudget {
    /// An unused budget for a process with this memory limit.
    pub fn new(memory_mb: u64) -> MemoryBudget {
        MemoryBudget {
            used: AtomicUsize::new(0),
            limit: (memory_mb * 1024 * 1024 / LONG_UNIT_MEMORY_DIVISOR) as usize,
        }
    }

    /// Replaces `before` bytes of a connection by `after`. False where the total grows beyond the
    /// limit; the bytes are counted in any case.
    pub fn replace(&self, before: usize, after: usize) -> bool {
        if after >= before {
            let total = self.used.fetch_add(after - before, Relaxed) + (after - before);
            return after == before || total <= self.limit;
        }
        self.used.fetch_sub(before - after, Relaxed);
        true
    }
}

/// State that all connections share.
pub struct SharedState {
    /// The decision service.
    pub decisions: Arc<DecisionService>,
    /// The names, addresses and states of backends.
    pub directory: Arc<Directory>,
    settings: Mutex<Arc<NetSettings>>,
    xmpp: Mutex<Option<Arc<XmppFront>>>,
    /// Recent load samples of backends.
    pub load_samples: SampleClassifier,
    /// The limits of connections and requests.
    pub admission: Arc<Admission>,
    /// The metrics of this process.
    pub metrics: Arc<Metrics>,
    /// The time by which all pending requests must be answered, because the process stops;
    /// [`Micros::MAX`] before that.
    pub answer_deadline: AtomicU64,
    /// Whether this process accepts clients.
    pub accepting: Arc<AtomicBool>,
    /// The budget for long protocol units in the buffers of established connections.
    pub long_unit_memory: MemoryBudget,
    /// The connections that the decisions have an update for.
    pub wake_queue: Arc<WakeQueue>,
}

impl SharedState {
    /// The shared state of a relay with this configuration.
    pub fn new(
        config: &Config,
        decisions: Arc<DecisionService>,
        directory: Arc<Directory>,
    ) -> Arc<SharedState> {
        let metrics = Arc::new(Metrics::default());
        metrics.add_classes(&config.classes.names());
        Arc::new(SharedState {
            decisions,
            directory,
            settings: Mutex::new(Arc::new(NetSettings::from_config(config))),
            xmpp: Mutex::default(),
            load_samples: SampleClassifier::default(),
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

    /// The settings in force.
    pub fn settings(&self) -> Arc<NetSettings> {
        lock(&self.settings).clone()
    }

    /// Puts new settings in force. The decisions get them first, since they must know a class
    /// before a client can request it.
    pub fn adopt_settings(&self, config: &Config) {
        self.metrics.add_classes(&config.classes.names());
        self.decisions.update_settings(config.settings.clone());
        *lock(&self.settings) = Arc::new(NetSettings::from_config(config));
    }

    /// The XMPP front, if there is one.
    pub fn xmpp(&self) -> Option<Arc<XmppFront>> {
        lock(&self.xmpp).clone()
    }

    /// Replaces the XMPP front. Existing sessions keep the configuration that they began with.
    pub fn adopt_xmpp(&self, xmpp: Option<Arc<XmppFront>>) {
        self.metrics.xmpp.enabled.store(xmpp.is_some(), Relaxed);
        *lock(&self.xmpp) = xmpp;
    }

    /// The port of this front's backends, if it is not the one that discovery gives.
    pub fn backend_port(&self, front: &str) -> Option<u16> {
        self.xmpp()
            .filter(|_| front == "xmpp")
            .and_then(|xmpp| xmpp.port)
    }
}
