//! xDS resource types and encoded resources.

use prost::Name;
use std::collections::BTreeMap;
use std::sync::Arc;
use xds_api::pb::envoy::config::{cluster::v3::Cluster, endpoint::v3::ClusterLoadAssignment};
use xds_api::pb::envoy::config::{listener::v3::Listener, route::v3::RouteConfiguration};

/// How many hexadecimal digits of a content hash make a version.
const VERSION_LENGTH: usize = 16;

/// The resource types, in the order in which a proxy can apply them without a gap (xDS protocol, "Eventual
/// consistency considerations").
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
    /// All types, in the order in which they are pushed.
    pub const ALL: [ResourceType; 4] =
        [ResourceType::Cluster, ResourceType::Endpoints, ResourceType::Listener, ResourceType::Route];

    /// The type URL by which requests and responses name the type.
    pub fn type_url(self) -> String {
        match self {
            ResourceType::Cluster => Cluster::type_url(),
            ResourceType::Endpoints => ClusterLoadAssignment::type_url(),
            ResourceType::Listener => Listener::type_url(),
            ResourceType::Route => RouteConfiguration::type_url(),
        }
    }

    /// The type with this type URL, if it is served.
    pub fn from_type_url(type_url: &str) -> Option<ResourceType> {
        ResourceType::ALL.into_iter().find(|resource_type| resource_type.type_url() == type_url)
    }

    /// Whether a state-of-the-world response lists all resources of the type, so that the proxy removes those
    /// that it leaves out. Only such types support wildcard subscriptions.
    pub fn is_full_state(self) -> bool {
        matches!(self, ResourceType::Cluster | ResourceType::Listener)
    }
}

/// An encoded resource.
#[derive(Debug, PartialEq)]
pub struct Resource {
    /// The resource's name.
    pub name: String,
    /// The hash of the content.
    pub version: String,
    /// The encoded message.
    pub body: Vec<u8>,
    /// The generation of the desired state that introduced this content.
    pub generation: u64,
    /// Of a cluster, how many requests this version allows a proxy to have in flight.
    pub max_requests: u32,
    /// Of a route configuration, the clusters to which it routes.
    pub routed_clusters: Vec<String>,
}

impl Resource {
    /// A resource with this content.
    pub fn new(name: &str, body: Vec<u8>, generation: u64) -> Resource {
        let version = content_version(&body);
        let name = name.to_string();
        Resource { name, version, body, generation, max_requests: 0, routed_clusters: Vec::new() }
    }
}

/// The version of some content. Versions are hashes, so that two control planes with the same data hand out
/// the same versions.
pub(crate) fn content_version(content: &[u8]) -> String {
    blake3::hash(content).to_hex()[..VERSION_LENGTH].to_string()
}

/// Resources of one type by name.
pub(crate) type ResourcesByName = BTreeMap<String, Arc<Resource>>;

/// All resources that one proxy should have.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResourceSnapshot([ResourcesByName; 4]);

impl ResourceSnapshot {
    /// The resources of one type.
    pub fn of_type(&self, resource_type: ResourceType) -> &ResourcesByName {
        &self.0[resource_type as usize]
    }

    /// Adds a resource, in place of one with the same name.
    pub fn insert(&mut self, resource_type: ResourceType, resource: Arc<Resource>) {
        self.0[resource_type as usize].insert(resource.name.clone(), resource);
    }
}
