//! Load reports that a proxy sends to the load reporting service.

use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;
use tonic::{Status, Streaming};
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as eds;
use xds_api::pb::envoy::service::load_stats::v3 as lrs;
use xds_api::pb::google::protobuf::Duration;

/// The name of the cluster that the reports cover.
const CLUSTER: &str = "shards-0";

/// The maximum number of reports that wait to be sent.
const REPORT_QUEUE_CAPACITY: usize = 8;

/// The load of an endpoint that a proxy measured during a report interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The endpoint's address.
    pub address: SocketAddr,
    /// Requests that succeeded during the interval.
    pub succeeded: u64,
    /// Requests that failed during the interval.
    pub failed: u64,
    /// Requests in flight at the end of the interval.
    pub in_progress: u64,
    /// Requests that were sent during the interval.
    pub issued: u64,
}

/// An open stream of load reports, which ends when the value is dropped.
pub struct LoadReportStream {
    request_sender: mpsc::Sender<lrs::LoadStatsRequest>,
    /// Held because the service would see a client that drops its responses as disconnected.
    _responses: Streaming<lrs::LoadStatsResponse>,
}

impl LoadReportStream {
    /// Opens a stream and waits until the service requests reports.
    pub(crate) async fn open(channel: Channel, node: Option<core::Node>) -> Result<LoadReportStream, Status> {
        let mut client = lrs::load_reporting_service_client::LoadReportingServiceClient::new(channel);
        let (request_sender, request_receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
        let first_request = lrs::LoadStatsRequest { node, ..Default::default() };
        // Sending fails only once the stream has ended, which the call below reports.
        let _ = request_sender.send(first_request).await;
        let mut responses =
            client.stream_load_stats(ReceiverStream::new(request_receiver)).await?.into_inner();
        let response = responses
            .message()
            .await?
            .ok_or_else(|| Status::unavailable("the service ended the stream without requesting reports"))?;
        assert!(response.send_all_clusters && response.report_endpoint_granularity);
        Ok(LoadReportStream { request_sender, _responses: responses })
    }

    /// Sends a report on an interval of `seconds`; has no effect if the stream has ended.
    pub async fn send(&self, seconds: i64, loads: Vec<EndpointLoad>) {
        let locality = eds::UpstreamLocalityStats {
            upstream_endpoint_stats: loads.into_iter().map(endpoint_stats).collect(),
            ..Default::default()
        };
        let cluster = eds::ClusterStats {
            cluster_name: CLUSTER.to_string(),
            upstream_locality_stats: vec![locality],
            load_report_interval: Some(Duration { seconds, nanos: 0 }),
            ..Default::default()
        };
        let request = lrs::LoadStatsRequest { cluster_stats: vec![cluster], ..Default::default() };
        // Sending fails only once the stream has ended.
        let _ = self.request_sender.send(request).await;
    }
}

fn endpoint_stats(load: EndpointLoad) -> eds::UpstreamEndpointStats {
    eds::UpstreamEndpointStats {
        address: Some(envoy_address(load.address)),
        total_successful_requests: load.succeeded,
        total_error_requests: load.failed,
        total_requests_in_progress: load.in_progress,
        total_issued_requests: load.issued,
        ..Default::default()
    }
}

fn envoy_address(socket_address: SocketAddr) -> core::Address {
    let port = core::socket_address::PortSpecifier::PortValue(socket_address.port() as u32);
    let envoy_socket = core::SocketAddress {
        address: socket_address.ip().to_string(),
        port_specifier: Some(port),
        ..Default::default()
    };
    core::Address { address: Some(core::address::Address::SocketAddress(envoy_socket)) }
}
