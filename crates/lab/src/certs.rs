//! Certificates for stand-ins: an authority of its own, and a leaf for each domain.

use rcgen::{
    date_time_ymd, BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair,
    KeyUsagePurpose,
};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// When a leaf runs out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Valid {
    /// Long after anyone reads this.
    Long,
    /// It has.
    Expired,
}

/// An authority and the files that it writes.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    dir: PathBuf,
}

/// Where a pair is.
#[derive(Clone, Debug)]
pub struct Pair {
    /// The certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
}

impl Authority {
    /// A new one; its certificate is `ca.pem` in this directory.
    pub fn new(dir: &Path) -> Result<Authority, Box<dyn Error>> {
        std::fs::create_dir_all(dir)?;
        let mut params = CertificateParams::new(Vec::new())?;
        params
            .distinguished_name
            .push(DnType::CommonName, "jaspermoor lab authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        std::fs::write(dir.join("ca.pem"), issuer.pem())?;
        Ok(Authority {
            issuer,
            dir: dir.to_path_buf(),
        })
    }

    /// The file of its certificate.
    pub fn file(&self) -> PathBuf {
        self.dir.join("ca.pem")
    }

    /// A leaf for a domain, in files that begin with this name.
    pub fn leaf(&self, name: &str, domain: &str, valid: Valid) -> Result<Pair, Box<dyn Error>> {
        let mut params = CertificateParams::new(vec![domain.to_string()])?;
        params.distinguished_name.push(DnType::CommonName, domain);
        if valid == Valid::Expired {
            (params.not_before, params.not_after) =
                (date_time_ymd(2020, 1, 1), date_time_ymd(2021, 1, 1));
        }
        let key = KeyPair::generate()?;
        let leaf = params.signed_by(&key, &self.issuer)?;
        let pair = Pair {
            certificate: self.dir.join(format!("{name}.pem")),
            key: self.dir.join(format!("{name}.key")),
        };
        std::fs::write(&pair.certificate, leaf.pem())?;
        std::fs::write(&pair.key, key.serialize_pem())?;
        Ok(pair)
    }
}

/// TLS of a client that trusts this authority only.
pub fn client(ca: &Path) -> Result<Arc<ClientConfig>, Box<dyn Error>> {
    let mut roots = RootCertStore::empty();
    for root in CertificateDer::pem_file_iter(ca)? {
        roots.add(root?)?;
    }
    let config =
        ClientConfig::builder_with_provider(Arc::new(rustls::crypto::ring::default_provider()))
            .with_safe_default_protocol_versions()?
            .with_root_certificates(roots)
            .with_no_client_auth();
    Ok(Arc::new(config))
}

/// TLS of a server with this pair.
pub fn server(certificate: &Path, key: &Path) -> Result<Arc<ServerConfig>, Box<dyn Error>> {
    let chain = CertificateDer::pem_file_iter(certificate)?.collect::<Result<Vec<_>, _>>()?;
    let config =
        ServerConfig::builder_with_provider(Arc::new(rustls::crypto::ring::default_provider()))
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_single_cert(chain, PrivateKeyDer::from_pem_file(key)?)?;
    Ok(Arc::new(config))
}
