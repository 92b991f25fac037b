//! Lookup of the nodes that hold a shard.

use super::node_table::NodeTable;
use crate::{NodeId, ShardSettings};
use std::collections::BTreeMap;

/// Mapping from shards to replica sets and their ready nodes. Each shard is held by a configured number of
/// consecutive replica sets, starting with the one at the shard's index, modulo the number of replica sets.
#[derive(Default)]
pub struct ShardMap {
    sets_per_shard: usize,
    set_count: usize,
    ready_by_set: BTreeMap<usize, Vec<NodeId>>,
    ready_nodes: usize,
}

impl ShardMap {
    /// Creates a map without nodes.
    pub fn new(settings: &ShardSettings) -> Self {
        ShardMap {
            sets_per_shard: settings.replica_sets_per_shard_or_one(),
            set_count: settings.replica_sets_or_one(),
            ready_by_set: BTreeMap::new(),
            ready_nodes: 0,
        }
    }

    /// Returns the number of ready nodes.
    pub fn ready_nodes(&self) -> usize {
        self.ready_nodes
    }

    /// Returns whether a replica set holds a shard.
    pub fn holds(&self, replica_set: usize, shard: usize) -> bool {
        let (set, first) = (replica_set % self.set_count, shard % self.set_count);
        let wrapped = if set < first { set + self.set_count } else { set };
        wrapped - first < self.sets_per_shard
    }

    /// Rebuilds the lists of ready nodes from the node table.
    pub fn rebuild(&mut self, nodes: &NodeTable) {
        self.ready_by_set = BTreeMap::new();
        self.ready_nodes = 0;
        for (id, node) in nodes.iter().filter(|(_, node)| node.is_ready()) {
            self.ready_by_set.entry(node.replica_set % self.set_count).or_default().push(id);
            self.ready_nodes += 1;
        }
    }

    /// Returns the ready nodes that hold a shard, in the order of their identifiers.
    pub fn replicas(&self, shard: usize) -> Vec<NodeId> {
        let sets = (0..self.sets_per_shard).map(|offset| (shard % self.set_count + offset) % self.set_count);
        let mut replicas: Vec<NodeId> =
            sets.filter_map(|set| self.ready_by_set.get(&set)).flatten().copied().collect();
        replicas.sort_unstable();
        replicas
    }
}
