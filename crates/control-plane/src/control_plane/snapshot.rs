//! Snapshots: the resources that a proxy should have, with its share of each cluster's capacity.

use super::proxy_state::{CachedSnapshot, GrantStatus, ProxyState};
use super::{ControlPlane, EarlierVersions};
use crate::capacity_ledger::CapacityRequest;
use crate::desired_state::is_node_cluster;
use crate::endpoint_table::EndpointSource;
use crate::fair_share::{ScarcityRule, fair_share};
use crate::ids::ProxyId;
use crate::resource::ResourceSnapshot;
use crate::resource_cache::{ConstrainedGrant, ProxyGrants};
use balancer::{Micros, NodeId};
use std::sync::Arc;

/// Number of shared snapshots at which the cache of snapshots is cleared.
const MAX_SNAPSHOTS: usize = 4096;

/// The resources that a proxy should have now.
pub(super) struct ProxySnapshot {
    pub resources: Arc<ResourceSnapshot>,
    pub grant_status: GrantStatus,
}

/// The grants that can be offered to a proxy now.
struct GrantOffer {
    grants: ProxyGrants,
    status: GrantStatus,
    coverage: OfferCoverage,
}

/// Whether an offer stays within the grants in the capacity ledger. The part of an offer that exceeds them is not
/// reserved and may be granted to other proxies before the offer is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OfferCoverage {
    WithinGrants,
    ExceedsGrants,
}

impl ControlPlane {
    /// Returns the resources that a proxy should have now, with its share of each cluster. They are empty if there is
    /// no desired state yet or the proxy must keep its current resources.
    pub(super) fn snapshot(&mut self, now: Micros, id: ProxyId) -> ProxySnapshot {
        let empty = ProxySnapshot { resources: Arc::default(), grant_status: GrantStatus::Full };
        let Some(proxy) = self.proxies.get(&id) else { return empty };
        let generation = self.desired.generation;
        if let Some(cached) = proxy.snapshot.as_ref().filter(|cached| cached.generation == generation) {
            return ProxySnapshot { resources: cached.resources.clone(), grant_status: GrantStatus::Full };
        }
        // A provisional endpoint list may be older than the resources that a resumed proxy has. Until discovery has
        // sent the full list, only proxies without resources get a snapshot.
        let is_current = self.endpoints.source() == EndpointSource::Discovery;
        if generation == 0 || !is_current && proxy.session.is_resumed() {
            return empty;
        }
        let offer = self.offer(now, id, proxy);
        let resources = self.shared_snapshot(offer.grants);
        if offer.status == GrantStatus::Full
            && offer.coverage == OfferCoverage::WithinGrants
            && let Some(proxy) = self.proxies.get_mut(&id)
        {
            proxy.snapshot = Some(CachedSnapshot { generation, resources: resources.clone() });
        }
        ProxySnapshot { resources, grant_status: offer.status }
    }

    /// Returns the snapshot that all proxies with these grants share.
    fn shared_snapshot(&mut self, grants: ProxyGrants) -> Arc<ResourceSnapshot> {
        if let Some(snapshot) = self.snapshots.get(&grants) {
            return snapshot.clone();
        }
        if self.snapshots.len() >= MAX_SNAPSHOTS {
            self.snapshots.clear();
        }
        let snapshot = Arc::new(self.resources.snapshot(&self.deployment, &self.desired, &grants));
        self.snapshots.insert(grants, snapshot.clone());
        snapshot
    }

    /// Returns the grants of all clusters that can be offered to a proxy now.
    fn offer(&self, now: Micros, id: ProxyId, proxy: &ProxyState) -> GrantOffer {
        let mut offer = GrantOffer::new(proxy.zone);
        self.offer_replica_sets(&mut offer, id, proxy);
        self.offer_constrained_nodes(&mut offer, now, id, proxy);
        let constrained = &offer.grants.constrained;
        let is_revoked = |name: &&String| {
            is_node_cluster(name) && !constrained.iter().any(|grant| grant.cluster == **name)
        };
        offer.grants.revoked_clusters = proxy.session.sent_clusters().filter(is_revoked).cloned().collect();
        offer
    }

    fn offer_replica_sets(&self, offer: &mut GrantOffer, id: ProxyId, proxy: &ProxyState) {
        let desired = &self.desired;
        for (replica_set, cluster) in desired.replica_sets.iter().zip(&desired.cluster_names) {
            let capacity = replica_set.capacity;
            let target = self.target(cluster, capacity, ScarcityRule::OneForEach, &proxy.name);
            let request = CapacityRequest { target, capacity, minimum: 1 };
            let max_requests = self.capacity_ledger.offer(cluster, id, request);
            offer.add(target, max_requests, self.capacity_ledger.granted(cluster, id));
            offer.grants.replica_sets.push(max_requests);
        }
    }

    fn offer_constrained_nodes(&self, offer: &mut GrantOffer, now: Micros, id: ProxyId, proxy: &ProxyState) {
        for (cluster, node) in &self.desired.constrained_nodes {
            let target = self.constrained_target(cluster, node.capacity, id, &proxy.name);
            let granted = self.capacity_ledger.granted(cluster, id);
            let max_requests = if self.may_raise_grants(now, node.node) {
                let request = CapacityRequest { target, capacity: node.capacity, minimum: 0 };
                self.capacity_ledger.offer(cluster, id, request)
            } else {
                granted.min(target)
            };
            offer.add(target, max_requests, granted);
            if max_requests > 0 {
                let cluster = cluster.clone();
                offer.grants.constrained.push(ConstrainedGrant { cluster, max_requests });
            }
        }
    }

    /// Returns whether the grants of a constrained node may be raised. They may not while proxies that have not
    /// reconnected after a restart, or have not acknowledged the node's drain, may still send a warming node the load
    /// of a warm one.
    fn may_raise_grants(&self, now: Micros, node: NodeId) -> bool {
        let awaits_reconnects = self.earlier_versions == EarlierVersions::InUse
            && now < self.started_at + self.options.grant_hold;
        !awaits_reconnects && self.drains.is_complete(node)
    }

    /// Returns a proxy's fair share of a constrained node. If the capacity is less than one request per proxy, the
    /// proxies that get one are chosen by hash, and their shares may add up to more than the capacity. Such shares
    /// are granted up to the capacity only; if it decreases later, the proxies with the highest IDs lose their grants.
    pub(super) fn constrained_target(
        &self, cluster: &str, capacity: u32, id: ProxyId, proxy_name: &str,
    ) -> u32 {
        let rule = ScarcityRule::OneForSome;
        let share = self.target(cluster, capacity, rule, proxy_name);
        // Proxies chosen by hash have a share of 1, and a grant is revoked only if the total exceeds the capacity.
        if share != 1 || self.capacity_ledger.total(cluster) <= capacity as u64 {
            return share;
        }
        let earlier = self.capacity_ledger.grants(cluster).take_while(|&(other, _)| other < id);
        let kept = earlier.filter_map(|(other, granted)| {
            let name = &self.proxies.get(&other)?.name;
            Some(granted.min(self.target(cluster, capacity, rule, name)))
        });
        share.min(capacity.saturating_sub(kept.sum()))
    }

    /// Returns a proxy's fair share of a cluster.
    pub(super) fn target(
        &self, cluster: &str, capacity: u32, scarcity: ScarcityRule, proxy_name: &str,
    ) -> u32 {
        fair_share(capacity, self.desired.proxies.total, scarcity, cluster, proxy_name)
    }
}

impl GrantOffer {
    /// Creates an offer without grants.
    fn new(zone: usize) -> GrantOffer {
        let (replica_sets, constrained, revoked_clusters) = (Vec::new(), Vec::new(), Vec::new());
        GrantOffer {
            grants: ProxyGrants { zone, replica_sets, constrained, revoked_clusters },
            status: GrantStatus::Full,
            coverage: OfferCoverage::WithinGrants,
        }
    }

    /// Compares the requests offered of one cluster with the proxy's fair share and its current grant, and updates the
    /// status and the coverage of the whole offer.
    fn add(&mut self, target: u32, offered: u32, granted: u32) {
        if offered < target {
            self.status = GrantStatus::Partial;
        }
        if offered > granted {
            self.coverage = OfferCoverage::ExceedsGrants;
        }
    }
}
