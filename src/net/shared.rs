//! What all connections of a relay share.

use crate::config::operator::{OperatorError, OperatorFile};
use crate::config::Config;
use crate::decision_service::DecisionService;
use crate::decisions::api::Micros;
use crate::net::admission::Admission;
use crate::net::session::Woken;
use crate::net::tls::Tls;
use crate::ops::metrics::Metrics;
use crate::platform::directory::Directory;
use crate::protocol::line::load_samples::SampleClassifier;
use crate::protocol::xmpp::settings;
use crate::protocol::FrontSettings;
use crate::sys::lock;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the network takes from the settings, all of it at once.
pub struct Terms {
    /// What the fronts take from them.
    pub rules: Arc<FrontSettings>,
    /// The longest dial.
    pub dial_timeout: Duration,
    /// The longest wait that a refused client obeys.
    pub max_retry_after: Micros,
}

impl Terms {
    fn of(config: &Config) -> Terms {
        Terms {
            rules: Arc::new(FrontSettings {
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
    pub terms: Arc<settings::XmppSettings>,
    /// Certificates.
    pub tls: Tls,
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
        let terms = Arc::new(settings::XmppSettings::from_operator_file(
            file,
            x,
            &config.classes,
        )?);
        Ok(Some(Arc::new(XmppFront {
            terms,
            tls: Tls::load(file, x)?,
            port: x.servers.port,
        })))
    }
}

/// The share of the memory limit that long units may take together, all connections counted.
const HELD_SHARE: u64 = 4;

/// Memory that is held for long units, and the most that may be: a stanza is held until it is whole, and many
/// clients with a long one each, begun and never ended, would else take all there is.
pub struct Held {
    now: AtomicUsize,
    most: usize,
}

impl Held {
    /// None yet, within that limit of the process.
    pub fn new(memory_mb: u64) -> Held {
        Held {
            now: AtomicUsize::new(0),
            most: (memory_mb * 1024 * 1024 / HELD_SHARE) as usize,
        }
    }

    /// Holds so many bytes in place of so many before; false where that is more than there may be. What is held
    /// is counted in any case.
    pub fn change(&self, before: usize, after: usize) -> bool {
        if after >= before {
            let all = self.now.fetch_add(after - before, Relaxed) + (after - before);
            return after == before || all <= self.most;
        }
        self.now.fetch_sub(before - after, Relaxed);
        true
    }
}

/// What all connections share.
pub struct SharedState {
    /// The decisions.
    pub decisions: Arc<DecisionService>,
    /// The backends' addresses.
    pub directory: Arc<Directory>,
    terms: Mutex<Arc<Terms>>,
    xmpp: Mutex<Option<Arc<XmppFront>>>,
    /// What backends told lately.
    pub notes: SampleClassifier,
    /// Who may come in.
    pub admission: Arc<Admission>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// By when all that is owed must be answered, as a process that stops has it; [`Micros::MAX`] before that.
    pub stop_by: AtomicU64,
    /// Whether this process takes clients.
    pub accepting: Arc<AtomicBool>,
    /// Memory that the buffers of standing connections hold for long units.
    pub held: Held,
    /// The requests and connections of which the decisions have news.
    pub woken: Arc<Woken>,
}

impl SharedState {
    /// What the connections of a relay with this configuration share.
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
            terms: Mutex::new(Arc::new(Terms::of(config))),
            xmpp: Mutex::default(),
            notes: SampleClassifier::default(),
            admission: Admission::new(
                &config.limits,
                config.admin.is_some(),
                config.accept_fd.is_some(),
            ),
            metrics,
            held: Held::new(config.limits.memory_mb),
            stop_by: AtomicU64::new(Micros::MAX),
            accepting: Arc::default(),
            woken: Arc::default(),
        })
    }

    /// What the settings in force say.
    pub fn terms(&self) -> Arc<Terms> {
        lock(&self.terms).clone()
    }

    /// New settings hold from now on. The decisions first: a class must mean something to them before a
    /// client can ask for it.
    pub fn adopt_settings(&self, config: &Config) {
        self.metrics.add_classes(&config.classes.names());
        self.decisions.update_settings(config.settings.clone());
        *lock(&self.terms) = Arc::new(Terms::of(config));
    }

    /// The XMPP front, where there is one.
    pub fn xmpp(&self) -> Option<Arc<XmppFront>> {
        lock(&self.xmpp).clone()
    }

    /// The XMPP front is as said from now on; sessions under way go on as they were admitted.
    pub fn adopt_xmpp(&self, xmpp: Option<Arc<XmppFront>>) {
        self.metrics.xmpp.enabled.store(xmpp.is_some(), Relaxed);
        *lock(&self.xmpp) = xmpp;
    }

    /// The port at which servers of that front are reached, where it is not the one that discovery gives.
    pub fn port(&self, front: &str) -> Option<u16> {
        self.xmpp()
            .filter(|_| front == "xmpp")
            .and_then(|xmpp| xmpp.port)
    }
}
