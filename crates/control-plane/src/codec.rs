//! Conversion between the protobuf messages of the gRPC services and the plain types of the state machine.

use crate::control_plane::{LoadReportRequest, ProxyNode};
use crate::encode::decode_address;
use crate::load_reports::EndpointLoad;
use crate::resource::{Resource, ResourceType};
use crate::session::{DeltaRequest, Response, ResponseKind, StateOfTheWorldRequest};
use balancer::Micros;
use prost::{Message, Name};
use xds_api::pb::envoy::config::core::v3::Node;
use xds_api::pb::envoy::config::endpoint::v3::UpstreamEndpointStats;
use xds_api::pb::envoy::service::discovery::v3 as ads;
use xds_api::pb::envoy::service::load_stats::v3 as lrs;
use xds_api::pb::google::protobuf::{Any, Duration};

const MICROS_PER_SECOND: Micros = 1_000_000;
const NANOS_PER_MICRO: i64 = 1000;

/// Returns the ID and the zone of the proxy that sent a message; `None` without a `node` field.
pub(crate) fn proxy_node(node: &Option<Node>) -> Option<ProxyNode<'_>> {
    let node = node.as_ref()?;
    let zone = node.locality.as_ref().map_or("", |locality| &locality.zone);
    Some(ProxyNode { id: &node.id, zone })
}

/// Converts a state-of-the-world request.
pub(crate) fn state_of_the_world_request(message: ads::DiscoveryRequest) -> StateOfTheWorldRequest {
    StateOfTheWorldRequest {
        type_url: message.type_url,
        version: message.version_info,
        nonce: message.response_nonce,
        resource_names: message.resource_names,
        rejection: message.error_detail.map(|status| status.message),
    }
}

/// Converts an incremental request.
pub(crate) fn delta_request(message: ads::DeltaDiscoveryRequest) -> DeltaRequest {
    DeltaRequest {
        type_url: message.type_url,
        subscribe: message.resource_names_subscribe,
        unsubscribe: message.resource_names_unsubscribe,
        initial_versions: message.initial_resource_versions.into_iter().collect(),
        nonce: message.response_nonce,
        rejection: message.error_detail.map(|status| status.message),
    }
}

/// Converts a load report. Endpoints without an IP address and port are omitted. The interval is the longest of
/// those that the clusters report.
pub(crate) fn load_report(message: &lrs::LoadStatsRequest) -> LoadReportRequest {
    let mut report = LoadReportRequest::default();
    for cluster in &message.cluster_stats {
        report.interval = report.interval.max(cluster.load_report_interval.as_ref().map(micros));
        let localities = &cluster.upstream_locality_stats;
        let endpoints = localities.iter().flat_map(|locality| &locality.upstream_endpoint_stats);
        report.endpoints.extend(endpoints.filter_map(endpoint_load));
    }
    report
}

fn endpoint_load(stats: &UpstreamEndpointStats) -> Option<EndpointLoad> {
    Some(EndpointLoad {
        address: stats.address.as_ref().and_then(decode_address)?,
        succeeded: stats.total_successful_requests,
        failed: stats.total_error_requests,
        in_progress: stats.total_requests_in_progress,
        issued: stats.total_issued_requests,
    })
}

/// Creates the message that requests load reports per endpoint on all clusters.
pub(crate) fn load_report_settings(interval: Micros) -> lrs::LoadStatsResponse {
    lrs::LoadStatsResponse {
        send_all_clusters: true,
        load_reporting_interval: duration(interval),
        report_endpoint_granularity: true,
        ..Default::default()
    }
}

/// Encodes a state-of-the-world response. `lease` applies to endpoints only; 0 for none.
pub(crate) fn state_of_the_world_response(response: &Response, lease: Micros) -> ads::DiscoveryResponse {
    let resource_type = response.resource_type;
    let lease = lease_of(resource_type, lease);
    let encode = |resource: &Resource| match lease {
        0 => resource_to_any(resource_type, resource),
        _ => {
            let leased = leased_resource(response, resource, lease);
            Any { type_url: ads::Resource::type_url(), value: leased.encode_to_vec() }
        }
    };
    ads::DiscoveryResponse {
        version_info: response.version.clone(),
        resources: response.resources.iter().map(|resource| encode(resource)).collect(),
        type_url: resource_type.type_url(),
        nonce: response.nonce.clone(),
        ..Default::default()
    }
}

/// Encodes an incremental response. `lease` applies to endpoints only; 0 for none.
pub(crate) fn delta_response(response: &Response, lease: Micros) -> ads::DeltaDiscoveryResponse {
    let resource_type = response.resource_type;
    let lease = lease_of(resource_type, lease);
    let resources = response.resources.iter().map(|resource| leased_resource(response, resource, lease));
    ads::DeltaDiscoveryResponse {
        resources: resources.collect(),
        type_url: resource_type.type_url(),
        removed_resources: response.removed.clone(),
        nonce: response.nonce.clone(),
        ..Default::default()
    }
}

/// Wraps the content of a resource with its type URL.
pub(crate) fn resource_to_any(resource_type: ResourceType, resource: &Resource) -> Any {
    Any { type_url: resource_type.type_url(), value: resource.body.clone() }
}

/// Encodes a resource with its version and lease. A heartbeat omits the content.
fn leased_resource(response: &Response, resource: &Resource, lease: Micros) -> ads::Resource {
    let content = match response.kind {
        ResponseKind::Update => Some(resource_to_any(response.resource_type, resource)),
        ResponseKind::Heartbeat => None,
    };
    ads::Resource {
        name: resource.name.clone(),
        version: resource.version.clone(),
        resource: content,
        ttl: duration(lease),
        ..Default::default()
    }
}

/// Returns the lease of a resource type; 0 for none. Only endpoints have one, since they change on
/// drains and outages.
fn lease_of(resource_type: ResourceType, lease: Micros) -> Micros {
    if resource_type == ResourceType::Endpoints { lease } else { 0 }
}

fn micros(time: &Duration) -> Micros {
    let seconds = time.seconds.saturating_mul(MICROS_PER_SECOND);
    seconds.saturating_add(time.nanos as i64 / NANOS_PER_MICRO)
}

fn duration(time: Micros) -> Option<Duration> {
    let nanos = (time % MICROS_PER_SECOND * NANOS_PER_MICRO) as i32;
    (time > 0).then_some(Duration { seconds: time / MICROS_PER_SECOND, nanos })
}
