//! Selection of the connection to a node for a batch.

use super::lifecycle::open;
use crate::io::ConnectionId;
use crate::router::connection::node::NodeConnection;
use crate::router::context::Context;
use crate::router::query_table::QueryTable;
use balancer::{AttemptId, Micros, NodeId};
use std::rc::Rc;

/// How suitable a connection is for an attempt; smaller values are better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Suitability {
    /// It has been idle for a decision interval at least.
    Idle,
    /// It became idle recently: the node may close it right behind its last response.
    JustIdle,
    /// Something is queued or in flight on it.
    Busy,
}

/// A connection that could carry an attempt. Candidates are ordered by preference, field by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    suitability: Suitability,
    idle_since: Option<Micros>,
    connecting: bool,
    load: usize,
    connection: ConnectionId,
}

/// Selects a connection for shard requests with these ids. The first choice is one that has been idle for at least a
/// decision interval, the longest idle first, since a node may close a connection right behind a response. The second
/// is a new one, the third one that has capacity.
///
/// Guards against losing many batches with one connection: batches share one only if the node's share of all
/// connections is used up. Responses carry no attempt number, so no shard request is sent twice on one connection.
pub fn connection_for(
    context: &mut Context, queries: &QueryTable, node: NodeId, ids: &[Rc<str>],
) -> Option<ConnectionId> {
    let best = best_connection(context, queries, node, ids);
    if let Some(candidate) = best
        && (candidate.suitability == Suitability::Idle || ids.is_empty())
    {
        return Some(candidate.connection);
    }
    // Clients may hold a third of the connections; the nodes share the others.
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
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, attempts: Vec<AttemptId>,
) {
    for &attempt in &attempts {
        queries.set_connection(attempt, id);
    }
    context.connections.node_mut(id).queue_batch(attempts);
}

/// Moves batches that wait for a connection to be established to one that has become idle meanwhile. Returns the
/// connections on which they are queued now. Guards against batches that time out on a connection which is not
/// established, although another could carry them.
pub fn reassign_batches(context: &mut Context, queries: &mut QueryTable) -> Vec<ConnectionId> {
    let waiting: Vec<(ConnectionId, NodeId)> = context
        .connections
        .nodes()
        .filter(|(_, connection)| !connection.is_established())
        .filter(|(_, connection)| connection.queue().attempts().next().is_some())
        .map(|(id, connection)| (id, connection.node))
        .collect();
    let mut receivers = Vec::new();
    for (id, node) in waiting {
        while let Some(receiver) = reassign_batch(context, queries, id, node) {
            receivers.push(receiver);
        }
    }
    receivers
}

/// Moves the first batch queued on a connection to an idle one, if there is one that may carry it.
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

/// The most suitable existing connection for shard requests with these ids.
fn best_connection(
    context: &Context, queries: &QueryTable, node: NodeId, ids: &[Rc<str>],
) -> Option<Candidate> {
    let candidates = context.endpoints[node].connections.iter().filter_map(|&id| {
        let connection = context.connections.node(id)?;
        can_carry(context, queries, connection, ids).then(|| candidate(context, id, connection))
    });
    candidates.min()
}

/// Whether shard requests with these ids may be sent on a connection.
fn can_carry(context: &Context, queries: &QueryTable, connection: &NodeConnection, ids: &[Rc<str>]) -> bool {
    let idle_since = connection.idle_since();
    // Guards against a response that arrives behind an incomplete frame.
    let has_stray_partial_frame = idle_since.is_some() && connection.partial_frame().is_some();
    let is_queued = |id: &Rc<str>| {
        connection.queue().attempts().any(|attempt| queries.shard_request(attempt.shard_request).id == *id)
    };
    let carries = |id: &Rc<str>| connection.may_answer(id) || is_queued(id);
    !has_stray_partial_frame
        && context.endpoints[connection.node].address == Some(connection.address)
        && connection.is_reusable()
        && idle_since.is_none_or(|since| context.now - since < context.limits.idle_timeout)
        && connection.load() + ids.len() <= context.limits.max_requests_per_connection
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
        load: connection.load(),
        connection: id,
    }
}
