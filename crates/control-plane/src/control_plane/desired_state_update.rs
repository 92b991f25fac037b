//! Updates of the desired state and the drains that they start.

use super::ControlPlane;
use super::proxy_state::ProxyState;
use crate::desired_state::{DesiredState, ProxyCounts, is_node_cluster};
use crate::drain_tracker::Drain;
use crate::ids::ProxyId;
use crate::resource::ResourceType;
use balancer::Micros;

impl ControlPlane {
    /// Derives the desired state from the health of the nodes and pushes resources to all proxies if it changed.
    /// Does nothing until an endpoint list may be used that has named a node.
    pub(super) fn update_desired_state(&mut self, now: Micros) {
        if !self.endpoints.is_usable() {
            return;
        }
        let (proxies, instances) = (self.proxy_counts(now), self.options.instances);
        let mut desired = DesiredState::new(now, &self.endpoints, &self.deployment, proxies, instances);
        if self.desired.generation > 0 && desired.is_equivalent(&self.desired) {
            return;
        }
        desired.generation = self.desired.generation + 1;
        self.metrics.desired_states.inc();
        self.track_drains(now, &desired);
        self.resources.switch_desired_state(&self.desired, &desired);
        self.snapshots.clear();
        self.desired = desired;
        self.push_to_all(now);
    }

    /// Returns the number of proxies among which capacity is divided: those that are connected or may still apply
    /// earlier grants, and for `grant_hold` after the start at least the expected number. Otherwise every share would
    /// change with each proxy that reconnects after a restart of the control plane.
    fn proxy_counts(&self, now: Micros) -> ProxyCounts {
        let mut by_zone = vec![0; self.deployment.zones.len()];
        for proxy in self.proxies.values() {
            if let Some(count) = by_zone.get_mut(proxy.zone) {
                *count += 1;
            }
        }
        let is_starting_up = now < self.started_at + self.options.grant_hold;
        let expected = if is_starting_up { self.options.expected_proxies } else { 1 };
        let zones = by_zone.len().max(1) as u32;
        for count in &mut by_zone {
            *count = (*count).max(expected / zones);
        }
        ProxyCounts { total: (self.proxies.len() as u32).max(expected), by_zone }
    }

    /// Starts a drain for each node that was removed from a cluster, and cancels the drain of each node that was
    /// added to a replica set's cluster.
    fn track_drains(&mut self, now: Micros, desired: &DesiredState) {
        let (before, after) = (self.desired.nodes_in_use(), desired.nodes_in_use());
        for (&node, clusters) in &before {
            let remaining = after.get(&node).map_or(&[][..], Vec::as_slice);
            let left_clusters: Vec<String> =
                clusters.iter().filter(|name| !remaining.contains(name)).cloned().collect();
            // A node that moves from its single-node cluster to its replica set's cluster is no longer
            // constrained, so there is nothing to drain.
            let is_unconstrained =
                !remaining.is_empty() && left_clusters.iter().all(|name| is_node_cluster(name));
            if left_clusters.is_empty() || is_unconstrained {
                continue;
            }
            let proxies = self.proxies_with_endpoints(&left_clusters);
            let drain = Drain { started_at: now, generation: desired.generation, clusters: left_clusters };
            self.drains.start(node, drain, proxies.into_iter());
        }
        for (node, clusters) in after {
            if joins_replica_set(&clusters, before.get(&node)) {
                self.drains.cancel(node);
            }
        }
    }

    /// Returns the proxies that may have applied, or may yet apply, endpoints of one of these clusters.
    fn proxies_with_endpoints(&self, clusters: &[String]) -> Vec<ProxyId> {
        let endpoints = ResourceType::Endpoints;
        let may_have_endpoints = |proxy: &ProxyState| {
            let session = &proxy.session;
            clusters.iter().any(|name| {
                session.acknowledged_generation(endpoints, name).is_some()
                    || session.had_on_previous_stream(endpoints, name)
                    || session.is_pending(endpoints, name)
            })
        };
        self.proxies.iter().filter(|(_, proxy)| may_have_endpoints(proxy)).map(|(&id, _)| id).collect()
    }
}

/// Returns whether one of the node's clusters is a replica set's cluster that did not contain the node before.
fn joins_replica_set(clusters: &[String], before: Option<&Vec<String>>) -> bool {
    let is_new = |name: &String| before.is_none_or(|before| !before.contains(name));
    clusters.iter().any(|name| !is_node_cluster(name) && is_new(name))
}
