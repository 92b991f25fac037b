//! Mutual TLS: the service's certificate, the authority of the proxies', and which names a proxy's certificate
//! lets it claim. Files are read anew when they change; a set that can't be used leaves the one before in force.

use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::sync::Arc;
use std::time::SystemTime;
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{RootCertStore, ServerConfig};
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

pub struct Tls {
    files: [String; 3],
    read: [Option<SystemTime>; 3],
    pub config: Arc<ServerConfig>,
}

fn certificates(path: &str) -> Result<Vec<CertificateDer<'static>>, String> {
    let read = CertificateDer::pem_file_iter(path).map_err(|e| format!("{path}: {e}"))?;
    let all: Result<Vec<_>, _> = read.collect();
    match all.map_err(|e| format!("{path}: {e}"))? {
        all if all.is_empty() => Err(format!("{path}: no certificate stands there")),
        all => Ok(all),
    }
}

fn load([certificate, key, authority]: &[String; 3]) -> Result<Arc<ServerConfig>, String> {
    let provider = Arc::new(ring::default_provider());
    let mut roots = RootCertStore::empty();
    for root in certificates(authority)? {
        roots.add(root).map_err(|e| format!("{authority}: {e}"))?;
    }
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone())
        .build()
        .map_err(|e| format!("{authority}: {e}"))?;
    let private = PrivateKeyDer::from_pem_file(key).map_err(|e| format!("{key}: {e}"))?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| e.to_string())?
        .with_client_cert_verifier(verifier)
        .with_single_cert(certificates(certificate)?, private)
        .map_err(|e| format!("{certificate}: {e}"))?;
    config.alpn_protocols = vec![b"h2".to_vec()];
    Ok(Arc::new(config))
}

impl Tls {
    pub fn new(files: [String; 3]) -> Result<Tls, String> {
        let read = changed(&files);
        Ok(Tls { config: load(&files)?, files, read })
    }

    /// Reads the files anew if one changed since.
    pub fn refresh(&mut self) {
        let times = changed(&self.files);
        if times == self.read {
            return;
        }
        self.read = times;
        match load(&self.files) {
            Ok(config) => {
                self.config = config;
                tracing::info!("certificates read anew");
            }
            Err(why) => tracing::warn!("certificates stay as they were: {why}"),
        }
    }
}

fn changed(files: &[String; 3]) -> [Option<SystemTime>; 3] {
    std::array::from_fn(|i| std::fs::metadata(&files[i]).and_then(|data| data.modified()).ok())
}

/// The DNS names that a certificate's subjectAltName holds (RFC 5280, 4.2.1.6): the ids that it may claim.
pub fn claims(certificate: &[u8]) -> Vec<String> {
    let Ok((_, certificate)) = X509Certificate::from_der(certificate) else { return Vec::new() };
    let Ok(Some(names)) = certificate.subject_alternative_name() else { return Vec::new() };
    let dns = |name: &GeneralName| match name {
        GeneralName::DNSName(name) => Some(name.to_string()),
        _ => None,
    };
    names.value.general_names.iter().filter_map(dns).collect()
}
