//! The interface between the event loop and the router's state machine: the event loop reports [`Event`]s, the state
//! machine requests [`Effect`]s. Both are plain values, so that the state machine can be tested without I/O.

use balancer::Micros;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifies a connection: a small index that the state machine assigns and may reuse once the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub usize);

/// The time that one connection took in an iteration of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnReport {
    /// The connection.
    pub connection: ConnectionId,
    /// The time from the first event of the connection to the end of its turn.
    pub duration: Micros,
    /// The number of requests of clients that were handled in it.
    pub requests: u64,
}

impl Default for TurnReport {
    fn default() -> TurnReport {
        TurnReport { connection: ConnectionId(0), duration: 0, requests: 0 }
    }
}

/// The measurements of an iteration of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IterationReport {
    /// The time from the first event to the end of the iteration, without the wait for events.
    pub duration: Micros,
    /// The turn that took longest; `None` if no connection had one.
    pub longest_turn: Option<TurnReport>,
    /// The time that the decision took, with the writes that follow from it.
    pub decision: Micros,
}

/// The bytes in the buffers that the event loop holds for connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BufferSizes {
    /// Input buffers of clients, with their unused capacity.
    pub client_input: usize,
    /// Bytes that clients have not read yet.
    pub client_output: usize,
    /// Input and output of data nodes and of discovery.
    pub upstream: usize,
}

/// A buffer to write, reference-counted so that several connections can share it.
pub type Bytes = Arc<[u8]>;

/// An event that the event loop reports to the state machine.
#[derive(Debug)]
pub enum Event<'a> {
    /// A client has connected. The state machine responds with [`Effect::Accept`], later if the limit on file
    /// descriptors is reached.
    ClientConnected,
    /// A local shortage keeps the event loop from opening a connection requested by [`Effect::Connect`]; it retries
    /// until the connection is closed.
    ConnectDelayed(ConnectionId),
    /// A connection requested by [`Effect::Connect`] is established.
    Established(ConnectionId),
    /// The bytes that are reported next have waited in the system.
    InputAged {
        /// The connection of a client.
        connection: ConnectionId,
        /// The time since the last of them arrived.
        age: Micros,
    },
    /// Bytes were received on a connection.
    Received {
        /// The connection on which bytes arrived.
        connection: ConnectionId,
        /// All received bytes that are not consumed yet, those reported before included.
        bytes: &'a [u8],
    },
    /// Bytes were received on a client connection that had its share of the iteration. They are reported again with
    /// [`Event::Received`] in a later one.
    Buffered {
        /// The connection on which bytes arrived.
        connection: ConnectionId,
        /// The number of received bytes that are not consumed yet, those reported before included.
        length: usize,
    },
    /// Bytes were found in place of [`ExpectedInput::Nothing`]. Nothing is written, and [`Event::Ended`] follows.
    ReceivedUnexpected {
        /// The connection on which bytes arrived.
        connection: ConnectionId,
        /// All received bytes that are not consumed yet.
        bytes: &'a [u8],
    },
    /// Reading from a connection paused although more bytes may be available; it continues in the next iteration, before
    /// the router decides.
    ReadPaused(ConnectionId),
    /// All bytes queued on a connection have been passed to the operating system.
    Flushed(ConnectionId),
    /// The peer closed its side of a connection (end of stream); [`Event::Ended`] follows.
    PeerClosed(ConnectionId),
    /// The connection was closed, failed, or was never established.
    Ended {
        /// The former id of the connection.
        connection: ConnectionId,
        /// Total bytes written on the connection; 0 if it was never established.
        written_bytes: u64,
    },
    /// The time set by the last [`Effect::WakeAt`] is reached.
    TimerExpired,
    /// The configuration was reloaded; it states this discovery address, which may be unchanged.
    DiscoveryAddressReloaded(SocketAddr),
    /// A signal requests a graceful shutdown.
    Terminate,
    /// A signal requests the counters.
    ReportCounters,
}

/// The input that is acceptable on a connection at the time of [`Effect::WriteIfOpen`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedInput {
    /// A response is outstanding, or no attempt is to be written: unread bytes do not prevent the write.
    Response,
    /// No response is outstanding: unread bytes are a notice that the peer is about to close the connection, or the
    /// start of an unexpected frame.
    Nothing,
}

/// An effect that the state machine requests of the event loop.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Assigns this id to the longest-waiting client connection that has none, and registers it with the event loop.
    Accept(ConnectionId),
    /// Opens a connection. [`Event::Established`] or [`Event::Ended`] follows.
    Connect {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The address of the peer.
        address: SocketAddr,
    },
    /// Discards received bytes.
    Consume {
        /// The connection that received the bytes.
        connection: ConnectionId,
        /// The number of bytes to discard from the front of the input.
        count: usize,
    },
    /// Reports the unconsumed bytes of a connection again with [`Event::Received`], in a later iteration if the connection
    /// had its share of the current one.
    Redeliver(ConnectionId),
    /// Writes buffers on a connection. [`Event::Flushed`] follows once all are written.
    Write {
        /// The connection to write on.
        connection: ConnectionId,
        /// The buffers in the order in which they are written.
        buffers: Vec<Bytes>,
    },
    /// Writes buffers like [`Effect::Write`], unless unread input shows that the peer has closed the connection or
    /// sent unexpected bytes: then the connection is closed and [`Event::Ended`] follows.
    WriteIfOpen {
        /// The connection to write on.
        connection: ConnectionId,
        /// The buffers in the order in which they are written.
        buffers: Vec<Bytes>,
        /// The input that does not prevent the write.
        expected: ExpectedInput,
    },
    /// Closes a connection unless it has unread input; [`Event::Ended`] follows if it was closed.
    CloseIfIdle(ConnectionId),
    /// Closes the write half of a connection; the read half stays open.
    CloseWrite(ConnectionId),
    /// Closes a connection; no further events of this connection are reported.
    Close(ConnectionId),
    /// Closes a connection; [`Event::Ended`] follows with the number of bytes written.
    Abort(ConnectionId),
    /// Sets the time at which to report [`Event::TimerExpired`], in place of any earlier one; `None` clears the timer.
    WakeAt(Option<Micros>),
    /// Prints these lines to standard error.
    PrintCounters(String),
    /// Ends the process, unless another client has connected in the meantime.
    Exit,
}
