//! Errors that keep the event loop from starting or from going on.

use std::net::SocketAddr;

/// Why the router cannot serve.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ServeError {
    /// The signals cannot be blocked and read.
    #[error("signals: {0}")]
    Signals(#[source] calloop::Error),
    /// The event loop cannot be created, or waiting for events failed.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// The configured address cannot be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The listener cannot be registered with the event loop.
    #[error("listener: {0}")]
    RegisterListener(#[source] calloop::Error),
    /// The address that the listener is bound to cannot be read.
    #[error("listener: {0}")]
    ListenerAddress(#[source] std::io::Error),
}
