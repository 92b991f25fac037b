//! Events that follow from effects.

use crate::io::ConnectionId;

/// An event that follows from an effect. It is reported to the router after the other effects of the same step.
#[derive(Debug)]
pub(super) enum PendingEvent {
    /// The router requested that unconsumed bytes are reported again.
    ReadAgain(ConnectionId),
    /// This machine could not open the connection yet.
    ConnectDelayed(ConnectionId),
    /// All queued output is written.
    Flushed(ConnectionId),
    /// The connection is closed.
    Ended {
        /// The id that the connection had.
        connection: ConnectionId,
        /// How many bytes were written on it in all.
        written_bytes: u64,
    },
}

impl PendingEvent {
    /// The connection that the event is about.
    pub(super) fn connection(&self) -> ConnectionId {
        match self {
            PendingEvent::ReadAgain(connection)
            | PendingEvent::ConnectDelayed(connection)
            | PendingEvent::Flushed(connection)
            | PendingEvent::Ended { connection, .. } => *connection,
        }
    }
}
