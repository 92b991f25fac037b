//! The desired state: what all proxies together should do, as plain values. It says which nodes hold which
//! shards, how healthy they are, how many requests may be in flight at each, and how much of each zone's work
//! stays in it.
//!
//! What the balancer says is rounded to steps, so that the desired state changes when something did and not
//! with every sample.

use crate::endpoint_table::{EndpointTable, EndpointView};
use crate::fair_share::{proxy_divisor, round_down};
use crate::site_settings::SiteSettings;
use balancer::{EndpointHealth, Micros, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Percentages are rounded down to multiples of this.
const PERCENT_STEP: u32 = 10;
/// The prefix of the cluster of a single node.
const NODE_CLUSTER_PREFIX: &str = "node-";

/// The health status that a proxy is given of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberHealth {
    Healthy,
    Unhealthy,
    Draining,
}

/// A node of a replica set.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ReplicaSetMember {
    pub node: NodeId,
    pub address: SocketAddr,
    pub zone: usize,
    pub health: MemberHealth,
    /// Shard requests that all routers and proxies together may have in flight at the node.
    pub capacity: u32,
}

/// The nodes that hold the same shards.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ReplicaSet {
    pub members: Vec<ReplicaSetMember>,
    /// Requests that all proxies together may have in flight to the set.
    pub capacity: u32,
    /// How much of new work is to be rejected.
    pub drop_percent: u32,
    /// By zone of the proxy, how much of its work the nodes of the same zone should take.
    pub local_percent: Vec<u32>,
}

/// A suspect or warming node, which may have only so much in flight; it gets a cluster of its own.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ConstrainedNode {
    pub node: NodeId,
    pub address: SocketAddr,
    pub zone: usize,
    /// The replica sets to which it belongs.
    pub replica_sets: Vec<usize>,
    /// Requests that all proxies together may have in flight at the node.
    pub capacity: u32,
}

/// The proxies among which capacity is divided.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProxyCounts {
    pub total: u32,
    pub by_zone: Vec<u32>,
}

/// What all proxies together should do.
#[derive(Debug, Default)]
pub(crate) struct DesiredState {
    /// Counts the desired states that differed from the one before; 0 before the first.
    pub generation: u64,
    pub replica_sets: Vec<ReplicaSet>,
    /// The names of the replica sets' clusters.
    pub cluster_names: Vec<String>,
    /// By the name of the node's cluster.
    pub constrained_nodes: BTreeMap<String, ConstrainedNode>,
    pub proxies: ProxyCounts,
}

/// The name of the cluster of a single node.
pub(crate) fn node_cluster_name(id: &str) -> String {
    format!("{NODE_CLUSTER_PREFIX}{id}")
}

/// Whether a cluster is that of a single node.
pub(crate) fn is_node_cluster(name: &str) -> bool {
    name.starts_with(NODE_CLUSTER_PREFIX)
}

/// The name of the cluster of a replica set.
pub(crate) fn replica_set_cluster_name(replica_set: usize) -> String {
    format!("shards-{replica_set}")
}

impl DesiredState {
    /// Derives the desired state from the nodes' health. Capacity is divided among `instances` control
    /// planes.
    pub fn new(
        now: Micros, endpoints: &EndpointTable, site: &SiteSettings, proxies: ProxyCounts, instances: u32,
    ) -> DesiredState {
        let views = endpoints.views(now);
        let mut state = DesiredState { proxies, ..DesiredState::default() };
        for index in 0..site.shard_groups() {
            let views: Vec<&EndpointView> =
                views.iter().filter(|view| site.holds_shards(view.replica_set, index)).collect();
            state.replica_sets.push(state.replica_set(now, endpoints, site, &views, instances));
            state.cluster_names.push(replica_set_cluster_name(index));
        }
        for view in &views {
            if let Some(node) = constrained_node(view, site, instances) {
                state.constrained_nodes.insert(node_cluster_name(view.id), node);
            }
        }
        state
    }

    fn replica_set(
        &self, now: Micros, endpoints: &EndpointTable, site: &SiteSettings, views: &[&EndpointView],
        instances: u32,
    ) -> ReplicaSet {
        let members: Vec<ReplicaSetMember> = views.iter().filter_map(|view| member(view)).collect();
        let total: u32 = members.iter().map(|member| member.capacity).sum();
        let divisor = site.replica_sets_per_shard as f64 * instances as f64;
        let nodes: Vec<NodeId> = views.iter().map(|view| view.node).collect();
        let shed_percent = (endpoints.shed_fraction(now, &nodes) * 100.0) as u32;
        let local_percent = |zone| self.local_percent(zone, &members, total);
        ReplicaSet {
            capacity: (total as f64 / divisor) as u32,
            drop_percent: shed_percent / PERCENT_STEP * PERCENT_STEP,
            local_percent: (0..site.zones.len()).map(local_percent).collect(),
            members,
        }
    }

    /// How much of a zone's work its own nodes take: all of it, unless that exceeds their share of the
    /// capacity of all nodes. Otherwise nearby nodes would be overloaded because they are nearby.
    fn local_percent(&self, zone: usize, members: &[ReplicaSetMember], total: u32) -> u32 {
        let local: u32 =
            members.iter().filter(|member| member.zone == zone).map(|member| member.capacity).sum();
        let zone_proxies = self.proxies.by_zone.get(zone).copied().unwrap_or(0).max(1);
        let work_share = zone_proxies as f64 / self.proxies.total.max(1) as f64;
        let capacity_share = local as f64 / total.max(1) as f64;
        ((capacity_share / work_share).min(1.0) * 100.0) as u32 / PERCENT_STEP * PERCENT_STEP
    }

    /// Whether this and another desired state ask the same of proxies.
    pub fn is_equivalent(&self, other: &DesiredState) -> bool {
        self.replica_sets == other.replica_sets
            && self.constrained_nodes == other.constrained_nodes
            && proxy_divisor(self.proxies.total) == proxy_divisor(other.proxies.total)
    }

    /// The nodes that may be given new work, with the names of the clusters that contain them.
    pub fn nodes_in_use(&self) -> BTreeMap<NodeId, Vec<String>> {
        let mut used: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
        for (index, replica_set) in self.replica_sets.iter().enumerate() {
            for member in &replica_set.members {
                if member.health == MemberHealth::Healthy {
                    used.entry(member.node).or_default().push(replica_set_cluster_name(index));
                }
            }
        }
        for (cluster, constrained) in &self.constrained_nodes {
            used.entry(constrained.node).or_default().push(cluster.clone());
        }
        used
    }

    /// The weight of a constrained node's cluster, relative to one shard request of its replica set. The
    /// cluster goes to fewer proxies than there are, so each of them sends more to make up for the others;
    /// but no proxy sends it more than a healthy node.
    pub fn route_weight(&self, replica_set: &ReplicaSet, constrained: &ConstrainedNode) -> u32 {
        let healthy = replica_set.members.iter().map(|member| member.capacity).max().unwrap_or(0);
        let divisor = proxy_divisor(self.proxies.total);
        let scale = match constrained.capacity < divisor {
            true => divisor as f64 / constrained.capacity.max(1) as f64,
            false => 1.0,
        };
        let weight = (constrained.capacity as f64 * scale) as u32;
        let bounded = if healthy > 0 { weight.min(healthy) } else { weight };
        bounded.max(1)
    }
}

/// The node as a member of its replica set, unless it is constrained or removed.
fn member(view: &EndpointView) -> Option<ReplicaSetMember> {
    let (health, capacity) = match view.health {
        EndpointHealth::Healthy { capacity } => (MemberHealth::Healthy, round_down(capacity as u32)),
        EndpointHealth::EjectedUntil(_) => (MemberHealth::Unhealthy, 0),
        EndpointHealth::Draining => (MemberHealth::Draining, 0),
        EndpointHealth::Suspect { .. } | EndpointHealth::WarmingUp { .. } | EndpointHealth::Removed => {
            return None;
        }
    };
    Some(ReplicaSetMember { node: view.node, address: view.address, zone: view.zone, health, capacity })
}

/// The node as one with a cluster of its own, if it is constrained.
fn constrained_node(view: &EndpointView, site: &SiteSettings, instances: u32) -> Option<ConstrainedNode> {
    let (EndpointHealth::Suspect { capacity } | EndpointHealth::WarmingUp { capacity, .. }) = view.health
    else {
        return None;
    };
    let holds = |&index: &usize| site.holds_shards(view.replica_set, index);
    Some(ConstrainedNode {
        node: view.node,
        address: view.address,
        zone: view.zone,
        replica_sets: (0..site.shard_groups()).filter(holds).collect(),
        capacity: round_down((capacity / instances as f64) as u32),
    })
}

#[cfg(test)]
mod tests;
