//! The desired state: the configuration of all proxies together, as plain values. It contains the nodes that hold each
//! group of shards, their health and capacity, and the percentage of each zone's traffic that stays in the zone.
//!
//! Capacities and percentages from the balancer are rounded down to steps, so that small variations from sample to
//! sample do not change the desired state.

use crate::deployment_settings::DeploymentSettings;
use crate::endpoint_table::{EndpointTable, EndpointView};
use crate::fair_share::{proxy_divisor, round_down};
use balancer::{EndpointHealth, Micros, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Percentages are rounded down to multiples of this value.
const PERCENT_STEP: u32 = 10;
/// Prefix of the name of a single-node cluster.
const NODE_CLUSTER_PREFIX: &str = "node-";

/// The health status of a node that is sent to proxies.
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
    /// Shard requests that all routers and proxies together may have in flight at the node, rounded down to a step; 0
    /// unless the node is healthy.
    pub capacity: u32,
}

/// The nodes that hold the same shards, without constrained nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ReplicaSet {
    pub members: Vec<ReplicaSetMember>,
    /// Requests to the replica set that all proxies of this control plane together may have in flight.
    pub capacity: u32,
    /// Percentage of new requests that proxies drop.
    pub drop_percent: u32,
    /// By zone of the proxy, the percentage of its requests that nodes of the same zone should take.
    pub local_percent: Vec<u32>,
}

/// A suspect or warming node. It gets a single-node cluster, so that the requests in flight at it can be limited.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ConstrainedNode {
    pub node: NodeId,
    pub address: SocketAddr,
    pub zone: usize,
    /// Indexes of the replica sets to which the node belongs.
    pub replica_sets: Vec<usize>,
    /// Requests that all proxies of this control plane together may have in flight at the node, rounded down to a step.
    pub capacity: u32,
}

/// Numbers of the proxies among which capacity is divided.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProxyCounts {
    pub total: u32,
    pub by_zone: Vec<u32>,
}

/// The desired state of all proxies.
#[derive(Debug, Default)]
pub(crate) struct DesiredState {
    /// Incremented whenever the desired state changes; 0 before the first one.
    pub generation: u64,
    pub replica_sets: Vec<ReplicaSet>,
    /// Names of the replica sets' clusters, in the order of `replica_sets`.
    pub cluster_names: Vec<String>,
    /// Constrained nodes by the names of their clusters.
    pub constrained_nodes: BTreeMap<String, ConstrainedNode>,
    pub proxies: ProxyCounts,
}

/// Returns the name of the cluster of the single node with this ID.
pub(crate) fn node_cluster_name(id: &str) -> String {
    format!("{NODE_CLUSTER_PREFIX}{id}")
}

/// Returns whether this is the name of a single-node cluster.
pub(crate) fn is_node_cluster(name: &str) -> bool {
    name.starts_with(NODE_CLUSTER_PREFIX)
}

/// Returns the name of the cluster of the replica set with this index.
pub(crate) fn replica_set_cluster_name(replica_set: usize) -> String {
    format!("shards-{replica_set}")
}

impl DesiredState {
    /// Derives the desired state from the health of the nodes. Capacity is divided evenly among `instances` control
    /// planes.
    pub fn new(
        now: Micros, endpoints: &EndpointTable, deployment: &DeploymentSettings, proxies: ProxyCounts,
        instances: u32,
    ) -> DesiredState {
        let views = endpoints.views(now);
        let mut state = DesiredState { proxies, ..DesiredState::default() };
        for index in 0..deployment.shard_groups() {
            let views: Vec<&EndpointView> =
                views.iter().filter(|view| deployment.holds_shards(view.replica_set, index)).collect();
            state.replica_sets.push(state.replica_set(now, endpoints, deployment, &views, instances));
            state.cluster_names.push(replica_set_cluster_name(index));
        }
        for view in &views {
            if let Some(node) = constrained_node(view, deployment, instances) {
                state.constrained_nodes.insert(node_cluster_name(view.id), node);
            }
        }
        state
    }

    fn replica_set(
        &self, now: Micros, endpoints: &EndpointTable, deployment: &DeploymentSettings,
        views: &[&EndpointView], instances: u32,
    ) -> ReplicaSet {
        let members: Vec<ReplicaSetMember> = views.iter().filter_map(|view| member(view)).collect();
        let total: u32 = members.iter().map(|member| member.capacity).sum();
        let divisor = deployment.replica_sets_per_shard as f64 * instances as f64;
        let nodes: Vec<NodeId> = views.iter().map(|view| view.node).collect();
        let shed_percent = (endpoints.shed_fraction(now, &nodes) * 100.0) as u32;
        let local_percent = |zone| self.local_percent(zone, &members, total);
        ReplicaSet {
            capacity: (total as f64 / divisor) as u32,
            drop_percent: shed_percent / PERCENT_STEP * PERCENT_STEP,
            local_percent: (0..deployment.zones.len()).map(local_percent).collect(),
            members,
        }
    }

    /// Returns the percentage of a zone's requests that nodes of the same zone take: all of them, unless the zone's
    /// share of all proxies exceeds its share of the total capacity. Without this limit, zones with few nodes would be
    /// overloaded.
    fn local_percent(&self, zone: usize, members: &[ReplicaSetMember], total: u32) -> u32 {
        let local: u32 =
            members.iter().filter(|member| member.zone == zone).map(|member| member.capacity).sum();
        let zone_proxies = self.proxies.by_zone.get(zone).copied().unwrap_or(0).max(1);
        let proxy_share = zone_proxies as f64 / self.proxies.total.max(1) as f64;
        let capacity_share = local as f64 / total.max(1) as f64;
        ((capacity_share / proxy_share).min(1.0) * 100.0) as u32 / PERCENT_STEP * PERCENT_STEP
    }

    /// Returns whether the desired states have equal replica sets, constrained nodes and divisors of capacity.
    /// Generations and the exact numbers of proxies are not compared.
    pub fn is_equivalent(&self, other: &DesiredState) -> bool {
        self.replica_sets == other.replica_sets
            && self.constrained_nodes == other.constrained_nodes
            && proxy_divisor(self.proxies.total) == proxy_divisor(other.proxies.total)
    }

    /// Returns the nodes that may get new requests, with the names of the clusters that contain them.
    pub fn nodes_in_use(&self) -> BTreeMap<NodeId, Vec<String>> {
        let mut in_use: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
        for (index, replica_set) in self.replica_sets.iter().enumerate() {
            for member in &replica_set.members {
                if member.health == MemberHealth::Healthy {
                    in_use.entry(member.node).or_default().push(replica_set_cluster_name(index));
                }
            }
        }
        for (cluster, constrained) in &self.constrained_nodes {
            in_use.entry(constrained.node).or_default().push(cluster.clone());
        }
        in_use
    }

    /// Returns the route weight of a constrained node's cluster. The weight of its replica set's cluster is the sum of
    /// the members' capacities. If the node's capacity is less than one request per proxy, only some proxies have the
    /// cluster, and the weight is scaled up to make up for the others. It is limited to the capacity of the largest
    /// healthy node, so that no proxy sends the constrained node more than a healthy one.
    pub fn route_weight(&self, replica_set: &ReplicaSet, constrained: &ConstrainedNode) -> u32 {
        let largest_capacity = replica_set.members.iter().map(|member| member.capacity).max().unwrap_or(0);
        let divisor = proxy_divisor(self.proxies.total);
        let scale = match constrained.capacity < divisor {
            true => divisor as f64 / constrained.capacity.max(1) as f64,
            false => 1.0,
        };
        let weight = (constrained.capacity as f64 * scale) as u32;
        let bounded_weight = if largest_capacity > 0 { weight.min(largest_capacity) } else { weight };
        bounded_weight.max(1)
    }
}

/// Returns the node as a member of its replica set; `None` if it is constrained or removed.
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

/// Returns the node as a constrained node; `None` unless it is suspect or warming up.
fn constrained_node(
    view: &EndpointView, deployment: &DeploymentSettings, instances: u32,
) -> Option<ConstrainedNode> {
    let (EndpointHealth::Suspect { capacity } | EndpointHealth::WarmingUp { capacity, .. }) = view.health
    else {
        return None;
    };
    let holds = |&index: &usize| deployment.holds_shards(view.replica_set, index);
    Some(ConstrainedNode {
        node: view.node,
        address: view.address,
        zone: view.zone,
        replica_sets: (0..deployment.shard_groups()).filter(holds).collect(),
        capacity: round_down((capacity / instances as f64) as u32),
    })
}

#[cfg(test)]
mod tests;
