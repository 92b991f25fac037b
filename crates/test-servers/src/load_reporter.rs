//! Load reports of a proxy, through the load reporting service.

use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;
use tonic::{Status, Streaming};
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as eds;
use xds_api::pb::envoy::service::load_stats::v3 as lrs;
use xds_api::pb::google::protobuf::Duration;

/// The cluster that is reported on.
const CLUSTER: &str = "shards-0";

/// How many reports may wait to be sent.
const QUEUED_REPORTS: usize = 8;

/// What a proxy observed at an endpoint during an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The endpoint's address.
    pub at: SocketAddr,
    /// Requests that were answered.
    pub succeeded: u64,
    /// Requests that ended in an error.
    pub errors: u64,
    /// Requests in flight at the end of the interval.
    pub in_progress: u64,
    /// Requests that were sent.
    pub issued: u64,
}

/// An open stream of load reports; it ends when this is dropped.
pub struct Reporter {
    requests: mpsc::Sender<lrs::LoadStatsRequest>,
    /// Kept since the service would take a client that drops it for gone.
    _responses: Streaming<lrs::LoadStatsResponse>,
}

impl Reporter {
    /// Opens a stream and waits until the service asks for reports.
    pub(crate) async fn open(channel: Channel, node: Option<core::Node>) -> Result<Reporter, Status> {
        let mut client = lrs::load_reporting_service_client::LoadReportingServiceClient::new(channel);
        let (requests, queued) = mpsc::channel(QUEUED_REPORTS);
        let first = lrs::LoadStatsRequest { node, ..Default::default() };
        // It fails only once the stream has ended, which the call below reports.
        let _ = requests.send(first).await;
        let mut responses = client.stream_load_stats(ReceiverStream::new(queued)).await?.into_inner();
        let wanted = responses.message().await?.ok_or_else(|| Status::unavailable("nothing was asked"))?;
        assert!(wanted.send_all_clusters && wanted.report_endpoint_granularity);
        Ok(Reporter { requests, _responses: responses })
    }

    /// Reports on an interval of so many seconds.
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
        // A stream that has ended takes no more reports.
        let _ = self.requests.send(request).await;
    }
}

fn endpoint_stats(load: EndpointLoad) -> eds::UpstreamEndpointStats {
    eds::UpstreamEndpointStats {
        address: Some(address(load.at)),
        total_successful_requests: load.succeeded,
        total_error_requests: load.errors,
        total_requests_in_progress: load.in_progress,
        total_issued_requests: load.issued,
        ..Default::default()
    }
}

fn address(at: SocketAddr) -> core::Address {
    let port = core::socket_address::PortSpecifier::PortValue(at.port() as u32);
    let socket = core::SocketAddress {
        address: at.ip().to_string(),
        port_specifier: Some(port),
        ..Default::default()
    };
    core::Address { address: Some(core::address::Address::SocketAddress(socket)) }
}
