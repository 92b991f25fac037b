//! Cache of the encoded resources of the current desired state, shared by all proxies that need the same ones.

use crate::deployment_settings::DeploymentSettings;
use crate::desired_state::{DesiredState, is_node_cluster};
use crate::encode;
use crate::options::Options;
use crate::resource::{Resource, ResourceSnapshot, ResourceType};
use std::collections::HashMap;
use std::sync::Arc;

/// The part of a constrained node's capacity that a proxy is granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ConstrainedGrant {
    pub cluster: String,
    pub max_requests: u32,
}

/// All inputs other than the desired state that determine the resources of a proxy. They are equal for most
/// proxies of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ProxyGrants {
    /// Index of the proxy's zone.
    pub zone: usize,
    /// Maximum number of requests that the proxy may have in flight, by replica set.
    pub replica_sets: Vec<u32>,
    /// Grants of constrained nodes; none for nodes of which the proxy has no share.
    pub constrained: Vec<ConstrainedGrant>,
    /// Clusters of constrained nodes that the proxy has and should stop using.
    pub revoked_clusters: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClusterKey {
    name: String,
    max_requests: u32,
    proxies: u32,
}

/// Encoded resources, keyed by the inputs that they depend on.
pub(crate) struct ResourceCache {
    zone_names: Vec<String>,
    generation: u64,
    /// Keyed by replica set and zone of the proxy.
    replica_set_endpoints: HashMap<(usize, usize), Arc<Resource>>,
    /// Keyed by cluster name.
    constrained_endpoints: HashMap<String, Arc<Resource>>,
    clusters: HashMap<ClusterKey, Arc<Resource>>,
    /// Keyed by the names of the constrained nodes' clusters that the proxy has.
    routes: HashMap<Vec<String>, Arc<Resource>>,
    listeners: [Arc<Resource>; 2],
}

impl ResourceCache {
    /// Creates a cache that contains only the listeners, which do not depend on the desired state.
    pub fn new(options: &Options, zone_names: &[String]) -> ResourceCache {
        ResourceCache {
            zone_names: zone_names.to_vec(),
            generation: 0,
            replica_set_endpoints: HashMap::new(),
            constrained_endpoints: HashMap::new(),
            clusters: HashMap::new(),
            routes: HashMap::new(),
            listeners: encode::listeners(&options.service, options.proxy_listen).map(Arc::new),
        }
    }

    /// Switches from the desired state `previous` to `state`. Keeps the resources whose inputs are equal in both.
    pub fn switch_desired_state(&mut self, previous: &DesiredState, state: &DesiredState) {
        self.generation = state.generation;
        self.replica_set_endpoints
            .retain(|&(index, _), _| previous.replica_sets.get(index) == state.replica_sets.get(index));
        let (old, new) = (&previous.constrained_nodes, &state.constrained_nodes);
        self.constrained_endpoints.retain(|name, _| new.contains_key(name) && old.get(name) == new.get(name));
        self.routes.clear();
        // A cluster depends only on its key, so only those of nodes that are no longer constrained are
        // dropped.
        self.clusters.retain(|key, _| !is_node_cluster(&key.name) || new.contains_key(&key.name));
    }

    /// Returns all resources of a proxy with these grants, encoding those that are not cached.
    pub fn snapshot(
        &mut self, deployment: &DeploymentSettings, state: &DesiredState, grants: &ProxyGrants,
    ) -> ResourceSnapshot {
        let mut snapshot = ResourceSnapshot::default();
        for (index, &max_requests) in grants.replica_sets.iter().enumerate() {
            let cluster = self.cluster(deployment, state, &state.cluster_names[index], max_requests);
            snapshot.insert(ResourceType::Cluster, cluster);
            let endpoints = self.replica_set_endpoints(state, index, grants.zone);
            snapshot.insert(ResourceType::Endpoints, endpoints);
        }
        for grant in &grants.constrained {
            let cluster = self.cluster(deployment, state, &grant.cluster, grant.max_requests);
            snapshot.insert(ResourceType::Cluster, cluster);
            snapshot.insert(ResourceType::Endpoints, self.constrained_endpoints(state, &grant.cluster));
        }
        for cluster in &grants.revoked_clusters {
            snapshot.insert(ResourceType::Endpoints, self.constrained_endpoints(state, cluster));
        }
        let constrained = grants.constrained.iter().map(|grant| grant.cluster.clone()).collect();
        snapshot.insert(ResourceType::Route, self.routes(deployment, state, constrained));
        for listener in &self.listeners {
            snapshot.insert(ResourceType::Listener, listener.clone());
        }
        snapshot
    }

    fn cluster(
        &mut self, deployment: &DeploymentSettings, state: &DesiredState, name: &str, max_requests: u32,
    ) -> Arc<Resource> {
        let proxies = state.proxies.total;
        let key = ClusterKey { name: name.to_string(), max_requests, proxies };
        let generation = self.generation;
        let encode = || {
            let body = encode::cluster(deployment, name, max_requests, proxies);
            Arc::new(Resource { max_requests, ..Resource::new(name, body, generation) })
        };
        self.clusters.entry(key).or_insert_with(encode).clone()
    }

    fn replica_set_endpoints(&mut self, state: &DesiredState, index: usize, zone: usize) -> Arc<Resource> {
        let (name, replica_set) = (&state.cluster_names[index], &state.replica_sets[index]);
        let zone_names = &self.zone_names;
        let encode = || {
            let body = encode::replica_set_endpoints(state, name, replica_set, zone, zone_names);
            Arc::new(Resource::new(name, body, state.generation))
        };
        self.replica_set_endpoints.entry((index, zone)).or_insert_with(encode).clone()
    }

    fn constrained_endpoints(&mut self, state: &DesiredState, cluster: &str) -> Arc<Resource> {
        if let Some(endpoints) = self.constrained_endpoints.get(cluster) {
            return endpoints.clone();
        }
        let node = state.constrained_nodes.get(cluster);
        let body = encode::constrained_node_endpoints(cluster, node, &self.zone_names);
        let endpoints = Arc::new(Resource::new(cluster, body, state.generation));
        if node.is_some() {
            self.constrained_endpoints.insert(cluster.to_string(), endpoints.clone());
        }
        endpoints
    }

    fn routes(
        &mut self, deployment: &DeploymentSettings, state: &DesiredState, constrained: Vec<String>,
    ) -> Arc<Resource> {
        if let Some(routes) = self.routes.get(&constrained) {
            return routes.clone();
        }
        let routes = Arc::new(encode::routes(deployment, state, &constrained));
        self.routes.insert(constrained, routes.clone());
        routes
    }
}
