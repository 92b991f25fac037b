//! What a proxy has received and would act on.

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

/// The weight of the only cluster of a route, and of an endpoint that states none.
const DEFAULT_WEIGHT: u32 = 1;

/// An endpoint of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Its address.
    pub at: SocketAddr,
    /// Whether it may get new requests.
    pub healthy: bool,
    /// The zone of its locality.
    pub zone: String,
    /// The priority of its locality.
    pub priority: u32,
    /// Its load-balancing weight.
    pub weight: u32,
}

/// What a proxy has received and would act on.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// By cluster, the most requests that the proxy may have in flight.
    pub clusters: BTreeMap<String, u32>,
    /// By cluster, its endpoints.
    pub endpoints: BTreeMap<String, Vec<Backend>>,
    /// By cluster, the requests to drop, in percent.
    pub dropped: BTreeMap<String, u32>,
    /// By route configuration, its clusters and their weights.
    pub routes: BTreeMap<String, BTreeMap<String, u32>>,
    /// The names of the listeners.
    pub listeners: BTreeSet<String>,
    /// By type URL and name, the version; for the state of the world by type URL, under an empty name.
    pub versions: BTreeMap<(String, String), String>,
    /// By response, its type URL and the names of the resources in it.
    pub log: Vec<(String, Vec<String>)>,
    /// The size of all resources received, in bytes.
    pub bytes: usize,
    /// How many responses the proxy rejected.
    pub rejected: usize,
    /// How many resources came without content, as a heartbeat.
    pub heartbeats: usize,
    /// Clusters without endpoints that a route led to when a response had been applied.
    pub gaps: Vec<String>,
}

impl View {
    /// Whether a node may get new requests: it is healthy in a cluster that a route leads to.
    pub fn uses(&self, at: SocketAddr) -> bool {
        let is_usable = |backend: &Backend| backend.at == at && backend.healthy;
        self.routed_clusters()
            .filter_map(|cluster| self.endpoints.get(cluster))
            .any(|backends| backends.iter().any(is_usable))
    }

    /// Whether there is a route, and each route leads to a known cluster with its endpoints.
    pub fn is_complete(&self) -> bool {
        !self.routes.is_empty() && self.first_gap().is_none()
    }

    /// The first cluster that a route leads to and that is not known with its endpoints.
    pub(crate) fn first_gap(&self) -> Option<String> {
        let is_gap =
            |name: &&String| !self.clusters.contains_key(*name) || !self.endpoints.contains_key(*name);
        self.routed_clusters().find(is_gap).cloned()
    }

    /// The clusters that routes lead to.
    pub(crate) fn routed_clusters(&self) -> impl Iterator<Item = &String> {
        self.routes.values().flat_map(BTreeMap::keys)
    }

    /// The names of all resources of a type.
    pub(crate) fn names(&self, kind: ResourceType) -> Vec<String> {
        match kind {
            ResourceType::Cluster => self.clusters.keys().cloned().collect(),
            ResourceType::LoadAssignment => self.endpoints.keys().cloned().collect(),
            ResourceType::Listener => self.listeners.iter().cloned().collect(),
            ResourceType::RouteConfiguration => self.routes.keys().cloned().collect(),
        }
    }

    /// Adds a resource, or replaces it.
    pub(crate) fn insert(&mut self, any: &Any) {
        let name = name_of(any);
        match ResourceType::from_url(&any.type_url) {
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

    /// Removes a resource; a cluster's endpoints go with it.
    pub(crate) fn remove(&mut self, kind: ResourceType, name: &str) {
        match kind {
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
        self.versions.remove(&(kind.url(), name.to_string()));
    }
}

/// The circuit breaker's limit on requests in flight.
fn max_requests(cluster: &Cluster) -> u32 {
    let breakers = cluster.circuit_breakers.as_ref().expect("circuit breakers");
    breakers.thresholds[0].max_requests.as_ref().expect("a limit").value
}

fn dropped_percent(assignment: &ClusterLoadAssignment) -> u32 {
    let overloads = assignment.policy.iter().flat_map(|policy| &policy.drop_overloads);
    overloads.filter_map(|overload| overload.drop_percentage.as_ref()).map(|share| share.numerator).sum()
}

fn backends(locality: &LocalityLbEndpoints) -> impl Iterator<Item = Backend> {
    locality.lb_endpoints.iter().map(|endpoint| backend(locality, endpoint))
}

fn backend(locality: &LocalityLbEndpoints, endpoint: &LbEndpoint) -> Backend {
    let Some(HostIdentifier::Endpoint(host)) = &endpoint.host_identifier else { panic!("an endpoint") };
    Backend {
        at: socket_address(&host.address),
        healthy: endpoint.health_status == HealthStatus::Healthy as i32,
        zone: locality.locality.as_ref().map_or(String::new(), |locality| locality.zone.clone()),
        priority: locality.priority,
        weight: endpoint.load_balancing_weight.as_ref().map_or(DEFAULT_WEIGHT, |weight| weight.value),
    }
}

/// The clusters that a route configuration leads to, and their weights.
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
            _ => panic!("a cluster"),
        }
    }
    clusters
}
