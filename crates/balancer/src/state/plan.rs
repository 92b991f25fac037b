//! Assignment of a query's shard requests to nodes.

use crate::{NodeId, ShardRequestId};

/// A shard request and the node that it is to be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Assignment {
    pub shard_request: ShardRequestId,
    pub node: NodeId,
}

/// Assignments that are to be sent in one decision.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Assignments in the order of sending.
    pub assignments: Vec<Assignment>,
}

impl Plan {
    /// Returns the number of shard requests assigned to a node.
    pub fn count_at(&self, node: NodeId) -> usize {
        self.assignments.iter().filter(|assignment| assignment.node == node).count()
    }

    /// Assigns a batch of shard requests to a node.
    pub fn assign(&mut self, batch: Vec<ShardRequestId>, node: NodeId) {
        let assign = |shard_request| Assignment { shard_request, node };
        self.assignments.extend(batch.into_iter().map(assign));
    }

    /// Removes the assigned shard requests from `shard_requests`. Consumes the plan, because it sorts the
    /// assignments.
    pub fn retain_unassigned(mut self, shard_requests: &mut Vec<ShardRequestId>) {
        self.assignments.sort_unstable();
        let find = |id: &ShardRequestId| {
            self.assignments.binary_search_by_key(id, |assignment| assignment.shard_request)
        };
        shard_requests.retain(|id| find(id).is_err());
    }

    /// Removes the assignments to other nodes than that of the first assignment.
    pub fn retain_first_node(&mut self) {
        let first = self.assignments.first().map(|assignment| assignment.node);
        self.assignments.retain(|assignment| Some(assignment.node) == first);
    }
}
