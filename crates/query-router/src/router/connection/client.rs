//! The state of a client connection.

use super::arrival_times::ArrivalTimes;
use balancer::{Micros, QueryId};

/// The phase of the exchange of requests and responses on a client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientState {
    /// Accepted recently and without a request. The first one is expected soon, so the connection is not evicted.
    New,
    /// No request is in progress; the connection may be evicted.
    Idle,
    /// Evicted: the event loop closes the connection unless received bytes are unread.
    ClosingIfIdle,
    /// A request was received in part.
    ReceivingRequest,
    /// The query that the client sent is in progress.
    AwaitingResponse(QueryId),
    /// A response is being written.
    SendingResponse,
    /// The router has closed its writing side; received bytes are discarded.
    HalfClosed,
}

/// The state of a client connection.
#[derive(Debug)]
pub struct ClientConnection {
    /// The phase of the exchange of requests and responses.
    pub state: ClientState,
    /// The time at which the last response was written; the time of the accept before the first one.
    pub idle_from: Micros,
    /// Whether the connection is closed after the current response.
    pub close_after_response: bool,
    /// The number of bytes that were received and not consumed.
    pub unconsumed_bytes: usize,
    /// The arrival times of the unconsumed bytes.
    pub arrivals: ArrivalTimes,
    /// The time since which the rest of an incomplete request is awaited. Meaningful only in
    /// [`ClientState::ReceivingRequest`].
    pub receiving_since: Micros,
    /// The time at which an incomplete request counts as stalled, postponed whenever more of it arrives.
    /// [`Micros::MAX`] before the first incomplete request.
    pub stalls_at: Micros,
}

impl ClientConnection {
    /// Creates the state of a connection that is accepted at `now`.
    pub fn new(now: Micros) -> ClientConnection {
        ClientConnection {
            state: ClientState::New,
            idle_from: now,
            close_after_response: false,
            unconsumed_bytes: 0,
            arrivals: ArrivalTimes::default(),
            receiving_since: now,
            stalls_at: Micros::MAX,
        }
    }

    /// Returns the time since which the connection is idle; `None` if it may not be evicted. It may not while a
    /// pipelined request was received, which is handled once the response to the request before it is written.
    pub fn idle_since(&self) -> Option<Micros> {
        (self.state == ClientState::Idle && !self.has_next_request()).then_some(self.idle_from)
    }

    /// Returns whether unconsumed bytes follow the last request.
    pub fn has_next_request(&self) -> bool {
        self.unconsumed_bytes > 0
    }

    /// Returns whether no request is in progress and the connection is not being closed.
    pub fn has_no_request(&self) -> bool {
        matches!(self.state, ClientState::New | ClientState::Idle)
    }
}
