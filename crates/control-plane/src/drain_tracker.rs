//! The drain tracker: nodes that are to get no new work, and the proxies that may still send it.
//!
//! A drain is complete once each proxy has acknowledged endpoints without the node. A node that came back
//! after a crash gets work again only then.

use crate::ids::ProxyId;
use crate::resource::ResourceType;
use crate::session::DiscoverySession;
use balancer::{Micros, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// A node that was taken out of clusters.
#[derive(Clone, Debug)]
pub(crate) struct Drain {
    pub started_at: Micros,
    /// The generation of the desired state that first left the node out.
    pub generation: u64,
    /// The clusters out of which it was taken.
    pub clusters: Vec<String>,
}

#[derive(Debug)]
struct PendingDrain {
    drain: Drain,
    /// The proxies that may still act on a version with the node.
    waiting_for: BTreeSet<ProxyId>,
}

/// The drains that some proxy has not acknowledged.
#[derive(Debug, Default)]
pub(crate) struct DrainTracker {
    pending: BTreeMap<NodeId, PendingDrain>,
}

impl DrainTracker {
    /// Starts to track a drain; `proxies` may act on endpoints with the node.
    pub fn start(&mut self, node: NodeId, drain: Drain, proxies: impl Iterator<Item = ProxyId>) {
        let waiting_for: BTreeSet<ProxyId> = proxies.collect();
        if !waiting_for.is_empty() {
            self.pending.insert(node, PendingDrain { drain, waiting_for });
        }
    }

    /// Stops to track a drain, since the node gets new work again.
    pub fn cancel(&mut self, node: NodeId) {
        self.pending.remove(&node);
    }

    /// Whether no proxy acts on endpoints from before the last drain of a node.
    pub fn is_complete(&self, node: NodeId) -> bool {
        !self.pending.contains_key(&node)
    }

    /// Whether a proxy has yet to acknowledge a drain.
    pub fn waits_for(&self, proxy: ProxyId) -> bool {
        self.pending.values().any(|pending| pending.waiting_for.contains(&proxy))
    }

    /// Notes what a proxy has acknowledged. Returns the time since the start of each drain that the proxy has
    /// acknowledged by that.
    pub fn acknowledged(&mut self, now: Micros, proxy: ProxyId, session: &DiscoverySession) -> Vec<Micros> {
        let mut durations = Vec::new();
        self.pending.retain(|_, pending| {
            let drain = &pending.drain;
            let applied = |cluster: &String| has_applied(session, cluster, drain.generation);
            if pending.waiting_for.contains(&proxy) && drain.clusters.iter().all(applied) {
                pending.waiting_for.remove(&proxy);
                durations.push(now - drain.started_at);
            }
            !pending.waiting_for.is_empty()
        });
        durations
    }

    /// Waits for a proxy no longer.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.pending.retain(|_, pending| {
            pending.waiting_for.remove(&proxy);
            !pending.waiting_for.is_empty()
        });
    }

    /// The number of pairs of a node and a proxy that has not acknowledged its drain, of drains up to
    /// `started_by`.
    pub fn unacknowledged(&self, started_by: Micros) -> usize {
        let pending = self.pending.values().filter(|pending| pending.drain.started_at <= started_by);
        pending.map(|pending| pending.waiting_for.len()).sum()
    }
}

/// Whether a proxy acts on endpoints of this generation or a later one, or on none.
fn has_applied(session: &DiscoverySession, cluster: &str, generation: u64) -> bool {
    match session.acknowledged_generation(ResourceType::Endpoints, cluster) {
        Some(acknowledged) => acknowledged >= generation,
        None => !session.had_before(ResourceType::Endpoints, cluster),
    }
}
