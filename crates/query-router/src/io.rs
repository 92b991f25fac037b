//! What the loop tells the reducer and what the reducer asks of the loop. Both are plain values.

use balancer::Micros;
use std::net::SocketAddr;
use std::rc::Rc;

/// The index of a connection; the reducer hands it out and may use it again once it was closed.
pub type ConnectionId = usize;
/// Bytes to be written, shared where several connections get the same.
pub type Bytes = Rc<[u8]>;

#[derive(Debug)]
pub enum Event<'a> {
    /// A client has connected; `Effect::Adopt` answers it, later if there is no room.
    Arrived,
    /// A connection asked for is up.
    Up(ConnectionId),
    /// All bytes that came in on a connection and were not taken yet.
    Received(ConnectionId, &'a [u8]),
    /// All that was to be written has been.
    Flushed(ConnectionId),
    /// The other side closed in order; `Ended` follows.
    Closed(ConnectionId),
    /// The other side closed, it broke, or it never came up; so many bytes had been written by then.
    Ended(ConnectionId, u64),
    /// Time has passed.
    Alarm,
    /// The configuration was replaced: discovery stands at this address now.
    Discovery(SocketAddr),
    /// The process is to stop.
    Terminate,
    /// The counters are wanted.
    Report,
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    /// The client that arrived first is this connection from now on.
    Adopt(ConnectionId),
    Connect(ConnectionId, SocketAddr),
    /// So many of the received bytes are done with.
    Taken(ConnectionId, usize),
    /// Tell once more what has been received and not taken.
    Read(ConnectionId),
    Write(ConnectionId, Vec<Bytes>),
    /// The same, but nothing is written if the other side is known to have closed, or to have said something though
    /// nothing was `due` from it: `Event::Ended` follows.
    Send(ConnectionId, Vec<Bytes>, bool),
    /// Closed here if nothing has come in that is not read yet, and `Event::Ended` says so.
    Part(ConnectionId),
    /// No more is written, what comes is still read.
    Finish(ConnectionId),
    /// Closed here and forgotten.
    Close(ConnectionId),
    /// Closed here; `Event::Ended` then says how much had been written.
    Break(ConnectionId),
    /// Wake the reducer at this time, in place of the time before.
    Timer(Option<Micros>),
    Report(String),
    Exit,
}
