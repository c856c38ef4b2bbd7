//! `serve`: starts the parts in their order, and hears signals.

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
use jaspermoor::sys::{spawn, SMALL_STACK_BYTES};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::{Handle, Signals};
use std::path::PathBuf;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use tracing::level_filters::LevelFilter;

/// Serves clients, as the file named by BALANCER_CONFIG says.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// the operator file: what this install has beyond what the platform gives
    #[argh(option)]
    operator: Option<PathBuf>,
    /// the least level that is logged: error, warn, info (default), debug, trace or off
    #[argh(option, default = "LevelFilter::INFO")]
    log: LevelFilter,
    /// how the log is written: text (default) or json
    #[argh(option, default = "Format::Text", from_str_fn(format))]
    log_format: Format,
}

fn format(text: &str) -> Result<Format, String> {
    match text {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        other => Err(format!("'{other}' is neither text nor json")),
    }
}

/// Runs it.
pub fn run(serve: Serve) -> Result<(), Failure> {
    log::init(serve.log_format, serve.log);
    // Before all else: a signal that comes during the start must neither end the program nor be missed.
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
    let (address, listener) = (listener.addr()?, Arc::new(listener));
    let mode = if config.settings.polls_endpoint_list {
        WatchMode::OnRequest
    } else {
        WatchMode::Continuous
    };
    let watch_control = WatchControl::new(config.discovery, mode);
    let watch_requests = watch_control.clone();
    let watch = Box::new(move |on| watch_requests.request_watch(on));
    let (probe, probe_orders) = bounded(64);
    let directory = Arc::new(Directory::default());
    directory.update(true, &config.known);
    for problem in &config.known_problems {
        log(&format!("known: an entry was left out: {problem}"));
    }
    let cached: Vec<ListedEndpoint> = config
        .known
        .iter()
        .map(|(_, member)| member.clone())
        .collect();
    let decisions = DecisionService::new(
        config.settings.clone(),
        config.seed,
        cached,
        Hooks {
            watch_endpoint_list: watch,
            check_health: probe,
        },
    );
    // Before the first request: no site is placed by another map.
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
        // Before the first client: until it has a lease nobody is admitted.
        Some(settings) => Some(Fleet::open(
            settings,
            &config.name,
            PolicyRules { cells, parameters },
            decisions.clone(),
        )?),
        None => None,
    };
    let core = SharedState::new(&config, decisions, directory);
    core.adopt_xmpp(xmpp);
    let mut engine = EventLoop::new(core.clone(), config.names.clone(), probe_orders)?;
    let jobs = operator
        .as_ref()
        .and_then(|file| file.operator.fleet.as_ref())
        .map(|fleet| fleet.jobs);
    if let (Some(fleet), Some(jobs)) = (&mut fleet, jobs) {
        let load_reports = Arc::new(LoadReportCache::default());
        if jobs.load_watch {
            engine.use_load_reports(load_reports.clone());
        }
        fleet.enable_jobs(JobResources {
            directory: core.directory.clone(),
            zones: config.names.zones.clone(),
            report_columns: config.names.columns.clone(),
            own_zone: config.settings.zone,
            may_check_health: config.settings.may_check_health
                && config.settings.report_columns.contains(&ReportColumn::Load),
            load_reports,
        });
    }
    let fleet_handle = fleet.as_ref().map(Fleet::handle);
    engine.add_listener(listener.clone(), ListenerProtocol::Line)?;
    if let (true, Some(dir)) = (listener.inherited, &config.shared_directory) {
        if let Err(e) = engine.enable_takeover(dir.clone()) {
            log(&format!(
                "takeover: connections of an older process cannot be taken over: {e}"
            ));
        }
    }
    if let Some(x) = operator
        .as_ref()
        .and_then(|file| file.operator.xmpp.as_ref())
    {
        for (key, addr, speaks) in [
            ("listen", x.listen, ListenerProtocol::Xmpp),
            ("listen_tls", x.listen_tls, ListenerProtocol::XmppTls),
        ] {
            let Some(addr) = addr else { continue };
            let listener = Listener::open_reuse_port(addr)
                .map_err(|e| format!("xmpp.{key}: cannot listen on {addr}: {e}"))?;
            let under = if speaks == ListenerProtocol::Xmpp {
                "STARTTLS"
            } else {
                "TLS"
            };
            log(&format!(
                "{}: speaks XMPP under {under} on {}",
                config.name,
                listener.addr()?
            ));
            engine.add_listener(Arc::new(listener), speaks)?;
        }
    }

    // All threads that there will ever be, beside this one, which takes signals and reads files at a reload: nothing
    // that comes later hangs on a thread which the machine may not have.
    //
    // Discovery: a dial and a read that wait, and lists of thousands of servers to parse, which must not hold up
    // lines.
    let (shared, at, version) = (core.clone(), watch_control.clone(), config.known_version);
    let names = config.names.clone();
    spawn("watch", SMALL_STACK_BYTES, move || {
        let watcher = Watcher {
            control: &at,
            names: &names,
            directory: &shared.directory,
            decisions: &shared.decisions,
            version,
        };
        watcher.run();
    })?;
    if let Some(addr) = config.admin {
        let context = AdminContext {
            decisions: core.decisions.clone(),
            directory: core.directory.clone(),
            metrics: core.metrics.clone(),
            open: core.accepting.clone(),
        };
        let admin = Admin::open(
            addr,
            context,
            ManualEjections::new(config.shared_directory.clone()),
        )
        .map_err(|e| format!("admin: cannot listen on {addr}: {e}"))?;
        log(&format!(
            "{}: answers staff on {}",
            config.name,
            admin.addr()?
        ));
        // Staff are answered within a second whatever the clients do, and bans are files.
        spawn("admin", SMALL_STACK_BYTES, move || admin.run())?;
    }
    if let Some(fleet) = fleet {
        let metrics = core.metrics.clone();
        // A ledger's sync waits for the disk, and no client may wait for that.
        let ended = signals.handle();
        spawn("fleet", FLEET_STACK, move || {
            // Without it leases are not renewed any more: better no process than one that refuses all.
            let _ended = Ended(ended);
            fleet.run(metrics);
        })?;
    }
    let (control, handle) = (engine.handle(), signals.handle());
    spawn("serve", ENGINE_STACK, move || {
        // Ends the process whichever way this thread ends: one that takes clients and serves none is worse.
        let _ended = Ended(handle);
        engine.run();
    })?;
    log(&format!("{}: serves on {address}", config.name));
    let mut stopping = false;
    for signal in signals.forever() {
        if signal == SIGHUP {
            reload(&mut config, &watch_control, &core, operator.as_ref());
        } else if !std::mem::replace(&mut stopping, true) {
            // Its jobs first: others have them before it has gone.
            fleet_handle.iter().for_each(|fleet| fleet.drain());
            control.stop();
            log(&format!(
                "{}: signal {signal}, moving the standing connections",
                config.name
            ));
        }
    }
    if !stopping {
        return Err(format!("{}: the thread that serves has failed", config.name).into());
    }
    log(&format!("{}: stopped", config.name));
    Ok(())
}

/// Stack of the thread that serves: it parses lists' news and does TLS handshakes; only what is used is taken.
const ENGINE_STACK: usize = 1024 * 1024;

/// Stack of the fleet's thread: a store's commit, and a policy that is parsed.
const FLEET_STACK: usize = 1024 * 1024;

/// Ends the wait for signals when it is dropped.
struct Ended(Handle);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Reads the configuration and the operator file once more, as one, takes over their settings and follows
/// discovery to where it is now. Where either cannot be used nothing changes.
fn reload(
    config: &mut Config,
    watch_control: &WatchControl,
    core: &SharedState,
    operator: Option<&OperatorFile>,
) {
    let read = || -> Result<_, Failure> {
        let (new, mut fixed) = config.reload(&env)?;
        let Some(old) = operator else {
            return Ok((new, fixed, core.xmpp(), PolicyRules::default()));
        };
        let file = OperatorFile::load(old.path())?;
        let (was, now) = (&old.operator.xmpp, &file.operator.xmpp);
        let places = |x: &Option<jaspermoor::config::operator::Xmpp>| {
            x.as_ref()
                .map(|x| (x.listen, x.listen_tls))
                .unwrap_or_default()
        };
        if places(was) != places(now) {
            let what = "other addresses need a restart";
            return Err(file.error("xmpp.listen", what).into());
        }
        let xmpp = XmppFront::from_operator_file(&file, &new)?;
        if old.operator.fleet != file.operator.fleet {
            fixed.push("fleet");
        }
        let rules = PolicyRules {
            cells: Cells::from_operator_file(&file)?,
            parameters: policy::parameters(&file)?,
        };
        Ok((new, fixed, xmpp, rules))
    };
    let (new, fixed, xmpp, PolicyRules { cells, parameters }) = match read() {
        Ok(read) => read,
        Err(e) => {
            core.metrics.reload_errors.fetch_add(1, Relaxed);
            return log(&format!("{}: reload refused: {e}", config.name));
        }
    };
    for key in fixed {
        log(&format!(
            "{}: reload: {key}: a new value needs a restart",
            config.name
        ));
    }
    core.adopt_settings(&new);
    core.adopt_xmpp(xmpp);
    // A fleet's policy is not replaced by this relay's own file.
    if operator.is_none_or(|file| file.operator.fleet.is_none()) {
        core.decisions.apply_policy(cells, parameters);
    }
    *config = new;
    let moved = watch_control.relocate(config.discovery);
    if moved && config.settings.polls_endpoint_list {
        core.decisions
            .update_endpoints(EndpointListKind::Relocated, Vec::new());
    }
    core.metrics.reloads.fetch_add(1, Relaxed);
    let (name, at, classes) = (
        &config.name,
        config.discovery,
        config.classes.names().join(" "),
    );
    let news = if moved { "now" } else { "still" };
    log(&format!(
        "{name}: reload: discovery is {news} at {at}, classes {classes}"
    ));
}
