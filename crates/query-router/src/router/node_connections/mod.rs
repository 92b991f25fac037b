//! Connections to data nodes: how one is selected for a batch, what is written and read on them, when they are closed.

mod lifecycle;
mod receive;
mod selection;
mod write;

pub use lifecycle::{NodeReport, close_or_keep_idle, ended};
pub use receive::next_report;
pub use selection::{connection_for, queue_batch, reassign_batches};
pub use write::write;

use crate::io::{ConnectionId, Effect};
use crate::router::connection::ConnectionKind;
use crate::router::connection::outgoing_queue::HealthCheckKind;
use crate::router::context::Context;
use crate::router::query_table::QueryTable;
use crate::router::timers::Timer;
use balancer::{AttemptOutcome, NodeId};
use lifecycle::{close_malformed, finish_health_check};

/// Notes that this machine could not open a connection yet. Where it never can, that is not held against the node.
pub fn connect_delayed(context: &mut Context, id: ConnectionId) {
    if context.connections.kind(id) == Some(ConnectionKind::Node) {
        context.counters.node_connections_delayed += 1;
        context.connections.node_mut(id).set_delayed_locally();
    }
}

/// Handles a connection that was established.
pub fn established(context: &mut Context, queries: &mut QueryTable, id: ConnectionId) {
    context.connections.node_mut(id).set_established(context.now);
    write(context, queries, id);
    close_or_keep_idle(context, id);
}

/// Handles that everything handed to the event loop is written.
pub fn flushed(context: &mut Context, queries: &mut QueryTable, id: ConnectionId) {
    context.connections.node_mut(id).set_flushed();
    write(context, queries, id);
    close_or_keep_idle(context, id);
}

/// Sends a health check if there is a connection to the node or one can be opened.
pub fn check_health(context: &mut Context, queries: &mut QueryTable, node: NodeId, kind: HealthCheckKind) {
    let Some(id) = connection_for(context, queries, node, &[]) else { return };
    let deadline = context.now + context.limits.connect_timeout;
    let deadline = context.connections.node_mut(id).queue_health_check(kind, deadline);
    context.timers.insert(deadline, Timer::HealthCheckTimeout(id));
    write(context, queries, id);
}

/// Handles a health check that was not answered in time. The connection is closed so that a late answer is not taken
/// for that of a later health check.
pub fn health_check_timed_out(context: &mut Context, id: ConnectionId) -> Option<NodeReport<'static>> {
    let report = finish_health_check(context, id, AttemptOutcome::TimedOut, Vec::new());
    context.effects.push(Effect::Abort(id));
    report
}

/// Handles the timer of a connection, which was not established in time, did not receive a frame in full in time, or
/// has reached the idle timeout.
pub fn timer_expired(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId,
) -> Vec<NodeReport<'static>> {
    let connection = context.connections.node_mut(id);
    if !connection.is_established() {
        return ended(context, queries, id, 0);
    }
    if let Some(partial) = connection.partial_frame() {
        close_malformed(context, id, partial.attempt);
    } else if connection.idle_since().is_some() {
        context.close_idle_node(id);
    }
    Vec::new()
}
