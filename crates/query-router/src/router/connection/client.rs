//! The state of a client connection.

use super::arrival_times::ArrivalTimes;
use balancer::{Micros, QueryId};

/// The phase of a client connection between a request and its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientState {
    /// Accepted recently: a request is about to arrive, so the connection is not evicted.
    New,
    /// No request is in progress; the connection may be evicted.
    Idle,
    /// The event loop closes it unless a request was received and not read.
    ClosingIfIdle,
    /// The start of a request was received.
    ReceivingRequest,
    /// Its query is in progress.
    AwaitingAnswer(QueryId),
    /// An answer is being written.
    SendingAnswer,
    /// Closed for writing by this router; received bytes are discarded.
    HalfClosed,
}

/// A client connection.
#[derive(Debug)]
pub struct ClientConnection {
    /// The phase between a request and its answer.
    pub state: ClientState,
    /// When it was accepted, later when its last answer was written.
    pub idle_from: Micros,
    /// Whether it is closed after the current answer.
    pub close_after_answer: bool,
    /// How many bytes were received on it and are not consumed.
    pub unconsumed: usize,
    /// When they came.
    pub arrivals: ArrivalTimes,
    /// Since when a request is incomplete.
    pub receiving_since: Micros,
    /// When an incomplete request counts as stalled.
    pub stalls_at: Micros,
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub fn new(now: Micros) -> ClientConnection {
        ClientConnection {
            state: ClientState::New,
            idle_from: now,
            close_after_answer: false,
            unconsumed: 0,
            arrivals: ArrivalTimes::default(),
            receiving_since: now,
            stalls_at: Micros::MAX,
        }
    }

    /// Since when it could be evicted, if it may be. Guards against losing a request that was received behind the last
    /// one: it is handled once the answer to that one has been written.
    pub fn idle_since(&self) -> Option<Micros> {
        (self.state == ClientState::Idle && !self.has_next_request()).then_some(self.idle_from)
    }

    /// Whether bytes came behind the last request, and are handled next.
    pub fn has_next_request(&self) -> bool {
        self.unconsumed > 0
    }

    /// Whether no request is in progress.
    pub fn without_request(&self) -> bool {
        matches!(self.state, ClientState::New | ClientState::Idle)
    }
}
