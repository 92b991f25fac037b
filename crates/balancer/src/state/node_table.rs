//! The nodes by their ids.

use super::node::NodeState;
use crate::NodeId;
use std::ops::{Index, IndexMut};

/// The nodes by their ids.
#[derive(Default)]
pub struct NodeTable {
    nodes: Vec<NodeState>,
}

impl NodeTable {
    /// The number of ids in use, with gaps.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// The node with this id, if there is one.
    pub fn get(&self, id: NodeId) -> Option<&NodeState> {
        self.nodes.get(id.0)
    }

    /// All nodes, by id.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &NodeState)> {
        self.nodes.iter().enumerate().map(|(index, node)| (NodeId(index), node))
    }

    /// Grows the table to hold `id`; `create` makes each new node.
    pub fn ensure(&mut self, id: NodeId, create: impl FnMut() -> NodeState) {
        if self.nodes.len() <= id.0 {
            self.nodes.resize_with(id.0 + 1, create);
        }
    }

    /// Marks the nodes as removed that endpoint update number `update` did not name.
    pub fn remove_unlisted(&mut self, update: u64) {
        for node in &mut self.nodes {
            if node.last_update_number != update {
                node.mark_removed();
            }
        }
    }

    /// Forgets all nodes.
    #[cfg(test)]
    pub fn clear(&mut self) {
        self.nodes.clear();
    }
}

impl Index<NodeId> for NodeTable {
    type Output = NodeState;

    fn index(&self, id: NodeId) -> &NodeState {
        &self.nodes[id.0]
    }
}

impl IndexMut<NodeId> for NodeTable {
    fn index_mut(&mut self, id: NodeId) -> &mut NodeState {
        &mut self.nodes[id.0]
    }
}
