//! TLS for the stand-in client: it trusts the authority beside this file and no other.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;

/// The domain of the certificate.
pub const DOMAIN: &str = "xmpp.example.org";
pub const CERTIFICATE: &str = include_str!("../certs/relay.pem");
pub const KEY: &str = include_str!("../certs/relay.key");
const AUTHORITY: &[u8] = include_bytes!("../certs/ca.pem");

fn other(e: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    io::Error::other(e)
}

/// A TLS connection over this socket, after its handshake.
pub fn connect(stream: &mut TcpStream) -> io::Result<ClientConnection> {
    let mut roots = RootCertStore::empty();
    let authority = CertificateDer::from_pem_slice(AUTHORITY).map_err(other)?;
    roots.add(authority).map_err(other)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(other)?
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = ServerName::try_from(DOMAIN).map_err(other)?;
    let mut tls = ClientConnection::new(Arc::new(config), name).map_err(other)?;
    while tls.is_handshaking() {
        tls.complete_io(stream)?;
    }
    tls.complete_io(stream).or_else(|e| match e.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Ok((0, 0)),
        _ => Err(e),
    })?;
    Ok(tls)
}

/// Reads until the received text contains one of these words; returns all of it.
pub fn read_until(from: &mut impl Read, words: &[&str]) -> io::Result<String> {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let n = from.read(&mut buffer)?;
        text.extend_from_slice(&buffer[..n]);
        let so_far = String::from_utf8_lossy(&text).into_owned();
        if words.iter().any(|word| so_far.contains(word)) {
            return Ok(so_far);
        }
        if n == 0 {
            return Err(io::Error::other(format!("the end after: {so_far}")));
        }
    }
}

/// A STARTTLS handshake of an XMPP client (RFC 6120, 5.4): the socket and its TLS.
pub fn start_tls(relay: std::net::SocketAddr) -> io::Result<(TcpStream, ClientConnection)> {
    let mut stream = TcpStream::connect(relay)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(std::time::Duration::from_secs(10)))?;
    stream.write_all(header("").as_bytes())?;
    read_until(&mut stream, &["</stream:features>"])?;
    stream.write_all(b"<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>")?;
    read_until(&mut stream, &["<proceed"])?;
    let tls = connect(&mut stream)?;
    Ok((stream, tls))
}

/// A client's stream header, with these further attributes.
pub fn header(more: &str) -> String {
    format!(
        "<?xml version='1.0'?><stream:stream xmlns='jabber:client' \
         xmlns:stream='http://etherx.jabber.org/streams' to='{DOMAIN}'{more} version='1.0'>"
    )
}
