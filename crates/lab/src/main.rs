//! `jaspermoor-lab`: stand-ins, a first run, and measurements.

mod faults_cli;
mod fleet_cli;
mod scale_cli;

use argh::FromArgs;
use jaspermoor_lab::certs::{self, Authority, Valid};
use jaspermoor_lab::discovery::{read_list, Discovery};
use jaspermoor_lab::scale::error::ScaleError;
use jaspermoor_lab::sim::poison::{self, Experiment};
use jaspermoor_lab::xmpp_server::{Fault, Server, Setup};
use jaspermoor_lab::{bench, demo, line, relay};
use std::error::Error;
use std::io::BufRead;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Stand-ins, a first run and measurements for the relay jaspermoor. All of it stays on loopback.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(Demo),
    XmppServer(XmppServer),
    Discovery(DiscoveryServer),
    Backend(Backend),
    Cert(Cert),
    Bench(Bench),
    Sim(Sim),
    Fleet(fleet_cli::Fleet),
    Faults(faults_cli::Faults),
    Scale(scale_cli::Scale),
}

/// Starts a relay, discovery, three servers and clients, drains one server half-way and checks the rules.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {
    /// line or xmpp (default)
    #[argh(positional, default = "String::from(\"xmpp\")")]
    what: String,
    /// how many clients (default 60)
    #[argh(option, default = "60")]
    clients: usize,
}

/// A stand-in XMPP server. Faults come as lines on standard input or in a file: none, drain-mid-stanza MS, reset,
/// silence, refuse, later, break-sasl, silent-sasl, end-after-success, cut.
#[derive(FromArgs)]
#[argh(subcommand, name = "xmpp-server")]
struct XmppServer {
    /// where it listens
    #[argh(option)]
    listen: SocketAddr,
    /// its domain
    #[argh(option)]
    domain: String,
    /// NAME:PASSWORD, as often as there are users; without any, a user's password is its name
    #[argh(option)]
    user: Vec<String>,
    /// its certificate; STARTTLS is required then
    #[argh(option)]
    cert: Option<PathBuf>,
    /// the certificate's key
    #[argh(option)]
    key: Option<PathBuf>,
    /// a file whose last line is the fault in force
    #[argh(option)]
    control: Option<PathBuf>,
}

/// A stand-in for discovery.
#[derive(FromArgs)]
#[argh(subcommand, name = "discovery")]
struct DiscoveryServer {
    /// where it listens
    #[argh(option)]
    listen: SocketAddr,
    /// a JSON list of objects with id, addr, state and started_ms; read again whenever it changes
    #[argh(option)]
    file: PathBuf,
}

/// A stand-in backend of the line protocol.
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
struct Backend {
    /// where it listens
    #[argh(option)]
    listen: SocketAddr,
}

/// Makes an authority and a certificate for a domain.
#[derive(FromArgs)]
#[argh(subcommand, name = "cert")]
struct Cert {
    /// the domain
    #[argh(option)]
    domain: String,
    /// the directory; ca.pem, DOMAIN.pem and DOMAIN.key are written there
    #[argh(option)]
    out: PathBuf,
}

/// Measures the relay on this machine.
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
struct Bench {
    /// what: line, xmpp or data-path
    #[argh(positional)]
    what: String,
    /// line: another build of the relay, measured in turn with this one
    #[argh(option)]
    against: Option<PathBuf>,
    /// line: this build as the one voter of a fleet, the other one (by default this build, too) without
    #[argh(switch)]
    fleet: bool,
    /// runs of each measurement, whose median is shown (default 5)
    #[argh(option, default = "5")]
    runs: usize,
    /// idle sessions whose memory is measured (default 2000)
    #[argh(option, default = "2000")]
    idle: usize,
    /// data-path: the file that results are appended to, as lines of JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// data-path: what distinguishes these results from others
    #[argh(option, default = "String::new()")]
    label: String,
}

/// Plays cells against one fleet and small shards on a virtual clock, with the relay's own decisions: one site turns
/// heavy for a while. The last line is a digest of all that happened.
#[derive(FromArgs)]
#[argh(subcommand, name = "sim")]
struct Sim {
    /// the first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds (default 5)
    #[argh(option, default = "5")]
    seeds: u64,
    /// servers (default 24)
    #[argh(option, default = "24")]
    servers: usize,
    /// relays (default 3)
    #[argh(option, default = "3")]
    relays: usize,
    /// servers of a cell (default 6)
    #[argh(option, default = "6")]
    cell: usize,
    /// sites for each server (default 2)
    #[argh(option, default = "2")]
    sites: usize,
    /// mean load asked over what all servers can do (default 0.6)
    #[argh(option, default = "0.6")]
    load: f64,
    /// how many times heavier the site becomes (default 12)
    #[argh(option, default = "12.0")]
    factor: f64,
    /// threads (default 4); no result depends on it
    #[argh(option, default = "4")]
    jobs: usize,
}

type Failure = Box<dyn Error>;

/// A directory of this process's own.
fn scratch() -> PathBuf {
    std::env::temp_dir().join(format!("jaspermoor-lab-{}", std::process::id()))
}

fn demo(demo: &Demo) -> Result<bool, Failure> {
    let plan = demo::Plan {
        program: relay::program()?,
        dir: scratch(),
        clients: demo.clients,
        messages: 40,
        pause: Duration::from_millis(100),
        size: 200,
        progress: true,
    };
    let verdicts = match demo.what.as_str() {
        "xmpp" => demo::xmpp(&plan),
        "line" => demo::line(&plan),
        other => Err(format!("'{other}' is neither line nor xmpp").into()),
    };
    let _ = std::fs::remove_dir_all(&plan.dir);
    let verdicts = verdicts?;
    print!("{verdicts}");
    Ok(verdicts.all())
}

fn xmpp_server(s: XmppServer) -> Result<bool, Failure> {
    let user = |text: &String| {
        let (name, password) = text
            .split_once(':')
            .ok_or(format!("--user {text}: is not NAME:PASSWORD"))?;
        Ok::<_, String>((name.to_string(), password.to_string()))
    };
    let tls = match (&s.cert, &s.key) {
        (Some(cert), Some(key)) => Some(certs::server(cert, key)?),
        (None, None) => None,
        _ => return Err("--cert and --key go together".into()),
    };
    let users = s.user.iter().map(user).collect::<Result<_, _>>()?;
    let server = Server::start(Setup {
        listen: Some(s.listen),
        domain: s.domain,
        users,
        tls,
    })?;
    println!("ready {}", server.addr);
    let apply = |line: &str| match Fault::read(line) {
        Some(fault) => server.fault(fault),
        None => eprintln!("'{line}' is no fault"),
    };
    std::thread::scope(|scope| {
        scope.spawn(|| {
            std::io::stdin()
                .lock()
                .lines()
                .map_while(Result::ok)
                .for_each(|line| apply(&line))
        });
        let mut last = String::new();
        loop {
            if let Some(text) = s
                .control
                .as_ref()
                .and_then(|file| std::fs::read_to_string(file).ok())
            {
                if text != last {
                    text.lines().last().into_iter().for_each(apply);
                    last = text;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    })
}

fn run(command: Command) -> Result<bool, Failure> {
    match command {
        Command::Demo(d) => demo(&d),
        Command::XmppServer(s) => xmpp_server(s),
        Command::Discovery(d) => {
            let entries = read_list(&std::fs::read_to_string(&d.file)?)?;
            let discovery = Discovery::start(Some(d.listen), &entries)?;
            println!("ready {}", discovery.addr);
            discovery.follow(&d.file)
        }
        Command::Backend(b) => {
            let backend = line::Backend::start(Some(b.listen))?;
            println!("ready {}", backend.addr);
            loop {
                std::thread::park();
            }
        }
        Command::Cert(c) => {
            let pair = Authority::new(&c.out)?.leaf(&c.domain, &c.domain, Valid::Long)?;
            println!("{}\n{}", pair.certificate.display(), pair.key.display());
            Ok(true)
        }
        Command::Bench(b) if b.what == "xmpp" => {
            let dir = scratch();
            let result = bench::xmpp(&relay::program()?, &dir, b.runs, b.idle);
            let _ = std::fs::remove_dir_all(dir);
            print!("{}", result?);
            Ok(true)
        }
        Command::Fleet(f) => fleet_cli::run(f),
        Command::Faults(faults) => faults_cli::run(faults).map(|()| true),
        Command::Scale(scale) => scale_cli::run(scale),
        Command::Sim(s) => {
            let Sim {
                seed,
                seeds,
                servers,
                relays,
                cell,
                sites,
                load,
                factor,
                jobs,
            } = s;
            if servers == 0
                || relays == 0
                || seeds == 0
                || !(0.01..=10.0).contains(&load)
                || factor < 0.0
            {
                return Err(
                    "servers, relays and seeds must be at least 1, the load between 0.01 and 10"
                        .into(),
                );
            }
            print!(
                "{}",
                poison::run(&Experiment {
                    seed,
                    seeds,
                    backends: servers,
                    relays,
                    backends_per_cell: cell,
                    groups_per_backend: sites,
                    load,
                    load_factor: factor,
                    jobs
                })
            );
            Ok(true)
        }
        Command::Bench(b) if b.what == "line" => {
            let (program, dir) = (relay::program()?, scratch());
            let plan = bench::line::Plan {
                against: b.against.or_else(|| b.fleet.then(|| program.clone())),
                fleet: b.fleet,
                program,
                dir: dir.clone(),
                runs: b.runs,
                idle: b.idle,
            };
            let result = bench::line::run(&plan);
            let _ = std::fs::remove_dir_all(dir);
            print!("{}", result?);
            Ok(true)
        }
        Command::Bench(b) if b.what == "data-path" => {
            let (program, dir) = (relay::program()?, scratch());
            let plan = bench::path::Plan {
                program,
                dir: dir.clone(),
                json: b.json,
                label: b.label,
            };
            let result = bench::path::report(&plan);
            let _ = std::fs::remove_dir_all(dir);
            print!("{}", result?);
            Ok(true)
        }
        Command::Bench(b) => {
            Err(format!("'{}' is not measured; line, xmpp and data-path are", b.what).into())
        }
    }
}

/// Whoever called has to call otherwise.
const BAD_INPUT: u8 = 2;

/// Reads the arguments; where they cannot be read, what to end with after it was said.
fn arguments() -> Result<Arguments, ExitCode> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (name, words) = words.split_first().unwrap_or((&"jaspermoor-lab", &[]));
    Arguments::from_args(&[name], words).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}Run {name} --help for more information.", early.output);
            if words.first() == Some(&"scale") {
                ExitCode::from(BAD_INPUT)
            } else {
                ExitCode::FAILURE
            }
        }
    })
}

fn main() -> ExitCode {
    let arguments = match arguments() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    match run(arguments.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("jaspermoor-lab: {e}");
            match e.downcast_ref::<ScaleError>() {
                Some(error) if error.is_input() => ExitCode::from(BAD_INPUT),
                _ => ExitCode::FAILURE,
            }
        }
    }
}
