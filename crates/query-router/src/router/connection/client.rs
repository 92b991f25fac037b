//! The state of a client connection.

use super::EvictionRank;
use super::arrival_times::ArrivalTimes;
use crate::protocol::http::RequestProgress;
use balancer::{Micros, QueryId};

/// The time after a query for which a client may expect its connection to stay open, as specified by the platform.
pub const KEEP_ALIVE_TIME: Micros = 2_000_000;

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

/// Why the router closes a client connection, or discards what was received on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client asked for it, or uses HTTP/1.0.
    RequestedByClient,
    /// A request could not be parsed, so the start of the next one is not known.
    MalformedRequest,
    /// An incomplete request was not continued in time.
    StalledRequest,
    /// Incomplete or pipelined requests take too much memory.
    TooMuchMemory,
    /// More requests stand behind the current one than the router keeps.
    TooManyPipelined,
    /// The client did not read a response in time.
    UnreadResponse,
    /// Another client waits for the descriptor of an incomplete request.
    DescriptorShortage,
    /// A shutdown is in progress.
    Shutdown,
}

/// The state of a client connection.
#[derive(Debug)]
pub struct ClientConnection {
    /// The phase of the exchange of requests and responses.
    pub state: ClientState,
    /// The time at which the last response was written or the writing side was closed; the time of the accept before
    /// the first one.
    pub idle_from: Micros,
    /// The time of the accept.
    pub connected_at: Micros,
    /// The number of requests that were handled, malformed ones included.
    pub requests: u64,
    /// Whether a query of the client was accepted.
    pub has_sent_query: bool,
    /// The number of requests that were answered with an error: invalid, rejected or failed.
    pub errors: u64,
    /// Why the connection is closed after the current response; `None` if it stays open.
    pub close_reason: Option<CloseReason>,
    /// The number of bytes of the response that is being written; 0 if none is.
    pub response_bytes: usize,
    /// The number of bytes that were received and not consumed.
    pub unconsumed_bytes: usize,
    /// How far an incomplete request at the start of the unconsumed bytes was parsed.
    pub progress: RequestProgress,
    /// The arrival times of the unconsumed bytes.
    pub arrivals: ArrivalTimes,
    /// The time for which the bytes that are reported next have waited in the system.
    pub input_age: Micros,
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
            connected_at: now,
            requests: 0,
            has_sent_query: false,
            errors: 0,
            close_reason: None,
            response_bytes: 0,
            unconsumed_bytes: 0,
            progress: RequestProgress::default(),
            arrivals: ArrivalTimes::default(),
            input_age: 0,
            receiving_since: now,
            stalls_at: Micros::MAX,
        }
    }

    /// Returns whether the connection is closed after the current response.
    pub fn closes_after_response(&self) -> bool {
        self.close_reason.is_some()
    }

    /// Closes the connection after the current response. An earlier reason is kept.
    pub fn close_after_response(&mut self, reason: CloseReason) {
        self.close_reason.get_or_insert(reason);
    }

    /// Returns the time since which the connection is idle; `None` if it may not be evicted. It may not while a
    /// pipelined request was received, which is handled once the response to the request before it is written.
    pub fn idle_since(&self) -> Option<Micros> {
        (self.state == ClientState::Idle && !self.has_next_request()).then_some(self.idle_from)
    }

    /// Returns the rank of the connection among those that may be evicted and the time since which it is idle; `None` if
    /// it may not be evicted.
    pub fn eviction_order(&self, now: Micros) -> Option<(EvictionRank, Micros)> {
        let since = self.idle_since()?;
        let rank = match self.has_sent_query {
            false => EvictionRank::WithoutQuery,
            true if now - since >= KEEP_ALIVE_TIME => EvictionRank::Idle,
            true => EvictionRank::InUse,
        };
        Some((rank, since))
    }

    /// Returns whether unconsumed bytes follow the last request.
    pub fn has_next_request(&self) -> bool {
        self.unconsumed_bytes > 0
    }

    /// Returns whether the connection holds a descriptor without a complete request or response, and not because the
    /// client may expect that it stays open.
    pub fn is_without_complete_request(&self) -> bool {
        matches!(self.state, ClientState::New | ClientState::ReceivingRequest | ClientState::HalfClosed)
    }

    /// Returns whether no request is in progress and the connection is not being closed.
    pub fn has_no_request(&self) -> bool {
        matches!(self.state, ClientState::New | ClientState::Idle)
    }
}
