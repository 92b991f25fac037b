//! The four resource types, in the order in which a proxy takes them without a gap (xDS protocol, "Eventual
//! consistency considerations"), and one resource as it is handed out.

use prost::Name;
use std::sync::Arc;
use xds_api::pb::envoy::config::{cluster::v3::Cluster, endpoint::v3::ClusterLoadAssignment};
use xds_api::pb::envoy::config::{listener::v3::Listener, route::v3::RouteConfiguration};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Cluster,
    Endpoints,
    Listener,
    Route,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Cluster, Kind::Endpoints, Kind::Listener, Kind::Route];

    pub fn url(self) -> String {
        match self {
            Kind::Cluster => Cluster::type_url(),
            Kind::Endpoints => ClusterLoadAssignment::type_url(),
            Kind::Listener => Listener::type_url(),
            Kind::Route => RouteConfiguration::type_url(),
        }
    }

    pub fn of_url(url: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.url() == url)
    }

    /// Whether a state-of-the-world response names all there is, so that what it leaves out is removed; only
    /// such types know a wildcard.
    pub fn is_full_state(self) -> bool {
        matches!(self, Kind::Cluster | Kind::Listener)
    }
}

/// A resource: its content is the message's bytes, its version their hash.
#[derive(Debug, PartialEq)]
pub struct Resource {
    pub name: String,
    pub version: String,
    pub body: Vec<u8>,
    /// The number of the plan that brought this content.
    pub plan: u64,
    /// Of a cluster, how many requests this version lets a proxy have in flight.
    pub units: u32,
    /// Of a route configuration, the clusters that it leads to.
    pub clusters: Vec<String>,
}

/// Versions are hashes of content, so that two control services that see the same say the same.
pub fn version(body: &[u8]) -> String {
    blake3::hash(body).to_hex()[..16].to_string()
}

impl Resource {
    pub fn new(name: &str, body: Vec<u8>, plan: u64) -> Resource {
        let version = version(&body);
        Resource { name: name.to_string(), version, body, plan, units: 0, clusters: Vec::new() }
    }
}

/// Resources by name.
pub type ByName = std::collections::BTreeMap<String, Arc<Resource>>;

/// What one proxy should hold, by the number of the type.
#[derive(Clone, Debug, Default)]
pub struct Outline([ByName; 4]);

impl Outline {
    pub fn of(&self, kind: Kind) -> &ByName {
        &self.0[kind as usize]
    }

    pub fn put(&mut self, kind: Kind, resource: Arc<Resource>) {
        self.0[kind as usize].insert(resource.name.clone(), resource);
    }
}
