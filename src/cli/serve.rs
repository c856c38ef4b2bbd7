//! `serve`: starts the parts in their order, and hears signals.

use super::{env, Failure};
use argh::FromArgs;
use crossbeam_channel::bounded;
use jaspermoor::api::{ListKind, Member};
use jaspermoor::config::Config;
use jaspermoor::decide::{run_timers, Decisions, Orders};
use jaspermoor::net::client::{adopt_standing, Relay};
use jaspermoor::net::core::Core;
use jaspermoor::net::listen::Door;
use jaspermoor::ops::admin::{Admin, Staffed};
use jaspermoor::ops::bans::Bans;
use jaspermoor::ops::log::log;
use jaspermoor::platform::directory::Directory;
use jaspermoor::platform::discovery::{Source, Watcher};
use jaspermoor::platform::probe;
use jaspermoor::platform::takeover::Heir;
use jaspermoor::sys::spawn;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// Serves clients, as the file named by BALANCER_CONFIG says.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {}

/// Runs it.
pub fn run() -> Result<(), Failure> {
    // Before all else: a signal that comes during the start must neither end the program nor be missed.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let mut config = Config::load(&env)?;
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
    let (core, names) = (relay.core.clone(), config.names.clone());
    spawn("probe", move || probe::run(&probe_orders, &core.directory, &core.decisions, &names))?;
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
    let (shared, entry) = (relay.clone(), door.clone());
    spawn("accept", move || shared.accept(&entry))?;
    log(&format!("{}: serves on {address}", config.name));
    let core = relay.core.clone();
    // A thread of its own: signals are still taken while the relay stops.
    let (stop, stopped) = bounded::<()>(1);
    let (handle, dir) = (signals.handle(), config.shared.clone());
    spawn("drain", move || {
        if stopped.recv().is_ok() {
            relay.drain(&door, dir.as_deref());
            handle.close();
        }
    })?;
    for signal in signals.forever() {
        if signal == SIGHUP {
            reload(&mut config, &source, &core);
        } else if stop.try_send(()).is_ok() {
            log(&format!("{}: signal {signal}, moving the standing connections", config.name));
        }
    }
    log(&format!("{}: stopped", config.name));
    Ok(())
}

/// Reads the configuration once more, takes over its settings and follows discovery to where it is now. A
/// configuration that cannot be used changes nothing.
fn reload(config: &mut Config, source: &Source, core: &Core) {
    let (new, fixed) = match config.reload(&env) {
        Ok(new) => new,
        Err(e) => {
            core.metrics.load_errors.fetch_add(1, Relaxed);
            return log(&format!("{}: reload refused: {e}", config.name));
        }
    };
    for key in fixed {
        log(&format!("{}: reload: {key}: a new value needs a restart", config.name));
    }
    core.adopt_settings(&new);
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
