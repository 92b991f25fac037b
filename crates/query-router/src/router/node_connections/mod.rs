//! Connections to data nodes: which one an attempt goes on, what is written on them, when they are closed.

mod receive;

use crate::config::Config;
use crate::io::{Bytes, ConnectionId, Effect};
use crate::protocol::frames;
use crate::router::connection::Connection;
use crate::router::connection::node::{CloseCause, Establishment, InFlight, NodeConnection, OutgoingFrame};
use crate::router::context::Context;
use crate::router::query_table::{FinishedAttempt, QueryTable};
use crate::router::timers::Timer;
use balancer::{AttemptId, AttemptOutcome, LoadMetric, Micros, NodeId};
use std::rc::Rc;

/// What an event on a node connection tells the balancer.
#[derive(Debug)]
pub enum NodeReport<'a> {
    /// An attempt has ended.
    Attempt(FinishedAttempt, Vec<LoadMetric<'a>>),
    /// A health check has ended.
    HealthCheck(FinishedHealthCheck, Vec<LoadMetric<'a>>),
}

/// A health check that has ended.
#[derive(Clone, Copy, Debug)]
pub struct FinishedHealthCheck {
    /// The node that was checked.
    pub node: NodeId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The time since it was sent.
    pub latency: Micros,
}

/// How well a connection suits an attempt; the smaller, the better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Suitability {
    /// It has been idle for a decision interval at least.
    Rested,
    /// It became idle recently: its node may close it right behind its last response.
    JustIdle,
    /// Something is queued or in flight on it.
    Busy,
}

/// A connection that an attempt could go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    suitability: Suitability,
    idle_since: Option<Micros>,
    connecting: bool,
    load: usize,
    connection: ConnectionId,
}

/// What the configuration says of connections to data nodes.
#[derive(Debug)]
pub struct NodeConnections {
    /// The letter of a health check's frame: one asks for load where load comes by health checks, else for health.
    health_check_letter: u8,
}

impl NodeConnections {
    /// As the configuration says.
    pub fn new(config: &Config) -> NodeConnections {
        let reports_load = config.settings.text("load_report.transport") == "health_checks";
        NodeConnections { health_check_letter: if reports_load { b'T' } else { b'G' } }
    }

    /// A connection for shard requests with these ids: one that is idle for a decision interval at least, since its
    /// node may close it right behind a response, the longest idle first; else a new one; else one with capacity.
    /// Guards against what befalls a connection befalling everything in flight on it: batches share one only where a
    /// node's share of the connections is used up. Responses carry no attempt number, so no shard request is sent
    /// twice on one connection.
    pub fn connection_for(
        &self, context: &mut Context, queries: &QueryTable, node: NodeId, ids: &[Rc<str>],
    ) -> Option<ConnectionId> {
        let best = best_connection(context, queries, node, ids);
        if let Some(candidate) = best
            && (candidate.suitability == Suitability::Rested || ids.is_empty())
        {
            return Some(candidate.connection);
        }
        // Clients may hold a third of the connections; the nodes share what is left.
        let share = 2 * context.limits.max_connections / 3 / context.endpoints.ready_count().max(1);
        let shared = best.map(|candidate| candidate.connection);
        let share_is_used_up = context.endpoints[node].connections.len() >= share;
        if share_is_used_up && shared.is_some() {
            return shared;
        }
        open(context, node).or(shared)
    }

    /// Queues a batch on a connection.
    pub fn queue_batch(
        &self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, attempts: Vec<AttemptId>,
    ) {
        for &attempt in &attempts {
            queries.set_connection(attempt, id);
        }
        context.connections.node(id).queue_batch(attempts);
    }

    /// Moves batches that wait for a connection to be established to one that has become idle meanwhile; returns the
    /// connections that they are queued on now. Guards against connections that come up late holding up what a
    /// sound one could carry, until the batch counts as never sent.
    pub fn reassign_batches(&self, context: &mut Context, queries: &mut QueryTable) -> Vec<ConnectionId> {
        let waiting: Vec<(ConnectionId, NodeId)> = context
            .connections
            .nodes()
            .filter(|(_, connection)| !connection.is_established())
            .filter(|(_, connection)| connection.queued_attempts().next().is_some())
            .map(|(id, connection)| (id, connection.node))
            .collect();
        let mut receivers = Vec::new();
        for (id, node) in waiting {
            while let Some(receiver) = self.reassign_batch(context, queries, id, node) {
                receivers.push(receiver);
            }
        }
        receivers
    }

    /// Moves the first batch queued on a connection, if an idle one suits it.
    fn reassign_batch(
        &self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, node: NodeId,
    ) -> Option<ConnectionId> {
        let index = context.connections.node(id).first_queued_batch()?;
        let OutgoingFrame::Batch(attempts) = &context.connections.node(id).queue[index] else { return None };
        let attempts = attempts.clone();
        let candidate = best_connection(context, queries, node, &queries.ids(&attempts))?;
        if candidate.suitability != Suitability::Rested {
            return None;
        }
        context.connections.node(id).queue.remove(index);
        context.counters.batches_reassigned += 1;
        self.queue_batch(context, queries, candidate.connection, attempts);
        Some(candidate.connection)
    }

    /// A connection is established.
    pub fn established(&self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId) {
        context.connections.node(id).establishment = Establishment::Established { since: context.now };
        self.write(context, queries, id);
        self.close_or_keep_idle(context, id);
    }

    /// Everything handed to the event loop is written.
    pub fn flushed(&self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId) {
        let connection = context.connections.node(id);
        connection.bytes_flushed = connection.bytes_handed_over;
        self.write(context, queries, id);
        self.close_or_keep_idle(context, id);
    }

    /// Hands what is queued for a connection to the event loop, once everything before it is written.
    pub fn write(&self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId) {
        let Some(connection) = context.connections.as_node(id) else { return };
        if !connection.is_established() || !connection.is_flushed() || connection.queue.is_empty() {
            return;
        }
        cancel_expired(context, queries, id);
        let connection = context.connections.node(id);
        if connection.queue.is_empty() {
            return;
        }
        // Guards against a batch that is sent behind a node's last frame, or behind half of one.
        let response_due = connection.queued_attempts().next().is_none() || connection.awaits_response();
        let mut buffers: Vec<Bytes> = Vec::new();
        while let Some(frame) = context.connections.node(id).queue.pop_front() {
            self.encode(context, queries, id, frame, &mut buffers);
        }
        context.effects.push(Effect::WriteIfOpen(id, buffers, response_due));
        set_timer(context, id);
    }

    /// Appends a frame to what is written; its attempts are in flight from now on.
    fn encode(
        &self, context: &mut Context, queries: &QueryTable, id: ConnectionId, frame: OutgoingFrame,
        buffers: &mut Vec<Bytes>,
    ) {
        let head_index = buffers.len();
        buffers.push(Rc::from([]));
        let letter = match &frame {
            OutgoingFrame::Batch(attempts) => {
                encode_attempts(queries, attempts, context.now, buffers);
                context.counters.batches_sent += 1;
                context.counters.attempts_sent += attempts.len() as u64;
                b'R'
            }
            OutgoingFrame::Cancellation(request) => {
                buffers.push(request.as_bytes().into());
                b'A'
            }
            OutgoingFrame::HealthCheck => {
                context.counters.health_checks_sent += 1;
                self.health_check_letter
            }
        };
        let length = buffers[head_index..].iter().map(|buffer| buffer.len()).sum();
        let head = frames::head(letter, length);
        buffers[head_index] = head.into();
        let connection = context.connections.node(id);
        connection.bytes_handed_over += (head.len() + length) as u64;
        if let OutgoingFrame::Batch(attempts) = frame {
            let end_offset = connection.bytes_handed_over;
            connection.in_flight.extend(attempts.into_iter().map(|attempt| {
                let id = queries.shard_request(attempt.shard_request).id.clone();
                InFlight { id, attempt, end_offset }
            }));
        }
    }

    /// Keeps a connection with nothing to do until its idle timeout; closes one that cannot be reused at once.
    pub fn close_or_keep_idle(&self, context: &mut Context, id: ConnectionId) {
        let now = context.now;
        let connection = context.connections.node(id);
        if connection.idle_since().is_some() {
            if !connection.reusable {
                return context.close_idle_node(id);
            }
            connection.idle_from = now;
        }
        set_timer(context, id);
    }

    /// Sends a health check, if a connection can be had.
    pub fn check_health(&self, context: &mut Context, queries: &mut QueryTable, node: NodeId) {
        let Some(id) = self.connection_for(context, queries, node, &[]) else { return };
        let deadline = context.now + context.limits.connect_timeout;
        let connection = context.connections.node(id);
        // No two are overdue at one time: a timer stands for one health check.
        let last_deadline = connection.health_check_deadlines.back();
        let deadline = last_deadline.map_or(deadline, |last| deadline.max(last + 1));
        connection.queue.push_back(OutgoingFrame::HealthCheck);
        connection.health_check_deadlines.push_back(deadline);
        context.timers.insert(deadline, Timer::HealthCheckTimeout(id));
        self.write(context, queries, id);
    }

    /// A health check was not answered in time; the connection is closed so that a late answer is not taken for
    /// another's.
    pub fn health_check_timed_out(
        &self, context: &mut Context, id: ConnectionId,
    ) -> Option<NodeReport<'static>> {
        let report = finish_health_check(context, id, AttemptOutcome::TimedOut, Vec::new());
        context.effects.push(Effect::Abort(id));
        report
    }

    /// A connection's timer has expired: it was not established in time, a frame did not come in to its end, or it
    /// has been idle for long enough.
    pub fn timer_expired(
        &self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId,
    ) -> Vec<NodeReport<'static>> {
        let connection = context.connections.node(id);
        if !connection.is_established() {
            return self.ended(context, queries, id, 0);
        }
        if let Some(partial) = connection.partial_frame {
            close_malformed(context, id, partial.attempt);
        } else if connection.idle_since().is_some() {
            context.close_idle_node(id);
        }
        Vec::new()
    }

    /// A connection has ended with so many bytes written. What was not written in full was not executed; of the rest
    /// nothing is known.
    pub fn ended(
        &self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, bytes_written: u64,
    ) -> Vec<NodeReport<'static>> {
        let connection = context.connections.node(id);
        let was_established = connection.is_established();
        let cause = connection.close_cause;
        let queued: Vec<AttemptId> = connection.queued_attempts().collect();
        let in_flight = std::mem::take(&mut connection.in_flight);
        // One that was established and ends before a frame is written says nothing of whether its node can be
        // reached.
        let (not_written, check_outcome) = if was_established {
            (AttemptOutcome::NotSent, AttemptOutcome::ConnectionLost)
        } else {
            context.counters.node_connections_failed += 1;
            (AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectFailed)
        };
        let mut reports = Vec::new();
        while let Some(report) = finish_health_check(context, id, check_outcome, Vec::new()) {
            reports.push(report);
        }
        let sent = in_flight.into_iter().map(|sent| {
            let written = sent.end_offset <= bytes_written;
            (sent.attempt, if written { outcome_of_written(cause, sent.attempt) } else { not_written })
        });
        let queued = queued.into_iter().map(|attempt| (attempt, not_written));
        for (attempt, outcome) in sent.chain(queued) {
            let finished = queries.finish_attempt(context, attempt, outcome);
            reports.extend(finished.map(|finished| NodeReport::Attempt(finished, Vec::new())));
        }
        context.close_node(id);
        reports
    }
}

/// The outcome of an attempt that was written in full on a connection that ends without a response to it.
fn outcome_of_written(cause: CloseCause, attempt: AttemptId) -> AttemptOutcome {
    match cause {
        CloseCause::Remote => AttemptOutcome::ConnectionLost,
        CloseCause::MalformedResponse(malformed) if malformed == attempt => AttemptOutcome::MalformedResponse,
        CloseCause::Local | CloseCause::MalformedResponse(_) => AttemptOutcome::Cancelled,
    }
}

/// The existing connection that suits shard requests with these ids best.
fn best_connection(
    context: &Context, queries: &QueryTable, node: NodeId, ids: &[Rc<str>],
) -> Option<Candidate> {
    let candidates = context.endpoints[node].connections.iter().filter_map(|&id| {
        let connection = context.connections.as_node(id)?;
        can_carry(context, queries, connection, ids).then(|| candidate(context, id, connection))
    });
    candidates.min()
}

/// Whether shard requests with these ids may be sent on a connection.
fn can_carry(context: &Context, queries: &QueryTable, connection: &NodeConnection, ids: &[Rc<str>]) -> bool {
    let idle_since = connection.idle_since();
    // Guards against a response that comes behind a frame of which only half has come.
    let half_a_frame_came = idle_since.is_some() && connection.partial_frame.is_some();
    let carries = |id: &Rc<str>| {
        connection.abandoned.contains(id)
            || connection.in_flight.iter().any(|sent| sent.id == *id)
            || connection
                .queued_attempts()
                .any(|attempt| queries.shard_request(attempt.shard_request).id == *id)
    };
    !half_a_frame_came
        && context.endpoints[connection.node].address == Some(connection.address)
        && connection.reusable
        && idle_since.is_none_or(|since| context.now - since < context.limits.idle_timeout)
        && connection.load() + ids.len() <= context.limits.max_requests_per_connection
        && !ids.iter().any(carries)
}

fn candidate(context: &Context, id: ConnectionId, connection: &NodeConnection) -> Candidate {
    let idle_since = connection.idle_since();
    let suitability = match idle_since {
        None => Suitability::Busy,
        Some(since) if context.now - since < context.limits.decision_interval => Suitability::JustIdle,
        Some(_) => Suitability::Rested,
    };
    Candidate {
        suitability,
        idle_since,
        connecting: !connection.is_established(),
        load: connection.load(),
        connection: id,
    }
}

/// Opens a connection to a node, if its address is known and the limit on descriptors allows one.
fn open(context: &mut Context, node: NodeId) -> Option<ConnectionId> {
    let address = context.endpoints[node].address?;
    let connection = NodeConnection::new(node, address, context.now);
    let id = context.open(Connection::Node(Box::new(connection)))?;
    context.counters.node_connections_opened += 1;
    context.endpoints[node].connections.push(id);
    context.effects.push(Effect::Connect(id, address));
    set_timer(context, id);
    Some(id)
}

/// Sets the timer by which a connection must be established, complete the frame that has begun, or is closed as idle.
fn set_timer(context: &mut Context, id: ConnectionId) {
    let (connect_timeout, idle_timeout) = (context.limits.connect_timeout, context.limits.idle_timeout);
    let connection = context.connections.node(id);
    let at = match (connection.establishment, connection.partial_frame) {
        (Establishment::Connecting { since }, _) => Some(since + connect_timeout),
        (_, Some(partial)) => Some(partial.since + connect_timeout),
        (_, None) => connection.idle_since().map(|since| since + idle_timeout),
    };
    context.set_connection_timer(id, at);
}

/// Cancels queued attempts whose time is over. Guards against sending what expires in this very iteration: sockets
/// are read before timers expire.
fn cancel_expired(context: &mut Context, queries: &mut QueryTable, id: ConnectionId) {
    let has_expired = |attempt: &AttemptId| {
        queries.attempt(*attempt).is_some_and(|attempt| attempt.deadline <= context.now)
    };
    let connection = context.connections.as_node(id);
    let expired: Vec<AttemptId> =
        connection.into_iter().flat_map(NodeConnection::queued_attempts).filter(has_expired).collect();
    for attempt in expired {
        context.connections.node(id).remove_queued(attempt);
        queries.finish_attempt_later(context, attempt, AttemptOutcome::NotSent);
    }
}

fn encode_attempts(queries: &QueryTable, attempts: &[AttemptId], now: Micros, buffers: &mut Vec<Bytes>) {
    for attempt in attempts {
        let (request, query) = queries.request_and_query(attempt.shard_request);
        let deadline = request.attempts[attempt.number.0].deadline;
        let wait_ms = (deadline - now).max(0) / 1000;
        let line = frames::part_line(&request.id, request.shard, wait_ms, query.text.len());
        buffers.extend([line.into_bytes().into(), query.text.clone()]);
    }
}

/// The oldest unanswered health check of a connection has ended; `None` if there is none.
fn finish_health_check<'a>(
    context: &mut Context, id: ConnectionId, outcome: AttemptOutcome, load: Vec<LoadMetric<'a>>,
) -> Option<NodeReport<'a>> {
    let connection = context.connections.node(id);
    let node = connection.node;
    let deadline = connection.health_check_deadlines.pop_front()?;
    context.timers.remove(deadline, Timer::HealthCheckTimeout(id));
    let latency = context.now - (deadline - context.limits.connect_timeout);
    Some(NodeReport::HealthCheck(FinishedHealthCheck { node, outcome, latency }, load))
}

/// Closes a connection on which something came in that cannot be used, or did not come to its end. Guards against
/// taking good nodes for crashed ones: responses are damaged on the way too. The balancer is told of one attempt,
/// the one `named` or else the oldest; the others in flight here are cancelled by the close.
fn close_malformed(context: &mut Context, id: ConnectionId, named: Option<AttemptId>) {
    let connection = context.connections.node(id);
    let malformed = named.or(connection.in_flight.first().map(|sent| sent.attempt));
    match malformed {
        None => {
            connection.close_cause = CloseCause::Local;
            context.counters.frames_unexpected += 1;
        }
        Some(attempt) => {
            connection.close_cause = CloseCause::MalformedResponse(attempt);
            note_malformed_frame(context, id, "its frame could not be used");
        }
    }
    context.effects.push(Effect::Abort(id));
}

/// Counts a frame that a data node or this router could not read; logged once for each node.
fn note_malformed_frame(context: &mut Context, id: ConnectionId, reason: &str) {
    context.counters.frames_malformed += 1;
    let node = context.connections.node(id).node;
    let endpoint = &mut context.endpoints[node];
    if !std::mem::replace(&mut endpoint.malformed_frame_logged, true) {
        tracing::warn!("the data node at {:?} is not understood: {reason}", endpoint.address);
    }
}
