//! The state of a node connection: what is queued for it, what is in flight on it, and whether it can be reused.

use balancer::{AttemptId, Micros, NodeId};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// How far into a malformed frame the id of its shard request is searched for.
const FRAME_START_BYTES: usize = 256;

/// Whether a node connection is established.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Establishment {
    /// The event loop was asked to connect.
    Connecting {
        /// When it was asked.
        since: Micros,
    },
    /// It can be written to.
    Established {
        /// When it was established.
        since: Micros,
    },
}

/// What became of an attempt that was cancelled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cancelled {
    /// Removed before its first byte was written.
    NotSent,
    /// Its frame is not known to be written in full: the attempt ends with the connection.
    PartlyWritten,
    /// Written in full; the node is told.
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

/// What a health check asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthCheckKind {
    /// Whether the node is well.
    Health,
    /// Its load, where load comes by health checks.
    Load,
}

/// Something to be written to a data node.
#[derive(Debug)]
pub enum OutgoingFrame {
    /// The attempts of one batch.
    Batch(Vec<AttemptId>),
    /// The shard request with this id is cancelled.
    Cancellation(Rc<str>),
    /// A health check.
    HealthCheck(HealthCheckKind),
}

/// An attempt that was handed to the event loop.
#[derive(Debug)]
pub struct InFlight {
    /// The shard request's id on the wire.
    pub id: Rc<str>,
    /// The attempt.
    pub attempt: AttemptId,
    /// It is written in full once so many bytes of the connection are.
    pub end_offset: u64,
}

/// A frame of which only the start has come in.
#[derive(Clone, Copy, Debug)]
pub struct PartialFrame {
    /// When the start came in.
    pub since: Micros,
    /// The attempt in flight that it names, if any.
    pub attempt: Option<AttemptId>,
}

/// A connection to a data node.
#[derive(Debug)]
pub struct NodeConnection {
    /// The node.
    pub node: NodeId,
    /// Where the connection leads.
    pub address: SocketAddr,
    /// Whether it is established, and since when.
    pub establishment: Establishment,
    /// When it last became idle.
    pub idle_from: Micros,
    /// What has not begun to be written and can be cancelled.
    pub queue: VecDeque<OutgoingFrame>,
    /// How many bytes were handed to the event loop.
    pub bytes_handed_over: u64,
    /// How many of them are known to be written.
    pub bytes_flushed: u64,
    /// The attempts in flight, oldest first.
    pub in_flight: Vec<InFlight>,
    /// The ids of the last shard requests abandoned here, to which a response may still come.
    pub abandoned: VecDeque<Rc<str>>,
    /// The id of the last shard request that was answered here.
    pub last_answered: Option<Rc<str>>,
    /// Whether anything new may be sent. Not so once a response came that belongs to nothing here, or none where
    /// one was due.
    pub reusable: bool,
    /// When the last complete frame came in.
    pub last_frame_at: Micros,
    /// The frame that is coming in.
    pub partial_frame: Option<PartialFrame>,
    /// Why it ends.
    pub close_cause: CloseCause,
    /// By when the unanswered health checks must be answered, oldest first.
    pub health_check_deadlines: VecDeque<Micros>,
}

impl NodeConnection {
    /// A connection that is about to be established.
    pub fn new(node: NodeId, address: SocketAddr, now: Micros) -> NodeConnection {
        NodeConnection {
            node,
            address,
            establishment: Establishment::Connecting { since: now },
            idle_from: now,
            queue: VecDeque::new(),
            bytes_handed_over: 0,
            bytes_flushed: 0,
            in_flight: Vec::new(),
            abandoned: VecDeque::new(),
            last_answered: None,
            reusable: true,
            last_frame_at: 0,
            partial_frame: None,
            close_cause: CloseCause::Remote,
            health_check_deadlines: VecDeque::new(),
        }
    }

    /// Whether it is established.
    pub fn is_established(&self) -> bool {
        matches!(self.establishment, Establishment::Established { .. })
    }

    /// Since when it has had nothing to do, if it is established and has nothing to do.
    pub fn idle_since(&self) -> Option<Micros> {
        let idle = self.is_established()
            && self.in_flight.is_empty()
            && self.queue.is_empty()
            && self.health_check_deadlines.is_empty();
        idle.then_some(self.idle_from)
    }

    /// How many attempts are queued or in flight here.
    pub fn load(&self) -> usize {
        self.in_flight.len() + self.queued_attempts().count()
    }

    /// Whether everything handed to the event loop is written.
    pub fn is_flushed(&self) -> bool {
        self.bytes_flushed >= self.bytes_handed_over
    }

    /// The attempts that have not begun to be written.
    pub fn queued_attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        let batches = self.queue.iter().filter_map(|frame| match frame {
            OutgoingFrame::Batch(attempts) => Some(attempts),
            _ => None,
        });
        batches.flatten().copied()
    }

    /// Whether something is due from the node before it is sent anything more.
    pub fn awaits_response(&self) -> bool {
        !(self.in_flight.is_empty() && self.health_check_deadlines.is_empty() && self.abandoned.is_empty())
    }

    /// Adds a batch to what is to be written.
    pub fn queue_batch(&mut self, attempts: Vec<AttemptId>) {
        self.queue.push_back(OutgoingFrame::Batch(attempts));
    }

    /// The position in the queue of the first batch.
    pub fn first_queued_batch(&self) -> Option<usize> {
        self.queue.iter().position(|frame| matches!(frame, OutgoingFrame::Batch(_)))
    }

    /// Removes an attempt that has not begun to be written.
    pub fn remove_queued(&mut self, attempt: AttemptId) {
        self.queue.retain_mut(|frame| match frame {
            OutgoingFrame::Batch(attempts) => {
                attempts.retain(|&queued| queued != attempt);
                !attempts.is_empty()
            }
            _ => true,
        });
    }

    /// Cancels an attempt; the node is told of one that was written. Keeps the ids of at most `max_abandoned`
    /// shard requests to which a response may still come. Guards against a connection that fell silent while its
    /// node is well: one that has received nothing since an attempt whose response was `due_since` is not reused.
    pub fn cancel(
        &mut self, attempt: AttemptId, id: &Rc<str>, max_abandoned: usize, due_since: Option<Micros>,
    ) -> Cancelled {
        let Some(index) = self.in_flight.iter().position(|sent| sent.attempt == attempt) else {
            self.remove_queued(attempt);
            return Cancelled::NotSent;
        };
        if self.in_flight[index].end_offset > self.bytes_flushed {
            self.close_cause = CloseCause::Local;
            return Cancelled::PartlyWritten;
        }
        self.in_flight.remove(index);
        if due_since.is_some_and(|sent_at| self.last_frame_at < sent_at) {
            self.reusable = false;
        }
        if self.abandoned.len() == max_abandoned {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back(id.clone());
        self.queue.push_back(OutgoingFrame::Cancellation(id.clone()));
        Cancelled::Sent
    }

    /// Whether an attempt was sent here and is known to be written in full.
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
