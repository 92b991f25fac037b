//! The xDS resource types that a proxy subscribes to, and how they are decoded.

use prost::{Message, Name};
use std::net::SocketAddr;
use xds_api::pb::envoy::config::cluster::v3::Cluster;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use xds_api::pb::envoy::config::listener::v3::Listener;
use xds_api::pb::envoy::config::route::v3::RouteConfiguration;
use xds_api::pb::google::protobuf::Any;

/// A type of resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResourceType {
    Cluster,
    /// The endpoints of a cluster.
    LoadAssignment,
    Listener,
    RouteConfiguration,
}

impl ResourceType {
    /// In the order in which a proxy that uses wildcards subscribes to them.
    pub const ALL: [ResourceType; 4] =
        [Self::Cluster, Self::LoadAssignment, Self::Listener, Self::RouteConfiguration];

    pub fn url(self) -> String {
        match self {
            Self::Cluster => Cluster::type_url(),
            Self::LoadAssignment => ClusterLoadAssignment::type_url(),
            Self::Listener => Listener::type_url(),
            Self::RouteConfiguration => RouteConfiguration::type_url(),
        }
    }

    pub fn from_url(url: &str) -> ResourceType {
        let found = Self::ALL.into_iter().find(|kind| kind.url() == url);
        found.unwrap_or_else(|| panic!("{url} is no type that a proxy subscribes to"))
    }

    /// Whether a response of the state of the world lists every resource of the type, so that one it omits is
    /// removed.
    pub fn is_listed_in_full(self) -> bool {
        matches!(self, Self::Cluster | Self::Listener)
    }
}

pub(crate) fn decode<M: Message + Default + Name>(any: &Any) -> M {
    assert_eq!(any.type_url, M::type_url(), "a resource of another type");
    M::decode(&any.value[..]).expect("a resource")
}

/// The name of a resource.
pub(crate) fn name_of(any: &Any) -> String {
    match ResourceType::from_url(&any.type_url) {
        ResourceType::Cluster => decode::<Cluster>(any).name,
        ResourceType::LoadAssignment => decode::<ClusterLoadAssignment>(any).cluster_name,
        ResourceType::Listener => decode::<Listener>(any).name,
        ResourceType::RouteConfiguration => decode::<RouteConfiguration>(any).name,
    }
}

/// The socket address of an address with a port.
pub(crate) fn socket_address(address: &Option<core::Address>) -> SocketAddr {
    let Some(core::address::Address::SocketAddress(socket)) =
        address.as_ref().and_then(|address| address.address.as_ref())
    else {
        panic!("an address with a port");
    };
    let Some(core::socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else {
        panic!("a port");
    };
    SocketAddr::new(socket.address.parse().expect("an address"), port as u16)
}
