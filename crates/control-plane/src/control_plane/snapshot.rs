//! The resources that a proxy should have, with its share of each cluster's capacity.

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

/// Snapshots that are kept for proxies to share.
const MAX_SNAPSHOTS: usize = 4096;

/// The resources that a proxy should have now.
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

/// Whether the ledger contains all that is offered. What it does not contain may be granted to other proxies
/// before it is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LedgerRecord {
    Complete,
    Incomplete,
}

impl ControlPlane {
    /// The resources that a proxy should have now, with its share of each cluster.
    pub(super) fn snapshot(&mut self, now: Micros, id: ProxyId) -> ProxySnapshot {
        let empty = ProxySnapshot { resources: Arc::default(), grants: GrantStatus::Full };
        let Some(proxy) = self.proxies.get(&id) else { return empty };
        let generation = self.desired.generation;
        if let Some(cached) = proxy.snapshot.as_ref().filter(|cached| cached.generation == generation) {
            return ProxySnapshot { resources: cached.resources.clone(), grants: GrantStatus::Full };
        }
        // Guards against a list from before the start that takes proxies back to an older state: only proxies
        // that have nothing get it.
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
    fn offer(&self, now: Micros, id: ProxyId, proxy: &ProxyState) -> GrantOffer {
        let mut offer = GrantOffer::new(proxy.zone);
        self.offer_replica_sets(&mut offer, id, proxy);
        self.offer_constrained_nodes(&mut offer, now, id, proxy);
        let constrained = &offer.grants.constrained;
        let is_left = |name: &&String| {
            is_node_cluster(name) && !constrained.iter().any(|grant| grant.cluster == **name)
        };
        offer.grants.leaving = proxy.session.sent_clusters().filter(is_left).cloned().collect();
        offer
    }

    fn offer_replica_sets(&self, offer: &mut GrantOffer, id: ProxyId, proxy: &ProxyState) {
        let desired = &self.desired;
        for (replica_set, cluster) in desired.replica_sets.iter().zip(&desired.cluster_names) {
            let capacity = replica_set.capacity;
            let target = self.target(cluster, capacity, ScarcityRule::OneForEach, &proxy.name);
            let request = CapacityRequest { target, capacity, minimum: 1 };
            let max_requests = self.ledger.offer(cluster, id, request);
            offer.add(target, max_requests, self.ledger.granted(cluster, id));
            offer.grants.replica_sets.push(max_requests);
        }
    }

    fn offer_constrained_nodes(&self, offer: &mut GrantOffer, now: Micros, id: ProxyId, proxy: &ProxyState) {
        for (cluster, node) in &self.desired.constrained_nodes {
            let target = self.constrained_target(cluster, node.capacity, id, &proxy.name);
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
    }

    /// Whether proxies may be granted more of a constrained node than they have. Guards against a node that
    /// is warming up while proxies that have not come back yet still take it for warm.
    fn may_raise(&self, now: Micros, node: NodeId) -> bool {
        let waits_for_proxies =
            self.earlier_versions == EarlierVersions::InUse && now < self.started_at + self.options.hold;
        !waits_for_proxies && self.drains.is_complete(node)
    }

    /// A proxy's fair share of a constrained node. Where there is less than one request for each proxy, the shares
    /// are drawn by hash and may add up to more than the capacity. They are then granted only as far as the
    /// capacity goes; if it has fallen since, the last proxies that have a share lose it.
    pub(super) fn constrained_target(
        &self, cluster: &str, capacity: u32, id: ProxyId, proxy_name: &str,
    ) -> u32 {
        let rule = ScarcityRule::OneForSome;
        let share = self.target(cluster, capacity, rule, proxy_name);
        // Only one request each can be drawn, and only where more is granted than the capacity is one taken back.
        if share != 1 || self.ledger.total(cluster) <= capacity as u64 {
            return share;
        }
        let earlier = self.ledger.grants(cluster).take_while(|&(other, _)| other < id);
        let kept = earlier.filter_map(|(other, granted)| {
            let name = &self.proxies.get(&other)?.name;
            Some(granted.min(self.target(cluster, capacity, rule, name)))
        });
        share.min(capacity.saturating_sub(kept.sum()))
    }

    /// A proxy's fair share of a cluster.
    pub(super) fn target(
        &self, cluster: &str, capacity: u32, scarcity: ScarcityRule, proxy_name: &str,
    ) -> u32 {
        fair_share(capacity, self.desired.proxies.total, scarcity, cluster, proxy_name)
    }
}

impl GrantOffer {
    /// Nothing is offered yet.
    fn new(zone: usize) -> GrantOffer {
        let (replica_sets, constrained, leaving) = (Vec::new(), Vec::new(), Vec::new());
        GrantOffer {
            grants: ProxyGrants { zone, replica_sets, constrained, leaving },
            status: GrantStatus::Full,
            record: LedgerRecord::Complete,
        }
    }

    /// Notes what is offered of one cluster, in relation to the proxy's fair share and to what it was
    /// granted.
    fn add(&mut self, target: u32, offered: u32, granted: u32) {
        if offered < target {
            self.status = GrantStatus::Partial;
        }
        if offered > granted {
            self.record = LedgerRecord::Incomplete;
        }
    }
}
