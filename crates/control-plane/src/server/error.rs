//! Why the control plane cannot serve.

use crate::tls::TlsError;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// Why the control plane does not start, or ended.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The options name no address to listen on.
    #[error("[control] listen: it is not set, so the control service is off")]
    NotEnabled,
    /// The address cannot be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The system does not say on which address it listens.
    #[error("{0}")]
    LocalAddress(io::Error),
    /// A file of mutual TLS cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The threads cannot be started.
    #[error("event loop: {0}")]
    Runtime(io::Error),
    /// The main task panicked.
    #[error("the service ended: {0}")]
    Task(JoinError),
}
