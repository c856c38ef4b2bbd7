//! Measurements of the relay: all variants side by side in one run, medians of several, on this machine only. What
//! a relay adds is read against a bare copy loop under the same TLS, which knows nothing of XML, placement or drains.

pub mod line;
pub mod path;

use crate::certs::{self, Authority, Pair, Valid};
use crate::demo::{operator, setup, DOMAIN};
use crate::discovery::{Discovery, Entry};
use crate::relay::Relay;
use crate::stream::Stream;
use crate::until;
use crate::xmpp_client::{Broke, Login};
use crate::xmpp_server::{Server, Setup};
use hdrhistogram::Histogram;
use jaspermoor::protocol::xmpp::frame::Unit;
use rustls::{ServerConfig, ServerConnection};
use std::error::Error;
use std::fmt::Write as _;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

type Failure = Box<dyn Error>;

/// A copy loop that ends TLS towards clients and talks plainly to one server: two sockets, one thread a connection,
/// as little as such a thing can be.
struct Copy {
    addr: SocketAddr,
}

impl Copy {
    fn start(tls: Arc<ServerConfig>, to: SocketAddr) -> io::Result<Copy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let tls = tls.clone();
                thread::spawn(move || drop(copy(client, &tls, to)));
            }
        });
        Ok(Copy { addr })
    }
}

fn copy(mut client: TcpStream, tls: &Arc<ServerConfig>, to: SocketAddr) -> io::Result<()> {
    let mut server = TcpStream::connect(to)?;
    for socket in [&client, &server] {
        socket.set_nodelay(true)?;
    }
    let mut tls = ServerConnection::new(tls.clone()).map_err(io::Error::other)?;
    while tls.is_handshaking() {
        tls.complete_io(&mut client)?;
    }
    client.set_nonblocking(true)?;
    server.set_nonblocking(true)?;
    let mut piece = vec![0; 64 * 1024];
    loop {
        // What came with the handshake's last flight is here already.
        loop {
            match tls.reader().read(&mut piece) {
                Ok(0) => return Ok(()),
                Ok(n) => all(&mut server, &piece[..n])?,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        let mut fds = [
            rustix::event::PollFd::new(&client, rustix::event::PollFlags::IN),
            rustix::event::PollFd::new(&server, rustix::event::PollFlags::IN),
        ];
        rustix::event::poll(&mut fds, -1)?;
        let ready = [!fds[0].revents().is_empty(), !fds[1].revents().is_empty()];
        if ready[0] {
            match tls.read_tls(&mut client) {
                Ok(0) => return Ok(()),
                Err(e) if e.kind() != ErrorKind::WouldBlock => return Err(e),
                _ => {
                    tls.process_new_packets().map_err(io::Error::other)?;
                }
            }
        }
        if ready[1] {
            match server.read(&mut piece) {
                Ok(0) => return Ok(()),
                Ok(n) => {
                    let mut rest = &piece[..n];
                    while !rest.is_empty() || tls.wants_write() {
                        let taken = tls.writer().write(rest)?;
                        rest = &rest[taken..];
                        match tls.write_tls(&mut client) {
                            Err(e) if e.kind() == ErrorKind::WouldBlock => thread::yield_now(),
                            other => drop(other?),
                        }
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }
}

fn all(to: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match to.write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == ErrorKind::WouldBlock => thread::yield_now(),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// A server that sends back what comes behind the log-in, byte for byte: the relay is measured and not the server.
fn mirror(listener: TcpListener) {
    for socket in listener.incoming().map_while(Result::ok) {
        thread::spawn(move || drop(reflect(socket)));
    }
}

fn reflect(socket: TcpStream) -> io::Result<()> {
    let mut raw = socket.try_clone()?;
    let mut stream = Stream::new(socket);
    let ns = "urn:ietf:params:xml:ns:xmpp-sasl";
    let head = crate::xmpp_client::header(DOMAIN, None);
    stream.unit()?;
    stream.send(&format!(
        "{head}<stream:features><mechanisms xmlns='{ns}'><mechanism>PLAIN</mechanism></mechanisms></stream:features>"
    ))?;
    stream.unit()?;
    stream.send(&format!("<success xmlns='{ns}'/>"))?;
    stream.restart();
    stream.unit()?;
    stream.send(&format!(
        "{head}<stream:features><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></stream:features>"
    ))?;
    let mut piece = vec![0; 64 * 1024];
    loop {
        match raw.read(&mut piece)? {
            0 => return Ok(()),
            n => raw.write_all(&piece[..n])?,
        }
    }
}

fn broke(e: Broke) -> Failure {
    format!("{e:?}").into()
}

/// A session up to where stanzas pass, without counting.
fn session(login: &Login) -> Result<Stream, Failure> {
    let mut stream = login.connect().map_err(broke)?;
    login.authenticate(&mut stream).map_err(broke)?;
    stream.send(&crate::xmpp_client::header(DOMAIN, None))?;
    stream.unit()?;
    stream.unit()?;
    Ok(stream)
}

/// The median.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Stanzas a second there and back, with so many on the way at a time.
fn throughput(login: &Login, size: usize, window: usize, time: Duration) -> Result<f64, Failure> {
    let mut stream = session(login)?;
    let stanza = format!(
        "<message id='1'><body>{}</body></message>",
        "x".repeat(size)
    );
    let ahead = stanza.repeat(window);
    stream.send(&ahead)?;
    // The client reads bytes, not units: its own parser is not what is measured.
    let (begun, mut back) = (Instant::now(), 0usize);
    let mut sent = window * stanza.len();
    let mut piece = vec![0; 256 * 1024];
    while begun.elapsed() < time {
        back += stream.read(&mut piece)?;
        while sent.saturating_sub(back) < window * stanza.len() {
            stream.send(&stanza)?;
            sent += stanza.len();
        }
    }
    let rate = back as f64 / stanza.len() as f64 / begun.elapsed().as_secs_f64();
    stream.close();
    Ok(rate)
}

/// Times there and back of one stanza at a time, in microseconds.
fn latency(login: &Login, size: usize, count: usize) -> Result<Histogram<u64>, Failure> {
    let mut stream = session(login)?;
    let stanza = format!(
        "<message id='1'><body>{}</body></message>",
        "x".repeat(size)
    );
    let mut times = Histogram::new(3)?;
    for n in 0..count + 100 {
        let asked = Instant::now();
        stream.send(&stanza)?;
        while !matches!(stream.unit()?.0, Unit::Element(_)) {}
        if n >= 100 {
            times.record(asked.elapsed().as_micros() as u64)?;
        }
    }
    stream.close();
    Ok(times)
}

/// Sessions set up a second, by so many clients at a time.
fn set_ups(login: &Login, clients: usize, each: usize) -> Result<f64, Failure> {
    let begun = Instant::now();
    let threads: Vec<_> = (0..clients)
        .map(|n| {
            let login = Login {
                user: format!("s{n}"),
                password: format!("s{n}"),
                ..login.clone()
            };
            thread::spawn(move || {
                (0..each)
                    .filter(|_| session(&login).map(|mut s| s.close()).is_ok())
                    .count()
            })
        })
        .collect();
    let done: usize = threads.into_iter().map(|t| t.join().unwrap_or(0)).sum();
    Ok(done as f64 / begun.elapsed().as_secs_f64())
}

struct Rig {
    _discovery: Discovery,
    _relay: Relay,
    through: Login,
    bare: Login,
    direct: Login,
}

fn rig(program: &Path, dir: &Path, pair: &Pair, authority: &Authority) -> Result<Rig, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    thread::spawn(move || mirror(listener));
    let discovery = Discovery::start(None, &[Entry::active("s-1", at)])?;
    let mut setup = setup(program, dir, &discovery);
    setup.operator = Some(operator(DOMAIN, pair));
    setup.sockets = 16_384;
    let relay = Relay::start(&setup)?;
    let client = certs::client(&authority.file())?;
    let bare = Copy::start(certs::server(&pair.certificate, &pair.key)?, at)?;
    let login = |addr, tls| Login {
        mechanism: "PLAIN".into(),
        direct: true,
        ..Login::new(addr, DOMAIN, "bench", tls)
    };
    Ok(Rig {
        through: login(relay.xmpp_tls(), Some(client.clone())),
        bare: login(bare.addr, Some(client)),
        direct: login(at, None),
        _discovery: discovery,
        _relay: relay,
    })
}

/// Measures the XMPP front: throughput, added latency, set-ups, memory.
pub fn xmpp(program: &Path, dir: &Path, runs: usize, idle: usize) -> Result<String, Failure> {
    let authority = Authority::new(dir)?;
    let pair = authority.leaf("relay", DOMAIN, Valid::Long)?;
    let rig = rig(program, dir, &pair, &authority)?;
    let mut out = String::new();
    writeln!(out, "medians of {runs} runs, the variants in turn in each")?;
    writeln!(
        out,
        "\nstanzas a second, there and back, 32 on the way, one session"
    )?;
    for size in [100, 1_000, 16_000, 200_000] {
        let window = if size > 10_000 { 4 } else { 32 };
        let (mut relay, mut copy, mut ratio) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..runs {
            let time = Duration::from_millis(700);
            let (a, b) = (
                throughput(&rig.through, size, window, time)?,
                throughput(&rig.bare, size, window, time)?,
            );
            relay.push(a);
            copy.push(b);
            ratio.push(a / b);
        }
        let (relay, copy, ratio) = (median(relay), median(copy), median(ratio));
        writeln!(
            out,
            "  {size:6} B  relay {relay:9.0}  bare TLS copy {copy:9.0}  ratio {ratio:.2}"
        )?;
    }
    writeln!(out, "\nthere and back of one stanza of 200 B, microseconds")?;
    let logins = [
        ("relay", &rig.through),
        ("bare TLS copy", &rig.bare),
        ("direct, in clear", &rig.direct),
    ];
    let mut times: Vec<[Vec<f64>; 2]> = vec![Default::default(); 3];
    for _ in 0..runs {
        for ((_, login), times) in logins.iter().zip(&mut times) {
            let seen = latency(login, 200, 1_000)?;
            times[0].push(seen.value_at_quantile(0.5) as f64);
            times[1].push(seen.value_at_quantile(0.99) as f64);
        }
    }
    for ((name, _), [p50, p99]) in logins.iter().zip(times) {
        writeln!(
            out,
            "  {name:16}  p50 {:5.0}  p99 {:5.0}",
            median(p50),
            median(p99)
        )?;
    }
    writeln!(out, "\nsessions set up a second, 8 clients at a time")?;
    let (mut relay, mut copy) = (Vec::new(), Vec::new());
    for _ in 0..runs {
        relay.push(set_ups(&rig.through, 8, 25)?);
        copy.push(set_ups(&rig.bare, 8, 25)?);
    }
    writeln!(
        out,
        "  relay {:.0}  bare TLS copy {:.0}",
        median(relay),
        median(copy)
    )?;
    drop(rig);
    out += &memory(program, dir, &pair, &authority, idle)?;
    Ok(out)
}

/// Memory of idle sessions, and of a relay without an operator file.
fn memory(
    program: &Path,
    dir: &Path,
    pair: &Pair,
    authority: &Authority,
    idle: usize,
) -> Result<String, Failure> {
    let server = Server::start(Setup {
        domain: DOMAIN.into(),
        ..Setup::default()
    })?;
    let discovery = Discovery::start(None, &[Entry::active("s-1", server.addr)])?;
    let mut with = setup(program, dir, &discovery);
    let without = Relay::start(&with)?;
    thread::sleep(Duration::from_secs(1));
    let bare = without.memory_kib();
    drop(without);
    with.operator = Some(operator(DOMAIN, pair));
    with.sockets = 16_384;
    // Room for all of them.
    with.replace
        .push(("\"memory_mb\": 192".into(), "\"memory_mb\": 2048".into()));
    let relay = Relay::start(&with)?;
    thread::sleep(Duration::from_secs(1));
    let before = relay.memory_kib();
    let tls = certs::client(&authority.file())?;
    let addr = relay.xmpp_tls();
    let threads: Vec<_> = (0..8)
        .map(|t| {
            let tls = tls.clone();
            thread::spawn(move || {
                let open = |n: usize| {
                    let user = format!("m{}", n * 8 + t);
                    let login = Login {
                        direct: true,
                        ..Login::new(addr, DOMAIN, &user, Some(tls.clone()))
                    };
                    login.open().ok()
                };
                (0..idle / 8).map_while(open).collect::<Vec<_>>()
            })
        })
        .collect();
    let open: Vec<Stream> = threads
        .into_iter()
        .flat_map(|t| t.join().unwrap_or_default())
        .collect();
    until("the sessions", || {
        (relay.figure("xmpp_sessions") == Some(open.len() as u64)).then_some(())
    });
    thread::sleep(Duration::from_secs(1));
    let after = relay.memory_kib();
    let each = (after - before) as f64 / open.len().max(1) as f64;
    Ok(format!(
        "\nmemory\n  without an operator file {bare} KiB, with one {before} KiB\n  {} idle TLS sessions {after} KiB: \
         {each:.1} KiB each\n",
        open.len()
    ))
}
