//! Which nodes hold a shard.

use super::node_table::NodeTable;
use crate::{NodeId, ShardSettings};
use std::collections::BTreeMap;

/// Which replica sets hold a shard, and the ready nodes of each. A shard is held by as many consecutive
/// replica sets as the settings say, the first of which has its index.
#[derive(Default)]
pub struct ShardMap {
    sets_per_shard: usize,
    set_count: usize,
    ready_by_set: BTreeMap<usize, Vec<NodeId>>,
    ready_nodes: usize,
}

impl ShardMap {
    /// A map without nodes.
    pub fn new(settings: &ShardSettings) -> Self {
        ShardMap {
            sets_per_shard: settings.replica_sets_per_shard_or_one(),
            set_count: settings.replica_sets_or_one(),
            ready_by_set: BTreeMap::new(),
            ready_nodes: 0,
        }
    }

    /// How many nodes are ready.
    pub fn ready_nodes(&self) -> usize {
        self.ready_nodes
    }

    /// Whether a replica set holds a shard.
    pub fn holds(&self, replica_set: usize, shard: usize) -> bool {
        let (set, first) = (replica_set % self.set_count, shard % self.set_count);
        let wrapped = if set < first { set + self.set_count } else { set };
        wrapped - first < self.sets_per_shard
    }

    /// Assigns the ready nodes to their replica sets.
    pub fn rebuild(&mut self, nodes: &NodeTable) {
        self.ready_by_set = BTreeMap::new();
        self.ready_nodes = 0;
        for (id, node) in nodes.iter().filter(|(_, node)| node.is_ready()) {
            self.ready_by_set.entry(node.replica_set % self.set_count).or_default().push(id);
            self.ready_nodes += 1;
        }
    }

    /// The ready nodes that hold a shard, by id.
    pub fn replicas(&self, shard: usize) -> Vec<NodeId> {
        let sets = (0..self.sets_per_shard).map(|offset| (shard % self.set_count + offset) % self.set_count);
        let mut replicas: Vec<NodeId> =
            sets.filter_map(|set| self.ready_by_set.get(&set)).flatten().copied().collect();
        replicas.sort_unstable();
        replicas
    }
}
