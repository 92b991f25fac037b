//! Selection of the connection to a node for a batch.

use super::lifecycle::open;
use crate::io::ConnectionId;
use crate::router::connection::node::NodeConnection;
use crate::router::context::Context;
use crate::router::query_table::QueryTable;
use balancer::{AttemptId, Micros, NodeId};
use std::sync::Arc;

/// The suitability of a connection for an attempt. Smaller values are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Suitability {
    /// The connection has been idle for at least a decision interval.
    Idle,
    /// The connection became idle recently: the node may close it directly after its last response.
    JustIdle,
    /// The connection is not established, or frames are queued or responses expected on it.
    Busy,
}

/// A connection on which an attempt may be sent. Candidates are ordered by preference, field by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    suitability: Suitability,
    idle_since: Option<Micros>,
    connecting: bool,
    attempt_count: usize,
    connection: ConnectionId,
}

/// Selects a connection for shard requests with these ids. The first choice is the connection that has been idle for
/// longest, if that is at least a decision interval, since a node may close a connection directly after a response. The
/// second choice is a new connection, the third an existing one with capacity. A health check, for which there are no
/// ids, uses an existing connection if there is one.
///
/// Batches share a connection only if the node's share of all connections is used up or none can be opened, so that few
/// batches are lost with one connection. Responses carry no attempt number, so no shard request is sent on a connection
/// on which a response to an earlier attempt at it may still arrive.
pub fn select_connection(
    context: &mut Context, queries: &QueryTable, node: NodeId, ids: &[Arc<str>],
) -> Option<ConnectionId> {
    let best = best_connection(context, queries, node, ids);
    if let Some(candidate) = best
        && (candidate.suitability == Suitability::Idle || ids.is_empty())
    {
        return Some(candidate.connection);
    }
    let max_connections = context.limits.descriptor_shares().max_nodes();
    let share = max_connections / context.endpoints.ready_count().max(1);
    let shared = best.map(|candidate| candidate.connection);
    let share_is_used_up = context.endpoints[node].connections.len() >= share;
    if share_is_used_up && shared.is_some() {
        return shared;
    }
    open(context, node).or(shared)
}

/// Queues a batch on a connection, without writing it.
pub fn queue_batch(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, attempts: Vec<AttemptId>,
) {
    for &attempt in &attempts {
        queries.set_connection(attempt, id);
    }
    context.connections.node_mut(id).queue_batch(attempts);
}

/// Moves batches from connections that are not established to connections that have become idle, so that they do not
/// time out although they could be sent. Returns the connections on which they are queued now.
pub fn reassign_batches(context: &mut Context, queries: &mut QueryTable) -> Vec<ConnectionId> {
    let waiting: Vec<(ConnectionId, NodeId)> = context
        .connections
        .nodes()
        .filter(|(_, connection)| !connection.is_established())
        .filter(|(_, connection)| connection.queue().attempts().next().is_some())
        .map(|(id, connection)| (id, connection.node))
        .collect();
    let mut targets = Vec::new();
    for (id, node) in waiting {
        while let Some(target) = reassign_batch(context, queries, id, node) {
            targets.push(target);
        }
    }
    targets
}

/// Moves the first batch queued on a connection to an idle one. Returns `None` if there is no suitable one.
fn reassign_batch(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, node: NodeId,
) -> Option<ConnectionId> {
    let ids = queries.ids(context.connections.node_mut(id).queue().first_batch()?);
    let candidate = best_connection(context, queries, node, &ids)?;
    if candidate.suitability != Suitability::Idle {
        return None;
    }
    let attempts = context.connections.node_mut(id).queue_mut().take_first_batch()?;
    context.counters.batches_reassigned += 1;
    queue_batch(context, queries, candidate.connection, attempts);
    Some(candidate.connection)
}

/// Returns the most suitable existing connection for shard requests with these ids.
fn best_connection(
    context: &Context, queries: &QueryTable, node: NodeId, ids: &[Arc<str>],
) -> Option<Candidate> {
    let candidates = context.endpoints[node].connections.iter().filter_map(|&id| {
        let connection = context.connections.node(id)?;
        can_carry(context, queries, connection, ids).then(|| candidate(context, id, connection))
    });
    candidates.min()
}

/// Returns whether shard requests with these ids may be sent on a connection.
fn can_carry(context: &Context, queries: &QueryTable, connection: &NodeConnection, ids: &[Arc<str>]) -> bool {
    let idle_since = connection.idle_since();
    // Responses would be appended to an incomplete frame and could not be parsed.
    let has_stray_partial_frame = idle_since.is_some() && connection.partial_frame().is_some();
    let is_queued = |id: &Arc<str>| {
        connection.queue().attempts().any(|attempt| queries.shard_request(attempt.shard_request).id == *id)
    };
    let carries = |id: &Arc<str>| connection.responses.may_receive_response_to(id) || is_queued(id);
    !has_stray_partial_frame
        && context.endpoints[connection.node].address == Some(connection.address)
        && connection.is_reusable()
        && idle_since.is_none_or(|since| context.now - since < context.limits.idle_timeout)
        && connection.attempt_count() + ids.len() <= context.limits.max_requests_per_connection
        && !ids.iter().any(carries)
}

fn candidate(context: &Context, id: ConnectionId, connection: &NodeConnection) -> Candidate {
    let idle_since = connection.idle_since();
    let suitability = match idle_since {
        None => Suitability::Busy,
        Some(since) if context.now - since < context.limits.decision_interval => Suitability::JustIdle,
        Some(_) => Suitability::Idle,
    };
    Candidate {
        suitability,
        idle_since,
        connecting: !connection.is_established(),
        attempt_count: connection.attempt_count(),
        connection: id,
    }
}
