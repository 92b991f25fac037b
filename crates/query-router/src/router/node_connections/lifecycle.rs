//! How node connections are opened, kept while idle, and closed, and what their end means.

use crate::io::{ConnectionId, Effect};
use crate::router::connection::Connection;
use crate::router::connection::node::{CloseCause, Establishment, NodeConnection};
use crate::router::context::Context;
use crate::router::query_table::{FinishedAttempt, QueryTable};
use crate::router::timers::Timer;
use balancer::{AttemptId, AttemptOutcome, LoadMetric, Micros, NodeId};

/// An event on a node connection that is reported to the balancer.
#[derive(Debug)]
pub enum NodeReport<'a> {
    /// An attempt has ended.
    Attempt {
        /// The attempt and its outcome.
        finished: FinishedAttempt,
        /// What the node reports of its load with the response.
        load: Vec<LoadMetric<'a>>,
    },
    /// A health check has ended.
    HealthCheck {
        /// The health check and its outcome.
        finished: FinishedHealthCheck,
        /// What the node reports of its load with the answer.
        load: Vec<LoadMetric<'a>>,
    },
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

/// Opens a connection to a node, if its address is known and the limit on descriptors allows one.
pub fn open(context: &mut Context, node: NodeId) -> Option<ConnectionId> {
    let address = context.endpoints[node].address?;
    let connection = NodeConnection::new(node, address, context.now);
    let id = context.open(Connection::Node(Box::new(connection)))?;
    context.counters.node_connections_opened += 1;
    context.endpoints[node].connections.push(id);
    context.effects.push(Effect::Connect { connection: id, address });
    set_timer(context, id);
    Some(id)
}

/// Sets the timer of a connection: the time by which it must be established or complete a partial frame, or at which it
/// is closed as idle.
pub fn set_timer(context: &mut Context, id: ConnectionId) {
    let (connect_timeout, idle_timeout) = (context.limits.connect_timeout, context.limits.idle_timeout);
    let connection = context.connections.node_mut(id);
    let at = match (connection.establishment(), connection.partial_frame()) {
        (Establishment::Connecting { since }, _) => Some(since + connect_timeout),
        (_, Some(partial)) => Some(partial.since + connect_timeout),
        (_, None) => connection.idle_since().map(|since| since + idle_timeout),
    };
    context.set_connection_timer(id, at);
}

/// Keeps an idle connection until its idle timeout, or closes it at once if it cannot be reused.
pub fn close_or_keep_idle(context: &mut Context, id: ConnectionId) {
    let now = context.now;
    let connection = context.connections.node_mut(id);
    if connection.idle_since().is_some() {
        if !connection.is_reusable() {
            return context.close_idle_node(id);
        }
        connection.restart_idle_time(now);
    }
    set_timer(context, id);
}

/// Handles the end of a connection on which `bytes_written` bytes were written. Attempts that were not written in full
/// were not executed; whether the others were is unknown.
pub fn ended(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, bytes_written: u64,
) -> Vec<NodeReport<'static>> {
    let connection = context.connections.node_mut(id);
    let was_established = connection.is_established();
    let is_local_failure = connection.is_delayed_locally();
    let cause = connection.close_cause();
    let queued: Vec<AttemptId> = connection.queue().attempts().collect();
    let in_flight = connection.take_in_flight();
    // Neither an established connection that ends before a frame is written nor one that this machine could not open
    // proves that its node is unreachable.
    context.counters.node_connections_failed += u64::from(!was_established);
    let (not_written, check_outcome) = match (was_established, is_local_failure) {
        (true, _) => (AttemptOutcome::NotSent, AttemptOutcome::ConnectionLost),
        (false, true) => (AttemptOutcome::NotSent, AttemptOutcome::NotSent),
        (false, false) => (AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectFailed),
    };
    let node = connection.node.0;
    let (in_flight_count, queued_count) = (in_flight.len(), queued.len());
    tracing::debug!(
        connection = id.0,
        node,
        ?cause,
        was_established,
        in_flight = in_flight_count,
        queued = queued_count,
        "node connection ended"
    );
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
        reports.extend(finished.map(|finished| NodeReport::Attempt { finished, load: Vec::new() }));
    }
    context.close_node(id);
    reports
}

/// The outcome of an attempt that was written in full on a connection that ends without a response to it.
fn outcome_of_written(cause: CloseCause, attempt: AttemptId) -> AttemptOutcome {
    match cause {
        CloseCause::Remote => AttemptOutcome::ConnectionLost,
        CloseCause::MalformedResponse(malformed) if malformed == attempt => AttemptOutcome::MalformedResponse,
        CloseCause::Local | CloseCause::MalformedResponse(_) => AttemptOutcome::Cancelled,
    }
}

/// Ends the oldest unanswered health check of a connection; `None` if there is none.
pub fn finish_health_check<'a>(
    context: &mut Context, id: ConnectionId, outcome: AttemptOutcome, load: Vec<LoadMetric<'a>>,
) -> Option<NodeReport<'a>> {
    let connection = context.connections.node_mut(id);
    let node = connection.node;
    let deadline = connection.pop_health_check()?;
    context.timers.remove(deadline, Timer::HealthCheckTimeout(id));
    let latency = context.now - (deadline - context.limits.connect_timeout);
    Some(NodeReport::HealthCheck { finished: FinishedHealthCheck { node, outcome, latency }, load })
}

/// Closes a connection on which a frame was malformed or stayed incomplete. Guards against taking nodes for crashed if
/// a response was damaged on its way: one attempt counts as malformed, the one `named` in the frame or else the oldest
/// in flight, and the close cancels the others.
pub fn close_malformed(context: &mut Context, id: ConnectionId, named: Option<AttemptId>) {
    match context.connections.node_mut(id).set_malformed(named) {
        None => context.counters.frames_unexpected += 1,
        Some(_) => note_malformed_frame(context, id, "the node sent a frame that could not be parsed"),
    }
    context.effects.push(Effect::Abort(id));
}

/// Counts a frame that a data node or this router could not parse. It is logged once for each node.
pub fn note_malformed_frame(context: &mut Context, id: ConnectionId, reason: &str) {
    context.counters.frames_malformed += 1;
    let node = context.connections.node_mut(id).node;
    let endpoint = &mut context.endpoints[node];
    if !std::mem::replace(&mut endpoint.malformed_frame_logged, true) {
        let address = endpoint.address.map(tracing::field::display);
        tracing::warn!(address, reason, "malformed frame on a node connection");
    }
}
