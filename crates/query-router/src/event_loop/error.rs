//! Errors that prevent the event loop from starting or continuing.

use super::system_error::io_error_of;
use std::net::SocketAddr;

/// The router cannot start or cannot continue to serve.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ServeError {
    /// The signals cannot be blocked, or their event source cannot be registered.
    #[error("blocking or registering the signals: {0}")]
    Signals(#[source] calloop::Error),
    /// The event loop cannot be created, or waiting for events failed.
    #[error("creating the event loop or waiting for events: {0}")]
    EventLoop(#[source] calloop::Error),
    /// The listening socket cannot be bound to the configured address.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system call.
        source: std::io::Error,
    },
    /// The listener cannot be registered with the event loop.
    #[error("registering the listener: {0}")]
    RegisterListener(#[source] calloop::Error),
    /// The local address of the listener cannot be read.
    #[error("reading the address of the listener: {0}")]
    ListenerAddress(#[source] std::io::Error),
}

impl ServeError {
    /// Returns the I/O error that caused this error, if there is one.
    pub(super) fn io_error(&self) -> Option<&std::io::Error> {
        match self {
            ServeError::Signals(error)
            | ServeError::EventLoop(error)
            | ServeError::RegisterListener(error) => io_error_of(error),
            ServeError::Listen { source, .. } | ServeError::ListenerAddress(source) => Some(source),
        }
    }
}
