//! Stand-ins for XMPP: a server in clear whose SASL takes any response, and a client under TLS.

use crate::kit::{Entry, Record};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::{ClientConfig, ClientConnection, DigitallySignedStruct, SignatureScheme, StreamOwned};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const DOMAIN: &str = "hazri1.example.org";
const NS_SASL: &str = "urn:ietf:params:xml:ns:xmpp-sasl";
const NS_CLIENT: &str = "jabber:client";
const NS_STREAMS: &str = "http://etherx.jabber.org/streams";

/// A stream's header with this prefix for the namespace of streams, and these attributes.
fn header(prefix: &str, attributes: &str) -> String {
    format!(
        "<?xml version='1.0'?><{prefix}:stream xmlns='{NS_CLIENT}' xmlns:{prefix}='{NS_STREAMS}' \
         {attributes} version='1.0'>"
    )
}

/// Reads until one of these texts has come; all that came by then.
fn read_up_to(from: &mut impl Read, ends: &[&str]) -> io::Result<String> {
    let mut all = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&all);
        if ends.iter().any(|end| text.contains(end)) {
            return Ok(text.into_owned());
        }
        let mut buffer = [0; 4096];
        match from.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => all.extend_from_slice(&buffer[..n]),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = (0..3).fold(0, |word, n| {
            word << 8 | u32::from(*group.get(n).unwrap_or(&0))
        });
        for n in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * n)) as usize & 63];
            text.push(if n <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

/// An XMPP server: challenge, success, and then an open stream on which nothing is sent.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    /// The prefix that it uses for the namespace of streams; RFC 6120, 4.8.5, leaves it free.
    prefix: &'static str,
    /// Streams in the middle of SASL, with the ids of their users.
    negotiating: Mutex<Vec<(String, TcpStream)>>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(record: &Arc<Record>, id: &str, prefix: &'static str) -> io::Result<Arc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Server {
            id: id.to_string(),
            addr: listener.local_addr()?,
            prefix,
            negotiating: Mutex::default(),
            record: record.clone(),
        });
        let shared = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        Ok(server)
    }

    pub fn entry(&self, state: &'static str) -> Entry {
        Entry {
            id: self.id.clone(),
            addr: self.addr,
            state,
        }
    }

    /// Ends the streams that are in the middle of SASL, as RFC 6120, 4.4, says: the closing tag,
    /// then the connection.
    pub fn end_negotiations(&self) -> usize {
        let negotiating = std::mem::take(&mut *self.negotiating.lock().unwrap());
        for (user, stream) in &negotiating {
            self.record.line(format!(
                "{}: ends the stream of {user} in the middle of SASL",
                self.id
            ));
            let mut out = stream;
            let _ = out.write_all(format!("</{}:stream>", self.prefix).as_bytes());
            let _ = stream.shutdown(Shutdown::Both);
        }
        negotiating.len()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut input, mut out) = (&stream, &stream);
        let prefix = self.prefix;
        let header = header(prefix, &format!("id='x1' from='{DOMAIN}'"));
        let opened = read_up_to(&mut input, &["version='1.0'>"])?;
        let user = opened
            .split("from='")
            .nth(1)
            .and_then(|rest| rest.split('@').next());
        let user = user.unwrap_or("somebody").to_string();
        let mechanisms = format!(
            "<{prefix}:features><mechanisms xmlns='{NS_SASL}'><mechanism>SCRAM-SHA-256</mechanism></mechanisms></{prefix}:features>"
        );
        out.write_all((header.clone() + &mechanisms).as_bytes())?;
        read_up_to(&mut input, &["</auth>"])?;
        self.record
            .line(format!("{}: <auth/> of {user}, sends a challenge", self.id));
        self.negotiating
            .lock()
            .unwrap()
            .push((user.clone(), stream.try_clone()?));
        let challenge = base64(b"r=abcdef,s=QUFBQQ==,i=4096");
        out.write_all(format!("<challenge xmlns='{NS_SASL}'>{challenge}</challenge>").as_bytes())?;
        read_up_to(&mut input, &["</response>"])?;
        let mut negotiating = self.negotiating.lock().unwrap();
        let before = negotiating.len();
        negotiating.retain(|(other, _)| *other != user);
        if negotiating.len() == before {
            return Ok(());
        }
        drop(negotiating);
        self.record.line(format!("{}: success of {user}", self.id));
        out.write_all(format!("<success xmlns='{NS_SASL}'/>").as_bytes())?;
        read_up_to(&mut input, &["version='1.0'>"])?;
        out.write_all(format!("{header}<{prefix}:features/>").as_bytes())?;
        loop {
            let mut buffer = [0; 4096];
            if input.read(&mut buffer)? == 0 {
                return Ok(());
            }
        }
    }
}

/// Takes any certificate: the stand-in server of these plays is the relay itself.
#[derive(Debug)]
struct AnyCertificate(Arc<rustls::crypto::CryptoProvider>);

impl ServerCertVerifier for AnyCertificate {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Ok(HandshakeSignatureValid::assertion())
    }

    fn verify_tls13_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Ok(HandshakeSignatureValid::assertion())
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

/// What a client was answered: the one answer of its session.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Success,
    /// The server's failure, or a stream error.
    Refused(String),
    /// The connection was ended without any of these; what came instead.
    NoAnswer(String),
    /// None of these, and no end, in the time.
    Nothing,
}

/// A client's session under TLS from the first byte.
pub struct Session {
    stream: StreamOwned<ClientConnection, TcpStream>,
}

impl Session {
    /// Connects to the relay and opens a stream, up to the offer of SASL.
    pub fn open(addr: SocketAddr, user: &str) -> io::Result<Session> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(io::Error::other)?
            .dangerous()
            .with_custom_certificate_verifier(Arc::new(AnyCertificate(provider)))
            .with_no_client_auth();
        let name = ServerName::try_from(DOMAIN).map_err(io::Error::other)?;
        let tls = ClientConnection::new(Arc::new(config), name).map_err(io::Error::other)?;
        let socket = TcpStream::connect_timeout(&addr, Duration::from_secs(5))?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut stream = StreamOwned::new(tls, socket);
        let attributes = format!("to='{DOMAIN}' from='{user}@{DOMAIN}'");
        let header = header("stream", &attributes);
        stream.write_all(header.as_bytes())?;
        read_up_to(&mut stream, &["</stream:features>"])?;
        Ok(Session { stream })
    }

    /// Asks for a session with `<auth/>`, answers the challenge after `thinks`, and reads the one
    /// answer, for which it waits until `patience` after `<auth/>`.
    pub fn authenticate(&mut self, user: &str, thinks: Duration, patience: Duration) -> Answer {
        let initial = base64(format!("n,,n={user},r=abc").as_bytes());
        let auth = format!("<auth xmlns='{NS_SASL}' mechanism='SCRAM-SHA-256'>{initial}</auth>");
        if self.stream.write_all(auth.as_bytes()).is_err() {
            return Answer::NoAnswer("the connection broke at <auth/>".into());
        }
        let end = Instant::now() + patience;
        let mut received = String::new();
        let mut has_responded = false;
        let mut responds_at = None;
        loop {
            for condition in ["<failure", "<stream:error"] {
                if let Some(at) = received.find(condition) {
                    return Answer::Refused(received[at..].chars().take(120).collect());
                }
            }
            if received.contains("<success") {
                return Answer::Success;
            }
            let now = Instant::now();
            if now >= end {
                return Answer::Nothing;
            }
            if responds_at.is_none() && received.contains("</challenge>") {
                received.clear();
                responds_at = Some(now + thinks);
            }
            if !has_responded && responds_at.is_some_and(|at| now >= at) {
                has_responded = true;
                let response = base64(b"c=biws,r=abcdef,p=QUFBQQ==");
                let text = format!("<response xmlns='{NS_SASL}'>{response}</response>");
                let _ = self.stream.write_all(text.as_bytes());
            }
            let wait = match responds_at.filter(|_| !has_responded) {
                Some(at) => at.min(end),
                None => end,
            };
            let wait = wait
                .saturating_duration_since(now)
                .max(Duration::from_millis(1));
            let _ = self.stream.sock.set_read_timeout(Some(wait));
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(n) if n > 0 => received += &String::from_utf8_lossy(&buffer[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ => return Answer::NoAnswer(received),
            }
        }
    }
}
