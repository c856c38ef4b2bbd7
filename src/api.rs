//! The interface of the decision module: settings, events and actions.
//!
//! All times are whole microseconds. Settings carry figures and indices and no names, so a
//! decision cannot depend on what a deployment calls its zones, classes, tenants or machines.

/// A moment or a span of time, in microseconds.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// A request, or the connection that it became.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A server; the number means nothing beyond its identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// What a second attempt at a request of a class may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated without limit.
    #[default]
    Safe,
    /// Repeats are dropped within a group of servers and for a time.
    Keyed {
        /// The servers that drop one another's repeats.
        group: Group,
        /// How long they remember, from the send of the first attempt that may have run.
        window: Micros,
    },
    /// Must not run twice.
    Unsafe,
}

/// Which servers share what keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// Set-up within this earns its full worth.
    pub aim: Micros,
    /// How long a client waits over all its tries.
    pub deadline: Micros,
    /// What repeating a request may do.
    pub effect: Effect,
    /// The aim for a message on an open connection; 0 where none is stated.
    pub message_aim: Micros,
}

/// How a server's listed size is to be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Sizes say nothing.
    #[default]
    None,
    /// The size as registered, or about so.
    Nominal,
    /// Size over load at some earlier time: it changes from list to list.
    Live,
}

/// The value that a column of a load report holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// Load asked of the server over what it can do.
    Load,
    /// Requests or connections that it holds.
    Active,
    /// Anything that the module does not use.
    Other,
}

/// What a balancer is told once, at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many balancers share the work, this one included.
    pub balancers: u32,
    /// Which of them this one is, from 0.
    pub number: u32,
    /// The zone of this balancer.
    pub zone: u16,
    /// The least time between two batches of events.
    pub tick: Micros,
    /// Packets pass through: connections outlive the balancer and arrive mid-flow.
    pub passes_through: bool,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The list of servers must be asked for.
    pub list_on_request: bool,
    /// How sizes are to be read.
    pub weights: Weights,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// The most attempts for a request.
    pub max_attempts: u32,
    /// A connection still not up by then has failed.
    pub dial_timeout: Micros,
    /// The longest wait a refused client obeys; 0 where none is passed on.
    pub max_retry_after: Micros,
    /// Columns of a load report.
    pub columns: Vec<Column>,
    /// Sends to a draining or gone server stop within this.
    pub drain_grace: Micros,
    /// The share of its capacity at which a server starts.
    pub start_capacity: f32,
    /// A server is warm after this at the latest.
    pub warm_within: Micros,
    /// A cold server falls over when sent this multiple of its capacity ...
    pub overload_factor: f32,
    /// ... for this long.
    pub fall: Micros,
    /// A list unasked for this long counts as told.
    pub ask_within: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            number: 0,
            zone: 0,
            tick: 1_000,
            passes_through: false,
            classes: vec![Class {
                aim: 300_000,
                deadline: 1_200_000,
                effect: Effect::Safe,
                message_aim: 100_000,
            }],
            list_on_request: false,
            weights: Weights::None,
            may_cancel: true,
            may_probe: false,
            max_attempts: 4,
            dial_timeout: 250_000,
            max_retry_after: 0,
            columns: Vec::new(),
            drain_grace: SECOND,
            start_capacity: 0.2,
            warm_within: 20 * SECOND,
            overload_factor: 3.0,
            fall: 2 * SECOND,
            ask_within: 10 * SECOND,
        }
    }
}

/// What a list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Its process runs.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has been removed.
    Gone,
}

/// One entry of a list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The server.
    pub server: ServerId,
    /// The zone it sits in.
    pub zone: u16,
    /// The cell it belongs to.
    pub cell: u16,
    /// What is known of its process.
    pub state: MemberState,
    /// Its size against that of others, as [`Weights`] says.
    pub size: f32,
    /// When it last started; none for a long time back.
    pub started: Option<Micros>,
}

/// What kind of list has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// All entries.
    Full,
    /// All entries as last seen before a start; perhaps stale.
    Cached,
    /// A call failed or the subscription dropped; the old list stands.
    Failed,
    /// The same, seen only after a timeout: little is left of the time after which a change counts as told.
    Silent,
    /// The list is to be had elsewhere from now on; the old list stands.
    Moved,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id, never used twice.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: u32,
    /// The client's key; 0 where there is none.
    pub key: u64,
    /// The key of the connection's group; 0 where there is none.
    pub group: u64,
    /// Time left before the client gives up.
    pub left: Micros,
    /// An open connection whose packets arrive here from now on.
    pub mid_flow: bool,
    /// The client has been here, or at a sibling, before: a repeat, or a return after a break.
    pub again: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection could be had; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What a balancer sees.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the fleet.
    Members {
        /// How to read the entries.
        kind: ListKind,
        /// The entries.
        members: Vec<Member>,
    },
    /// New settings hold from now on; requests under way keep their class. Zone, kind of list, mode and
    /// columns are those of the start.
    Settings(Settings),
    /// Staff have taken a server out (true) or called it back; holds whatever lists say.
    ByHand(ServerId, bool),
    /// A client's request; it is owed exactly one final answer.
    Request(Request),
    /// A connection that was open through this balancer when it started.
    Open(Request, ServerId),
    /// An attempt's connection is up.
    First {
        /// The request.
        id: RequestId,
        /// Its server.
        server: ServerId,
        /// Time since the send.
        took: Micros,
    },
    /// The load of an open connection has changed: work in microseconds a second.
    LoadNote(RequestId, ServerId, f32),
    /// Messages at a server take this long.
    DelayNote(RequestId, ServerId, Micros),
    /// An attempt ended; each send gets one of these.
    Outcome {
        /// The request.
        id: RequestId,
        /// Its server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request itself is finished.
        last: bool,
        /// A load report, ordered as [`Settings::columns`].
        report: Vec<f32>,
    },
    /// The client quit; nothing more is owed.
    Vanished(RequestId),
    /// The answer is owed by this time already, where it was owed later: the process stops.
    Hurry(RequestId, Micros),
    /// A timer fired.
    Timer(u64),
    /// What a probe found.
    Probed {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// A load report, where one came.
        report: Vec<f32>,
    },
    /// A sibling's message; nothing here depends on them.
    Peer(u32, Vec<u8>),
}

/// What a balancer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt, given up at the stated time.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// When to stop waiting for it.
        until: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel(RequestId, u16),
    /// Final answer: refused, a further try is harmless after the stated wait.
    Refuse(RequestId, Micros),
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// End an open connection politely; its client comes again.
    Move(RequestId),
    /// Ask for a timer.
    Timer(Micros, u64),
    /// Probe a server.
    Probe(ServerId),
    /// Subscribe to the list.
    Watch(bool),
    /// A line for the report.
    Log(String),
}

/// An event named something that this balancer does not know; it was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unknown {
    /// A request that is not held, or no longer.
    Request(RequestId),
    /// A server that no list has named.
    Server(ServerId),
}

impl std::fmt::Display for Unknown {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unknown::Request(id) => write!(f, "unknown request {}", id.0),
            Unknown::Server(id) => write!(f, "unknown server {:012x}", id.0),
        }
    }
}

impl std::error::Error for Unknown {}
