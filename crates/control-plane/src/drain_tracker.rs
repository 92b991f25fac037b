//! The drain tracker: nodes that were removed from clusters, and the proxies that may still send them new requests.
//!
//! A drain is complete once each of these proxies has acknowledged endpoints without the node. The grants of a node
//! that restarted after a crash are raised only then.

use crate::ids::ProxyId;
use crate::resource::ResourceType;
use crate::session::DiscoverySession;
use balancer::{Micros, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// The removal of a node from clusters.
#[derive(Clone, Debug)]
pub(crate) struct Drain {
    pub started_at: Micros,
    /// The first generation of the desired state without the node in these clusters.
    pub generation: u64,
    /// Names of the clusters from which the node was removed.
    pub clusters: Vec<String>,
}

/// A drain that some proxy has not acknowledged.
#[derive(Debug)]
struct PendingDrain {
    drain: Drain,
    /// The proxies that may still use endpoints that contain the node.
    waiting_for: BTreeSet<ProxyId>,
}

/// The pending drains by node.
#[derive(Debug, Default)]
pub(crate) struct DrainTracker {
    pending: BTreeMap<NodeId, PendingDrain>,
}

impl DrainTracker {
    /// Starts to track a drain, in place of an earlier drain of the node. `proxies` are those that may use endpoints
    /// that contain the node; if there are none, the drain is complete and nothing is tracked.
    pub fn start(&mut self, node: NodeId, drain: Drain, proxies: impl Iterator<Item = ProxyId>) {
        let waiting_for: BTreeSet<ProxyId> = proxies.collect();
        if !waiting_for.is_empty() {
            self.pending.insert(node, PendingDrain { drain, waiting_for });
        }
    }

    /// Stops tracking the drain of a node that may get new requests again.
    pub fn cancel(&mut self, node: NodeId) {
        self.pending.remove(&node);
    }

    /// Returns whether a node has no pending drain.
    pub fn is_complete(&self, node: NodeId) -> bool {
        !self.pending.contains_key(&node)
    }

    /// Returns whether a proxy has not acknowledged some pending drain.
    pub fn is_waiting_for(&self, proxy: ProxyId) -> bool {
        self.pending.values().any(|pending| pending.waiting_for.contains(&proxy))
    }

    /// Updates the pending drains with the endpoints that a proxy has acknowledged. Returns the time since the start
    /// of each drain that the proxy has newly acknowledged.
    pub fn record_acknowledgements(
        &mut self, now: Micros, proxy: ProxyId, session: &DiscoverySession,
    ) -> Vec<Micros> {
        let mut durations = Vec::new();
        self.pending.retain(|_, pending| {
            let drain = &pending.drain;
            let has_applied_drain = |cluster: &String| has_applied(session, cluster, drain.generation);
            if pending.waiting_for.contains(&proxy) && drain.clusters.iter().all(has_applied_drain) {
                pending.waiting_for.remove(&proxy);
                durations.push(now - drain.started_at);
            }
            !pending.waiting_for.is_empty()
        });
        durations
    }

    /// Removes a proxy from all drains. Drains that were pending only for this proxy are complete.
    pub fn remove_proxy(&mut self, proxy: ProxyId) {
        self.pending.retain(|_, pending| {
            pending.waiting_for.remove(&proxy);
            !pending.waiting_for.is_empty()
        });
    }

    /// Returns the number of pairs of a node and a proxy that has not acknowledged the node's drain, counting only
    /// drains that started at or before `started_by`.
    pub fn unacknowledged_count(&self, started_by: Micros) -> usize {
        let pending = self.pending.values().filter(|pending| pending.drain.started_at <= started_by);
        pending.map(|pending| pending.waiting_for.len()).sum()
    }
}

/// Returns whether a proxy has acknowledged endpoints of this generation or a later one, or has no endpoints of the
/// cluster.
fn has_applied(session: &DiscoverySession, cluster: &str, generation: u64) -> bool {
    match session.acknowledged_generation(ResourceType::Endpoints, cluster) {
        Some(acknowledged) => acknowledged >= generation,
        None => !session.had_on_previous_stream(ResourceType::Endpoints, cluster),
    }
}
