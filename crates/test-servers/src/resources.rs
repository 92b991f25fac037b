//! The xDS resource types that a proxy subscribes to, and their decoding.

use prost::{Message, Name};
use std::net::SocketAddr;
use xds_api::pb::envoy::config::cluster::v3::Cluster;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use xds_api::pb::envoy::config::listener::v3::Listener;
use xds_api::pb::envoy::config::route::v3::RouteConfiguration;
use xds_api::pb::google::protobuf::Any;

/// A resource type that a proxy subscribes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResourceType {
    Cluster,
    /// The endpoints of a cluster (`ClusterLoadAssignment`).
    LoadAssignment,
    Listener,
    RouteConfiguration,
}

impl ResourceType {
    /// All types, in the order in which a proxy with wildcard subscriptions subscribes to them.
    pub const ALL: [ResourceType; 4] =
        [Self::Cluster, Self::LoadAssignment, Self::Listener, Self::RouteConfiguration];

    pub fn type_url(self) -> String {
        match self {
            Self::Cluster => Cluster::type_url(),
            Self::LoadAssignment => ClusterLoadAssignment::type_url(),
            Self::Listener => Listener::type_url(),
            Self::RouteConfiguration => RouteConfiguration::type_url(),
        }
    }

    pub fn from_type_url(type_url: &str) -> ResourceType {
        let found = Self::ALL.into_iter().find(|resource_type| resource_type.type_url() == type_url);
        found.unwrap_or_else(|| panic!("no proxy subscribes to resource type {type_url}"))
    }

    /// Returns whether a state-of-the-world response lists every resource of the type, so that an omitted resource is
    /// removed.
    pub fn is_listed_in_full(self) -> bool {
        matches!(self, Self::Cluster | Self::Listener)
    }
}

pub(crate) fn decode<M: Message + Default + Name>(any: &Any) -> M {
    assert_eq!(any.type_url, M::type_url(), "the resource has another type");
    M::decode(&any.value[..]).expect("a resource")
}

/// Returns the name of a resource; for the endpoints of a cluster, the name of the cluster.
pub(crate) fn name_of(any: &Any) -> String {
    match ResourceType::from_type_url(&any.type_url) {
        ResourceType::Cluster => decode::<Cluster>(any).name,
        ResourceType::LoadAssignment => decode::<ClusterLoadAssignment>(any).cluster_name,
        ResourceType::Listener => decode::<Listener>(any).name,
        ResourceType::RouteConfiguration => decode::<RouteConfiguration>(any).name,
    }
}

/// Converts an Envoy address with a numeric IP address and a port.
pub(crate) fn socket_address(address: &Option<core::Address>) -> SocketAddr {
    let Some(core::address::Address::SocketAddress(socket)) =
        address.as_ref().and_then(|address| address.address.as_ref())
    else {
        panic!("the address is not a socket address");
    };
    let Some(core::socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else {
        panic!("the address has no numeric port");
    };
    SocketAddr::new(socket.address.parse().expect("an IP address"), port as u16)
}
