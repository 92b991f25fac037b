//! Which nodes are to get the shard requests of a query.

use crate::{NodeId, ShardRequestId};

/// The node that is to get a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Assignment {
    /// The shard request.
    pub shard_request: ShardRequestId,
    /// The node.
    pub node: NodeId,
}

/// The nodes that are to get shard requests.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The assignments in the order of sending.
    pub assignments: Vec<Assignment>,
}

impl Plan {
    /// How many shard requests it assigns to a node.
    pub fn count_at(&self, node: NodeId) -> usize {
        self.assignments.iter().filter(|assignment| assignment.node == node).count()
    }

    /// Assigns shard requests to a node.
    pub fn assign(&mut self, batch: Vec<ShardRequestId>, node: NodeId) {
        let assign = |shard_request| Assignment { shard_request, node };
        self.assignments.extend(batch.into_iter().map(assign));
    }

    /// Keeps the shard requests that it does not assign. Its order is lost.
    pub fn retain_unassigned(mut self, shard_requests: &mut Vec<ShardRequestId>) {
        self.assignments.sort_unstable();
        let find = |id: &ShardRequestId| {
            self.assignments.binary_search_by_key(id, |assignment| assignment.shard_request)
        };
        shard_requests.retain(|id| find(id).is_err());
    }

    /// Keeps the assignments to the node of the first one.
    pub fn retain_first_node(&mut self) {
        let first = self.assignments.first().map(|assignment| assignment.node);
        self.assignments.retain(|assignment| Some(assignment.node) == first);
    }
}
