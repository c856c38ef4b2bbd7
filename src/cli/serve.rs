//! `serve`: starts the parts in their order, and hears signals.

use super::{env, Failure};
use argh::FromArgs;
use crossbeam_channel::bounded;
use jaspermoor::api::{ListKind, Member};
use jaspermoor::cells::Cells;
use jaspermoor::config::operator::OperatorFile;
use jaspermoor::config::Config;
use jaspermoor::decide::{run_timers, Decisions, Orders};
use jaspermoor::log::{self, log, Format};
use jaspermoor::net::client::{adopt_standing, Relay, Speaks};
use jaspermoor::net::core::{Core, Xmpp};
use jaspermoor::net::listen::Door;
use jaspermoor::ops::admin::{Admin, Staffed};
use jaspermoor::ops::bans::Bans;
use jaspermoor::platform::directory::Directory;
use jaspermoor::platform::discovery::{Source, Watcher};
use jaspermoor::platform::probe::{self, Prober};
use jaspermoor::platform::takeover::Heir;
use jaspermoor::sys::spawn;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
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
    log::start(serve.log_format, serve.log);
    // Before all else: a signal that comes during the start must neither end the program nor be missed.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let mut config = Config::load(&env)?;
    let operator = serve.operator.as_deref().map(OperatorFile::load).transpose()?;
    let xmpp = match &operator {
        Some(file) => Xmpp::of(file, &config)?,
        None => None,
    };
    let cells = operator.as_ref().map(Cells::of).transpose()?.unwrap_or_default();
    let door = match config.accept_fd {
        Some(fd) => {
            Door::inherit(fd).map_err(|e| format!("BALANCER_ACCEPT_FD: cannot listen on {fd}: {e}"))?
        }
        None => Door::open(config.listen)
            .map_err(|e| format!("listen: cannot listen on {}: {e}", config.listen))?,
    };
    let (address, door) = (door.addr()?, Arc::new(door));
    let source = Source::new(config.discovery);
    let (watch, watch_orders) = bounded(4);
    let (probe, probe_orders) = bounded(64);
    let directory = Arc::new(Directory::default());
    directory.update(true, &config.known);
    for problem in &config.known_problems {
        log(&format!("known: an entry was left out: {problem}"));
    }
    let cached: Vec<Member> = config.known.iter().map(|(_, member)| member.clone()).collect();
    let decisions = Decisions::new(config.settings.clone(), config.seed, cached, Orders { watch, probe });
    // Before the first request: no site is placed by another map.
    decisions.cells(cells);
    let relay = Relay::new(&config, decisions.clone(), directory.clone())?;

    let timers = decisions.clone();
    spawn("timers", move || run_timers(&timers))?;
    let (core, at, version) = (relay.core.clone(), source.clone(), config.known_version);
    let names = config.names.clone();
    spawn("watch", move || {
        let watcher = Watcher {
            source: &at,
            names: &names,
            directory: &core.directory,
            decisions: &core.decisions,
            version,
        };
        watcher.run(&watch_orders);
    })?;
    let (directory, decisions, names) = (directory.clone(), decisions.clone(), config.names.clone());
    Prober { orders: probe_orders, directory, decisions, names, limit: probe::LIMIT }.start()?;
    let shared = relay.clone();
    spawn("forward", move || shared.forwarder.run())?;
    if let Some(addr) = config.admin {
        let core = &relay.core;
        let staffed = Staffed {
            decisions: core.decisions.clone(),
            directory: core.directory.clone(),
            metrics: core.metrics.clone(),
            open: core.open.clone(),
        };
        let admin = Admin::open(addr, staffed, Bans::new(config.shared.clone()))
            .map_err(|e| format!("admin: cannot listen on {addr}: {e}"))?;
        log(&format!("{}: answers staff on {}", config.name, admin.addr()?));
        spawn("admin", move || admin.run())?;
    }
    if let (true, Some(dir)) = (door.held, &config.shared) {
        match Heir::open(dir) {
            Ok(heir) => {
                let shared = relay.clone();
                spawn("takeover", move || {
                    heir.run(|parcel, client, backend| adopt_standing(&shared, parcel, client, backend))
                })?;
            }
            Err(e) => log(&format!("takeover: connections of an older process cannot be taken over: {e}")),
        }
    }
    relay.core.adopt_xmpp(xmpp);
    let mut beside = Vec::new();
    if let Some(x) = operator.as_ref().and_then(|file| file.operator.xmpp.as_ref()) {
        for (key, addr, speaks) in
            [("listen", x.listen, Speaks::Xmpp), ("listen_tls", x.listen_tls, Speaks::XmppTls)]
        {
            let Some(addr) = addr else { continue };
            let door =
                Door::open_beside(addr).map_err(|e| format!("xmpp.{key}: cannot listen on {addr}: {e}"))?;
            let (door, shared) = (Arc::new(door), relay.clone());
            let under = if speaks == Speaks::Xmpp { "STARTTLS" } else { "TLS" };
            log(&format!("{}: speaks XMPP under {under} on {}", config.name, door.addr()?));
            beside.push(door.clone());
            spawn("accept-xmpp", move || shared.accept(&door, speaks))?;
        }
    }
    let (shared, entry) = (relay.clone(), door.clone());
    spawn("accept", move || shared.accept(&entry, Speaks::Line))?;
    log(&format!("{}: serves on {address}", config.name));
    let core = relay.core.clone();
    // A thread of its own: signals are still taken while the relay stops.
    let (stop, stopped) = bounded::<()>(1);
    let (handle, dir) = (signals.handle(), config.shared.clone());
    spawn("drain", move || {
        if stopped.recv().is_ok() {
            beside.drain(..).for_each(|door| door.close());
            relay.drain(&door, dir.as_deref());
            handle.close();
        }
    })?;
    for signal in signals.forever() {
        if signal == SIGHUP {
            reload(&mut config, &source, &core, operator.as_ref());
        } else if stop.try_send(()).is_ok() {
            log(&format!("{}: signal {signal}, moving the standing connections", config.name));
        }
    }
    log(&format!("{}: stopped", config.name));
    Ok(())
}

/// Reads the configuration and the operator file once more, as one, takes over their settings and follows
/// discovery to where it is now. Where either cannot be used nothing changes.
fn reload(config: &mut Config, source: &Source, core: &Core, operator: Option<&OperatorFile>) {
    let read = || -> Result<_, Failure> {
        let (new, fixed) = config.reload(&env)?;
        let Some(old) = operator else { return Ok((new, fixed, core.xmpp(), Cells::default())) };
        let file = OperatorFile::load(old.path())?;
        let (was, now) = (&old.operator.xmpp, &file.operator.xmpp);
        let places = |x: &Option<jaspermoor::config::operator::Xmpp>| {
            x.as_ref().map(|x| (x.listen, x.listen_tls)).unwrap_or_default()
        };
        if places(was) != places(now) {
            let what = "other addresses need a restart";
            return Err(file.error("xmpp.listen", what).into());
        }
        let xmpp = Xmpp::of(&file, &new)?;
        let cells = Cells::of(&file)?;
        Ok((new, fixed, xmpp, cells))
    };
    let (new, fixed, xmpp, cells) = match read() {
        Ok(read) => read,
        Err(e) => {
            core.metrics.load_errors.fetch_add(1, Relaxed);
            return log(&format!("{}: reload refused: {e}", config.name));
        }
    };
    for key in fixed {
        log(&format!("{}: reload: {key}: a new value needs a restart", config.name));
    }
    core.adopt_settings(&new);
    core.adopt_xmpp(xmpp);
    core.decisions.cells(cells);
    *config = new;
    let moved = source.relocate(config.discovery);
    if moved {
        core.decisions.members(ListKind::Moved, Vec::new());
    }
    core.metrics.loads.fetch_add(1, Relaxed);
    let (name, at, classes) = (&config.name, config.discovery, config.classes.names().join(" "));
    let news = if moved { "now" } else { "still" };
    log(&format!("{name}: reload: discovery is {news} at {at}, classes {classes}"));
}
