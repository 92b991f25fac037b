//! Mutual TLS: loads the certificate of the control plane and the authority that signs the proxies'
//! certificates, and reads the DNS names in these. Changed files are reloaded; if they cannot be used, the
//! previous configuration stays in effect.

use crate::options::TlsFiles;
use rustls_pki_types::pem::{self, PemObject};
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::sync::Arc;
use std::time::SystemTime;
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use tokio_rustls::rustls::{self, RootCertStore, ServerConfig};
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// The ALPN protocol that connections negotiate.
const HTTP2: &[u8] = b"h2";

/// Reason for which the files for mutual TLS cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The file cannot be read, or is not in PEM format.
    #[error("{path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the read or of the PEM parser.
        source: pem::Error,
    },
    /// The file contains no certificate.
    #[error("{path}: the file contains no certificate")]
    NoCertificate {
        /// Path of the file.
        path: String,
    },
    /// The certificates in the file cannot be used.
    #[error("{path}: {source}")]
    InvalidCertificate {
        /// Path of the file.
        path: String,
        /// The error of rustls.
        source: rustls::Error,
    },
    /// The certificates in the authority file cannot be used to verify proxies.
    #[error("{path}: {source}")]
    InvalidAuthority {
        /// Path of the file.
        path: String,
        /// The error of the certificate verifier.
        source: VerifierBuilderError,
    },
    /// The cryptography provider does not support the default TLS protocol versions.
    #[error("TLS protocol versions are not supported: {0}")]
    UnsupportedProtocol(rustls::Error),
}

/// Modification times of the certificate, key and authority files; `None` if a file is not accessible.
type ModificationTimes = [Option<SystemTime>; 3];

/// The TLS configuration of new connections, reloaded when the files change.
pub(crate) struct ReloadableTlsConfig {
    files: TlsFiles,
    modified_at: ModificationTimes,
    config: Arc<ServerConfig>,
}

impl ReloadableTlsConfig {
    /// Loads the files.
    pub fn new(files: TlsFiles) -> Result<ReloadableTlsConfig, TlsError> {
        let modified_at = modification_times(&files);
        Ok(ReloadableTlsConfig { config: load(&files)?, files, modified_at })
    }

    /// Returns the configuration for new connections.
    pub fn config(&self) -> Arc<ServerConfig> {
        self.config.clone()
    }

    /// Reloads the files if the modification time of one of them changed.
    pub fn reload_if_changed(&mut self) {
        let modified_at = modification_times(&self.files);
        if modified_at == self.modified_at {
            return;
        }
        self.modified_at = modified_at;
        match load(&self.files) {
            Ok(config) => {
                self.config = config;
                tracing::info!("certificates reloaded");
            }
            Err(error) => tracing::warn!(%error, "certificates not reloaded; the previous ones stay in use"),
        }
    }
}

fn load(files: &TlsFiles) -> Result<Arc<ServerConfig>, TlsError> {
    let provider = Arc::new(ring::default_provider());
    let authority = &files.authority;
    let mut roots = RootCertStore::empty();
    for root in certificates(authority)? {
        roots.add(root).map_err(|source| invalid_certificate(authority, source))?;
    }
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone())
        .build()
        .map_err(|source| TlsError::InvalidAuthority { path: authority.clone(), source })?;
    let key = PrivateKeyDer::from_pem_file(&files.key).map_err(|source| unreadable(&files.key, source))?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(TlsError::UnsupportedProtocol)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(certificates(&files.certificate)?, key)
        .map_err(|source| invalid_certificate(&files.certificate, source))?;
    config.alpn_protocols = vec![HTTP2.to_vec()];
    Ok(Arc::new(config))
}

fn certificates(path: &str) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates = CertificateDer::pem_file_iter(path).map_err(|source| unreadable(path, source))?;
    let certificates: Result<Vec<_>, _> = certificates.collect();
    let certificates = certificates.map_err(|source| unreadable(path, source))?;
    if certificates.is_empty() {
        return Err(TlsError::NoCertificate { path: path.to_string() });
    }
    Ok(certificates)
}

fn unreadable(path: &str, source: pem::Error) -> TlsError {
    TlsError::Unreadable { path: path.to_string(), source }
}

fn invalid_certificate(path: &str, source: rustls::Error) -> TlsError {
    TlsError::InvalidCertificate { path: path.to_string(), source }
}

fn modification_times(files: &TlsFiles) -> ModificationTimes {
    let paths = [&files.certificate, &files.key, &files.authority];
    paths.map(|path| std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok())
}

/// Returns the DNS names in a certificate's subjectAltName (RFC 5280, 4.2.1.6), which are the proxy IDs that its
/// owner may use; none if the certificate cannot be parsed.
pub(crate) fn dns_names(certificate: &[u8]) -> Vec<String> {
    let Ok((_, certificate)) = X509Certificate::from_der(certificate) else { return Vec::new() };
    let Ok(Some(names)) = certificate.subject_alternative_name() else { return Vec::new() };
    let dns_name = |name: &GeneralName| match name {
        GeneralName::DNSName(name) => Some(name.to_string()),
        _ => None,
    };
    names.value.general_names.iter().filter_map(dns_name).collect()
}
