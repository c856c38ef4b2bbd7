//! Memory of the relay beside hundreds of clients that send much, slowly or in very many small parts,
//! and stop half-way, on real sockets.

#[allow(dead_code)]
mod peers;

use jaspermoor::protocol::xmpp::frame::{NS_SASL, NS_TLS};
use jaspermoor_lab::demo::{Xmpp, DOMAIN};
use jaspermoor_lab::stream::Stream;
use jaspermoor_lab::xmpp_client::header;
use rustls::crypto::cipher::{OutboundChunks, OutboundPlainMessage};
use rustls::{
    ClientConnection, ConnectionTrafficSecrets, ContentType, ProtocolVersion, SupportedCipherSuite,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};

/// The limit of the relay's memory in these tests, in MiB.
const LIMIT_MIB: u64 = 48;
/// The limit where usual sessions take their share of it.
const SESSIONS_LIMIT_MIB: u64 = 32;
/// Usual sessions beside the others.
const SESSIONS: usize = 300;
/// Clients at a time.
const CLIENTS: usize = 300;

fn start_xmpp(name: &str) -> Xmpp {
    start_xmpp_with(name, LIMIT_MIB)
}

fn new_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("memory-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

fn start_xmpp_with(name: &str, limit_mib: u64) -> Xmpp {
    let dir = new_dir(name);
    let program = Path::new(env!("CARGO_BIN_EXE_jaspermoor"));
    let limit = format!("\"memory_mb\": {limit_mib}");
    Xmpp::start(program, &dir, 1, |setup| {
        setup
            .replace
            .push(("\"memory_mb\": 192".into(), limit.clone()));
    })
    .unwrap()
}

/// The part of an element before its login that a client sends, and then stops.
fn half_elements() -> [(&'static str, String); 4] {
    let attributes: String = (0..1_100).map(|n| format!(" a{n}=''")).collect();
    let few_attributes: String = (0..60).map(|n| format!(" a{n}=''")).collect();
    let auth = format!("<auth xmlns='{NS_SASL}'");
    [
        ("elements", format!("{auth}>{}", "<a/>".repeat(2_400))),
        ("attributes", format!("{auth}{attributes}")),
        (
            "both",
            format!("{auth}>{}", format!("<b{few_attributes}/>").repeat(23)),
        ),
        ("text", format!("{auth}>{}", "x".repeat(9_000))),
    ]
}

/// Guards against a process that is killed for its memory: hundreds of clients stopped, before their
/// login, in an element of very many short parts.
#[test]
fn hundreds_of_xmpp_clients_that_stop_in_an_element_of_short_parts_fit_the_memory() {
    for (name, half) in half_elements() {
        let site = start_xmpp(name);
        let connect = |n| {
            let login = site.login(&format!("u{n}"));
            login.connect().unwrap_or_else(|e| panic!("{e:?}"))
        };
        let mut clients: Vec<Stream> = (0..CLIENTS).map(connect).collect();
        for client in &mut clients {
            // Refused while it is sent, or read whole.
            let _ = client.send(&half);
        }
        // Each step of this login is read behind what the others have sent before it.
        site.login("ali").open().unwrap_or_else(|e| panic!("{e:?}"));
        let memory = site.relay.memory_kib();
        assert!(memory < LIMIT_MIB * 1024, "{name}: {memory} KiB");
    }
}

/// The same for the line protocol, with half and whole lines of very many short fields.
#[test]
fn hundreds_of_line_clients_with_very_many_short_fields_fit_the_memory() {
    let fleet = peers::Fleet::new(&["s-1"]);
    let limit = format!("\"memory_mb\":{LIMIT_MIB}");
    let config = fleet
        .config(fleet.discovery.addr())
        .replace("\"memory_mb\":192", &limit);
    let relay = peers::Relay::start(&config, None);
    let fields: String = (0..560).map(|n| format!(",x{n}=1")).collect();
    for end in ["", "\r\n"] {
        let request = |n| {
            let mut client = relay.client();
            let line = format!("OPEN {n} 7f c=chat,d=60000{fields}{end}");
            client.write(line.as_bytes());
            client
        };
        let _clients: Vec<peers::Peer> = (0..CLIENTS).map(request).collect();
        let mut last = relay.client();
        last.send("PING");
        assert_eq!(last.line(), "PONG");
        let memory = relay.memory_kib();
        assert!(memory < LIMIT_MIB * 1024, "{end:?}: {memory} KiB");
    }
}

/// Reads from a client's socket until this text has come.
fn read_until(socket: &mut TcpStream, text: &str) {
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains(text) {
        let mut piece = [0; 512];
        let n = socket.read(&mut piece).unwrap();
        assert!(n > 0, "closed before {text}");
        received.extend_from_slice(&piece[..n]);
    }
}

/// A client that may begin its TLS handshake now.
fn before_tls(site: &Xmpp) -> TcpStream {
    let mut socket = TcpStream::connect(site.relay.xmpp()).unwrap();
    socket
        .set_read_timeout(Some(jaspermoor_lab::PATIENCE))
        .unwrap();
    socket.write_all(header(DOMAIN, None).as_bytes()).unwrap();
    read_until(&mut socket, "</stream:features>");
    let starttls = format!("<starttls xmlns='{NS_TLS}'/>");
    socket.write_all(starttls.as_bytes()).unwrap();
    read_until(&mut socket, "<proceed");
    socket
}

/// So many bytes of the longest handshake message that TLS libraries take, in records.
fn half_a_message(kind: u8, bytes: usize) -> Vec<u8> {
    const MESSAGE_BYTES: u32 = 65_500;
    const RECORD_BYTES: usize = 16_000;
    let [_, length @ ..] = MESSAGE_BYTES.to_be_bytes();
    let mut message = [&[kind][..], &length].concat();
    message.resize(bytes, 3);
    let record = |part: &[u8]| {
        let length = (part.len() as u16).to_be_bytes();
        [&[0x16, 3, 1][..], &length, part].concat()
    };
    message.chunks(RECORD_BYTES).flat_map(record).collect()
}

/// Sends so many bytes of a handshake message, and stops.
fn half_a_handshake(site: &Xmpp, bytes: usize) -> TcpStream {
    const CLIENT_HELLO: u8 = 1;
    let mut socket = before_tls(site);
    // A relay that has closed the connection takes no more.
    let _ = socket.write_all(&half_a_message(CLIENT_HELLO, bytes));
    socket
}

/// A client behind its TLS handshake. The keys of its connection can be extracted.
fn behind_tls(site: &Xmpp) -> (TcpStream, ClientConnection) {
    let mut socket = before_tls(site);
    let name = DOMAIN.to_string().try_into().unwrap();
    let mut config = site.tls.as_ref().clone();
    config.enable_secret_extraction = true;
    let mut tls = ClientConnection::new(config.into(), name).unwrap();
    while tls.is_handshaking() {
        tls.complete_io(&mut socket).unwrap();
    }
    (socket, tls)
}

/// Sends most of a handshake message behind the TLS handshake, and stops.
fn half_a_late_handshake_message(site: &Xmpp) -> TcpStream {
    const KEY_UPDATE: u8 = 24;
    let (mut socket, tls) = behind_tls(site);
    let Some(SupportedCipherSuite::Tls13(suite)) = tls.negotiated_cipher_suite() else {
        panic!("not TLS 1.3");
    };
    let (sequence, secrets) = tls.dangerous_extract_secrets().unwrap().tx;
    let (ConnectionTrafficSecrets::Aes128Gcm { key, iv }
    | ConnectionTrafficSecrets::Aes256Gcm { key, iv }
    | ConnectionTrafficSecrets::Chacha20Poly1305 { key, iv }) = secrets
    else {
        panic!("unknown cipher");
    };
    let mut encrypter = suite.aead_alg.encrypter(key, iv);
    let message = [vec![KEY_UPDATE, 0, 255, 0], vec![0; 60_000]].concat();
    for (n, part) in message.chunks(16_000).enumerate() {
        let plain = OutboundPlainMessage {
            typ: ContentType::Handshake,
            version: ProtocolVersion::TLSv1_2,
            payload: OutboundChunks::Single(part),
        };
        let record = encrypter.encrypt(plain, sequence + n as u64).unwrap();
        // A relay that has closed the connection takes no more.
        let _ = socket.write_all(&record.encode());
    }
    socket
}

/// Sends most of a record behind its TLS handshake, and stops.
fn half_a_record(site: &Xmpp) -> TcpStream {
    let (mut socket, mut tls) = behind_tls(site);
    tls.writer().write_all(&[b' '; 16_000]).unwrap();
    let mut record = Vec::new();
    tls.write_tls(&mut record).unwrap();
    let _ = socket.write_all(&record[..record.len() - 1]);
    socket
}

/// Guards against a process that is killed for its memory: hundreds of clients stopped in the middle
/// of a TLS handshake or record, or of an element before their login, whose bytes nothing counted.
#[test]
fn hundreds_of_clients_that_stop_before_their_login_fit_the_memory_beside_usual_sessions() {
    type Half = Box<dyn Fn(&Xmpp) -> Box<dyn std::any::Any>>;
    let mut halves: Vec<(&str, Half)> = vec![
        (
            "long-hello",
            Box::new(|site| Box::new(half_a_handshake(site, 65_000))),
        ),
        (
            "hello",
            Box::new(|site| Box::new(half_a_handshake(site, 20_000))),
        ),
        (
            "late-handshake",
            Box::new(|site| Box::new(half_a_late_handshake_message(site))),
        ),
        ("record", Box::new(|site| Box::new(half_a_record(site)))),
    ];
    for (name, half) in half_elements() {
        let send = move |site: &Xmpp| -> Box<dyn std::any::Any> {
            let mut client = site.login("half").connect().unwrap();
            let _ = client.send(&half);
            Box::new(client)
        };
        halves.push((name, Box::new(send)));
    }
    for (name, half) in halves {
        let site = start_xmpp_with(name, SESSIONS_LIMIT_MIB);
        let open = |n| site.login(&format!("s{n}")).open();
        let _sessions: Vec<Stream> = (0..SESSIONS).map(|n| open(n).unwrap()).collect();
        let _clients: Vec<_> = (0..CLIENTS).map(|_| half(&site)).collect();
        let last = site.login("ali").open();
        // It stays to the end, since its session is looked at with the others.
        let _last = last.unwrap_or_else(|e| panic!("{e:?}"));
        let peak = site.relay.peak_memory_kib();
        assert!(peak < SESSIONS_LIMIT_MIB * 1024, "{name}: {peak} KiB");
        let session_ended = |line: &String| line.starts_with("end id=") && !line.contains("id= ");
        let ended = site.relay.lines().into_iter().find(session_ended);
        assert_eq!(ended, None, "{name}");
    }
}
