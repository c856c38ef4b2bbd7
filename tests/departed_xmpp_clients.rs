//! XMPP clients that leave, or send on, while they wait for their answer, with servers that the test
//! plays step by step. A session request belongs to a client that is there and waits: nothing begins
//! for another one.

use jaspermoor::protocol::xmpp::frame::{Unit, NS_SASL};
use jaspermoor_lab::certs::{self, Authority, Valid};
use jaspermoor_lab::demo::{operator, setup, DOMAIN};
use jaspermoor_lab::discovery::{Discovery, Entry};
use jaspermoor_lab::relay::Relay;
use jaspermoor_lab::stream::Stream;
use jaspermoor_lab::until;
use jaspermoor_lab::xmpp_client::{element, header, Answer, Broke, Login};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};

/// A server whose steps the test decides.
struct ScriptedServer(TcpListener);

impl ScriptedServer {
    fn new() -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        ScriptedServer(listener)
    }

    fn try_accept(&self) -> Option<Stream> {
        let socket = self.0.accept().ok()?.0;
        socket.set_nonblocking(false).unwrap();
        socket
            .set_read_timeout(Some(jaspermoor_lab::PATIENCE))
            .unwrap();
        Some(Stream::new(socket))
    }
}

/// A relay before two scripted servers, and a client that has been offered SASL.
struct Site {
    servers: [ScriptedServer; 2],
    relay: Relay,
    login: Login,
    client: Stream,
    _discovery: Discovery,
}

fn dir(name: &str) -> PathBuf {
    let name = format!("departed-{name}-{}", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    path
}

impl Site {
    fn start(name: &str) -> Site {
        let dir = dir(name);
        let authority = Authority::new(&dir).unwrap();
        let pair = authority.leaf("relay", DOMAIN, Valid::Long).unwrap();
        let servers = [ScriptedServer::new(), ScriptedServer::new()];
        let entry = |(n, server): (usize, &ScriptedServer)| {
            Entry::active(&format!("s-{}", n + 1), server.0.local_addr().unwrap())
        };
        let entries: Vec<Entry> = servers.iter().enumerate().map(entry).collect();
        let discovery = Discovery::start(None, &entries).unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_jaspermoor"));
        let mut setup = setup(program, &dir, &discovery);
        setup.operator = Some(operator(DOMAIN, &pair));
        let relay = Relay::start(&setup).unwrap();
        let tls = certs::client(&authority.file()).unwrap();
        let login = Login::new(relay.xmpp(), DOMAIN, "ali", Some(tls));
        let client = login.connect().unwrap_or_else(|e| panic!("{e:?}"));
        Site {
            servers,
            relay,
            login,
            client,
            _discovery: discovery,
        }
    }

    /// Sends the client's request.
    fn request(&mut self) {
        let auth = format!("<auth xmlns='{NS_SASL}' mechanism='PLAIN'>AGFsaQBhbGk=</auth>");
        self.client.send(&auth).unwrap();
    }

    /// The attempt at either server, up to the relay's stream header; with the server's index.
    fn accept_attempt(&self) -> (usize, Stream) {
        let (n, mut attempt) = until("an attempt", || {
            (0..2).find_map(|n| Some((n, self.servers[n].try_accept()?)))
        });
        assert!(matches!(attempt.unit().unwrap().0, Unit::Header(_)));
        (n, attempt)
    }

    /// The same, up to the request.
    fn accept_request(&self) -> (usize, Stream) {
        let (n, mut attempt) = self.accept_attempt();
        attempt.send(&offer_of_sasl()).unwrap();
        assert!(element(&mut attempt).unwrap().is(NS_SASL, "auth"));
        (n, attempt)
    }

    /// Stops the process of the relay; all its threads are stopped when this returns.
    fn stop_process(&self) {
        self.relay.signal("STOP").unwrap();
        until("all threads of the relay to stop", || {
            let tasks = std::fs::read_dir(format!("/proc/{}/task", self.relay.pid())).ok()?;
            let mut stats =
                tasks.map(|task| std::fs::read_to_string(task.ok()?.path().join("stat")).ok());
            let stopped = |stat: Option<String>| {
                stat.is_some_and(|stat| {
                    let state = stat.rsplit_once(") ");
                    state.is_some_and(|(_, rest)| rest.starts_with('T'))
                })
            };
            stats.all(stopped).then_some(())
        });
    }
}

/// Sends white space in short TLS records until the sockets are full, or the relay has closed the
/// connection.
fn fill_sockets(stream: &mut Stream) {
    let client: TcpStream = stream.socket().try_clone().unwrap();
    client.set_nonblocking(true).unwrap();
    let mut full = 0;
    while full < 20 {
        match stream.send_bytes(&[b' '; 512]) {
            Ok(()) => full = 0,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                full += 1;
                std::thread::sleep(std::time::Duration::from_millis(2));
            }
            Err(_) => break,
        }
    }
}

/// A server's stream header, and its features.
fn offer_of_sasl() -> String {
    let mechanisms = format!(
        "<stream:features><mechanisms xmlns='{NS_SASL}'><mechanism>PLAIN</mechanism></mechanisms>\
         </stream:features>"
    );
    header(DOMAIN, None) + &mechanisms
}

/// Guards against a request that is sent for a client that has left: the server's features and the
/// client's end are handled in one turn of a relay that was held up, the features first.
#[test]
fn no_session_is_requested_for_a_client_that_left_during_the_negotiation() {
    let mut site = Site::start("negotiation");
    site.request();
    let (_, mut attempt) = site.accept_attempt();
    site.stop_process();
    attempt.send(&offer_of_sasl()).unwrap();
    site.client
        .socket()
        .shutdown(std::net::Shutdown::Both)
        .unwrap();
    site.relay.signal("CONT").unwrap();
    if let Ok((unit, _)) = attempt.unit() {
        panic!("sent although the client had left: {unit:?}");
    }
    site.relay.wait_for("reason=client-gave-up front=xmpp");
}

/// Guards against an attempt for a client that has left: the end of its stream is behind more bytes
/// than the sockets hold, which are not read while it waits for its answer.
#[test]
fn no_attempt_at_a_session_begins_for_a_client_that_sent_much_and_left() {
    let mut site = Site::start("much");
    site.request();
    let (first, mut attempt) = site.accept_request();
    fill_sockets(&mut site.client);
    let client = site.client.socket();
    let _ = client.shutdown(std::net::Shutdown::Both);
    // The answer that makes the relay try elsewhere comes after the client has left.
    let failure = format!("<failure xmlns='{NS_SASL}'><temporary-auth-failure/></failure>");
    let _ = attempt.send(&failure);
    let began_elsewhere = until("the end of the request, or a further attempt", || {
        let began = site.servers[1 - first].try_accept().is_some();
        let ended = site.relay.lines().iter().any(|l| l.starts_with("end id="));
        (began || ended).then_some(began)
    });
    assert!(
        !began_elsewhere,
        "an attempt began although its client had left"
    );
}

/// Guards against a process that ends by a stack overflow: a client sends on at full speed while its
/// server negotiates, and each read of it was nested in the one before.
#[test]
fn an_xmpp_client_that_floods_during_the_negotiation_is_refused_and_the_relay_goes_on() {
    let mut site = Site::start("flood");
    site.request();
    let (_, mut attempt) = site.accept_attempt();
    site.stop_process();
    fill_sockets(&mut site.client);
    site.relay.signal("CONT").unwrap();
    site.relay.wait_for("reason=policy-violation front=xmpp");
    assert!(attempt.unit().is_err(), "the attempt goes on");
    let next = site.login.connect();
    assert!(next.is_ok(), "the relay has ended");
}

/// Guards against a client that is served in place of its error, as it does not wait for its answer:
/// whether it was refused depended on where the network cut its bytes.
#[test]
fn an_xmpp_client_that_sends_on_before_its_answer_gets_its_error_however_its_bytes_are_cut() {
    let mut site = Site::start("cut");
    site.request();
    let (_, mut attempt) = site.accept_request();
    site.client
        .send("<message to='ali@hazri1.example.org'/>")
        .unwrap();
    let answer = element(&mut site.client);
    let refused = Answer::Error("policy-violation".into(), None);
    assert!(
        matches!(&answer, Err(Broke::Answered(answer)) if *answer == refused),
        "{answer:?}"
    );
    assert!(matches!(site.client.unit().unwrap().0, Unit::End));
    assert!(attempt.unit().is_err(), "the attempt goes on");
    site.relay.wait_for("reason=policy-violation front=xmpp");
}
