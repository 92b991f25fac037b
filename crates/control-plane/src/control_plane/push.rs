//! The desired state, each proxy's part of it, and its push to proxies.

use super::proxy_state::{CachedSnapshot, GrantStatus};
use super::{ControlPlane, Effect, Inheritance};
use crate::capacity_ledger::CapacityRequest;
use crate::desired_state::{DesiredState, ProxyCounts, is_node_cluster};
use crate::drain_tracker::Drain;
use crate::endpoint_table::EndpointSource;
use crate::fair_share::{ScarcityRule, fair_share};
use crate::ids::{ProxyId, StreamId};
use crate::metrics::ResourceTypeLabel;
use crate::resource::{ResourceSnapshot, ResourceType};
use crate::resource_cache::{ConstrainedGrant, ProxyGrants};
use crate::session::{Response, ResponseKind, Urgency};
use balancer::{Micros, NodeId};
use std::sync::Arc;

/// Snapshots that are kept for proxies to share.
const MAX_SNAPSHOTS: usize = 4096;

/// The resources that a proxy should have now.
#[derive(Clone)]
pub(super) struct ProxySnapshot {
    pub resources: Arc<ResourceSnapshot>,
    pub grants: GrantStatus,
}

/// What can be offered to a proxy now.
struct GrantOffer {
    grants: ProxyGrants,
    status: GrantStatus,
    record: LedgerRecord,
}

/// Whether the ledger contains all that is offered. What it does not contain may be granted to other proxies before
/// it is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LedgerRecord {
    Complete,
    Incomplete,
}

impl ControlPlane {
    /// Derives the desired state from the nodes' health, and pushes it to all proxies if it changed.
    pub(super) fn update_desired_state(&mut self, now: Micros) {
        if self.endpoints.source() == EndpointSource::None {
            return;
        }
        let (proxies, instances) = (self.proxy_counts(now), self.options.instances);
        let mut desired = DesiredState::new(now, &self.endpoints, &self.site, proxies, instances);
        if self.desired.generation > 0 && desired.is_equivalent(&self.desired) {
            return;
        }
        desired.generation = self.desired.generation + 1;
        self.metrics.desired_states.inc();
        self.track_drains(now, &desired);
        self.resources.retain(&self.desired, &desired);
        self.snapshots.clear();
        self.desired = desired;
        self.push_to_all(now);
    }

    /// The proxies by which capacity is divided: those that may act on what they were sent, and at least as many as
    /// are expected. Guards against shares that change with each proxy that comes back after a start.
    fn proxy_counts(&self, now: Micros) -> ProxyCounts {
        let mut by_zone = vec![0; self.site.zones.len()];
        for proxy in self.proxies.values() {
            if let Some(count) = by_zone.get_mut(proxy.zone) {
                *count += 1;
            }
        }
        let is_starting = now < self.started_at + self.options.hold;
        let expected = if is_starting { self.options.expected_proxies } else { 1 };
        let zones = by_zone.len().max(1) as u32;
        for count in &mut by_zone {
            *count = (*count).max(expected / zones);
        }
        ProxyCounts { total: (self.proxies.len() as u32).max(expected), by_zone }
    }

    /// Tracks the drains of nodes that leave clusters, and no longer those of nodes that come back.
    fn track_drains(&mut self, now: Micros, desired: &DesiredState) {
        let (before, after) = (self.desired.nodes_in_use(), desired.nodes_in_use());
        for (&node, clusters) in &before {
            let remaining = after.get(&node).map_or(&[][..], Vec::as_slice);
            let left: Vec<String> =
                clusters.iter().filter(|name| !remaining.contains(name)).cloned().collect();
            // A node that leaves its own cluster for its replica set's is warm now: nothing has to be drained.
            let became_warm = !remaining.is_empty() && left.iter().all(|name| is_node_cluster(name));
            if left.is_empty() || became_warm {
                continue;
            }
            let proxies = self.proxies_with_endpoints(&left);
            let drain = Drain { started_at: now, generation: desired.generation, clusters: left };
            self.drains.start(node, drain, proxies.into_iter());
        }
        for (node, clusters) in after {
            if joins_replica_set(&clusters, before.get(&node)) {
                self.drains.cancel(node);
            }
        }
    }

    /// The proxies that may act on endpoints of one of these clusters.
    fn proxies_with_endpoints(&self, clusters: &[String]) -> Vec<ProxyId> {
        let endpoints = ResourceType::Endpoints;
        let may_use = |proxy: &super::ProxyState| {
            let session = &proxy.session;
            clusters.iter().any(|name| {
                session.acknowledged_generation(endpoints, name).is_some()
                    || session.had_before(endpoints, name)
                    || session.is_pending(endpoints, name)
            })
        };
        self.proxies.iter().filter(|(_, proxy)| may_use(proxy)).map(|(&id, _)| id).collect()
    }

    /// Pushes to all proxies, first to those that may still use a drained node.
    fn push_to_all(&mut self, now: Micros) {
        let proxies: Vec<ProxyId> = self.proxies.keys().copied().collect();
        let (first, others): (Vec<_>, Vec<_>) =
            proxies.into_iter().partition(|&proxy| self.drains.waits_for(proxy));
        for proxy in first.into_iter().chain(others) {
            self.push(now, proxy);
        }
    }

    /// Pushes to the proxies that have less than their fair share.
    pub(super) fn push_to_partially_granted(&mut self, now: Micros) {
        let partial = self.proxies.iter().filter(|(_, proxy)| proxy.grants == GrantStatus::Partial);
        let partial: Vec<ProxyId> = partial.map(|(&id, _)| id).collect();
        for proxy in partial {
            self.push(now, proxy);
        }
    }

    /// Sends a proxy what it should have and does not have, as far as it may be sent now.
    pub(super) fn push(&mut self, now: Micros, id: ProxyId) {
        let Some(stream) = self.proxies.get(&id).and_then(|proxy| proxy.stream()) else { return };
        let snapshot = self.snapshot(now, id);
        let urgency = if self.drains.waits_for(id) { Urgency::DrainPending } else { Urgency::Normal };
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        proxy.grants = snapshot.grants;
        if snapshot.resources.of_type(ResourceType::Route).is_empty() {
            return;
        }
        let responses = proxy.session.push(now, &snapshot.resources, urgency);
        let contains = |resource_type| responses.iter().any(|r| r.resource_type == resource_type);
        if contains(ResourceType::Endpoints) {
            proxy.lease_renewed_at = now;
        }
        if contains(ResourceType::Cluster) {
            self.ledger.set_all(id, &proxy.session.max_requests_in_force());
        }
        for duration in self.drains.acknowledged(now, id, &proxy.session) {
            self.metrics.drain_seconds.observe(duration as f64 / 1e6);
        }
        for response in responses {
            self.respond(stream, response);
        }
    }

    /// Counts a response and sends it.
    pub(super) fn respond(&mut self, stream: StreamId, response: Response) {
        let kind = format!("{:?}", response.resource_type).to_lowercase();
        self.metrics.responses.get_or_create(&ResourceTypeLabel { kind }).inc();
        if response.kind == ResponseKind::Update {
            let bytes = response.resources.iter().map(|resource| resource.body.len() as u64).sum();
            self.metrics.content_bytes.inc_by(bytes);
        }
        self.effects.push(Effect::Respond { stream, response });
    }

    /// The resources that a proxy should have now, with its share of each cluster.
    pub(super) fn snapshot(&mut self, now: Micros, id: ProxyId) -> ProxySnapshot {
        let empty = ProxySnapshot { resources: Arc::default(), grants: GrantStatus::Full };
        let Some(proxy) = self.proxies.get(&id) else { return empty };
        let generation = self.desired.generation;
        if let Some(cached) = proxy.snapshot.as_ref().filter(|cached| cached.generation == generation) {
            return ProxySnapshot { resources: cached.resources.clone(), grants: GrantStatus::Full };
        }
        // Guards against a list from before the start that takes proxies back to an older state: only proxies that
        // have nothing get it.
        let is_current = self.endpoints.source() == EndpointSource::Discovery;
        if generation == 0 || !is_current && proxy.session.is_resumed() {
            return empty;
        }
        let offer = self.offer(now, id, proxy);
        let resources = self.shared_snapshot(offer.grants);
        if offer.status == GrantStatus::Full
            && offer.record == LedgerRecord::Complete
            && let Some(proxy) = self.proxies.get_mut(&id)
        {
            proxy.snapshot = Some(CachedSnapshot { generation, resources: resources.clone() });
        }
        ProxySnapshot { resources, grants: offer.status }
    }

    /// The snapshot of all proxies with these grants.
    fn shared_snapshot(&mut self, grants: ProxyGrants) -> Arc<ResourceSnapshot> {
        if let Some(snapshot) = self.snapshots.get(&grants) {
            return snapshot.clone();
        }
        if self.snapshots.len() >= MAX_SNAPSHOTS {
            self.snapshots.clear();
        }
        let snapshot = Arc::new(self.resources.snapshot(&self.site, &self.desired, &grants));
        self.snapshots.insert(grants, snapshot.clone());
        snapshot
    }

    /// What can be offered to a proxy now of each cluster.
    fn offer(&self, now: Micros, id: ProxyId, proxy: &super::ProxyState) -> GrantOffer {
        let mut offer = GrantOffer {
            grants: ProxyGrants {
                zone: proxy.zone,
                replica_sets: Vec::new(),
                constrained: Vec::new(),
                leaving: Vec::new(),
            },
            status: GrantStatus::Full,
            record: LedgerRecord::Complete,
        };
        let desired = &self.desired;
        for (replica_set, cluster) in desired.replica_sets.iter().zip(&desired.cluster_names) {
            let capacity = replica_set.capacity;
            let target = self.target(cluster, capacity, ScarcityRule::OneForEach, &proxy.name);
            let request = CapacityRequest { target, capacity, minimum: 1 };
            let max_requests = self.ledger.offer(cluster, id, request);
            offer.add(target, max_requests, self.ledger.granted(cluster, id));
            offer.grants.replica_sets.push(max_requests);
        }
        for (cluster, node) in &desired.constrained_nodes {
            let target = self.target(cluster, node.capacity, ScarcityRule::OneForSome, &proxy.name);
            let granted = self.ledger.granted(cluster, id);
            let max_requests = if self.may_raise(now, node.node) {
                let request = CapacityRequest { target, capacity: node.capacity, minimum: 0 };
                self.ledger.offer(cluster, id, request)
            } else {
                granted.min(target)
            };
            offer.add(target, max_requests, granted);
            if max_requests > 0 {
                let cluster = cluster.clone();
                offer.grants.constrained.push(ConstrainedGrant { cluster, max_requests });
            }
        }
        let constrained = &offer.grants.constrained;
        let is_left = |name: &&String| {
            is_node_cluster(name) && !constrained.iter().any(|grant| grant.cluster == **name)
        };
        offer.grants.leaving = proxy.session.sent_clusters().filter(is_left).cloned().collect();
        offer
    }

    /// Whether proxies may be granted more of a constrained node than they have. Guards against a node that is warming
    /// up while proxies that have not come back yet still take it for warm.
    fn may_raise(&self, now: Micros, node: NodeId) -> bool {
        let waits_for_proxies =
            self.inheritance == Inheritance::Possible && now < self.started_at + self.options.hold;
        !waits_for_proxies && self.drains.is_complete(node)
    }

    /// A proxy's fair share of a cluster.
    pub(super) fn target(
        &self, cluster: &str, capacity: u32, scarcity: ScarcityRule, proxy_name: &str,
    ) -> u32 {
        fair_share(capacity, self.desired.proxies.total, scarcity, cluster, proxy_name)
    }
}

impl GrantOffer {
    /// Notes what is offered of one cluster, in relation to the proxy's fair share and to what it was granted.
    fn add(&mut self, target: u32, offered: u32, granted: u32) {
        if offered < target {
            self.status = GrantStatus::Partial;
        }
        if offered > granted {
            self.record = LedgerRecord::Incomplete;
        }
    }
}

/// Whether a node is in a replica set's cluster in which it was not before.
fn joins_replica_set(clusters: &[String], before: Option<&Vec<String>>) -> bool {
    let is_new = |name: &String| before.is_none_or(|before| !before.contains(name));
    clusters.iter().any(|name| !is_node_cluster(name) && is_new(name))
}
