//! A stand-in XMPP server: enough of RFC 6120 and XEP-0198 for a real client library to log in and count, with
//! faults to order and books of its own. Not a server to run: it keeps nothing and lets anyone named in.

use crate::scram::{Hash, Server as Scram};
use crate::stream::Stream;
use base64::prelude::{Engine, BASE64_STANDARD};
use jaspermoor::protocol::xmpp::frame::{
    Element, Unit, NS_CLIENT, NS_SASL, NS_SM, NS_STREAMS, NS_TLS,
};
use rustls::ServerConfig;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the server does otherwise than it should.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Resets each connection at once.
    Reset,
    /// Takes connections and says nothing.
    Silent,
    /// Ends new streams with `resource-constraint`.
    Refuse,
    /// Answers `<auth/>` with `temporary-auth-failure`.
    Later,
    /// Breaks off behind the challenge.
    BreakSasl,
    /// Says nothing to a response.
    SilentSasl,
    /// Ends behind the success, before the client can bind.
    EndAfterSuccess,
    /// Stops in the middle of each long stanza that it sends, for so many milliseconds.
    Stall(u64),
    /// Resets in the middle of each long stanza that it sends.
    Cut,
}

impl Fault {
    /// Reads a line of a control file, such as `stall 300`.
    pub fn read(text: &str) -> Option<Fault> {
        let mut words = text.split_whitespace();
        let fault = match words.next()? {
            "none" | "serve" => Fault::None,
            "reset" => Fault::Reset,
            "silence" => Fault::Silent,
            "refuse" => Fault::Refuse,
            "later" => Fault::Later,
            "break-sasl" => Fault::BreakSasl,
            "silent-sasl" => Fault::SilentSasl,
            "end-after-success" => Fault::EndAfterSuccess,
            "drain-mid-stanza" | "stall" => {
                Fault::Stall(words.next().map_or(Some(300), |n| n.parse().ok())?)
            }
            "cut" => Fault::Cut,
            _ => return None,
        };
        words.next().is_none().then_some(fault)
    }
}

/// What a server has seen.
#[derive(Debug, Default)]
pub struct Book {
    /// When each connection brought its first byte.
    pub opened: Vec<Instant>,
    /// When each session was let in, and whose.
    pub let_in: Vec<(Instant, String)>,
    /// The numbers of messages, by user.
    pub received: BTreeMap<String, Vec<u64>>,
    /// Bytes of stanzas that ended in their middle.
    pub halves: u64,
    /// Streams whose client closed them as it should.
    pub closed: u64,
}

struct Shared {
    domain: String,
    users: BTreeMap<String, String>,
    tls: Option<Arc<ServerConfig>>,
    fault: Mutex<Fault>,
    book: Mutex<Book>,
    sessions: Mutex<BTreeMap<String, Arc<Mutex<Vec<u8>>>>>,
    open: Mutex<BTreeMap<u64, TcpStream>>,
    next: AtomicU64,
    stop: AtomicBool,
}

/// A server that runs until it is dropped.
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

/// How a server is set up.
#[derive(Clone, Default)]
pub struct Setup {
    /// Where to listen; a free port of loopback where none is said.
    pub listen: Option<SocketAddr>,
    /// Its domain.
    pub domain: String,
    /// Users and passwords. Where there are none, any user is let in whose password is its name.
    pub users: BTreeMap<String, String>,
    /// Its TLS; STARTTLS is offered and required where there is one.
    pub tls: Option<Arc<ServerConfig>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Server {
    /// Starts one.
    pub fn start(setup: Setup) -> io::Result<Server> {
        let listener =
            TcpListener::bind(setup.listen.unwrap_or_else(|| ([127, 0, 0, 1], 0).into()))?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            domain: setup.domain,
            users: setup.users,
            tls: setup.tls,
            fault: Mutex::default(),
            book: Mutex::default(),
            sessions: Mutex::default(),
            open: Mutex::default(),
            next: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        let own = shared.clone();
        thread::spawn(move || {
            for socket in listener.incoming() {
                if own.stop.load(Relaxed) {
                    return;
                }
                let Ok(socket) = socket else { continue };
                let shared = own.clone();
                thread::spawn(move || shared.serve(socket));
            }
        });
        Ok(Server { addr, shared })
    }

    /// From now on it has this fault.
    pub fn fault(&self, fault: Fault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Looks into its books.
    pub fn book<T>(&self, look: impl FnOnce(&Book) -> T) -> T {
        look(&lock(&self.shared.book))
    }

    /// Sessions that are open.
    pub fn sessions(&self) -> usize {
        lock(&self.shared.sessions).len()
    }

    /// Dies: all its connections are reset, and new ones are refused.
    pub fn die(&self) {
        self.shared.stop.store(true, Relaxed);
        let _ = TcpStream::connect(self.addr);
        for socket in lock(&self.shared.open).values() {
            let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.die();
    }
}

fn header(domain: &str, id: u64) -> String {
    format!(
        "<?xml version='1.0'?><stream:stream xmlns='{NS_CLIENT}' xmlns:stream='{NS_STREAMS}' id='lab{id}' \
         from='{domain}' version='1.0'>"
    )
}

/// The attributes of an answer to a stanza.
fn back(e: &Element, kind: &str, domain: &str) -> String {
    let id = e
        .get("id")
        .map(|id| format!(" id='{}'", escaped(id)))
        .unwrap_or_default();
    let from = e.get("to").unwrap_or(domain);
    format!("type='{kind}'{id} from='{}'", escaped(from))
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('\'', "&apos;")
}

impl Shared {
    fn fault(&self) -> Fault {
        *lock(&self.fault)
    }

    fn serve(&self, socket: TcpStream) {
        let number = self.next.fetch_add(1, Relaxed);
        if self.fault() == Fault::Reset {
            let _ = socket2::SockRef::from(&socket).set_linger(Some(Duration::ZERO));
            return;
        }
        let Ok(kept) = socket.try_clone() else { return };
        lock(&self.open).insert(number, kept);
        let _ = socket.set_read_timeout(Some(Duration::from_secs(120)));
        let mut first = [0];
        if socket.peek(&mut first).is_ok_and(|n| n > 0) {
            lock(&self.book).opened.push(Instant::now());
        }
        let mut stream = Stream::new(socket);
        let mut who = String::new();
        let result = self.talk(&mut stream, number, &mut who);
        if result.is_err() && stream.half() {
            lock(&self.book).halves += 1;
        }
        lock(&self.sessions).remove(&format!("{who}/{number}"));
        stream.close();
        lock(&self.open).remove(&number);
    }

    fn element(&self, stream: &mut Stream) -> io::Result<Element> {
        match stream.unit()? {
            (Unit::Element(e), _) => Ok(e),
            (Unit::End, _) => Err(ErrorKind::UnexpectedEof.into()),
            _ => Err(ErrorKind::InvalidData.into()),
        }
    }

    fn talk(&self, stream: &mut Stream, number: u64, who: &mut String) -> io::Result<()> {
        if self.fault() == Fault::Silent {
            return stream
                .next_within(Duration::from_secs(60))
                .and_then(|_| stream.unit())
                .map(drop);
        }
        stream.unit()?;
        stream.send(&header(&self.domain, number))?;
        if self.fault() == Fault::Refuse {
            return self.error(stream, "resource-constraint");
        }
        if let Some(tls) = &self.tls {
            let offer = format!(
                "<stream:features><starttls xmlns='{NS_TLS}'><required/></starttls></stream:features>"
            );
            stream.send(&offer)?;
            if !self.element(stream)?.is(NS_TLS, "starttls") {
                return self.error(stream, "policy-violation");
            }
            stream.send(&format!("<proceed xmlns='{NS_TLS}'/>"))?;
            stream.secure_server(tls)?;
            stream.unit()?;
            stream.send(&header(&self.domain, number))?;
        }
        stream.send(&format!(
            "<stream:features><mechanisms xmlns='{NS_SASL}'><mechanism>SCRAM-SHA-256</mechanism>\
             <mechanism>SCRAM-SHA-1</mechanism><mechanism>PLAIN</mechanism></mechanisms></stream:features>"
        ))?;
        let user = loop {
            match self.login(stream)? {
                Some(user) => break user,
                None => stream.send(&format!(
                    "<failure xmlns='{NS_SASL}'><not-authorized/></failure>"
                ))?,
            }
        };
        *who = user;
        lock(&self.book).let_in.push((Instant::now(), who.clone()));
        if self.fault() == Fault::EndAfterSuccess {
            return Ok(());
        }
        stream.restart();
        stream.unit()?;
        stream.send(&header(&self.domain, number))?;
        stream.send(&format!(
            "<stream:features><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/>\
             <sm xmlns='{NS_SM}'/></stream:features>"
        ))?;
        self.session(stream, number, who)
    }

    fn error(&self, stream: &mut Stream, condition: &str) -> io::Result<()> {
        stream.send(&format!(
            "<stream:error><{condition} xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></stream:error></stream:stream>"
        ))
    }

    fn password(&self, user: &str) -> Option<String> {
        if self.users.is_empty() {
            return Some(user.to_string());
        }
        self.users.get(user).cloned()
    }

    /// Hears one `<auth/>` to its end; none where it fails.
    fn login(&self, stream: &mut Stream) -> io::Result<Option<String>> {
        let auth = self.element(stream)?;
        if !auth.is(NS_SASL, "auth") {
            return Err(ErrorKind::InvalidData.into());
        }
        if self.fault() == Fault::Later {
            stream.send(&format!(
                "<failure xmlns='{NS_SASL}'><temporary-auth-failure/></failure>"
            ))?;
            return Err(ErrorKind::ConnectionAborted.into());
        }
        let decoded = |e: &Element| {
            let bytes = BASE64_STANDARD.decode(e.text.trim()).unwrap_or_default();
            String::from_utf8(bytes).unwrap_or_default()
        };
        let (mechanism, message) = (auth.get("mechanism").unwrap_or_default(), decoded(&auth));
        let Some(hash) = Hash::of(mechanism) else {
            let parts: Vec<&str> = message.split('\0').collect();
            let [_, user, password] = parts[..] else {
                return Ok(None);
            };
            let good = mechanism == "PLAIN" && self.password(user).as_deref() == Some(password);
            if good {
                stream.send(&format!("<success xmlns='{NS_SASL}'/>"))?;
            }
            return Ok(good.then(|| user.to_string()));
        };
        let Some(scram) = Scram::new(hash, &message) else {
            return Ok(None);
        };
        let challenge = BASE64_STANDARD.encode(scram.challenge());
        stream.send(&format!(
            "<challenge xmlns='{NS_SASL}'>{challenge}</challenge>"
        ))?;
        match self.fault() {
            Fault::BreakSasl => return Err(ErrorKind::ConnectionAborted.into()),
            Fault::SilentSasl => {
                stream.unit()?;
                return stream.unit().and(Ok(None));
            }
            _ => {}
        }
        let response = decoded(&self.element(stream)?);
        let last = self
            .password(&scram.user)
            .and_then(|password| scram.verify(&response, &password));
        if let Some(last) = &last {
            let last = BASE64_STANDARD.encode(last);
            stream.send(&format!("<success xmlns='{NS_SASL}'>{last}</success>"))?;
        }
        Ok(last.map(|_| scram.user))
    }

    /// Sends a stanza, with the fault that long ones may have.
    fn send(&self, stream: &mut Stream, text: &str) -> io::Result<()> {
        let half = text.len() / 2;
        match self.fault() {
            Fault::Stall(ms) if text.len() > 4096 => {
                stream.send_bytes(&text.as_bytes()[..half])?;
                thread::sleep(Duration::from_millis(ms));
                stream.send_bytes(&text.as_bytes()[half..])
            }
            Fault::Cut if text.len() > 4096 => {
                stream.send_bytes(&text.as_bytes()[..half])?;
                let _ = socket2::SockRef::from(stream.socket()).set_linger(Some(Duration::ZERO));
                Err(ErrorKind::ConnectionReset.into())
            }
            _ => stream.send(text),
        }
    }

    fn session(&self, stream: &mut Stream, number: u64, who: &str) -> io::Result<()> {
        let (mut counted, mut counting) = (0u64, false);
        // What other sessions have for this one.
        let mailbox = Arc::new(Mutex::new(Vec::new()));
        lock(&self.sessions).insert(format!("{who}/{number}"), mailbox.clone());
        let mut full = format!("{who}@{}", self.domain);
        loop {
            let waits = std::mem::take(&mut *lock(&mailbox));
            if !waits.is_empty() {
                stream.send_bytes(&waits)?;
            }
            let (unit, _) = match stream.next_within(Duration::from_millis(50)) {
                Ok(Some(unit)) => unit,
                Ok(None) => continue,
                Err(e) => return Err(e),
            };
            let Unit::Element(e) = unit else {
                lock(&self.book).closed += 1;
                return stream.send("</stream:stream>");
            };
            counted += u64::from(counting && e.ns == NS_CLIENT);
            match (e.ns.as_str(), e.name.as_str()) {
                (NS_SM, "enable") => {
                    counting = true;
                    stream.send(&format!("<enabled xmlns='{NS_SM}'/>"))?;
                }
                (NS_SM, "r") => stream.send(&format!("<a xmlns='{NS_SM}' h='{counted}'/>"))?,
                (NS_CLIENT, "iq") if matches!(e.get("type"), Some("get" | "set")) => {
                    let inner = match e.children.first() {
                        Some(c) if c.name == "bind" => {
                            let wanted = c
                                .children
                                .first()
                                .map(|r| r.text.clone())
                                .filter(|r| !r.is_empty());
                            full = format!(
                                "{who}@{}/{}",
                                self.domain,
                                wanted.unwrap_or(format!("lab{number}"))
                            );
                            format!(
                                "<bind xmlns='{}'><jid>{}</jid></bind>",
                                c.ns,
                                escaped(&full)
                            )
                        }
                        Some(c) if c.name == "query" => {
                            format!("<query xmlns='{}'/>", escaped(&c.ns))
                        }
                        _ => String::new(),
                    };
                    stream.send(&format!(
                        "<iq {}>{inner}</iq>",
                        back(&e, "result", &self.domain)
                    ))?;
                }
                (NS_CLIENT, "message") => {
                    if let Some(n) = e.get("id").and_then(|id| id.parse().ok()) {
                        lock(&self.book)
                            .received
                            .entry(who.to_string())
                            .or_default()
                            .push(n);
                    }
                    self.deliver(stream, &e, &full)?;
                }
                (NS_CLIENT, _) => {}
                _ => return self.error(stream, "unsupported-stanza-type"),
            }
        }
    }

    /// A message for another session here goes there; any other comes back.
    fn deliver(&self, stream: &mut Stream, e: &Element, from: &str) -> io::Result<()> {
        let body = e
            .child(NS_CLIENT, "body")
            .map(|b| escaped(&b.text))
            .unwrap_or_default();
        let id = e
            .get("id")
            .map(|id| format!(" id='{}'", escaped(id)))
            .unwrap_or_default();
        let to = e
            .get("to")
            .and_then(|to| to.split('@').next())
            .unwrap_or_default();
        let own = from.starts_with(&format!("{to}@"));
        if let (false, Some((_, mailbox))) = (
            own,
            lock(&self.sessions)
                .iter()
                .find(|(name, _)| name.starts_with(&format!("{to}/"))),
        ) {
            let text = format!(
                "<message from='{}'{id}><body>{body}</body></message>",
                escaped(from)
            );
            lock(mailbox).extend_from_slice(text.as_bytes());
            return Ok(());
        }
        self.send(
            stream,
            &format!(
                "<message {}><body>{body}</body></message>",
                back(e, "chat", &self.domain)
            ),
        )
    }
}
