//! `serve`: starts the components of the relay in order, then handles signals.

use super::{env, Failure};
use argh::FromArgs;
use crossbeam_channel::bounded;
use jaspermoor::cells::Cells;
use jaspermoor::config::operator::OperatorFile;
use jaspermoor::config::policy::{self, PolicyRules};
use jaspermoor::config::Config;
use jaspermoor::decision_service::{DecisionService, Hooks};
use jaspermoor::decisions::api::{EndpointListKind, ListedEndpoint, ReportColumn};
use jaspermoor::load::LoadReportCache;
use jaspermoor::log::{self, log, Format};
use jaspermoor::net::event_loop::{EventLoop, ListenerProtocol};
use jaspermoor::net::fleet::{Fleet, FleetSettings, JobResources};
use jaspermoor::net::listen::Listener;
use jaspermoor::net::shared::{SharedState, XmppFront};
use jaspermoor::ops::admin::{Admin, AdminContext};
use jaspermoor::ops::manual_ejections::ManualEjections;
use jaspermoor::platform::directory::Directory;
use jaspermoor::platform::discovery::{WatchControl, WatchMode, Watcher};
use jaspermoor::platform::list_transfer;
use jaspermoor::sys::{spawn, SMALL_STACK_BYTES};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::{Handle, Signals};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use tracing::level_filters::LevelFilter;

/// Runs the relay with the configuration file that BALANCER_CONFIG names.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// the operator file: settings of this installation that the platform's configuration lacks
    #[argh(option)]
    operator: Option<PathBuf>,
    /// minimum level of log lines: error, warn, info (default), debug, trace or off
    #[argh(option, default = "LevelFilter::INFO")]
    log: LevelFilter,
    /// format of the log: text (default) or json
    #[argh(option, default = "Format::Text", from_str_fn(parse_log_format))]
    log_format: Format,
}

fn parse_log_format(text: &str) -> Result<Format, String> {
    match text {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        other => Err(format!("'{other}' is neither text nor json")),
    }
}

/// Runs the relay until SIGTERM or SIGINT.
pub fn run(serve: Serve) -> Result<(), Failure> {
    log::init(serve.log_format, serve.log);
    // Registered first, so that a signal during the start neither kills the process nor is lost.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let mut config = Config::load(&env)?;
    let operator = serve
        .operator
        .as_deref()
        .map(OperatorFile::load)
        .transpose()?;
    let xmpp = match &operator {
        Some(file) => XmppFront::from_operator_file(file, &config)?,
        None => None,
    };
    let cells = operator
        .as_ref()
        .map(Cells::from_operator_file)
        .transpose()?
        .unwrap_or_default();
    let listener = match config.accept_fd {
        Some(fd) => Listener::inherit(fd)
            .map_err(|e| format!("BALANCER_ACCEPT_FD: cannot listen on {fd}: {e}"))?,
        None => Listener::open(config.listen)
            .map_err(|e| format!("listen: cannot listen on {}: {e}", config.listen))?,
    };
    let (address, inherited) = (listener.addr()?, listener.inherited);
    if let (true, Some(dir)) = (listener.inherited, config.shared_directory.clone()) {
        adopt_list_of_running_process(&mut config, &dir);
    }
    let mode = if config.settings.polls_endpoint_list {
        WatchMode::OnRequest
    } else {
        WatchMode::Continuous
    };
    let watch_control = WatchControl::new(config.discovery, mode);
    let watch_requests = watch_control.clone();
    let request_watch = Box::new(move |on| watch_requests.request_watch(on));
    let (health_checks, health_check_requests) = bounded(64);
    let directory = Arc::new(Directory::default());
    directory.update(true, &config.known);
    directory.set_source(config.known_version, config.discovery);
    for problem in &config.known_problems {
        log(&format!("known: an entry was left out: {problem}"));
    }
    let known_endpoints: Vec<ListedEndpoint> = config
        .known
        .iter()
        .map(|(_, endpoint)| endpoint.clone())
        .collect();
    let decisions = DecisionService::new(
        config.settings.clone(),
        config.seed,
        known_endpoints,
        Hooks {
            watch_endpoint_list: request_watch,
            check_health: health_checks,
        },
    );
    // Applied before the first request, so that no group is placed by a different cell map.
    let parameters = operator
        .as_ref()
        .map(policy::parameters)
        .transpose()?
        .unwrap_or_default();
    decisions.apply_policy(cells.clone(), parameters);
    let mut fleet = match operator
        .as_ref()
        .map(FleetSettings::from_operator_file)
        .transpose()?
        .flatten()
    {
        // Opened before the first client connects: without a lease the relay admits no client.
        Some(settings) => Some(Fleet::open(
            settings,
            &config.name,
            PolicyRules { cells, parameters },
            decisions.clone(),
        )?),
        None => None,
    };
    let shared_state = SharedState::new(&config, decisions, directory);
    shared_state.adopt_xmpp(xmpp);
    let mut event_loop = EventLoop::new(
        shared_state.clone(),
        config.names.clone(),
        health_check_requests,
    )?;
    let jobs = operator
        .as_ref()
        .and_then(|file| file.operator.fleet.as_ref())
        .map(|fleet| fleet.jobs);
    if let (Some(fleet), Some(jobs)) = (&mut fleet, jobs) {
        let load_reports = Arc::new(LoadReportCache::default());
        if jobs.load_watch {
            event_loop.use_load_reports(load_reports.clone());
        }
        fleet.enable_jobs(JobResources {
            directory: shared_state.directory.clone(),
            zones: config.names.zones.clone(),
            report_columns: config.names.columns.clone(),
            own_zone: config.settings.zone,
            may_check_health: config.settings.may_check_health
                && config.settings.report_columns.contains(&ReportColumn::Load),
            load_reports,
        });
    }
    let fleet_handle = fleet.as_ref().map(Fleet::handle);
    event_loop.add_listener(listener, ListenerProtocol::Line)?;
    if let (true, Some(dir)) = (inherited, &config.shared_directory) {
        if let Err(e) = event_loop.enable_takeover(dir.clone()) {
            log(&format!(
                "takeover: connections of an older process cannot be taken over: {e}"
            ));
        }
    }
    if let Some(xmpp) = operator
        .as_ref()
        .and_then(|file| file.operator.xmpp.as_ref())
    {
        for (key, addr, protocol) in [
            ("listen", xmpp.listen, ListenerProtocol::Xmpp),
            ("listen_tls", xmpp.listen_tls, ListenerProtocol::XmppTls),
        ] {
            let Some(addr) = addr else { continue };
            let listener = Listener::open_reuse_port(addr)
                .map_err(|e| format!("xmpp.{key}: cannot listen on {addr}: {e}"))?;
            let tls_mode = if protocol == ListenerProtocol::Xmpp {
                "STARTTLS"
            } else {
                "TLS"
            };
            log(&format!(
                "{}: speaks XMPP under {tls_mode} on {}",
                config.name,
                listener.addr()?
            ));
            event_loop.add_listener(listener, protocol)?;
        }
    }

    // All threads of the process start here. If the machine has no thread left, the start fails;
    // nothing that runs later depends on a new thread. This thread handles signals and reads the
    // files of a reload.
    //
    // The discovery watch has its own thread: it blocks in connect and read, and parses lists of
    // thousands of endpoints, which must not delay forwarding.
    let (shared, control, version) = (
        shared_state.clone(),
        watch_control.clone(),
        config.known_version,
    );
    let names = config.names.clone();
    spawn("watch", SMALL_STACK_BYTES, move || {
        let watcher = Watcher {
            control: &control,
            names: &names,
            directory: &shared.directory,
            decisions: &shared.decisions,
            version,
        };
        watcher.run();
    })?;
    if let Some(addr) = config.admin {
        let context = AdminContext {
            decisions: shared_state.decisions.clone(),
            directory: shared_state.directory.clone(),
            metrics: shared_state.metrics.clone(),
            open: shared_state.accepting.clone(),
        };
        let admin = Admin::open(
            addr,
            context,
            ManualEjections::new(config.shared_directory.clone()),
        )
        .map_err(|e| format!("admin: cannot listen on {addr}: {e}"))?;
        log(&format!(
            "{}: answers operators on {}",
            config.name,
            admin.addr()?
        ));
        // Own thread: operators get an answer within a second under any client load, and the files
        // of manual ejections are read and written without delaying clients.
        spawn("admin", SMALL_STACK_BYTES, move || admin.run())?;
    }
    if let Some(fleet) = fleet {
        let metrics = shared_state.metrics.clone();
        // Own thread: the ledger, which stores the fleet's state, is synced to disk, and clients
        // must not wait for that.
        let signals_handle = signals.handle();
        spawn("fleet", FLEET_STACK_BYTES, move || {
            // The process ends when this thread ends: without lease renewals the relay would reject
            // all clients.
            let _close_signals = CloseSignalsOnDrop(signals_handle);
            fleet.run(metrics);
        })?;
    }
    let (event_loop_handle, signals_handle) = (event_loop.handle(), signals.handle());
    spawn("serve", EVENT_LOOP_STACK_BYTES, move || {
        // The process ends when this thread ends, by a panic too: otherwise the listeners would go
        // on accepting clients that nothing serves.
        let _close_signals = CloseSignalsOnDrop(signals_handle);
        event_loop.run();
    })?;
    log(&format!("{}: serves on {address}", config.name));
    let mut stopping = false;
    for signal in signals.forever() {
        if signal == SIGHUP {
            reload(
                &mut config,
                &watch_control,
                &shared_state,
                operator.as_ref(),
            );
        } else if !std::mem::replace(&mut stopping, true) {
            // Jobs are relinquished first, so that other relays own them before this one stops.
            fleet_handle.iter().for_each(|fleet| fleet.drain());
            event_loop_handle.stop();
            log(&format!(
                "{}: signal {signal}, migrating the established connections",
                config.name
            ));
        }
    }
    if !stopping {
        let reason = "the event loop thread or the fleet thread ended unexpectedly";
        return Err(format!("{}: {reason}", config.name).into());
    }
    log(&format!("{}: stopped", config.name));
    Ok(())
}

/// Uses the endpoint list of the process that serves in this directory, if there is one, in place
/// of an older one in the configuration.
///
/// That process may have moved its watch to the address in the file since the start. The variable,
/// which wins over the file at a start, is older then.
fn adopt_list_of_running_process(config: &mut Config, dir: &Path) {
    let received = match list_transfer::request(dir) {
        Ok(Some(list)) => list_transfer::decode(list, &config.names.zones),
        Ok(None) => return,
        Err(e) => Err(e.to_string()),
    };
    let received = match received {
        Ok(received) => received,
        Err(e) => {
            return log(&format!(
                "takeover: the list of the running process is not used: {e}"
            ))
        }
    };
    let address_of_file = config.discovery_of_file();
    if let Some(address) = received
        .discovery
        .filter(|address| Some(*address) == address_of_file)
    {
        config.discovery = address;
    }
    let Some(version) = received.replacing_version(config.known_version, config.discovery) else {
        return;
    };
    let entries = received.update.entries;
    log(&format!(
        "takeover: the list of the running process is used: version {}, {} entries",
        received.update.version,
        entries.len()
    ));
    config.known_version = version;
    config.known = entries;
}

/// Stack of the event loop thread, which parses list updates and does TLS handshakes. The kernel
/// commits only the pages that are used.
const EVENT_LOOP_STACK_BYTES: usize = 1024 * 1024;

/// Stack of the fleet thread, which commits to the ledger's database and parses policies.
const FLEET_STACK_BYTES: usize = 1024 * 1024;

/// Ends the main thread's wait for signals when dropped, also by a panic.
struct CloseSignalsOnDrop(Handle);

impl Drop for CloseSignalsOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Reads the configuration and the operator file again, applies their settings and follows
/// discovery to its new address. If either file is invalid, nothing changes.
fn reload(
    config: &mut Config,
    watch_control: &WatchControl,
    shared_state: &SharedState,
    operator: Option<&OperatorFile>,
) {
    let read = || -> Result<_, Failure> {
        let (new, mut restart_keys) = config.reload(&env)?;
        let Some(old) = operator else {
            return Ok((
                new,
                restart_keys,
                shared_state.xmpp(),
                PolicyRules::default(),
            ));
        };
        let file = OperatorFile::load(old.path())?;
        let (old_xmpp, new_xmpp) = (&old.operator.xmpp, &file.operator.xmpp);
        let listen_addresses = |xmpp: &Option<jaspermoor::config::operator::Xmpp>| {
            xmpp.as_ref()
                .map(|xmpp| (xmpp.listen, xmpp.listen_tls))
                .unwrap_or_default()
        };
        if listen_addresses(old_xmpp) != listen_addresses(new_xmpp) {
            let problem = "new listen addresses need a restart";
            return Err(file.error("xmpp.listen", problem).into());
        }
        let xmpp = XmppFront::from_operator_file(&file, &new)?;
        if old.operator.fleet != file.operator.fleet {
            restart_keys.push("fleet");
        }
        let rules = PolicyRules {
            cells: Cells::from_operator_file(&file)?,
            parameters: policy::parameters(&file)?,
        };
        Ok((new, restart_keys, xmpp, rules))
    };
    let (new, restart_keys, xmpp, PolicyRules { cells, parameters }) = match read() {
        Ok(read) => read,
        Err(e) => {
            shared_state.metrics.reload_errors.fetch_add(1, Relaxed);
            return log(&format!("{}: reload refused: {e}", config.name));
        }
    };
    for key in restart_keys {
        log(&format!(
            "{}: reload: {key}: a new value needs a restart",
            config.name
        ));
    }
    shared_state.adopt_settings(&new);
    shared_state.adopt_xmpp(xmpp);
    // In a fleet the shared policy applies, not the rules of this relay's own file.
    if operator.is_none_or(|file| file.operator.fleet.is_none()) {
        shared_state.decisions.apply_policy(cells, parameters);
    }
    *config = new;
    let relocated = watch_control.relocate(config.discovery);
    if relocated {
        // Versions of one address mean nothing at another.
        shared_state.directory.set_source(0, config.discovery);
    }
    if relocated && config.settings.polls_endpoint_list {
        shared_state
            .decisions
            .update_endpoints(EndpointListKind::Relocated, Vec::new());
    }
    shared_state.metrics.reloads.fetch_add(1, Relaxed);
    let (name, address, classes) = (
        &config.name,
        config.discovery,
        config.classes.names().join(" "),
    );
    let now_or_still = if relocated { "now" } else { "still" };
    log(&format!(
        "{name}: reload: discovery is {now_or_still} at {address}, classes {classes}"
    ));
}
