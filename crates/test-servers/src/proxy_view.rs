//! The configuration that a proxy has received and accepted.

use crate::resources::{ResourceType, decode, name_of, socket_address};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xds_api::pb::envoy::config::cluster::v3::Cluster;
use xds_api::pb::envoy::config::core::v3::HealthStatus;
use xds_api::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, LbEndpoint, LocalityLbEndpoints, lb_endpoint::HostIdentifier,
};
use xds_api::pb::envoy::config::route::v3::{
    RouteConfiguration, route::Action, route_action::ClusterSpecifier,
};
use xds_api::pb::google::protobuf::Any;

/// The weight of the only cluster of a route, and of an endpoint without a weight.
const DEFAULT_WEIGHT: u32 = 1;

/// An endpoint of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// The endpoint's address.
    pub address: SocketAddr,
    /// Whether the endpoint may receive new requests.
    pub healthy: bool,
    /// The zone of the endpoint's locality; empty if it has no locality.
    pub zone: String,
    /// The priority of the endpoint's locality; 0 is the highest.
    pub priority: u32,
    /// The endpoint's load-balancing weight; 1 if none was received.
    pub weight: u32,
}

/// The configuration that a proxy has received and accepted, and counts of the responses.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// By cluster name, the circuit breaker's limit on the proxy's requests in flight.
    pub clusters: BTreeMap<String, u32>,
    /// By cluster name, the cluster's endpoints.
    pub endpoints: BTreeMap<String, Vec<Backend>>,
    /// By cluster name, the percentage of requests to drop.
    pub dropped: BTreeMap<String, u32>,
    /// By name of the route configuration, the clusters that it leads to and their weights.
    pub routes: BTreeMap<String, BTreeMap<String, u32>>,
    /// The names of the listeners.
    pub listeners: BTreeSet<String>,
    /// By type URL and resource name, the accepted version. A state-of-the-world version applies to a whole type and
    /// has an empty resource name.
    pub versions: BTreeMap<(String, String), String>,
    /// For each response in order of arrival, its type URL and the names of its resources that have content.
    pub received_responses: Vec<(String, Vec<String>)>,
    /// The total size of the resources received, in bytes.
    pub bytes: usize,
    /// The number of responses that the proxy rejected.
    pub rejected: usize,
    /// The number of resources received without content, which are heartbeats.
    pub heartbeats: usize,
    /// Clusters that a route led to and that were missing, or had no endpoint list, after a response was handled; at
    /// most one is recorded for each response, and none for proxyless clients.
    pub unresolved_clusters: Vec<String>,
}

impl View {
    /// Returns whether the proxy may send new requests to a node: the node is healthy in a cluster that a route leads
    /// to.
    pub fn uses(&self, address: SocketAddr) -> bool {
        let is_usable = |backend: &Backend| backend.address == address && backend.healthy;
        self.routed_clusters()
            .filter_map(|cluster| self.endpoints.get(cluster))
            .any(|backends| backends.iter().any(is_usable))
    }

    /// Returns whether there is a route and every cluster that a route leads to was received together with its
    /// endpoints.
    pub fn is_complete(&self) -> bool {
        !self.routes.is_empty() && self.first_unresolved_cluster().is_none()
    }

    /// Returns the first cluster that a route leads to and that was not received together with its endpoints.
    pub(crate) fn first_unresolved_cluster(&self) -> Option<String> {
        let is_unresolved =
            |name: &&String| !self.clusters.contains_key(*name) || !self.endpoints.contains_key(*name);
        self.routed_clusters().find(is_unresolved).cloned()
    }

    /// Returns the clusters that routes lead to; a cluster of several route configurations is repeated.
    pub(crate) fn routed_clusters(&self) -> impl Iterator<Item = &String> {
        self.routes.values().flat_map(BTreeMap::keys)
    }

    /// Returns the names of all resources of a type.
    pub(crate) fn names(&self, resource_type: ResourceType) -> Vec<String> {
        match resource_type {
            ResourceType::Cluster => self.clusters.keys().cloned().collect(),
            ResourceType::LoadAssignment => self.endpoints.keys().cloned().collect(),
            ResourceType::Listener => self.listeners.iter().cloned().collect(),
            ResourceType::RouteConfiguration => self.routes.keys().cloned().collect(),
        }
    }

    /// Adds or replaces a resource.
    pub(crate) fn insert(&mut self, any: &Any) {
        let name = name_of(any);
        match ResourceType::from_type_url(&any.type_url) {
            ResourceType::Cluster => {
                self.clusters.insert(name, max_requests(&decode(any)));
            }
            ResourceType::LoadAssignment => {
                let assignment: ClusterLoadAssignment = decode(any);
                self.dropped.insert(name.clone(), dropped_percent(&assignment));
                self.endpoints.insert(name, assignment.endpoints.iter().flat_map(backends).collect());
            }
            ResourceType::Listener => {
                self.listeners.insert(name);
            }
            ResourceType::RouteConfiguration => {
                self.routes.insert(name, weighted_clusters(&decode(any)));
            }
        }
    }

    /// Removes a resource. Removing a cluster also removes its endpoints.
    pub(crate) fn remove(&mut self, resource_type: ResourceType, name: &str) {
        match resource_type {
            ResourceType::Cluster => {
                self.clusters.remove(name);
                self.endpoints.remove(name);
            }
            ResourceType::LoadAssignment => {
                self.endpoints.remove(name);
            }
            ResourceType::Listener => {
                self.listeners.remove(name);
            }
            ResourceType::RouteConfiguration => {
                self.routes.remove(name);
            }
        }
        self.versions.remove(&(resource_type.type_url(), name.to_string()));
    }
}

/// Returns the circuit breaker's limit on requests in flight.
fn max_requests(cluster: &Cluster) -> u32 {
    let breakers = cluster.circuit_breakers.as_ref().expect("circuit breakers");
    breakers.thresholds[0].max_requests.as_ref().expect("a limit on requests").value
}

fn dropped_percent(assignment: &ClusterLoadAssignment) -> u32 {
    let overloads = assignment.policy.iter().flat_map(|policy| &policy.drop_overloads);
    overloads.filter_map(|overload| overload.drop_percentage.as_ref()).map(|share| share.numerator).sum()
}

fn backends(locality: &LocalityLbEndpoints) -> impl Iterator<Item = Backend> {
    locality.lb_endpoints.iter().map(|endpoint| backend(locality, endpoint))
}

fn backend(locality: &LocalityLbEndpoints, endpoint: &LbEndpoint) -> Backend {
    let Some(HostIdentifier::Endpoint(host)) = &endpoint.host_identifier else {
        panic!("the host identifier is not an endpoint")
    };
    Backend {
        address: socket_address(&host.address),
        healthy: endpoint.health_status == HealthStatus::Healthy as i32,
        zone: locality.locality.as_ref().map_or(String::new(), |locality| locality.zone.clone()),
        priority: locality.priority,
        weight: endpoint.load_balancing_weight.as_ref().map_or(DEFAULT_WEIGHT, |weight| weight.value),
    }
}

/// Returns the clusters that a route configuration leads to, and their weights.
fn weighted_clusters(configuration: &RouteConfiguration) -> BTreeMap<String, u32> {
    let mut clusters = BTreeMap::new();
    for route in configuration.virtual_hosts.iter().flat_map(|host| &host.routes) {
        let Some(Action::Route(action)) = &route.action else { continue };
        match &action.cluster_specifier {
            Some(ClusterSpecifier::Cluster(name)) => {
                clusters.insert(name.clone(), DEFAULT_WEIGHT);
            }
            Some(ClusterSpecifier::WeightedClusters(weighted)) => {
                for cluster in &weighted.clusters {
                    let weight = cluster.weight.as_ref().map_or(0, |weight| weight.value);
                    clusters.insert(cluster.name.clone(), weight);
                }
            }
            _ => panic!("the route does not lead to a cluster"),
        }
    }
    clusters
}
