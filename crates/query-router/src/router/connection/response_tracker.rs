//! The attempts on a node connection to which a response may arrive, and the last response.

use crate::protocol::frames::FrameEnd;
use balancer::AttemptId;
use std::collections::VecDeque;
use std::sync::Arc;

/// The length of the start of a malformed or partial frame that is searched for the id of a shard request.
const ID_SEARCH_BYTES: usize = 256;

/// An attempt whose frame was passed to the event loop, and which has no response yet.
#[derive(Debug)]
pub struct InFlight {
    /// The shard request's id on the wire.
    pub id: Arc<str>,
    /// The attempt that was sent.
    pub attempt: AttemptId,
    /// The offset of the end of the attempt's frame in all bytes written on the connection.
    pub end_offset: u64,
}

/// A response of which nothing was received but the frame: bytes that follow may show that it is cut off.
#[derive(Clone, Debug)]
pub struct UnconfirmedResponse {
    /// The shard request's id on the wire.
    pub request_id: Arc<str>,
    /// The attempt that was answered.
    pub attempt: AttemptId,
}

/// Whether a response belongs to a shard request that is not in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateResponse {
    /// The shard request was cancelled.
    Cancelled,
    /// The response repeats the last one.
    Repeated,
    /// No response to the shard request was expected.
    Unexpected,
}

/// The attempts on a connection to which a response may arrive, and the last response.
#[derive(Debug, Default)]
pub struct ResponseTracker {
    /// The attempts in flight, oldest first.
    in_flight: Vec<InFlight>,
    /// The ids of the shard requests last cancelled on the connection, to which a response may still arrive.
    cancelled: VecDeque<Arc<str>>,
    /// The id of the shard request to which the last response on the connection belongs.
    last_answered: Option<Arc<str>>,
    /// The last response, if its end is unknown since no byte has followed it.
    unconfirmed: Option<UnconfirmedResponse>,
}

impl ResponseTracker {
    /// Returns the attempts in flight, oldest first.
    pub fn in_flight(&self) -> &[InFlight] {
        &self.in_flight
    }

    /// Adds attempts whose frame was passed to the event loop to those in flight.
    pub fn add_in_flight(&mut self, sent: impl IntoIterator<Item = InFlight>) {
        self.in_flight.extend(sent);
    }

    /// Removes and returns all attempts in flight.
    pub fn take_in_flight(&mut self) -> Vec<InFlight> {
        std::mem::take(&mut self.in_flight)
    }

    /// Returns an attempt in flight; `None` if it is not.
    pub fn find(&self, attempt: AttemptId) -> Option<&InFlight> {
        self.in_flight.iter().find(|sent| sent.attempt == attempt)
    }

    /// Returns the attempt in flight at the shard request with this id; `None` if there is none.
    pub fn attempt_at(&self, request_id: &str) -> Option<AttemptId> {
        self.in_flight.iter().find(|sent| &*sent.id == request_id).map(|sent| sent.attempt)
    }

    /// Returns the attempt in flight whose shard request is named at the start of these bytes, if any.
    pub fn attempt_named_in(&self, bytes: &[u8]) -> Option<AttemptId> {
        let start = &bytes[..bytes.len().min(ID_SEARCH_BYTES)];
        let named =
            |sent: &&InFlight| start.windows(sent.id.len()).any(|window| window == sent.id.as_bytes());
        self.in_flight.iter().find(named).map(|sent| sent.attempt)
    }

    /// Returns whether a response to an attempt may still arrive; a repeated response does not count.
    pub fn awaits_response(&self) -> bool {
        !(self.in_flight.is_empty() && self.cancelled.is_empty())
    }

    /// Returns whether a response to the shard request with this id may still arrive: to an attempt in flight or
    /// cancelled, or the last response a second time.
    pub fn may_receive_response_to(&self, request_id: &str) -> bool {
        let in_flight = self.in_flight.iter().map(|sent| &sent.id);
        self.cancelled.iter().chain(in_flight).chain(&self.last_answered).any(|id| **id == *request_id)
    }

    /// Removes an attempt in flight that is cancelled. Keeps the ids of at most `max_cancelled` shard requests to which a
    /// response may still arrive.
    pub fn cancel(&mut self, attempt: AttemptId, max_cancelled: usize) {
        let Some(sent) = self.remove(attempt) else { return };
        if self.cancelled.len() == max_cancelled {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(sent.id);
    }

    /// Removes an attempt in flight, to which a response has arrived that ends as `end` states.
    pub fn set_answered(&mut self, attempt: AttemptId, end: FrameEnd) {
        let Some(InFlight { id: request_id, .. }) = self.remove(attempt) else { return };
        self.last_answered = Some(request_id.clone());
        let is_unconfirmed = end == FrameEnd::Unknown;
        self.unconfirmed = is_unconfirmed.then_some(UnconfirmedResponse { request_id, attempt });
    }

    /// Handles a response to a shard request that is not in flight.
    pub fn record_late_response(&mut self, request_id: &str) -> LateResponse {
        let index = self.cancelled.iter().position(|known| **known == *request_id);
        if index.and_then(|index| self.cancelled.remove(index)).is_some() {
            return LateResponse::Cancelled;
        }
        let is_repeated = self.last_answered.as_deref() == Some(request_id);
        if is_repeated { LateResponse::Repeated } else { LateResponse::Unexpected }
    }

    /// Returns whether the end of the last response is unknown, since no byte has followed it.
    pub fn has_unconfirmed_response(&self) -> bool {
        self.unconfirmed.is_some()
    }

    /// Handles the bytes that were received after the last response, if its end was unknown until then. Returns the
    /// response if these bytes may belong to it.
    pub fn confirm_last_response(&mut self, following: &[u8]) -> Option<UnconfirmedResponse> {
        match FrameEnd::from_following(following) {
            FrameEnd::Unknown => None,
            FrameEnd::Confirmed => {
                self.unconfirmed = None;
                None
            }
            FrameEnd::Ambiguous => self.unconfirmed.take(),
        }
    }

    fn remove(&mut self, attempt: AttemptId) -> Option<InFlight> {
        let index = self.in_flight.iter().position(|sent| sent.attempt == attempt)?;
        Some(self.in_flight.remove(index))
    }
}
