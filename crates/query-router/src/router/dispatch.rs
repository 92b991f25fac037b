//! Dispatch of the attempts that the balancer requests: grouping into batches, assignment to connections, and
//! cancellation.

use crate::config::Config;
use crate::io::{ConnectionId, Effect};
use crate::router::connection::node::{Establishment, WriteProgress};
use crate::router::connection::outgoing_queue::HealthCheckKind;
use crate::router::context::Context;
use crate::router::node_connections;
use crate::router::query_table::QueryTable;
use balancer::{AttemptId, AttemptOutcome, Micros, NodeId, QueryId, ShardRequestId};

/// Attempts for the same node that are sent in one frame.
#[derive(Debug)]
struct Batch {
    node: NodeId,
    attempts: Vec<AttemptId>,
}

/// Groups attempts into batches and assigns these to connections.
pub struct Dispatcher {
    /// The batches without a connection: those of the current decision, and earlier ones for which no connection could
    /// be opened.
    waiting: Vec<Batch>,
    max_batch_size: usize,
    health_check_kind: HealthCheckKind,
}

impl Dispatcher {
    /// Creates a dispatcher with the maximum batch size and the kind of health check from the configuration.
    pub fn new(config: &Config) -> Dispatcher {
        Dispatcher {
            waiting: Vec::new(),
            max_batch_size: config.settings.batch.max_shard_requests.unwrap_or(0),
            health_check_kind: if config.settings.load_by_health_checks {
                HealthCheckKind::Load
            } else {
                HealthCheckKind::Health
            },
        }
    }

    /// Adds an attempt to a waiting batch for the same node, or to a new one.
    pub fn add_attempt(
        &mut self, context: &mut Context, queries: &mut QueryTable, request: ShardRequestId, node: NodeId,
        timeout: Option<Micros>,
    ) {
        context.counters.attempts_requested += 1;
        let Some(attempt) = queries.add_attempt(context, request, node, timeout) else { return };
        let max_batch_size = self.max_batch_size;
        let has_capacity = |batch: &&mut Batch| {
            batch.node == node
                && batch.attempts.len() < max_batch_size
                && batch.attempts.iter().all(|other| other.shard_request != request)
        };
        match self.waiting.iter_mut().find(has_capacity) {
            Some(batch) => batch.attempts.push(attempt),
            None => self.waiting.push(Batch { node, attempts: vec![attempt] }),
        }
    }

    /// Sends a health check to a node.
    pub fn check_health(&self, context: &mut Context, queries: &mut QueryTable, node: NodeId) {
        node_connections::check_health(context, queries, node, self.health_check_kind);
    }

    /// Assigns the waiting batches to connections and writes them.
    pub fn send_batches(&mut self, context: &mut Context, queries: &mut QueryTable) {
        let mut connections = node_connections::reassign_batches(context, queries);
        for batch in std::mem::take(&mut self.waiting) {
            connections.extend(self.assign(context, queries, batch));
        }
        for connection in connections {
            node_connections::write(context, queries, connection);
        }
    }

    /// Queues a batch on a connection. If none can be opened, the batch stays in `waiting`: the limit on connections is
    /// no failure of the node. Attempts at a node without an address end as connect failed.
    fn assign(
        &mut self, context: &mut Context, queries: &mut QueryTable, batch: Batch,
    ) -> Option<ConnectionId> {
        if context.endpoints[batch.node].address.is_none() {
            for attempt in batch.attempts {
                queries.finish_attempt_later(context, attempt, AttemptOutcome::ConnectFailed);
            }
            return None;
        }
        let ids = queries.ids(&batch.attempts);
        let connection = node_connections::select_connection(context, queries, batch.node, &ids);
        match connection {
            Some(id) => node_connections::queue_batch(context, queries, id, batch.attempts),
            None => self.waiting.push(batch),
        }
        connection
    }

    /// Cancels the attempts of an ended query that are not known to be written in full. Otherwise they could still be
    /// sent: when their connection is established late, when a connection can be opened, or when a node resumes
    /// reading.
    pub fn cancel_unwritten(&mut self, context: &mut Context, queries: &mut QueryTable, query: QueryId) {
        let Some(entry) = queries.query(query) else { return };
        let unwritten: Vec<AttemptId> = entry
            .shard_requests
            .iter()
            .flat_map(|&request| queries.attempts(request))
            .filter(|&attempt| is_unwritten(context, queries, attempt))
            .collect();
        for attempt in unwritten {
            self.cancel(context, queries, attempt, AttemptOutcome::NotSent);
        }
    }

    /// Cancels an attempt. If its frame was written in full, the attempt ends with `outcome` and a cancellation is sent
    /// to the node. If the frame was not passed to the event loop, the attempt is removed and ends as not sent. In
    /// between, the frame may be partly written, and the connection is aborted, since a shard request must not arrive
    /// after its query has ended.
    pub fn cancel(
        &mut self, context: &mut Context, queries: &mut QueryTable, attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let Some(state) = queries.attempt(attempt).filter(|state| state.outcome.is_none()) else { return };
        let requested_at = state.requested_at;
        let Some(connection) = state.connection else {
            self.remove_waiting(attempt);
            return queries.finish_attempt_later(context, attempt, AttemptOutcome::NotSent);
        };
        let request = queries.shard_request(attempt.shard_request);
        // A response is overdue if another attempt was answered first, or after the connect timeout.
        let is_overdue =
            request.value.is_some() || context.now - requested_at >= context.limits.connect_timeout;
        let cancelled = context.connections.node_mut(connection).cancel(
            attempt,
            &request.id,
            context.limits.max_requests_per_connection,
            is_overdue.then_some(requested_at),
        );
        match cancelled {
            WriteProgress::NotWritten => {
                queries.finish_attempt_later(context, attempt, AttemptOutcome::NotSent)
            }
            WriteProgress::PartlyWritten => context.effects.push(Effect::Abort(connection)),
            WriteProgress::Written => {
                node_connections::write(context, queries, connection);
                node_connections::close_or_keep_idle(context, connection);
                queries.finish_attempt_later(context, attempt, outcome);
            }
        }
    }

    /// Removes an attempt from the waiting batches. By the time a connection can be opened, its query may be released
    /// and its id may belong to another query.
    fn remove_waiting(&mut self, attempt: AttemptId) {
        self.waiting.retain_mut(|batch| {
            batch.attempts.retain(|&waiting| waiting != attempt);
            !batch.attempts.is_empty()
        });
    }

    /// Applies an endpoint update to the connections of a node. Connections older than the node's process are aborted:
    /// a machine that failed does not close them, and attempts sent on them are lost. If the node is not ready or has
    /// another address, queued attempts are cancelled, idle connections are closed, and connections with unwritten bytes
    /// are aborted: the bytes could be written at any later time.
    pub fn apply_endpoint(&mut self, context: &mut Context, queries: &mut QueryTable, node: NodeId) {
        let endpoint = &context.endpoints[node];
        let (ready, address, started_at) = (endpoint.ready, endpoint.address, endpoint.started_at());
        let connections = endpoint.connections.clone();
        if !ready {
            self.cancel_waiting(context, queries, node);
        }
        for id in connections {
            let connection = context.connections.node_mut(id);
            if let Establishment::Established { since } = connection.establishment()
                && since < started_at
            {
                context.effects.push(Effect::Abort(id));
                continue;
            }
            if ready && address == Some(connection.address) {
                continue;
            }
            let queued: Vec<AttemptId> = connection.queue().attempts().collect();
            for attempt in queued {
                self.cancel(context, queries, attempt, AttemptOutcome::NotSent);
            }
            let connection = context.connections.node_mut(id);
            if !connection.is_flushed() {
                connection.abandon();
                context.counters.node_connections_abandoned += 1;
                tracing::info!(
                    connection = id.0,
                    node = node.0,
                    "blocked connection to a draining node aborted"
                );
                context.effects.push(Effect::Abort(id));
            } else if connection.idle_since().is_some() {
                context.close_idle_node_connection(id);
            }
        }
    }

    /// Cancels the attempts in the waiting batches for a node.
    fn cancel_waiting(&mut self, context: &mut Context, queries: &mut QueryTable, node: NodeId) {
        let batches = self.waiting.iter().filter(|batch| batch.node == node);
        let attempts: Vec<AttemptId> = batches.flat_map(|batch| batch.attempts.iter().copied()).collect();
        for attempt in attempts {
            self.cancel(context, queries, attempt, AttemptOutcome::NotSent);
        }
    }
}

/// Returns whether an attempt has not ended and is not known to be written in full.
fn is_unwritten(context: &Context, queries: &QueryTable, attempt: AttemptId) -> bool {
    // The connection id of an attempt that has ended may have been reused for another node.
    let Some(state) = queries.attempt(attempt).filter(|state| state.outcome.is_none()) else { return false };
    let connection = state.connection.and_then(|id| context.connections.node(id));
    !connection.is_some_and(|connection| connection.has_written(attempt))
}
