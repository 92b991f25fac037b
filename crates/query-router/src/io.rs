//! The events that the event loop reports to the router's state machine, and the effects that the state machine
//! requests of the event loop. Both are plain values.

use balancer::Micros;
use std::net::SocketAddr;
use std::rc::Rc;

/// The id of a connection: a small index, which the state machine assigns and may reuse once the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub usize);

/// Bytes to be written. They are shared where several connections get the same.
pub type Bytes = Rc<[u8]>;

/// An event that the event loop reports.
#[derive(Debug)]
pub enum Event<'a> {
    /// A client has connected; [`Effect::Accept`] answers it, later if the limit on descriptors is reached.
    ClientConnected,
    /// This machine lacks something for a connection that [`Effect::Connect`] asked for; the event loop goes on trying
    /// until the connection is closed.
    ConnectDelayed(ConnectionId),
    /// A connection that [`Effect::Connect`] opened is established.
    Established(ConnectionId),
    /// Bytes were received on a connection.
    Received {
        /// The connection.
        connection: ConnectionId,
        /// All bytes that were received on it and are not consumed yet.
        bytes: &'a [u8],
    },
    /// Everything that was to be written on a connection is written.
    Flushed(ConnectionId),
    /// The peer closed in order; [`Event::Ended`] follows.
    PeerClosed(ConnectionId),
    /// The peer closed, the connection broke, or it was never established.
    Ended {
        /// The id that the connection had.
        connection: ConnectionId,
        /// How many bytes were written on it in all.
        written_bytes: u64,
    },
    /// The time of the last [`Effect::WakeAt`] is reached.
    TimerExpired,
    /// The configuration was read again and states this address of discovery.
    DiscoveryMoved(SocketAddr),
    /// A signal asks for a graceful shutdown.
    Terminate,
    /// A signal asks for the counters.
    ReportCounters,
}

/// What the peer of a connection may send before anything more is written on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedInput {
    /// A response, so unread bytes mean nothing.
    Response,
    /// Nothing: unread bytes announce that the peer closes the connection.
    Nothing,
}

/// An effect that the event loop is to carry out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Give this id to the client that connected first among those without one.
    Accept(ConnectionId),
    /// Open a connection.
    Connect {
        /// The id of the new connection.
        connection: ConnectionId,
        /// Where it leads.
        address: SocketAddr,
    },
    /// Discard received bytes.
    Consume {
        /// The connection.
        connection: ConnectionId,
        /// How many bytes to discard, from the first one on.
        count: usize,
    },
    /// Report once more what was received and not consumed.
    Redeliver(ConnectionId),
    /// Write.
    Write {
        /// The connection.
        connection: ConnectionId,
        /// What to write, in order.
        buffers: Vec<Bytes>,
    },
    /// Write, unless the peer is known to have closed or to have sent something unexpected: then close, and
    /// [`Event::Ended`] follows.
    WriteIfOpen {
        /// The connection.
        connection: ConnectionId,
        /// What to write, in order.
        buffers: Vec<Bytes>,
        /// What the peer may have sent.
        expected: ExpectedInput,
    },
    /// Close, unless bytes were received that are not read yet; [`Event::Ended`] follows the close.
    CloseIfIdle(ConnectionId),
    /// Close the writing side; the connection is still read.
    CloseWrite(ConnectionId),
    /// Close without any further event about the connection.
    Close(ConnectionId),
    /// Close; [`Event::Ended`] follows and states how much was written.
    Abort(ConnectionId),
    /// Report [`Event::TimerExpired`] at this time; it replaces the time of an earlier request.
    WakeAt(Option<Micros>),
    /// Print these lines to standard error.
    PrintCounters(String),
    /// End the process, unless another client has connected meanwhile.
    Exit,
}
