//! The capacity ledger: the number of concurrent requests that each proxy is granted per cluster.
//!
//! The capacity of a cluster is the number of concurrent requests that the balancer allows for all routers together;
//! each proxy is granted a part of it. Grants are lowered before others are raised: a grant counts until the proxy has
//! acknowledged a lower one or has been disconnected for long enough.

use crate::ids::ProxyId;
use std::collections::BTreeMap;

/// The grants of one cluster.
#[derive(Debug, Default)]
struct ClusterGrants {
    by_proxy: BTreeMap<ProxyId, u32>,
    /// The sum of all grants in `by_proxy`.
    total: u64,
}

/// A proxy's request for a part of a cluster's capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapacityRequest {
    /// The proxy's fair share, in concurrent requests.
    pub target: u32,
    /// The capacity of the cluster, in concurrent requests.
    pub capacity: u32,
    /// Lower bound of an offer that raises the grant; applies even if no capacity is free.
    pub minimum: u32,
}

/// The grants of all clusters.
#[derive(Debug, Default)]
pub(crate) struct CapacityLedger {
    clusters: BTreeMap<String, ClusterGrants>,
}

impl CapacityLedger {
    /// Records the concurrent requests granted to a proxy for a cluster; 0 removes the grant.
    pub fn set(&mut self, cluster: &str, proxy: ProxyId, requests: u32) {
        if requests == 0 && !self.clusters.contains_key(cluster) {
            return;
        }
        let grants = self.clusters.entry(cluster.to_string()).or_default();
        let previous = match requests {
            0 => grants.by_proxy.remove(&proxy),
            _ => grants.by_proxy.insert(proxy, requests),
        };
        grants.total = grants.total + requests as u64 - previous.unwrap_or(0) as u64;
        debug_assert_eq!(grants.total, grants.by_proxy.values().map(|&granted| granted as u64).sum::<u64>());
        if grants.by_proxy.is_empty() {
            self.clusters.remove(cluster);
        }
    }

    /// Records all grants of a proxy and removes those of clusters that `grants` does not contain.
    pub fn set_all(&mut self, proxy: ProxyId, grants: &BTreeMap<String, u32>) {
        let revoked: Vec<String> =
            self.clusters_of(proxy).filter(|cluster| !grants.contains_key(*cluster)).cloned().collect();
        for cluster in &revoked {
            self.set(cluster, proxy, 0);
        }
        for (cluster, &requests) in grants {
            self.set(cluster, proxy, requests);
        }
    }

    /// Removes all grants of a proxy.
    pub fn release_all(&mut self, proxy: ProxyId) {
        self.set_all(proxy, &BTreeMap::new());
    }

    /// Returns the concurrent requests granted to a proxy for a cluster; 0 without a grant.
    pub fn granted(&self, cluster: &str, proxy: ProxyId) -> u32 {
        self.clusters.get(cluster).and_then(|grants| grants.by_proxy.get(&proxy)).copied().unwrap_or(0)
    }

    /// Returns the grants of a cluster, ordered by proxy ID.
    pub fn grants(&self, cluster: &str) -> impl Iterator<Item = (ProxyId, u32)> {
        let grants = self.clusters.get(cluster).into_iter().flat_map(|grants| &grants.by_proxy);
        grants.map(|(&proxy, &granted)| (proxy, granted))
    }

    /// Returns the sum of all grants of a cluster.
    pub fn total(&self, cluster: &str) -> u64 {
        self.clusters.get(cluster).map_or(0, |grants| grants.total)
    }

    /// Returns the concurrent requests that may be granted to a proxy now. A lower grant may be made immediately, a
    /// higher one only within the free capacity, so that apart from minimums the total does not exceed the capacity
    /// even while proxies have not applied lower grants yet.
    pub fn offer(&self, cluster: &str, proxy: ProxyId, request: CapacityRequest) -> u32 {
        let granted = self.granted(cluster, proxy);
        if request.target <= granted {
            return request.target;
        }
        let free = (request.capacity as u64).saturating_sub(self.total(cluster)).min(u32::MAX as u64) as u32;
        request.target.min(granted + free).max(request.minimum)
    }

    /// Returns whether no proxy has a grant.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.clusters.is_empty()
    }

    fn clusters_of(&self, proxy: ProxyId) -> impl Iterator<Item = &String> {
        let has_grant = move |grants: &ClusterGrants| grants.by_proxy.contains_key(&proxy);
        self.clusters.iter().filter(move |(_, grants)| has_grant(grants)).map(|(name, _)| name)
    }
}

#[cfg(test)]
mod tests;
