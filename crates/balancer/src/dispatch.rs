//! Execution of decisions: sends and cancels attempts, ends queries and releases identifiers.

use crate::state::{Assignment, InFlightAttempt};
use crate::{Actions, Balancer, Completion, Micros, NodeId, QueryId, ShardRequestId};

impl Balancer {
    /// Sends an attempt with the estimated cost `work`, in the batch of this decision for the node.
    pub(crate) fn send(&mut self, now: Micros, assignment: Assignment, work: f64, actions: &mut dyn Actions) {
        let Assignment { shard_request, node: id } = assignment;
        let node = &mut self.nodes[id];
        node.last_batch_number = self.statistics.batches_sent;
        node.work_sent.push(now, work);
        self.statistics.work_sent.push(now, work);
        let idle_time = now - node.last_activity_at.min(now);
        let number = self.queries[shard_request].attempt_sent(now, id, idle_time);
        node.in_flight.push(InFlightAttempt { shard_request, number, sent_at: now, idle_time });
        node.reached_limit = node.in_flight.len() >= node.concurrency_limit as usize;
        actions.send_attempt(shard_request, id, None);
    }

    /// Cancels the attempts in flight of a shard request, if the deployment supports cancellation.
    pub(crate) fn cancel_attempts(&self, id: ShardRequestId, actions: &mut dyn Actions) {
        if self.deployment.cancellation {
            for attempt in self.queries.attempts_in_flight(id, &self.nodes) {
                actions.cancel_attempt(attempt);
            }
        }
    }

    /// Ends a query with `completion` and cancels its attempts in flight.
    pub(crate) fn finish(
        &mut self, now: Micros, id: QueryId, completion: Completion, actions: &mut dyn Actions,
    ) {
        let query = &self.queries[id];
        for &request in query.shard_requests.iter().filter(|&&request| !self.queries[request].is_answered()) {
            self.cancel_attempts(request, actions);
        }
        actions.complete_query(id, completion);
        if let (Completion::Complete, Some(admitted_at)) = (completion, query.admitted_at) {
            self.classes[query.class].durations.push(now, (now - admitted_at) as f64);
        }
        self.queries.close(id);
    }

    /// Releases ended queries without attempts in flight, and removed nodes that nothing refers to.
    pub(crate) fn release_unused(&mut self, actions: &mut dyn Actions) {
        for id in self.queries.release_ended() {
            actions.release_query(id);
        }
        let is_unused = |id, node: &crate::state::NodeState| {
            node.is_removed() && node.in_flight.is_empty() && !self.queries.refers_to(id)
        };
        let unused: Vec<NodeId> =
            self.nodes.iter().filter(|&(id, node)| is_unused(id, node)).map(|(id, _)| id).collect();
        for id in unused {
            // The identifier may be reused for this node or another one, which must start without measurements.
            self.nodes[id] = Self::new_node(self.nodes[id].tie_break);
            actions.release_node(id);
        }
    }
}
