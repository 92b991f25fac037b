//! Encoding of the desired state as xDS v3 messages. `docs/control.md` lists the rules of the balancer that these
//! messages can and cannot express.

mod cluster;
mod endpoints;
mod listeners;
mod routes;

pub(crate) use cluster::cluster;
pub(crate) use endpoints::{constrained_node_endpoints, replica_set_endpoints};
pub(crate) use listeners::listeners;
pub(crate) use routes::routes;

use balancer::Micros;
use prost::{Message, Name};
use std::net::SocketAddr;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::google::protobuf::{Any, Duration, UInt32Value};

/// The name of the only route configuration, and of the listener that a proxy opens.
const ROUTE_CONFIGURATION: &str = "desk";

fn duration(time: Micros) -> Option<Duration> {
    Some(Duration { seconds: time / 1_000_000, nanos: (time % 1_000_000 * 1000) as i32 })
}

fn uint32(value: u32) -> Option<UInt32Value> {
    Some(UInt32Value { value })
}

fn encode_any<M: Message + Name>(message: &M) -> Any {
    Any { type_url: M::type_url(), value: message.encode_to_vec() }
}

/// The configuration source of resources that are requested from the aggregated discovery service.
fn aggregated_discovery() -> Option<core::ConfigSource> {
    Some(core::ConfigSource {
        resource_api_version: core::ApiVersion::V3 as i32,
        config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Ads(Default::default())),
        ..Default::default()
    })
}

fn encode_address(address: SocketAddr) -> Option<core::Address> {
    let socket = core::SocketAddress {
        address: address.ip().to_string(),
        port_specifier: Some(core::socket_address::PortSpecifier::PortValue(address.port() as u32)),
        ..Default::default()
    };
    Some(core::Address { address: Some(core::address::Address::SocketAddress(socket)) })
}

/// Returns the socket address in a message; `None` unless it consists of an IP address and a port number.
pub(crate) fn decode_address(address: &core::Address) -> Option<SocketAddr> {
    let Some(core::address::Address::SocketAddress(socket)) = &address.address else { return None };
    let Some(core::socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else {
        return None;
    };
    Some(SocketAddr::new(socket.address.parse().ok()?, u16::try_from(port).ok()?))
}
