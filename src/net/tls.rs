//! TLS configurations with the certificates of the operator file. All certificates are read and
//! checked together, so that a bad one leaves the configuration in use unchanged.
//!
//! Guards against: a key that belongs to another certificate, and a certificate that has expired or
//! is for another name. The operator learns of these at the start or reload, not from the first
//! client.

use crate::config::operator::{OperatorError, OperatorFile, Security, Xmpp};
use rustls::crypto::ring;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use rustls::{
    ClientConfig, ClientConnection, Connection, RootCertStore, ServerConfig, ServerConnection,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Chooses the certificate by the domain that a client names, or the default domain's.
#[derive(Debug)]
struct CertificateResolver {
    by_name: Arc<BTreeMap<String, Arc<CertifiedKey>>>,
    default: String,
}

impl ResolvesServerCert for CertificateResolver {
    fn resolve(&self, hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        let named = hello
            .server_name()
            .and_then(|name| self.by_name.get(&name.to_lowercase()));
        named.or_else(|| self.by_name.get(&self.default)).cloned()
    }
}

/// TLS configurations for connections from clients and to XMPP servers.
pub struct TlsConfig {
    /// Configurations for clients, by the domain whose certificate is the default.
    by_domain: BTreeMap<String, Arc<ServerConfig>>,
    /// The first domain of the operator file, in lower case.
    default_domain: String,
    /// The configuration for XMPP servers; none where they are reached without TLS.
    client_config: Option<Arc<ClientConfig>>,
}

/// Reads and checks the certificate and key of the `n`th domain of `[xmpp]`.
fn load_certificate(
    file: &OperatorFile,
    n: usize,
    x: &Xmpp,
) -> Result<Arc<CertifiedKey>, OperatorError> {
    let (domain, key) = (&x.domain[n], format!("xmpp.domain[{n}]"));
    let at = file.resolve(&domain.certificate);
    let error = |what: String| {
        file.error(
            &format!("{key}.certificate"),
            format!("{}: {what}", at.display()),
        )
    };
    let chain: Result<Vec<CertificateDer<'_>>, _> = CertificateDer::pem_file_iter(&at)
        .map_err(|e| error(e.to_string()))?
        .collect();
    let chain = chain.map_err(|e| error(e.to_string()))?;
    let Some(leaf) = chain.first() else {
        return Err(error("has no certificate".into()));
    };
    let name = ServerName::try_from(domain.name.clone()).map_err(|_| {
        file.error(
            &format!("{key}.name"),
            "is not a name that a certificate can have",
        )
    })?;
    let end = webpki::EndEntityCert::try_from(leaf).map_err(|e| error(e.to_string()))?;
    // Whether the issuer is trusted is for the clients to judge. Without trust anchors the only
    // errors of interest here are those of the validity period.
    let (algorithms, usage) = (
        webpki::ALL_VERIFICATION_ALGS,
        webpki::KeyUsage::server_auth(),
    );
    match end.verify_for_usage(algorithms, &[], &[], UnixTime::now(), usage, None, None) {
        Err(webpki::Error::CertExpired { not_after, .. }) => {
            return Err(error(format!(
                "has run out, {} days ago",
                days_from_now(not_after)
            )));
        }
        Err(webpki::Error::CertNotValidYet { not_before, .. }) => {
            return Err(error(format!(
                "is not valid yet, for another {} days",
                days_from_now(not_before)
            )));
        }
        _ => {}
    }
    end.verify_is_valid_for_subject_name(&name)
        .map_err(|_| error(format!("is not for {}", domain.name)))?;
    let secret = file.resolve(&domain.key);
    let error = |what: String| {
        file.error(
            &format!("{key}.key"),
            format!("{}: {what}", secret.display()),
        )
    };
    let secret = PrivateKeyDer::from_pem_file(&secret).map_err(|e| error(e.to_string()))?;
    let pair = CertifiedKey::from_der(chain, secret, &ring::default_provider());
    pair.map(Arc::new)
        .map_err(|e| error(format!("is not the certificate's key: {e}")))
}

/// The number of whole days between now and a time in the past or future.
fn days_from_now(time: UnixTime) -> u64 {
    UnixTime::now().as_secs().abs_diff(time.as_secs()) / 86_400
}

impl TlsConfig {
    /// Reads and checks all certificates that `[xmpp]` names.
    pub fn load(file: &OperatorFile, x: &Xmpp) -> Result<TlsConfig, OperatorError> {
        let mut by_name = BTreeMap::new();
        for n in 0..x.domain.len() {
            by_name.insert(
                x.domain[n].name.to_lowercase(),
                load_certificate(file, n, x)?,
            );
        }
        let by_name = Arc::new(by_name);
        let Some(first) = x.domain.first() else {
            return Err(file.error("xmpp.domain", "no domain is served"));
        };
        let ticketer = ring::Ticketer::new()
            .map_err(|e| file.error("xmpp", format!("no random numbers: {e}")))?;
        let config = |domain: &String| {
            let resolver = CertificateResolver {
                by_name: by_name.clone(),
                default: domain.clone(),
            };
            let mut config =
                ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
                    .with_safe_default_protocol_versions()
                    .map_err(|e| file.error("xmpp", e))?
                    .with_no_client_auth()
                    .with_cert_resolver(Arc::new(resolver));
            // Migrated clients reconnect together, and a resumed handshake costs a tenth of a full
            // one.
            config.ticketer = ticketer.clone();
            config.send_tls13_tickets = 1;
            // No state per client is kept in memory: there are too many clients.
            config.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
            Ok((domain.clone(), Arc::new(config)))
        };
        let by_domain = by_name.keys().map(config).collect::<Result<_, _>>()?;
        let client_config = match x.servers.security {
            Security::Plain => None,
            Security::StartTls | Security::Tls => Some(TlsConfig::client_config(file, x)?),
        };
        Ok(TlsConfig {
            by_domain,
            default_domain: first.name.to_lowercase(),
            client_config,
        })
    }

    fn client_config(file: &OperatorFile, x: &Xmpp) -> Result<Arc<ClientConfig>, OperatorError> {
        let key = "xmpp.servers.ca";
        let Some(ca) = &x.servers.ca else {
            return Err(file.error(
                key,
                "is missing: servers' certificates must be checked against something",
            ));
        };
        let at = file.resolve(ca);
        let error = |what: String| file.error(key, format!("{}: {what}", at.display()));
        let mut roots = RootCertStore::empty();
        for root in CertificateDer::pem_file_iter(&at).map_err(|e| error(e.to_string()))? {
            let root = root.map_err(|e| error(e.to_string()))?;
            roots.add(root).map_err(|e| error(e.to_string()))?;
        }
        if roots.is_empty() {
            return Err(error("has no certificate".into()));
        }
        let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|e| file.error(key, e))?
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok(Arc::new(config))
    }

    /// The relay's side of TLS with a client. The certificate is that of the name that the client
    /// gives, else that of this domain, else that of the default domain.
    pub fn server_connection(&self, domain: Option<&str>) -> Option<Connection> {
        let config = domain
            .and_then(|d| self.by_domain.get(d))
            .or_else(|| self.by_domain.get(&self.default_domain))?;
        ServerConnection::new(config.clone())
            .ok()
            .map(Connection::Server)
    }

    /// The relay's side of TLS with an XMPP server of this domain.
    pub fn client_connection(&self, domain: &str) -> Option<Connection> {
        let name = ServerName::try_from(domain.to_string()).ok()?;
        ClientConnection::new(self.client_config.clone()?, name)
            .ok()
            .map(Connection::Client)
    }
}
