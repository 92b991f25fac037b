//! Listeners (LDS): the listener that a proxy opens, and the API listener that proxyless gRPC clients request by
//! name.

use super::{ROUTE_CONFIGURATION, aggregated_discovery, encode_address, encode_any};
use crate::resource::Resource;
use prost::Message;
use std::net::SocketAddr;
use xds_api::pb::envoy::config::listener::v3 as lds;
use xds_api::pb::envoy::extensions::filters::http::router::v3::Router;
use xds_api::pb::envoy::extensions::filters::network::http_connection_manager::v3 as hcm;

/// Encodes the listener of proxies, on address `proxy_listen`, and the API listener of proxyless clients, named
/// `service`.
pub(crate) fn listeners(service: &str, proxy_listen: SocketAddr) -> [Resource; 2] {
    let manager = connection_manager();
    let filter = lds::Filter {
        name: "envoy.filters.network.http_connection_manager".to_string(),
        config_type: Some(lds::filter::ConfigType::TypedConfig(encode_any(&manager))),
    };
    let proxy_listener = lds::Listener {
        name: ROUTE_CONFIGURATION.to_string(),
        address: encode_address(proxy_listen),
        filter_chains: vec![lds::FilterChain { filters: vec![filter], ..Default::default() }],
        ..Default::default()
    };
    let api_listener = lds::Listener {
        name: service.to_string(),
        api_listener: Some(lds::ApiListener { api_listener: Some(encode_any(&manager)) }),
        ..Default::default()
    };
    [proxy_listener, api_listener].map(|listener| Resource::new(&listener.name, listener.encode_to_vec(), 0))
}

/// The HTTP connection manager, which requests its routes from the aggregated discovery service.
fn connection_manager() -> hcm::HttpConnectionManager {
    let router = hcm::HttpFilter {
        name: "envoy.filters.http.router".to_string(),
        config_type: Some(hcm::http_filter::ConfigType::TypedConfig(encode_any(&Router::default()))),
        ..Default::default()
    };
    let routes = hcm::Rds {
        config_source: aggregated_discovery(),
        route_config_name: ROUTE_CONFIGURATION.to_string(),
    };
    hcm::HttpConnectionManager {
        stat_prefix: ROUTE_CONFIGURATION.to_string(),
        http_filters: vec![router],
        route_specifier: Some(hcm::http_connection_manager::RouteSpecifier::Rds(routes)),
        ..Default::default()
    }
}
