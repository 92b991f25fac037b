//! From the balancer's attempts to batches on connections, and how attempts are cancelled.

use crate::config::Config;
use crate::io::{ConnectionId, Effect};
use crate::router::connection::node::{Cancelled, Establishment, HealthCheckKind};
use crate::router::context::Context;
use crate::router::node_connections;
use crate::router::query_table::QueryTable;
use balancer::{AttemptId, AttemptOutcome, Micros, NodeId, QueryId, ShardRequestId};

/// Attempts for one node that are sent in one frame.
#[derive(Debug)]
struct Batch {
    node: NodeId,
    attempts: Vec<AttemptId>,
}

/// The batches that no connection has taken yet.
pub struct Dispatcher {
    /// The batches of the current decision, and those for which no connection could be opened.
    waiting: Vec<Batch>,
    max_batch_size: usize,
    health_check_kind: HealthCheckKind,
}

impl Dispatcher {
    /// As the configuration says.
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

    /// Adds an attempt to a batch of the current decision for the same node.
    pub fn add_attempt(
        &mut self, context: &mut Context, queries: &mut QueryTable, request: ShardRequestId, node: NodeId,
        timeout: Option<Micros>,
    ) {
        context.counters.attempts_requested += 1;
        let attempt = queries.add_attempt(context, request, node, timeout);
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

    /// Checks the health of a node.
    pub fn check_health(&self, context: &mut Context, queries: &mut QueryTable, node: NodeId) {
        node_connections::check_health(context, queries, node, self.health_check_kind);
    }

    /// Puts the waiting batches on connections and writes them.
    pub fn send_batches(&mut self, context: &mut Context, queries: &mut QueryTable) {
        let mut receivers = node_connections::reassign_batches(context, queries);
        for batch in std::mem::take(&mut self.waiting) {
            receivers.extend(self.assign(context, queries, batch));
        }
        for connection in receivers {
            node_connections::write(context, queries, connection);
        }
    }

    /// Queues a batch on a connection. Where no connection can be had the batch waits until one can: that says
    /// nothing of the node.
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
        let connection = node_connections::connection_for(context, queries, batch.node, &ids);
        match connection {
            Some(id) => node_connections::queue_batch(context, queries, id, batch.attempts),
            None => self.waiting.push(batch),
        }
        connection
    }

    /// Cancels what is not known to be written in full of a query that has ended. Guards against sending what nobody
    /// waits for: on a connection that is established late, once a connection can be opened, or behind what a node
    /// does not read.
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

    /// Stops waiting for an attempt, which ends with this outcome if it was sent. One that was not is removed; a
    /// frame that is partly written ends with its connection, since a shard request must not arrive after its query
    /// has ended.
    pub fn cancel(
        &mut self, context: &mut Context, queries: &mut QueryTable, attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let Some(state) = queries.attempt(attempt).filter(|state| !state.finished) else { return };
        let requested_at = state.requested_at;
        let Some(connection) = state.connection else {
            self.remove_waiting(attempt);
            return queries.finish_attempt_later(context, attempt, AttemptOutcome::NotSent);
        };
        let request = queries.shard_request(attempt.shard_request);
        // A response was due if another attempt was answered first, or after the time a connection may take.
        let response_due =
            request.value.is_some() || context.now - requested_at >= context.limits.connect_timeout;
        let cancelled = context.connections.node(connection).cancel(
            attempt,
            &request.id,
            context.limits.max_requests_per_connection,
            response_due.then_some(requested_at),
        );
        match cancelled {
            Cancelled::NotSent => queries.finish_attempt_later(context, attempt, AttemptOutcome::NotSent),
            Cancelled::PartlyWritten => context.effects.push(Effect::Abort(connection)),
            Cancelled::Sent => {
                node_connections::write(context, queries, connection);
                node_connections::close_or_keep_idle(context, connection);
                queries.finish_attempt_later(context, attempt, outcome);
            }
        }
    }

    /// Removes an attempt that no connection has taken. Guards against one whose query is released, and whose id is
    /// another's by the time a connection can be opened.
    fn remove_waiting(&mut self, attempt: AttemptId) {
        self.waiting.retain_mut(|batch| {
            batch.attempts.retain(|&waiting| waiting != attempt);
            !batch.attempts.is_empty()
        });
    }

    /// Applies what an endpoint update says to the connections of a node. Guards against connections to a process
    /// that has ended: a machine that vanished leaves them silent, and what is sent on one is lost. At a node that
    /// accepts nothing new, or is not at this address any more, what has not begun to be written is cancelled.
    pub fn apply_endpoint(&mut self, context: &mut Context, queries: &mut QueryTable, node: NodeId) {
        let endpoint = context.endpoints[node].clone();
        if !endpoint.ready {
            self.cancel_waiting(context, queries, node);
        }
        for id in endpoint.connections {
            let connection = context.connections.node(id);
            if let Establishment::Established { since } = connection.establishment
                && since < endpoint.started_at
            {
                context.effects.push(Effect::Abort(id));
                continue;
            }
            if endpoint.ready && endpoint.address == Some(connection.address) {
                continue;
            }
            let queued: Vec<AttemptId> = connection.queued_attempts().collect();
            for attempt in queued {
                self.cancel(context, queries, attempt, AttemptOutcome::NotSent);
            }
            if context.connections.node(id).idle_since().is_some() {
                context.close_idle_node(id);
            }
        }
    }

    /// Cancels the attempts for a node that no connection has taken yet.
    fn cancel_waiting(&mut self, context: &mut Context, queries: &mut QueryTable, node: NodeId) {
        let batches = self.waiting.iter().filter(|batch| batch.node == node);
        let attempts: Vec<AttemptId> = batches.flat_map(|batch| batch.attempts.iter().copied()).collect();
        for attempt in attempts {
            self.cancel(context, queries, attempt, AttemptOutcome::NotSent);
        }
    }
}

/// Whether an attempt has not ended and is not known to be written in full.
fn is_unwritten(context: &Context, queries: &QueryTable, attempt: AttemptId) -> bool {
    // The connection of an attempt that has ended may belong to another node by now.
    let Some(state) = queries.attempt(attempt).filter(|state| !state.finished) else { return false };
    let connection = state.connection.and_then(|id| context.connections.as_node(id));
    !connection.is_some_and(|connection| connection.has_written(attempt))
}
