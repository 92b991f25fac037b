//! The messages of the discovery and load reporting services: fields in, straight into calls; responses out.

use crate::catalog::socket_of;
use crate::control::{Control, Stream};
use crate::kinds::{Kind, Resource};
use crate::session::Response;
use balancer::Micros;
use prost::{Message, Name};
use std::net::SocketAddr;
use xds_api::pb::envoy::config::core::v3::Node;
use xds_api::pb::envoy::service::discovery::v3 as ads;
use xds_api::pb::envoy::service::load_stats::v3 as lrs;
use xds_api::pb::google::protobuf::{Any, Duration};

fn id_and_zone(node: &Option<Node>) -> Option<(&str, &str)> {
    let node = node.as_ref()?;
    Some((&node.id, node.locality.as_ref().map_or("", |locality| &locality.zone)))
}

pub fn request(control: &mut Control, now: Micros, stream: Stream, message: ads::DiscoveryRequest) {
    let refusal = message.error_detail.as_ref().map(|status| status.message.as_str());
    let node = id_and_zone(&message.node);
    let (version, nonce) = (&message.version_info, &message.response_nonce);
    control.request(now, stream, node, &message.type_url, version, nonce, message.resource_names, refusal);
}

pub fn request_delta(
    control: &mut Control, now: Micros, stream: Stream, message: ads::DeltaDiscoveryRequest,
) {
    let refusal = message.error_detail.as_ref().map(|status| status.message.as_str());
    let mut initial: Vec<(String, String)> = message.initial_resource_versions.into_iter().collect();
    initial.sort();
    control.request_delta(
        now,
        stream,
        id_and_zone(&message.node),
        &message.type_url,
        message.resource_names_subscribe,
        message.resource_names_unsubscribe,
        initial,
        &message.response_nonce,
        refusal,
    );
}

pub fn report(control: &mut Control, now: Micros, stream: Stream, message: &lrs::LoadStatsRequest) {
    let mut entries: Vec<(SocketAddr, [u64; 4])> = Vec::new();
    let mut interval = None;
    for cluster in &message.cluster_stats {
        let of = cluster.load_report_interval.as_ref().map(micros);
        interval = interval.max(of);
        for stats in cluster.upstream_locality_stats.iter().flat_map(|at| &at.upstream_endpoint_stats) {
            if let Some(at) = stats.address.as_ref().and_then(socket_of) {
                let ended = [stats.total_successful_requests, stats.total_error_requests];
                let more = [stats.total_requests_in_progress, stats.total_issued_requests];
                entries.push((at, [ended[0], ended[1], more[0], more[1]]));
            }
        }
    }
    let interval = interval.unwrap_or(control.options.report_every);
    control.report(now, stream, id_and_zone(&message.node), interval, &entries);
}

fn micros(time: &Duration) -> Micros {
    time.seconds.saturating_mul(1_000_000).saturating_add(time.nanos as i64 / 1000)
}

fn duration(time: Micros) -> Option<Duration> {
    (time > 0).then_some(Duration { seconds: time / 1_000_000, nanos: (time % 1_000_000 * 1000) as i32 })
}

pub fn any(kind: Kind, resource: &Resource) -> Any {
    Any { type_url: kind.url(), value: resource.body.clone() }
}

/// A resource with its version and lease; a heartbeat goes without content.
fn wrapped(kind: Kind, resource: &Resource, lease: Micros, heartbeat: bool) -> ads::Resource {
    ads::Resource {
        name: resource.name.clone(),
        version: resource.version.clone(),
        resource: (!heartbeat).then(|| any(kind, resource)),
        ttl: duration(lease),
        ..Default::default()
    }
}

/// Endpoints alone are leased: drains and outages live there.
fn lease_of(kind: Kind, lease: Micros) -> Micros {
    if kind == Kind::Endpoints { lease } else { 0 }
}

pub fn response(response: &Response, lease: Micros) -> ads::DiscoveryResponse {
    let kind = response.kind;
    let lease = lease_of(kind, lease);
    let content = |resource: &Resource| match lease {
        0 => any(kind, resource),
        _ => {
            let wrapped = wrapped(kind, resource, lease, response.heartbeat);
            Any { type_url: ads::Resource::type_url(), value: wrapped.encode_to_vec() }
        }
    };
    ads::DiscoveryResponse {
        version_info: response.version.clone(),
        resources: response.resources.iter().map(|resource| content(resource)).collect(),
        type_url: kind.url(),
        nonce: response.nonce.clone(),
        ..Default::default()
    }
}

pub fn response_delta(response: &Response, lease: Micros) -> ads::DeltaDiscoveryResponse {
    let kind = response.kind;
    let lease = lease_of(kind, lease);
    let put = response.resources.iter().map(|resource| wrapped(kind, resource, lease, response.heartbeat));
    ads::DeltaDiscoveryResponse {
        resources: put.collect(),
        type_url: kind.url(),
        removed_resources: response.removed.clone(),
        nonce: response.nonce.clone(),
        ..Default::default()
    }
}

/// Asks for reports of all clusters, each address by itself.
pub fn ask_loads(every: Micros) -> lrs::LoadStatsResponse {
    lrs::LoadStatsResponse {
        send_all_clusters: true,
        load_reporting_interval: duration(every),
        report_endpoint_granularity: true,
        ..Default::default()
    }
}
