//! What the event loop reports to the router's state machine and what the state machine asks of the event loop. Both
//! are plain values.

use balancer::Micros;
use std::net::SocketAddr;
use std::rc::Rc;

/// A connection. It is a small index: the state machine hands it out and may use it again once the connection was
/// closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub usize);
/// Bytes to be written, shared where several connections get the same.
pub type Bytes = Rc<[u8]>;

/// What the event loop reports.
#[derive(Debug)]
pub enum Event<'a> {
    /// A client has connected; [`Effect::Accept`] answers it, later if the limit on descriptors is reached.
    ClientConnected,
    /// A connection that was asked for is established.
    Established(ConnectionId),
    /// All bytes that were received on a connection and are not consumed yet.
    Received(ConnectionId, &'a [u8]),
    /// Everything that was to be written has been.
    Flushed(ConnectionId),
    /// The peer closed in order; [`Event::Ended`] follows.
    PeerClosed(ConnectionId),
    /// The peer closed, the connection broke, or it was never established; so many bytes had been written by then.
    Ended(ConnectionId, u64),
    /// The time of [`Effect::WakeAt`] has come.
    TimerExpired,
    /// The configuration was replaced: discovery has this address now.
    DiscoveryMoved(SocketAddr),
    /// The process is to end.
    Terminate,
    /// The counters are to be printed.
    ReportCounters,
}

/// What the event loop is asked to do.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// The client that connected first has this id from now on.
    Accept(ConnectionId),
    /// Connect to this address.
    Connect(ConnectionId, SocketAddr),
    /// Discard so many of the received bytes.
    Consume(ConnectionId, usize),
    /// Report once more what was received and not consumed.
    Redeliver(ConnectionId),
    /// Write these buffers.
    Write(ConnectionId, Vec<Bytes>),
    /// Write these buffers, unless the peer is known to have closed, or to have sent something though no response was
    /// due (the last value): then close, and [`Event::Ended`] follows.
    WriteIfOpen(ConnectionId, Vec<Bytes>, bool),
    /// Close unless something has come in that is not read yet; [`Event::Ended`] follows the close.
    CloseIfIdle(ConnectionId),
    /// Write no more; what comes in is still read.
    CloseWrite(ConnectionId),
    /// Close and forget.
    Close(ConnectionId),
    /// Close; [`Event::Ended`] then says how much had been written.
    Abort(ConnectionId),
    /// Report [`Event::TimerExpired`] at this time, in place of the time before.
    WakeAt(Option<Micros>),
    /// Print these lines.
    PrintCounters(String),
    /// End the process.
    Exit,
}
