//! The state of a node connection: what is queued for it, what is in flight on it, and whether it can be reused.

use crate::router::connection::outgoing_queue::{HealthCheckKind, OutgoingFrame, OutgoingQueue};
use balancer::{AttemptId, Micros, NodeId};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// How far into a malformed frame the id of its shard request is searched for.
const FRAME_START_BYTES: usize = 256;

/// Whether a node connection is established.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Establishment {
    /// The event loop is connecting.
    Connecting {
        /// When the connection was requested.
        since: Micros,
    },
    /// It can be written to.
    Established {
        /// When it was established.
        since: Micros,
    },
}

/// How far an attempt was sent when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendProgress {
    /// Removed before its first byte was written.
    NotSent,
    /// Its frame is not known to be written in full: the attempt ends with the connection.
    PartlyWritten,
    /// Written in full; a cancellation is queued for the node.
    Sent,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseCause {
    /// The node closed it, or it broke.
    Remote,
    /// This router closes it.
    Local,
    /// This router closes it since the response to this attempt could not be read.
    MalformedResponse(AttemptId),
}

/// An attempt that was handed to the event loop.
#[derive(Debug)]
pub struct InFlight {
    /// The shard request's id on the wire.
    pub id: Rc<str>,
    /// The attempt that was sent.
    pub attempt: AttemptId,
    /// How many bytes are written on the connection once its frame is written in full.
    pub end_offset: u64,
}

/// A frame of which only the start was received.
#[derive(Clone, Copy, Debug)]
pub struct PartialFrame {
    /// When the start was received.
    pub since: Micros,
    /// The attempt in flight that it names, if any.
    pub attempt: Option<AttemptId>,
}

/// A connection to a data node.
#[derive(Debug)]
pub struct NodeConnection {
    /// The node that it leads to.
    pub node: NodeId,
    /// The address that the connection leads to.
    pub address: SocketAddr,
    /// Whether it is established, and since when.
    establishment: Establishment,
    /// Whether this machine could not open it at first.
    delayed_locally: bool,
    /// Since when it counts as idle, if it is idle.
    idle_from: Micros,
    queue: OutgoingQueue,
    /// How many bytes were handed to the event loop.
    bytes_handed_over: u64,
    /// How many of them are known to be written.
    bytes_flushed: u64,
    /// The attempts in flight, oldest first.
    in_flight: Vec<InFlight>,
    /// The ids of the shard requests last cancelled on the connection, to which a response may still come.
    cancelled: VecDeque<Rc<str>>,
    /// The id of the shard request last answered on the connection.
    last_answered: Option<Rc<str>>,
    /// Whether further batches may be sent. False once a response came that belongs to no shard request sent here, or
    /// once an expected response did not come.
    reusable: bool,
    /// When the last complete frame was received.
    last_frame_at: Micros,
    /// The frame of which only the start was received.
    partial_frame: Option<PartialFrame>,
    /// Why it ends.
    close_cause: CloseCause,
    /// The deadlines of the unanswered health checks, oldest first.
    health_check_deadlines: VecDeque<Micros>,
}

impl NodeConnection {
    /// A connection that is about to be established.
    pub fn new(node: NodeId, address: SocketAddr, now: Micros) -> NodeConnection {
        NodeConnection {
            node,
            address,
            establishment: Establishment::Connecting { since: now },
            delayed_locally: false,
            idle_from: now,
            queue: OutgoingQueue::default(),
            bytes_handed_over: 0,
            bytes_flushed: 0,
            in_flight: Vec::new(),
            cancelled: VecDeque::new(),
            last_answered: None,
            reusable: true,
            last_frame_at: 0,
            partial_frame: None,
            close_cause: CloseCause::Remote,
            health_check_deadlines: VecDeque::new(),
        }
    }

    /// Whether the connection is established, and since when.
    pub fn establishment(&self) -> Establishment {
        self.establishment
    }

    /// Notes that this machine, and not the node, keeps the connection from being established.
    pub fn set_delayed_locally(&mut self) {
        self.delayed_locally = true;
    }

    /// Whether this machine, and not the node, kept the connection from being established.
    pub fn is_delayed_locally(&self) -> bool {
        self.delayed_locally && !self.is_established()
    }

    /// Notes that the connection is established.
    pub fn set_established(&mut self, now: Micros) {
        self.establishment = Establishment::Established { since: now };
    }

    /// Whether the connection is established.
    pub fn is_established(&self) -> bool {
        matches!(self.establishment, Establishment::Established { .. })
    }

    /// Since when it has been idle: established, with nothing queued and no response expected. `None` if it is not
    /// idle.
    pub fn idle_since(&self) -> Option<Micros> {
        let idle = self.is_established()
            && self.in_flight.is_empty()
            && self.queue.is_empty()
            && self.health_check_deadlines.is_empty();
        idle.then_some(self.idle_from)
    }

    /// Restarts the idle time, after an event on an idle connection.
    pub fn restart_idle_time(&mut self, now: Micros) {
        self.idle_from = now;
    }

    /// Whether further batches may be sent.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Rules out that further batches are sent.
    pub fn forbid_reuse(&mut self) {
        self.reusable = false;
    }

    /// Why the connection ends.
    pub fn close_cause(&self) -> CloseCause {
        self.close_cause
    }

    /// Notes that this router closes the connection on account of bytes that cannot be used. Returns the attempt whose
    /// response counts as malformed: the one `named` in the bytes, or else the oldest in flight, if there is one.
    pub fn set_malformed(&mut self, named: Option<AttemptId>) -> Option<AttemptId> {
        let malformed = named.or(self.in_flight.first().map(|sent| sent.attempt));
        self.close_cause = malformed.map_or(CloseCause::Local, CloseCause::MalformedResponse);
        malformed
    }

    /// The number of attempts that are queued or in flight.
    pub fn load(&self) -> usize {
        self.in_flight.len() + self.queue.attempts().count()
    }

    /// Notes that the event loop has written everything that was handed to it.
    pub fn set_flushed(&mut self) {
        self.bytes_flushed = self.bytes_handed_over;
    }

    /// Whether everything handed to the event loop is known to be written.
    pub fn is_flushed(&self) -> bool {
        self.bytes_flushed >= self.bytes_handed_over
    }

    /// The frames of which no byte is written.
    pub fn queue(&self) -> &OutgoingQueue {
        &self.queue
    }

    /// The frames of which no byte is written.
    pub fn queue_mut(&mut self) -> &mut OutgoingQueue {
        &mut self.queue
    }

    /// Whether the node may send something although nothing more is sent to it.
    pub fn awaits_response(&self) -> bool {
        !(self.in_flight.is_empty() && self.health_check_deadlines.is_empty() && self.cancelled.is_empty())
    }

    /// Whether a response to the shard request with this id may come on the connection.
    pub fn may_answer(&self, request_id: &str) -> bool {
        self.cancelled.iter().chain(self.in_flight.iter().map(|sent| &sent.id)).any(|id| **id == *request_id)
    }

    /// Queues a batch.
    pub fn queue_batch(&mut self, attempts: Vec<AttemptId>) {
        self.queue.push(OutgoingFrame::Batch(attempts));
    }

    /// Queues a health check that must be answered by `deadline`. Returns its deadline, which is later if the one
    /// before has the same: a timer stands for one health check.
    pub fn queue_health_check(&mut self, kind: HealthCheckKind, deadline: Micros) -> Micros {
        let last_deadline = self.health_check_deadlines.back();
        let deadline = last_deadline.map_or(deadline, |last| deadline.max(last + 1));
        self.queue.push(OutgoingFrame::HealthCheck(kind));
        self.health_check_deadlines.push_back(deadline);
        deadline
    }

    /// Removes the oldest unanswered health check. Returns its deadline.
    pub fn pop_health_check(&mut self) -> Option<Micros> {
        self.health_check_deadlines.pop_front()
    }

    /// Cancels an attempt; a cancellation is queued for one that was written. Keeps the ids of at most `max_cancelled`
    /// shard requests to which a response may still come. `unanswered_since` is when the attempt was requested if its
    /// response should have come by now. Guards against a connection that fell silent while its node is well: one that
    /// has received no frame since then is not reused.
    pub fn cancel(
        &mut self, attempt: AttemptId, request_id: &Rc<str>, max_cancelled: usize,
        unanswered_since: Option<Micros>,
    ) -> SendProgress {
        let Some(index) = self.in_flight.iter().position(|sent| sent.attempt == attempt) else {
            self.queue.remove(attempt);
            return SendProgress::NotSent;
        };
        if self.in_flight[index].end_offset > self.bytes_flushed {
            self.close_cause = CloseCause::Local;
            self.reusable = false;
            return SendProgress::PartlyWritten;
        }
        self.in_flight.remove(index);
        if unanswered_since.is_some_and(|requested_at| self.last_frame_at < requested_at) {
            self.reusable = false;
        }
        if self.cancelled.len() == max_cancelled {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(request_id.clone());
        self.queue.push(OutgoingFrame::Cancellation(request_id.clone()));
        SendProgress::Sent
    }

    /// Notes that a frame of `length` bytes was handed to the event loop. Returns how many bytes are written on the
    /// connection once the frame is.
    pub fn add_handed_over(&mut self, length: usize) -> u64 {
        self.bytes_handed_over += length as u64;
        self.bytes_handed_over
    }

    /// Adds attempts that were handed to the event loop to those in flight.
    pub fn add_in_flight(&mut self, sent: impl IntoIterator<Item = InFlight>) {
        self.in_flight.extend(sent);
    }

    /// Removes and returns all attempts in flight.
    pub fn take_in_flight(&mut self) -> Vec<InFlight> {
        std::mem::take(&mut self.in_flight)
    }

    /// Removes the attempt in flight at the shard request with this id, which was answered.
    pub fn take_answered(&mut self, request_id: &str) -> Option<AttemptId> {
        let index = self.in_flight.iter().position(|sent| &*sent.id == request_id)?;
        let sent = self.in_flight.remove(index);
        self.last_answered = Some(sent.id);
        Some(sent.attempt)
    }

    /// Notes a response to a shard request that is not in flight. Unless the shard request was cancelled on the
    /// connection, the connection is not reused. Returns whether the response may be ignored: it may if the connection
    /// can still be reused, or if it repeats the last response.
    pub fn ignore_late_response(&mut self, request_id: &str) -> bool {
        let index = self.cancelled.iter().position(|known| **known == *request_id);
        if index.and_then(|index| self.cancelled.remove(index)).is_none() {
            self.reusable = false;
        }
        self.reusable || self.last_answered.as_deref() == Some(request_id)
    }

    /// The frame of which only the start was received.
    pub fn partial_frame(&self) -> Option<PartialFrame> {
        self.partial_frame
    }

    /// Notes that received bytes were read: `consumed` bytes of complete frames, and `rest`, the start of another.
    pub fn note_received(&mut self, now: Micros, consumed: usize, rest: &[u8]) {
        let since = self.partial_frame.filter(|_| consumed == 0).map_or(now, |partial| partial.since);
        let attempt = self.attempt_named_in(rest);
        self.partial_frame = (!rest.is_empty()).then_some(PartialFrame { since, attempt });
        if consumed > 0 {
            self.last_frame_at = now;
        }
    }

    /// Whether an attempt was sent on the connection and is known to be written in full.
    pub fn has_written(&self, attempt: AttemptId) -> bool {
        self.in_flight.iter().any(|sent| sent.attempt == attempt && sent.end_offset <= self.bytes_flushed)
    }

    /// The attempt in flight whose shard request is named at the start of these bytes.
    pub fn attempt_named_in(&self, bytes: &[u8]) -> Option<AttemptId> {
        let start = &bytes[..bytes.len().min(FRAME_START_BYTES)];
        let named =
            |sent: &&InFlight| start.windows(sent.id.len()).any(|window| window == sent.id.as_bytes());
        self.in_flight.iter().find(named).map(|sent| sent.attempt)
    }
}
