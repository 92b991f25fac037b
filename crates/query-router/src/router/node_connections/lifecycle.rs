//! Opening, keeping and closing of node connections, and the outcomes of the attempts on a connection that ends.

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
    /// The end of an attempt.
    Attempt {
        /// The attempt, its outcome and its latency.
        finished: FinishedAttempt,
        /// The load report of the response; empty if there is none.
        load: Vec<LoadMetric<'a>>,
    },
    /// The end of a health check.
    HealthCheck {
        /// The node, the outcome and the latency of the health check.
        finished: FinishedHealthCheck,
        /// The load report of the response; empty if there is none.
        load: Vec<LoadMetric<'a>>,
    },
}

/// The end of a health check, as it is reported to the balancer.
#[derive(Clone, Copy, Debug)]
pub struct FinishedHealthCheck {
    /// The node that was checked.
    pub node: NodeId,
    /// The outcome of the health check.
    pub outcome: AttemptOutcome,
    /// The time between the request for the health check and its end.
    pub latency: Micros,
}

/// Opens a connection to a node. Returns `None` if the node has no address or the limit on connections is reached.
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

/// Sets the timer of a connection to the deadline for establishing it or for the rest of a partial frame, or to the end
/// of the idle timeout.
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

/// Restarts the idle timeout of an idle connection, or closes the connection if it cannot be reused. Updates the
/// timer of any other connection.
pub fn close_or_keep_idle(context: &mut Context, id: ConnectionId) {
    let now = context.now;
    let connection = context.connections.node_mut(id);
    if connection.idle_since().is_some() {
        if !connection.is_reusable() {
            return context.close_idle_node_connection(id);
        }
        connection.restart_idle_time(now);
    }
    set_timer(context, id);
}

/// Handles the end of a connection on which `bytes_written` bytes were written. Returns the reports on its attempts and
/// health checks. Attempts that were not written in full were not executed; the others may have been.
pub fn ended(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, bytes_written: u64,
) -> Vec<NodeReport<'static>> {
    let connection = context.connections.node_mut(id);
    let was_established = connection.is_established();
    let is_local_failure = connection.has_local_shortage();
    let cause = connection.close_cause();
    let queued: Vec<AttemptId> = connection.queue().attempts().collect();
    let in_flight = connection.responses.take_in_flight();
    context.counters.node_connections_failed += u64::from(!was_established);
    // The node counts as unreachable only if the connection was never established and no local shortage delayed it.
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
    context.close_node_connection(id);
    reports
}

/// Returns the outcome of an attempt that was written in full on a connection that ends without a response to it.
fn outcome_of_written(cause: CloseCause, attempt: AttemptId) -> AttemptOutcome {
    match cause {
        CloseCause::Remote => AttemptOutcome::ConnectionLost,
        CloseCause::MalformedResponse(malformed) if malformed == attempt => AttemptOutcome::MalformedResponse,
        CloseCause::Local | CloseCause::MalformedResponse(_) => AttemptOutcome::Cancelled,
    }
}

/// Ends the oldest health check without a response on a connection. Returns `None` if there is none.
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

/// Closes a connection on which a frame was malformed or remained incomplete. One attempt ends with a malformed
/// response: the one `named` in the frame, or else the oldest in flight. The others are cancelled and not counted as
/// lost connections, so that a response damaged in transit does not make the node look crashed.
pub fn close_malformed(context: &mut Context, id: ConnectionId, named: Option<AttemptId>) {
    match context.connections.node_mut(id).set_malformed(named) {
        None => context.counters.frames_unexpected += 1,
        Some(_) => record_malformed_frame(context, id, "the node sent a frame that could not be parsed"),
    }
    context.effects.push(Effect::Abort(id));
}

/// Counts a frame that a data node or the router could not parse. Only the first one for each node is logged.
pub fn record_malformed_frame(context: &mut Context, id: ConnectionId, reason: &str) {
    context.counters.frames_malformed += 1;
    let node = context.connections.node_mut(id).node;
    let endpoint = &mut context.endpoints[node];
    if !std::mem::replace(&mut endpoint.malformed_frame_logged, true) {
        let address = endpoint.address.map(tracing::field::display);
        tracing::warn!(address, reason, "malformed frame on a node connection");
    }
}
