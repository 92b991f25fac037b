//! Errors that keep the control plane from serving.

use crate::tls::TlsError;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// Reason for which the control plane does not start, or stopped serving.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// No listen address is configured.
    #[error("[control] listen: not set, so the control plane is disabled")]
    NotEnabled,
    /// The listening socket cannot be opened.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The address of the listening socket cannot be determined.
    #[error("local address of the listening socket: {0}")]
    LocalAddress(io::Error),
    /// The certificate, key or authority file for mutual TLS cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// A signal handler cannot be installed.
    #[error("install signal handler: {0}")]
    Signals(io::Error),
    /// The Tokio runtime cannot be created.
    #[error("start Tokio runtime: {0}")]
    Runtime(io::Error),
    /// The main task panicked.
    #[error("main task of the control plane: {0}")]
    Task(JoinError),
}
