//! Events that follow from executed effects.

use crate::io::ConnectionId;

/// An event that follows from an executed effect. It is reported to the router after the other effects of the same
/// step.
#[derive(Debug)]
pub(super) enum PendingEvent {
    /// The unconsumed bytes are to be reported again.
    RedeliverInput(ConnectionId),
    /// Unread bytes, which were not expected, are to be reported before the connection is closed.
    UnexpectedInput(ConnectionId),
    /// A local shortage delays opening the connection.
    ConnectDelayed(ConnectionId),
    /// All queued output is written.
    Flushed(ConnectionId),
    /// The connection is closed, or could not be opened.
    Ended {
        /// The former id of the connection.
        connection: ConnectionId,
        /// Total bytes written on the connection; 0 if it was never established.
        written_bytes: u64,
    },
}

impl PendingEvent {
    /// Returns the connection to which the event belongs.
    pub(super) fn connection(&self) -> ConnectionId {
        match self {
            PendingEvent::RedeliverInput(connection)
            | PendingEvent::UnexpectedInput(connection)
            | PendingEvent::ConnectDelayed(connection)
            | PendingEvent::Flushed(connection)
            | PendingEvent::Ended { connection, .. } => *connection,
        }
    }
}
