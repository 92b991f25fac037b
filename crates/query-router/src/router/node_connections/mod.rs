//! Connections to data nodes: selection of one for a batch, writing and reading of frames, and closing.

mod lifecycle;
mod receive;
mod selection;
mod write;

#[cfg(test)]
pub use lifecycle::open as open_connection;
pub use lifecycle::{NodeReport, close_or_keep_idle, ended};
pub use receive::{next_report, received_unexpected};
pub use selection::{queue_batch, reassign_batches, select_connection};
pub use write::write;

use crate::io::{ConnectionId, Effect};
use crate::router::connection::outgoing_queue::HealthCheckKind;
use crate::router::connection_kind::ConnectionKind;
use crate::router::context::Context;
use crate::router::query_table::QueryTable;
use crate::router::timers::Timer;
use balancer::{AttemptOutcome, NodeId};
use lifecycle::{close_malformed, finish_health_check};

/// Records that a local shortage delays the opening of a connection. If the connection is never established, the node
/// does not count as unreachable.
pub fn connect_delayed(context: &mut Context, id: ConnectionId) {
    if context.connections.kind(id) == Some(ConnectionKind::Node) {
        context.counters.node_connections_delayed += 1;
        context.connections.node_mut(id).set_local_shortage();
    }
}

/// Handles that a connection is established: writes the queued frames.
pub fn established(context: &mut Context, queries: &mut QueryTable, id: ConnectionId) {
    context.connections.node_mut(id).set_established(context.now);
    write(context, queries, id);
    close_or_keep_idle(context, id);
}

/// Handles that all submitted bytes are written: writes the frames queued meanwhile.
pub fn flushed(context: &mut Context, queries: &mut QueryTable, id: ConnectionId) {
    context.connections.node_mut(id).set_flushed();
    write(context, queries, id);
    close_or_keep_idle(context, id);
}

/// Sends a health check to a node. Has no effect if no connection to the node exists or can be opened.
pub fn check_health(context: &mut Context, queries: &mut QueryTable, node: NodeId, kind: HealthCheckKind) {
    let Some(id) = select_connection(context, queries, node, &[]) else { return };
    let deadline = context.now + context.limits.connect_timeout;
    let deadline = context.connections.node_mut(id).queue_health_check(kind, deadline);
    context.timers.insert(deadline, Timer::HealthCheckTimeout(id));
    write(context, queries, id);
}

/// Handles a health check without a response at its deadline. The connection is aborted so that a late response is not
/// attributed to a later health check.
pub fn health_check_timed_out(context: &mut Context, id: ConnectionId) -> Option<NodeReport<'static>> {
    let report = finish_health_check(context, id, AttemptOutcome::TimedOut, Vec::new());
    context.effects.push(Effect::Abort(id));
    report
}

/// Handles the timer of a connection: the connection was not established in time, a frame was not received in full in
/// time, or the idle timeout has expired.
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
        context.close_idle_node_connection(id);
    }
    Vec::new()
}
