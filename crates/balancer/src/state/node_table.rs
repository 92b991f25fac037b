//! Nodes, indexed by their identifiers.

use super::node::NodeState;
use crate::NodeId;
use std::ops::{Index, IndexMut};

/// Nodes, indexed by their identifiers.
#[derive(Default)]
pub struct NodeTable {
    nodes: Vec<NodeState>,
}

impl NodeTable {
    /// Returns the size of the table, including unused identifiers.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the node with this identifier, if the table is large enough.
    pub fn get(&self, id: NodeId) -> Option<&NodeState> {
        self.nodes.get(id.0)
    }

    /// Iterates over all nodes in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &NodeState)> {
        self.nodes.iter().enumerate().map(|(index, node)| (NodeId(index), node))
    }

    /// Extends the table to include `id`, with nodes created by `create`.
    pub fn ensure(&mut self, id: NodeId, create: impl FnMut() -> NodeState) {
        if self.nodes.len() <= id.0 {
            self.nodes.resize_with(id.0 + 1, create);
        }
    }

    /// Marks the nodes as removed that are missing from the endpoint update with sequence number `update`.
    pub fn remove_unlisted(&mut self, update: u64) {
        for node in &mut self.nodes {
            if node.last_update_number != update {
                node.mark_removed();
            }
        }
    }

    /// Removes all nodes.
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
