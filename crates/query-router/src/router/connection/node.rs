//! The state of a node connection: queued frames, attempts in flight, health checks, and whether it can be reused.

use crate::router::connection::outgoing_queue::{HealthCheckKind, OutgoingFrame, OutgoingQueue};
use crate::router::connection::response_tracker::{LateResponse, ResponseTracker};
use balancer::{AttemptId, Micros, NodeId};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// Whether a node connection is established, and since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Establishment {
    /// The event loop is connecting.
    Connecting {
        /// The time at which the connection was requested.
        since: Micros,
    },
    /// Frames can be written to the connection.
    Established {
        /// The time at which the connection was established.
        since: Micros,
    },
}

/// How far the frame of an attempt was written when the attempt was cancelled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteProgress {
    /// No byte of the frame was written; the attempt was removed from the frame.
    NotWritten,
    /// The frame is not known to be written in full. The attempt ends with the connection.
    PartlyWritten,
    /// The frame was written in full; a cancellation is queued for the node.
    Written,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseCause {
    /// The node closed the connection, or the connection failed. Includes connections that the router aborts because
    /// the node was restarted, did not answer a health check in time, or could not parse a frame.
    Remote,
    /// The router closes the connection because it received malformed bytes while no attempt was in flight, because it
    /// cancelled an attempt whose frame is not known to be written in full, or because bytes for a node that is not
    /// ready any more are unwritten.
    Local,
    /// The router closes the connection because the response to this attempt is malformed.
    MalformedResponse(AttemptId),
}

/// A frame that was received in part.
#[derive(Clone, Copy, Debug)]
pub struct PartialFrame {
    /// The arrival time of the start of the frame.
    pub since: Micros,
    /// The attempt in flight whose shard request the frame names, if any.
    pub attempt: Option<AttemptId>,
}

/// The state of a connection to a data node.
#[derive(Debug)]
pub struct NodeConnection {
    /// The node to which the connection leads.
    pub node: NodeId,
    /// The address to which the connection leads. The node may have another one by now.
    pub address: SocketAddr,
    /// Whether the connection is established, and since when.
    establishment: Establishment,
    /// Whether a local shortage delayed the opening of the connection; remains true once the connection is established.
    local_shortage: bool,
    /// The time since which the connection counts as idle. Meaningful only while it is idle.
    idle_from: Micros,
    queue: OutgoingQueue,
    /// The number of submitted bytes: those that were passed to the event loop for writing.
    bytes_submitted: u64,
    /// The number of submitted bytes that are known to be written.
    bytes_flushed: u64,
    /// The attempts to which a response may arrive, and the last response.
    pub responses: ResponseTracker,
    /// Whether further batches may be sent. False after a response to a shard request that was not in flight or
    /// cancelled, after the cancellation of an attempt whose response is overdue if no frame has arrived since the
    /// attempt was requested, and when the connection is aborted because of a partly written frame or because the node
    /// could not parse one.
    reusable: bool,
    /// The number of frames in succession that nobody waits for.
    pub ignored_frames: usize,
    /// The arrival time of the last complete frame; 0 if there was none.
    last_frame_at: Micros,
    /// The frame that was received in part, if there is one.
    partial_frame: Option<PartialFrame>,
    /// Why the connection ends; [`CloseCause::Remote`] until another cause is set.
    close_cause: CloseCause,
    /// The deadlines of the health checks without a response, oldest first.
    health_check_deadlines: VecDeque<Micros>,
}

impl NodeConnection {
    /// Creates the state of a connection that is requested at `now`.
    pub fn new(node: NodeId, address: SocketAddr, now: Micros) -> NodeConnection {
        NodeConnection {
            node,
            address,
            establishment: Establishment::Connecting { since: now },
            local_shortage: false,
            idle_from: now,
            queue: OutgoingQueue::default(),
            bytes_submitted: 0,
            bytes_flushed: 0,
            responses: ResponseTracker::default(),
            reusable: true,
            ignored_frames: 0,
            last_frame_at: 0,
            partial_frame: None,
            close_cause: CloseCause::Remote,
            health_check_deadlines: VecDeque::new(),
        }
    }

    /// Returns whether the connection is established, and since when.
    pub fn establishment(&self) -> Establishment {
        self.establishment
    }

    /// Records that a local shortage, and not the node, delays the opening of the connection.
    pub fn set_local_shortage(&mut self) {
        self.local_shortage = true;
    }

    /// Returns whether a local shortage has delayed the opening of the connection and it is not established.
    pub fn has_local_shortage(&self) -> bool {
        self.local_shortage && !self.is_established()
    }

    /// Records that the connection is established.
    pub fn set_established(&mut self, now: Micros) {
        self.establishment = Establishment::Established { since: now };
    }

    /// Returns whether the connection is established.
    pub fn is_established(&self) -> bool {
        matches!(self.establishment, Establishment::Established { .. })
    }

    /// Returns the time since which the connection is idle: established, with no frame queued, no attempt in flight and
    /// no health check without a response. `None` if it is not idle.
    pub fn idle_since(&self) -> Option<Micros> {
        let idle = self.is_established()
            && self.responses.in_flight().is_empty()
            && self.queue.is_empty()
            && self.health_check_deadlines.is_empty();
        idle.then_some(self.idle_from)
    }

    /// Sets the time since which the connection counts as idle to `now`.
    pub fn restart_idle_time(&mut self, now: Micros) {
        self.idle_from = now;
    }

    /// Returns whether further batches may be sent.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Forbids further batches on the connection.
    pub fn forbid_reuse(&mut self) {
        self.reusable = false;
    }

    /// Records that the router closes the connection although attempts are in flight on it.
    pub fn abandon(&mut self) {
        self.close_cause = CloseCause::Local;
        self.reusable = false;
    }

    /// Returns why the connection ends.
    pub fn close_cause(&self) -> CloseCause {
        self.close_cause
    }

    /// Sets the cause of the close after malformed bytes. Returns the attempt whose response counts as malformed: the
    /// one `named` in the bytes, or else the oldest in flight. `None` if no attempt is in flight.
    pub fn set_malformed(&mut self, named: Option<AttemptId>) -> Option<AttemptId> {
        let malformed = named.or(self.responses.in_flight().first().map(|sent| sent.attempt));
        self.close_cause = malformed.map_or(CloseCause::Local, CloseCause::MalformedResponse);
        malformed
    }

    /// Returns the number of attempts that are queued or in flight.
    pub fn attempt_count(&self) -> usize {
        self.responses.in_flight().len() + self.queue.attempts().count()
    }

    /// Records that the event loop has written all submitted bytes.
    pub fn set_flushed(&mut self) {
        self.bytes_flushed = self.bytes_submitted;
    }

    /// Returns whether all submitted bytes are known to be written.
    pub fn is_flushed(&self) -> bool {
        self.bytes_flushed >= self.bytes_submitted
    }

    /// Returns the frames of which no byte has been passed to the event loop.
    pub fn queue(&self) -> &OutgoingQueue {
        &self.queue
    }

    /// Returns the frames of which no byte has been passed to the event loop.
    pub fn queue_mut(&mut self) -> &mut OutgoingQueue {
        &mut self.queue
    }

    /// Returns whether a response to an earlier frame may still arrive.
    pub fn awaits_response(&self) -> bool {
        self.responses.awaits_response() || !self.health_check_deadlines.is_empty()
    }

    /// Queues a batch.
    pub fn queue_batch(&mut self, attempts: Vec<AttemptId>) {
        self.queue.push(OutgoingFrame::Batch(attempts));
    }

    /// Queues a health check whose response must arrive by `deadline`. Returns the actual deadline, which is later than
    /// that of the health check before, so that each timer belongs to one health check.
    pub fn queue_health_check(&mut self, kind: HealthCheckKind, deadline: Micros) -> Micros {
        let last_deadline = self.health_check_deadlines.back();
        let deadline = last_deadline.map_or(deadline, |last| deadline.max(last + 1));
        self.queue.push(OutgoingFrame::HealthCheck(kind));
        self.health_check_deadlines.push_back(deadline);
        deadline
    }

    /// Removes the oldest health check without a response. Returns its deadline; `None` if there is none.
    pub fn pop_health_check(&mut self) -> Option<Micros> {
        self.health_check_deadlines.pop_front()
    }

    /// Cancels an attempt, and queues a cancellation frame if the attempt was written in full. Keeps the ids of at most
    /// `max_cancelled` shard requests to which a response may still arrive.
    ///
    /// `unanswered_since` is the time at which the attempt was requested if its response is overdue, and `None` if it
    /// is not. A connection on which no frame has arrived since then is not reused, since it may have failed without
    /// notice although its node is healthy.
    pub fn cancel(
        &mut self, attempt: AttemptId, request_id: &Arc<str>, max_cancelled: usize,
        unanswered_since: Option<Micros>,
    ) -> WriteProgress {
        let Some(sent) = self.responses.find(attempt) else {
            self.queue.remove(attempt);
            return WriteProgress::NotWritten;
        };
        if sent.end_offset > self.bytes_flushed {
            self.abandon();
            return WriteProgress::PartlyWritten;
        }
        self.responses.cancel(attempt, max_cancelled);
        if unanswered_since.is_some_and(|requested_at| self.last_frame_at < requested_at) {
            self.reusable = false;
        }
        self.queue.push(OutgoingFrame::Cancellation(request_id.clone()));
        WriteProgress::Written
    }

    /// Adds a frame of `length` bytes to the submitted bytes. Returns the offset of its end in all bytes written on the
    /// connection.
    pub fn add_submitted(&mut self, length: usize) -> u64 {
        self.bytes_submitted += length as u64;
        self.bytes_submitted
    }

    /// Handles a response to a shard request that is not in flight. Unless the shard request was cancelled on the
    /// connection, the connection is not reused. Returns whether the response can be ignored: either the connection can
    /// still be reused, or the response repeats the last one.
    pub fn handle_late_response(&mut self, request_id: &str) -> bool {
        let response = self.responses.record_late_response(request_id);
        if response != LateResponse::Cancelled {
            self.reusable = false;
        }
        self.reusable || response == LateResponse::Repeated
    }

    /// Returns the frame that was received in part, if there is one.
    pub fn partial_frame(&self) -> Option<PartialFrame> {
        self.partial_frame
    }

    /// Records `consumed` bytes of complete frames that were read, and `rest`, the start of the next frame.
    pub fn record_received(&mut self, now: Micros, consumed: usize, rest: &[u8]) {
        let since = self.partial_frame.filter(|_| consumed == 0).map_or(now, |partial| partial.since);
        let attempt = self.responses.attempt_named_in(rest);
        self.partial_frame = (!rest.is_empty()).then_some(PartialFrame { since, attempt });
        if consumed > 0 {
            self.last_frame_at = now;
        }
    }

    /// Returns whether an attempt is in flight on the connection and known to be written in full.
    pub fn has_written(&self, attempt: AttemptId) -> bool {
        self.responses.find(attempt).is_some_and(|sent| sent.end_offset <= self.bytes_flushed)
    }
}
