//! xDS resource types and encoded resources.

use prost::Name;
use std::collections::BTreeMap;
use std::sync::Arc;
use xds_api::pb::envoy::config::{cluster::v3::Cluster, endpoint::v3::ClusterLoadAssignment};
use xds_api::pb::envoy::config::{listener::v3::Listener, route::v3::RouteConfiguration};

/// Number of hexadecimal digits of the content hash that make up a version.
const VERSION_LENGTH: usize = 16;

/// The resource types, in the order in which a proxy can apply them without dropping requests (xDS protocol,
/// "Eventual consistency considerations").
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResourceType {
    /// Clusters (CDS).
    Cluster,
    /// Cluster load assignments (EDS).
    Endpoints,
    /// Listeners (LDS).
    Listener,
    /// Route configurations (RDS).
    Route,
}

impl ResourceType {
    /// All resource types, in the order in which they are pushed.
    pub const ALL: [ResourceType; 4] =
        [ResourceType::Cluster, ResourceType::Endpoints, ResourceType::Listener, ResourceType::Route];

    /// Returns the type URL that identifies the type in requests and responses.
    pub fn type_url(self) -> String {
        match self {
            ResourceType::Cluster => Cluster::type_url(),
            ResourceType::Endpoints => ClusterLoadAssignment::type_url(),
            ResourceType::Listener => Listener::type_url(),
            ResourceType::Route => RouteConfiguration::type_url(),
        }
    }

    /// Returns the type with this type URL; `None` if the control plane does not serve it.
    pub fn from_type_url(type_url: &str) -> Option<ResourceType> {
        ResourceType::ALL.into_iter().find(|resource_type| resource_type.type_url() == type_url)
    }

    /// Returns whether a state-of-the-world response lists all resources of the type, so that the proxy removes the
    /// ones that are missing. Only such types support wildcard subscriptions.
    pub fn is_full_state(self) -> bool {
        matches!(self, ResourceType::Cluster | ResourceType::Listener)
    }
}

/// An encoded resource.
#[derive(Debug, PartialEq)]
pub struct Resource {
    /// The name by which proxies subscribe to the resource.
    pub name: String,
    /// Hash of the content, in hexadecimal.
    pub version: String,
    /// The content as an encoded protobuf message.
    pub body: Vec<u8>,
    /// Generation of the desired state from which the resource was encoded.
    pub generation: u64,
    /// For clusters: maximum number of requests that a proxy may have in flight; 0 for other types.
    pub max_requests: u32,
    /// For route configurations: names of the clusters that the routes refer to; empty for other types.
    pub routed_clusters: Vec<String>,
}

impl Resource {
    /// Creates a resource. `max_requests` and `routed_clusters` stay unset.
    pub fn new(name: &str, body: Vec<u8>, generation: u64) -> Resource {
        let version = content_version(&body);
        let name = name.to_string();
        Resource { name, version, body, generation, max_requests: 0, routed_clusters: Vec::new() }
    }
}

/// Returns the version of a resource's content. Versions are hashes, so that control planes with the same data
/// send the same versions.
pub(crate) fn content_version(content: &[u8]) -> String {
    blake3::hash(content).to_hex()[..VERSION_LENGTH].to_string()
}

/// Resources of one type by name.
pub(crate) type ResourcesByName = BTreeMap<String, Arc<Resource>>;

/// All resources that a proxy should have.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResourceSnapshot([ResourcesByName; 4]);

impl ResourceSnapshot {
    /// Returns the resources of one type.
    pub fn of_type(&self, resource_type: ResourceType) -> &ResourcesByName {
        &self.0[resource_type as usize]
    }

    /// Adds a resource. It replaces a resource of the same type and name.
    pub fn insert(&mut self, resource_type: ResourceType, resource: Arc<Resource>) {
        self.0[resource_type as usize].insert(resource.name.clone(), resource);
    }
}
