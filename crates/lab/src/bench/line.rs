//! Measurements of the line protocol, of one build of the relay beside another in the same run: set-ups, times there
//! and back, memory and threads. A figure alone says little on a shared machine; the ratio of the two does.

use super::{median, Failure};
use crate::demo::setup;
use crate::discovery::{Discovery, Entry};
use crate::relay::Relay;
use hdrhistogram::Histogram;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// Clients that set up at a time.
const CLIENTS: usize = 8;
/// Set-ups of each of them in a run.
const EACH: usize = 150;
/// Lines of a run of times, and those before them that do not count.
const LINES: usize = 2_000;
const WARM: usize = 200;
/// The longest wait for any answer: a run that hangs ends.
const PATIENCE: Duration = Duration::from_secs(20);

/// What is measured.
pub struct Plan {
    /// The build, and the one beside it.
    pub program: PathBuf,
    /// See `program`; none measures one alone.
    pub against: Option<PathBuf>,
    /// Whether the build is measured in a fleet of its own, and the one beside it without.
    pub fleet: bool,
    /// A directory for files.
    pub dir: PathBuf,
    /// Runs of each measurement.
    pub runs: usize,
    /// Standing connections whose memory is measured.
    pub idle: usize,
}

/// A backend that says `UP` and then sends every byte back; it answers probes too.
fn mirror(listener: TcpListener) {
    for socket in listener.incoming().map_while(Result::ok) {
        // A small stack: thousands may stand here.
        let reflect = move || drop(reflect(socket));
        let _ = thread::Builder::new().stack_size(64 * 1024).spawn(reflect);
    }
}

fn reflect(mut socket: TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut first = Vec::new();
    let mut byte = [0];
    while !first.ends_with(b"\n") {
        if socket.read(&mut byte)? == 0 {
            return Ok(());
        }
        first.push(byte[0]);
    }
    let probe = first.starts_with(b"STATS") || first.starts_with(b"PING");
    socket.write_all(if probe {
        b"PONG inflight=1,x0=0.2,qps=1,eps=0\r\n"
    } else {
        b"UP r\r\n"
    })?;
    let mut piece = [0; 4096];
    loop {
        match socket.read(&mut piece)? {
            0 => return Ok(()),
            n => socket.write_all(&piece[..n])?,
        }
    }
}

static NEXT: AtomicUsize = AtomicUsize::new(1);

/// A connection that is up; an error says what came in place of `UP`.
pub(super) fn open(addr: SocketAddr) -> io::Result<BufReader<TcpStream>> {
    let n = NEXT.fetch_add(1, Relaxed);
    let mut socket = TcpStream::connect(addr)?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(PATIENCE))?;
    write!(
        socket,
        "OPEN {n:016x} {n:016x} c=chat,d=2000,g={:x}\r\n",
        n / 8 + 1
    )?;
    let (mut reader, mut line) = (BufReader::with_capacity(256, socket), String::new());
    reader.read_line(&mut line)?;
    match line.starts_with("UP ") {
        true => Ok(reader),
        false => Err(io::Error::other(format!(
            "'{}' in place of UP",
            line.trim_end()
        ))),
    }
}

/// Connections set up a second, each ended at once.
fn set_ups(addr: SocketAddr) -> Result<f64, Failure> {
    let begun = Instant::now();
    let run = move || -> io::Result<()> {
        (0..EACH).try_for_each(|_| {
            let mut reader = open(addr)?;
            reader.get_ref().shutdown(Shutdown::Write)?;
            reader.read(&mut [0; 16]).map(drop)
        })
    };
    let threads: Vec<_> = (0..CLIENTS).map(|_| thread::spawn(run)).collect();
    for thread in threads {
        thread.join().map_err(|_| "a client failed")??;
    }
    Ok((CLIENTS * EACH) as f64 / begun.elapsed().as_secs_f64())
}

/// Times there and back of one line at a time, in microseconds: the median and the 99th of 100.
fn echo(addr: SocketAddr) -> Result<(f64, f64), Failure> {
    let mut reader = open(addr)?;
    let (mut times, mut line) = (Histogram::<u64>::new(3)?, String::new());
    for n in 0..LINES + WARM {
        let asked = Instant::now();
        reader
            .get_mut()
            .write_all(b"M 1 abcdefghijklmnopqrstuvwxyz\r\n")?;
        line.clear();
        reader.read_line(&mut line)?;
        if n >= WARM {
            times.record(asked.elapsed().as_micros() as u64)?;
        }
    }
    Ok((
        times.value_at_quantile(0.5) as f64,
        times.value_at_quantile(0.99) as f64,
    ))
}

struct Variant {
    name: &'static str,
    relay: Relay,
    /// By measurement, its runs.
    seen: [Vec<f64>; 3],
    /// KiB before the standing connections and with them, threads at rest and with them.
    memory: [u64; 2],
    threads: [usize; 2],
}

/// The operator file of the one voter of a fleet, whose ledger is made.
fn found(program: &Path, dir: &Path) -> Result<String, Failure> {
    std::fs::create_dir_all(dir)?;
    std::fs::write(
        dir.join("fleet.key"),
        "a key of the laboratory, long enough to be one\n",
    )?;
    let text = "[fleet]\nid = \"bench\"\ndirectory = \"ledger\"\nkeys = \"fleet.key\"\nvoter = 1\n\
                [[fleet.voters]]\nnumber = 1\naddress = \"127.0.0.1:0\"\n";
    let file = dir.join("found.toml");
    std::fs::write(&file, text)?;
    let made = std::process::Command::new(program)
        .args(["fleet", "--operator"])
        .arg(file)
        .arg("init")
        .output()?;
    match made.status.success() {
        true => Ok(text.into()),
        false => Err(String::from_utf8_lossy(&made.stderr).to_string().into()),
    }
}

fn start(
    plan: &Plan,
    name: &'static str,
    program: &Path,
    discovery: &Discovery,
    fleet: bool,
) -> Result<Variant, Failure> {
    let mut setup = setup(program, &plan.dir, discovery);
    setup.name = name.into();
    // A relay has one core on the platform; with more, threads would hide what they cost.
    setup.core = Some(0);
    setup.sockets = 3 * plan.idle as u64 + 2_048;
    // Room for all of them, as `admit` reckons it.
    let memory = (plan.idle / 8).max(512);
    setup.replace.push((
        "\"memory_mb\": 192".into(),
        format!("\"memory_mb\": {memory}"),
    ));
    if fleet {
        setup.operator = Some(found(program, &plan.dir)?);
    }
    let relay = Relay::start(&setup)?;
    if fleet {
        relay.wait_for("fleet: clients are admitted");
    }
    Ok(Variant {
        name,
        relay,
        seen: Default::default(),
        memory: [0; 2],
        threads: [0; 2],
    })
}

/// Measures the build, and the other one in turn with it.
pub fn run(plan: &Plan) -> Result<String, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    thread::spawn(move || mirror(listener));
    let discovery = Discovery::start(None, &[Entry::active("s-1", at)])?;
    let mut variants = vec![start(plan, "now", &plan.program, &discovery, plan.fleet)?];
    if let Some(against) = &plan.against {
        variants.push(start(plan, "against", against, &discovery, false)?);
    }
    for variant in &mut variants {
        // What the start needs is over by then.
        thread::sleep(Duration::from_millis(500));
        (variant.memory[0], variant.threads[0]) =
            (variant.relay.memory_kib(), variant.relay.threads());
    }
    for _ in 0..plan.runs {
        for variant in &mut variants {
            variant.seen[0].push(set_ups(variant.relay.addr)?);
            let (p50, p99) = echo(variant.relay.addr)?;
            variant.seen[1].push(p50);
            variant.seen[2].push(p99);
        }
    }
    for variant in &mut variants {
        let before = variant.relay.memory_kib();
        let standing: Result<Vec<_>, _> =
            (0..plan.idle).map(|_| open(variant.relay.addr)).collect();
        let standing = standing?;
        thread::sleep(Duration::from_millis(500));
        variant.threads[1] = variant.relay.threads();
        variant.memory[1] = variant.relay.memory_kib().saturating_sub(before);
        drop(standing);
    }
    let what = [
        "set-ups a second, 8 clients",
        "there and back, p50 us",
        "there and back, p99 us",
    ];
    let mut out = String::new();
    writeln!(
        out,
        "line protocol, relay on one processor, medians of {} runs, the builds in turn in each",
        plan.runs
    )?;
    for (n, what) in what.iter().enumerate() {
        let seen: Vec<f64> = variants.iter().map(|v| median(v.seen[n].clone())).collect();
        write!(out, "  {what:34}")?;
        for (variant, seen) in variants.iter().zip(&seen) {
            write!(out, "  {} {seen:8.0}", variant.name)?;
        }
        let ratios = variants.first().zip(variants.get(1));
        if let Some((now, against)) = ratios {
            let pairs = now.seen[n].iter().zip(&against.seen[n]);
            write!(
                out,
                "  ratio {:.2}",
                median(pairs.map(|(a, b)| a / b).collect())
            )?;
        }
        writeln!(out)?;
    }
    for v in &variants {
        let each = v.memory[1] as f64 / plan.idle.max(1) as f64;
        writeln!(
            out,
            "  {:8} {} KiB at rest, {each:.1} KiB for each of {} standing connections; {} threads at rest, {} then",
            v.name, v.memory[0], plan.idle, v.threads[0], v.threads[1]
        )?;
    }
    Ok(out)
}
