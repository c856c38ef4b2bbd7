//! A relay before two XMPP servers whose steps the test decides, and one client.

use jaspermoor::protocol::xmpp::frame::{Unit, NS_SASL, NS_TLS};
use jaspermoor_lab::certs::{self, Authority, Valid};
use jaspermoor_lab::demo::{operator, setup, DOMAIN};
use jaspermoor_lab::discovery::{Discovery, Entry};
use jaspermoor_lab::relay::Relay;
use jaspermoor_lab::stream::Stream;
use jaspermoor_lab::until;
use jaspermoor_lab::xmpp_client::{element, header, Login};
use rustls::ServerConfig;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A server whose steps the test decides.
pub struct ScriptedServer(TcpListener);

impl ScriptedServer {
    pub fn new() -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        ScriptedServer(listener)
    }

    pub fn try_accept(&self) -> Option<Stream> {
        let socket = self.0.accept().ok()?.0;
        socket.set_nonblocking(false).unwrap();
        socket
            .set_read_timeout(Some(jaspermoor_lab::PATIENCE))
            .unwrap();
        Some(Stream::new(socket))
    }
}

/// A relay before two scripted servers, and a client that has been offered SASL.
pub struct Site {
    pub servers: [ScriptedServer; 2],
    pub relay: Relay,
    pub login: Login,
    pub client: Stream,
    /// The domain's certificate, which the servers of a site under TLS show.
    server_tls: Arc<ServerConfig>,
    pub discovery: Discovery,
}

/// What differs from the demo's installation.
#[derive(Default)]
pub struct SiteOptions {
    /// Texts to replace in the configuration.
    pub config: Vec<(&'static str, String)>,
    /// Texts to replace in the operator file.
    pub operator: Vec<(&'static str, String)>,
    /// Whether the relay's streams to the servers use STARTTLS.
    pub starttls: bool,
}

fn dir(name: &str) -> PathBuf {
    let name = format!("scripted-{name}-{}", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    path
}

impl Site {
    pub fn start(name: &str) -> Site {
        Site::start_with(name, "safe")
    }

    /// A site whose requests have one attempt each, which lasts until their deadline.
    pub fn start_with_single_attempts(name: &str) -> Site {
        Site::start_replacing(name, ("\"max_attempts\": 6", "\"max_attempts\": 1"))
    }

    /// A site whose classes have this idempotency.
    pub fn start_with(name: &str, idempotency: &str) -> Site {
        let replacement = format!("\"idempotency\": \"{idempotency}\"");
        Site::start_replacing(name, ("\"idempotency\": \"safe\"", &replacement))
    }

    /// A site with another text in its configuration.
    fn start_replacing(name: &str, (from, to): (&'static str, &str)) -> Site {
        Site::start_with_options(
            name,
            SiteOptions {
                config: vec![(from, to.to_string())],
                ..SiteOptions::default()
            },
        )
    }

    /// A site with these options.
    pub fn start_with_options(name: &str, options: SiteOptions) -> Site {
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
        let mut operator_file = operator(DOMAIN, &pair);
        for (from, to) in options.operator {
            assert!(operator_file.contains(from), "{from}");
            operator_file = operator_file.replace(from, &to);
        }
        if options.starttls {
            let ca = authority.file();
            operator_file += &format!(
                "\n[xmpp.servers]\nsecurity = \"starttls\"\nca = \"{}\"\n",
                ca.display()
            );
        }
        setup.operator = Some(operator_file);
        for (from, to) in options.config {
            setup.replace.push((from.into(), to));
        }
        let relay = Relay::start(&setup).unwrap();
        let tls = certs::client(&authority.file()).unwrap();
        let login = Login::new(relay.xmpp(), DOMAIN, "ali", Some(tls));
        let client = login.connect().unwrap_or_else(|e| panic!("{e:?}"));
        Site {
            servers,
            relay,
            login,
            client,
            server_tls: certs::server(&pair.certificate, &pair.key).unwrap(),
            discovery,
        }
    }

    /// TLS of its servers.
    pub fn server_tls(&self) -> &Arc<ServerConfig> {
        &self.server_tls
    }

    /// Sends the client's request.
    pub fn request(&mut self) {
        let auth = format!("<auth xmlns='{NS_SASL}' mechanism='PLAIN'>AGFsaQBhbGk=</auth>");
        self.client.send(&auth).unwrap();
    }

    /// The attempt at either server, up to the relay's stream header; with the server's index.
    pub fn accept_attempt(&self) -> (usize, Stream) {
        let (n, mut attempt) = until("an attempt", || {
            (0..2).find_map(|n| Some((n, self.servers[n].try_accept()?)))
        });
        assert!(matches!(attempt.unit().unwrap().0, Unit::Header(_)));
        (n, attempt)
    }

    /// Takes an attempt's stream header, as a server that requires STARTTLS, up to `<starttls/>`.
    pub fn offer_starttls(&self, attempt: &mut Stream) {
        attempt
            .send(&(header(DOMAIN, None) + &offer_of_starttls()))
            .unwrap();
        assert!(element(attempt).unwrap().is(NS_TLS, "starttls"));
    }

    /// Goes on from `<starttls/>` up to the relay's stream header under TLS.
    pub fn secure(&self, attempt: &mut Stream) {
        attempt.send(&proceed()).unwrap();
        attempt.secure_server(&self.server_tls).unwrap();
        assert!(matches!(attempt.unit().unwrap().0, Unit::Header(_)));
    }

    /// The same, up to the request.
    pub fn accept_request(&self) -> (usize, Stream) {
        let (n, mut attempt) = self.accept_attempt();
        attempt.send(&offer_of_sasl()).unwrap();
        assert!(element(&mut attempt).unwrap().is(NS_SASL, "auth"));
        (n, attempt)
    }

    /// Stops the process of the relay; all its threads are stopped when this returns.
    pub fn stop_process(&self) {
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

/// The answer to `<starttls/>` after which TLS begins.
pub fn proceed() -> String {
    format!("<proceed xmlns='{NS_TLS}'/>")
}

/// Stream features that require STARTTLS.
fn offer_of_starttls() -> String {
    format!("<stream:features><starttls xmlns='{NS_TLS}'><required/></starttls></stream:features>")
}

/// A server's stream header, and its features.
pub fn offer_of_sasl() -> String {
    let mechanisms = format!(
        "<stream:features><mechanisms xmlns='{NS_SASL}'><mechanism>PLAIN</mechanism></mechanisms>\
         </stream:features>"
    );
    header(DOMAIN, None) + &mechanisms
}
