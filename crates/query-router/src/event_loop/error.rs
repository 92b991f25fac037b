//! Errors that keep the event loop from starting or from going on.

use super::system_error::cause_of;
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

impl ServeError {
    /// The system's error behind it, if there is one.
    pub(super) fn cause(&self) -> Option<&std::io::Error> {
        match self {
            ServeError::Signals(error)
            | ServeError::EventLoop(error)
            | ServeError::RegisterListener(error) => cause_of(error),
            ServeError::Listen { source, .. } | ServeError::ListenerAddress(source) => Some(source),
        }
    }
}
