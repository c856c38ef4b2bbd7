//! A scripted XMPP client: logs in, counts what it sends (XEP-0198), and comes again when it is sent away.

use crate::scram::{Client as Scram, Hash};
use crate::stream::Stream;
use base64::prelude::{Engine, BASE64_STANDARD};
use jaspermoor::protocol::xmpp::frame::{
    Element, Unit, NS_CLIENT, NS_SASL, NS_SM, NS_STREAMS, NS_TLS,
};
use rustls::ClientConfig;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Who logs in, and where.
#[derive(Clone)]
pub struct Login {
    /// The relay, or a server.
    pub addr: SocketAddr,
    /// The domain.
    pub domain: String,
    /// The local part.
    pub user: String,
    /// The password.
    pub password: String,
    /// `PLAIN`, `SCRAM-SHA-1` or `SCRAM-SHA-256`.
    pub mechanism: String,
    /// TLS; none for a server in clear.
    pub tls: Option<Arc<ClientConfig>>,
    /// Whether TLS stands from the first byte.
    pub direct: bool,
}

/// The one answer that a session had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is let in.
    Success,
    /// The server's own failure: its condition.
    Failure(String),
    /// A stream error: its condition, and after how many milliseconds to come again where that is said.
    Error(String, Option<u64>),
}

/// How a try ended before its answer.
#[derive(Debug)]
pub enum Broke {
    /// The relay's answer that is no success.
    Answered(Answer),
    /// The link broke without a word.
    Link(io::Error),
}

impl From<io::Error> for Broke {
    fn from(e: io::Error) -> Broke {
        Broke::Link(e)
    }
}

/// A client's header.
pub fn header(domain: &str, from: Option<&str>) -> String {
    let from = from
        .map(|from| format!(" from='{from}'"))
        .unwrap_or_default();
    format!(
        "<?xml version='1.0'?><stream:stream xmlns='{NS_CLIENT}' xmlns:stream='{NS_STREAMS}' \
         to='{domain}'{from} version='1.0'>"
    )
}

/// A stream error's condition and its advice.
pub fn stream_error(e: &Element) -> Answer {
    let condition = e
        .children
        .first()
        .map(|c| c.name.clone())
        .unwrap_or_default();
    let wait = e
        .children
        .iter()
        .find_map(|c| c.get("after-ms")?.parse().ok());
    Answer::Error(condition, wait)
}

impl Login {
    /// A user of this domain whose password is its name.
    pub fn new(
        addr: SocketAddr,
        domain: &str,
        user: &str,
        tls: Option<Arc<ClientConfig>>,
    ) -> Login {
        let (mechanism, direct) = ("SCRAM-SHA-256".into(), false);
        let (domain, user) = (domain.to_string(), user.to_string());
        Login {
            addr,
            domain,
            password: user.clone(),
            user,
            mechanism,
            tls,
            direct,
        }
    }

    /// A stream up to the features that offer SASL.
    pub fn connect(&self) -> Result<Stream, Broke> {
        let socket = TcpStream::connect_timeout(&self.addr, Duration::from_secs(5))?;
        socket.set_read_timeout(Some(crate::PATIENCE))?;
        socket.set_write_timeout(Some(crate::PATIENCE))?;
        let mut stream = Stream::new(socket);
        if let Some(tls) = &self.tls {
            if !self.direct {
                stream.send(&header(&self.domain, None))?;
                expect(&mut stream)?;
                let features = element(&mut stream)?;
                if features.child(NS_TLS, "starttls").is_none() {
                    return Err(io::Error::other("no STARTTLS is offered").into());
                }
                stream.send(&format!("<starttls xmlns='{NS_TLS}'/>"))?;
                if !element(&mut stream)?.is(NS_TLS, "proceed") {
                    return Err(io::Error::other("no TLS").into());
                }
            }
            stream.secure(tls, &self.domain)?;
        }
        let from = format!("{}@{}", self.user, self.domain);
        stream.send(&header(&self.domain, Some(&from)))?;
        expect(&mut stream)?;
        if element(&mut stream)?.child(NS_SASL, "mechanisms").is_none() {
            return Err(io::Error::other("no SASL is offered").into());
        }
        Ok(stream)
    }

    /// SASL on a stream that offers it, up to the one answer.
    pub fn authenticate(&self, stream: &mut Stream) -> Result<(), Broke> {
        let mut scram =
            Hash::of(&self.mechanism).map(|hash| Scram::new(hash, &self.user, &self.password));
        let first = match &scram {
            Some(scram) => scram.first(),
            None => format!("\0{}\0{}", self.user, self.password),
        };
        let first = BASE64_STANDARD.encode(first);
        stream.send(&format!(
            "<auth xmlns='{NS_SASL}' mechanism='{}'>{first}</auth>",
            self.mechanism
        ))?;
        loop {
            let e = element(stream)?;
            let bytes = BASE64_STANDARD.decode(e.text.trim()).unwrap_or_default();
            let text = String::from_utf8(bytes).unwrap_or_default();
            match (e.ns.as_str(), e.name.as_str(), &mut scram) {
                (NS_SASL, "challenge", Some(scram)) => {
                    let answer = scram
                        .answer(&text)
                        .ok_or(io::Error::other("the challenge is not ours"))?;
                    stream.send(&format!(
                        "<response xmlns='{NS_SASL}'>{}</response>",
                        BASE64_STANDARD.encode(answer)
                    ))?;
                }
                (NS_SASL, "success", scram) => {
                    if scram.as_ref().is_some_and(|scram| !scram.verified(&text)) {
                        return Err(
                            io::Error::other("the server does not know the password").into()
                        );
                    }
                    stream.restart();
                    return Ok(());
                }
                (NS_SASL, "failure", _) => {
                    let condition = e
                        .children
                        .first()
                        .map(|c| c.name.clone())
                        .unwrap_or_default();
                    return Err(Broke::Answered(Answer::Failure(condition)));
                }
                _ => return Err(io::Error::other(format!("<{}/> in SASL", e.name)).into()),
            }
        }
    }

    /// The whole way to a session that may send stanzas.
    pub fn open(&self) -> Result<Stream, Broke> {
        let mut stream = self.connect()?;
        self.authenticate(&mut stream)?;
        self.bind(&mut stream)?;
        Ok(stream)
    }

    /// The new stream behind the success, and its resource.
    pub fn bind(&self, stream: &mut Stream) -> Result<(), Broke> {
        stream.send(&header(&self.domain, None))?;
        expect(stream)?;
        element(stream)?;
        stream.send(
            "<iq type='set' id='bind'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>\
             <enable xmlns='urn:xmpp:sm:3'/>",
        )?;
        let bound = element(stream)?;
        if bound.get("type") != Some("result") || !element(stream)?.is(NS_SM, "enabled") {
            return Err(io::Error::other("no session").into());
        }
        Ok(())
    }
}

/// The next header.
fn expect(stream: &mut Stream) -> Result<(), Broke> {
    match stream.unit()? {
        (Unit::Header(_), _) => Ok(()),
        (unit, _) => Err(io::Error::other(format!("{unit:?} in place of a header")).into()),
    }
}

/// The next element, a stream error told apart.
pub fn element(stream: &mut Stream) -> Result<Element, Broke> {
    match stream.unit()? {
        (Unit::Element(e), _) if e.is(NS_STREAMS, "error") => {
            Err(Broke::Answered(stream_error(&e)))
        }
        (Unit::Element(e), _) => Ok(e),
        (_, _) => Err(io::Error::from(ErrorKind::UnexpectedEof).into()),
    }
}

/// What a client of a script has seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Each answer, and how long it took from `<auth/>`.
    pub answers: Vec<(Answer, Duration)>,
    /// How often each number came back.
    pub echoes: BTreeMap<u64, u32>,
    /// How often it was moved: sent away with a stream error between two stanzas.
    pub moved: u32,
    /// Ends in the middle of a stanza, or without a word.
    pub cut: Vec<String>,
    /// Whether all was sent, acknowledged and answered.
    pub done: bool,
}

/// What a client does: sends numbered messages, each with a request for acknowledgement, and comes again with
/// what has not been acknowledged.
#[derive(Clone)]
pub struct Script {
    /// Who.
    pub login: Login,
    /// How many messages.
    pub messages: u64,
    /// The pause between two.
    pub pause: Duration,
    /// Characters of each body.
    pub size: usize,
    /// When it gives up.
    pub limit: Duration,
    /// Its session stays up until this is set, also once all messages are through; none ends it then.
    pub released: Option<Arc<AtomicBool>>,
}

impl Script {
    /// Runs it to its end.
    pub fn run(&self) -> Seen {
        let end = Instant::now() + self.limit;
        let mut seen = Seen::default();
        // Numbers not sent yet, and those sent that are not acknowledged.
        let mut next = 1;
        let mut unsure: VecDeque<u64> = VecDeque::new();
        while Instant::now() < end && !seen.done {
            let mut stream = match self.login.connect() {
                Ok(stream) => stream,
                Err(e) => {
                    seen.cut.push(format!("before <auth/>: {e:?}"));
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                }
            };
            let asked = Instant::now();
            match self.login.authenticate(&mut stream) {
                Ok(()) => seen.answers.push((Answer::Success, asked.elapsed())),
                Err(Broke::Answered(answer)) => {
                    let wait = match &answer {
                        Answer::Error(_, wait) => wait.unwrap_or(50),
                        _ => 50,
                    };
                    seen.answers.push((answer, asked.elapsed()));
                    std::thread::sleep(Duration::from_millis(wait));
                    continue;
                }
                Err(Broke::Link(e)) => {
                    seen.cut.push(format!("no answer to <auth/>: {e}"));
                    continue;
                }
            }
            match self.talk(&mut stream, &mut seen, &mut next, &mut unsure, end) {
                Ok(()) => {}
                Err(Broke::Answered(_)) => {
                    seen.moved += 1;
                    stream.close();
                }
                Err(Broke::Link(e)) => {
                    let half = if stream.half() {
                        "in a stanza"
                    } else {
                        "without a word"
                    };
                    seen.cut.push(format!("{half}: {e}"));
                }
            }
        }
        seen
    }

    fn talk(
        &self,
        stream: &mut Stream,
        seen: &mut Seen,
        next: &mut u64,
        unsure: &mut VecDeque<u64>,
        end: Instant,
    ) -> Result<(), Broke> {
        self.login.bind(stream)?;
        // On a new stream the count begins anew: with what was not acknowledged, in its order.
        let (mut again, mut acknowledged) = (unsure.clone(), 0);
        let mut due = Instant::now();
        while Instant::now() < end {
            let all = *next > self.messages
                && unsure.is_empty()
                && seen.echoes.len() as u64 == self.messages;
            let released = self.released.as_ref().is_none_or(|r| r.load(Relaxed));
            if all && released {
                seen.done = true;
                stream.send("</stream:stream>")?;
                while !matches!(stream.unit(), Ok((Unit::End, _)) | Err(_)) {}
                stream.close();
                return Ok(());
            }
            if Instant::now() >= due {
                due = Instant::now() + self.pause;
                let number = again
                    .pop_front()
                    .or_else(|| (*next <= self.messages).then_some(*next));
                if let Some(n) = number {
                    if n == *next {
                        *next += 1;
                        unsure.push_back(n);
                    }
                    let body = "x".repeat(self.size);
                    stream.send(&format!(
                        "<message to='{}@{}' id='{n}'><body>{body}</body></message><r xmlns='{NS_SM}'/>",
                        self.login.user, self.login.domain
                    ))?;
                }
            }
            let wait = due
                .saturating_duration_since(Instant::now())
                .max(Duration::from_millis(1));
            let unit = match stream.next_within(wait)? {
                Some((Unit::Element(e), _)) => e,
                Some((Unit::End, _)) => {
                    return Err(io::Error::other("an end without a reason").into())
                }
                _ => continue,
            };
            match (unit.ns.as_str(), unit.name.as_str()) {
                (NS_STREAMS, "error") => return Err(Broke::Answered(stream_error(&unit))),
                (NS_SM, "a") => {
                    let h: u64 = unit.get("h").and_then(|h| h.parse().ok()).unwrap_or(0);
                    while acknowledged < h && !unsure.is_empty() {
                        unsure.pop_front();
                        acknowledged += 1;
                    }
                }
                (NS_CLIENT, "message") => {
                    if let Some(n) = unit.get("id").and_then(|id| id.parse().ok()) {
                        *seen.echoes.entry(n).or_default() += 1;
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }
}
