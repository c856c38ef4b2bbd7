//! The relay's command line.

use argh::FromArgs;
use crossbeam_channel::bounded;
use jaspermoor::api::{ListKind, Member};
use jaspermoor::config::Config;
use jaspermoor::decide::{run_timers, Decisions, Orders};
use jaspermoor::net::admin::Admin;
use jaspermoor::net::bans::Bans;
use jaspermoor::net::client::Relay;
use jaspermoor::net::discovery::{Directory, Source, Watcher};
use jaspermoor::net::listen::Door;
use jaspermoor::net::takeover::Heir;
use jaspermoor::net::{log, probe, spawn};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::process::ExitCode;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// Relay for long-lived connections.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Version(Version),
}

/// Serves clients, as the file named by BALANCER_CONFIG says.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {}

/// Reads and checks a configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the file; without it, the one that BALANCER_CONFIG names
    #[argh(positional)]
    config: Option<String>,
}

/// Prints the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let result = match argh::from_env::<Arguments>().command {
        Command::Serve(_) => serve(),
        Command::Check(check) => check_config(check),
        Command::Version(_) => {
            println!("jaspermoor {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log(&format!("jaspermoor: {e}"));
            ExitCode::FAILURE
        }
    }
}

fn env(key: &str) -> Option<String> {
    std::env::var(key).ok()
}

fn check_config(check: Check) -> Result<(), Failure> {
    let config = Config::load(&|key| match (key, &check.config) {
        ("BALANCER_CONFIG", Some(path)) => Some(path.clone()),
        _ => env(key),
    })?;
    println!(
        "{}: listens on {}, discovery at {}, {} backends known, {} classes",
        config.name,
        config.listen,
        config.discovery,
        config.known.len(),
        config.classes.names().len()
    );
    Ok(())
}

fn serve() -> Result<(), Failure> {
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
    let (shared, at, version) = (relay.clone(), source.clone(), config.known_version);
    spawn("watch", move || {
        let watcher = Watcher {
            source: &at,
            names: &shared.names,
            directory: &shared.directory,
            decisions: &shared.decisions,
            version,
        };
        watcher.run(&watch_orders);
    })?;
    let shared = relay.clone();
    spawn("probe", move || probe::run(&probe_orders, &shared.directory, &shared.decisions, &shared.names))?;
    let shared = relay.clone();
    spawn("forward", move || shared.forwarder.run())?;
    if let Some(addr) = config.admin {
        let admin = Admin::open(addr, relay.clone(), Bans::new(config.shared.clone()))
            .map_err(|e| format!("admin: cannot listen on {addr}: {e}"))?;
        log(&format!("{}: answers staff on {}", config.name, admin.addr()?));
        spawn("admin", move || admin.run())?;
    }
    if let (true, Some(dir)) = (door.held, &config.shared) {
        match Heir::open(dir) {
            Ok(heir) => {
                let shared = relay.clone();
                spawn("takeover", move || heir.run(&shared))?;
            }
            Err(e) => log(&format!("takeover: connections of an older process cannot be taken over: {e}")),
        }
    }
    let (shared, entry) = (relay.clone(), door.clone());
    spawn("accept", move || shared.accept(&entry))?;
    log(&format!("{}: serves on {address}", config.name));
    let shared = relay.clone();
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
            reload(&mut config, &source, &shared);
        } else if stop.try_send(()).is_ok() {
            log(&format!("{}: signal {signal}, moving the standing connections", config.name));
        }
    }
    log(&format!("{}: stopped", config.name));
    Ok(())
}

/// Reads the configuration once more, takes over its settings and follows discovery to where it is now. A
/// configuration that cannot be used changes nothing.
fn reload(config: &mut Config, source: &Source, relay: &Relay) {
    let (new, fixed) = match config.reload(&env) {
        Ok(new) => new,
        Err(e) => {
            relay.metrics.load_errors.fetch_add(1, Relaxed);
            return log(&format!("{}: reload refused: {e}", config.name));
        }
    };
    for key in fixed {
        log(&format!("{}: reload: {key}: a new value needs a restart", config.name));
    }
    relay.adopt_settings(&new);
    *config = new;
    let moved = source.relocate(config.discovery);
    if moved {
        relay.decisions.members(ListKind::Moved, Vec::new());
    }
    relay.metrics.loads.fetch_add(1, Relaxed);
    let (name, at, classes) = (&config.name, config.discovery, config.classes.names().join(" "));
    let news = if moved { "now" } else { "still" };
    log(&format!("{name}: reload: discovery is {news} at {at}, classes {classes}"));
}
