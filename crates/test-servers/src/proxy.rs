//! A proxy that connects to an xDS service: an [`XdsClient`] with its own stream, and load reports.

use crate::xds_messages::{WireRequest, WireResponse};
use crate::{EndpointLoad, LoadReportStream, Script, View, XdsClient};
use ads::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};
use tonic::{Code, Status, Streaming};
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::service::discovery::v3 as ads;

/// The time for which a test waits for a view.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The maximum size of a received message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// The maximum number of requests that wait to be sent.
const REQUEST_QUEUE_CAPACITY: usize = 64;

/// A type URL that no service supports.
const UNKNOWN_TYPE_URL: &str = "type.googleapis.com/envoy.Odd";

/// A proxy that connects to an xDS service.
pub struct Proxy {
    /// The service's address.
    pub address: SocketAddr,
    /// The proxy's settings.
    pub script: Script,
    client: watch::Sender<XdsClient>,
}

impl Proxy {
    /// Returns a proxy that is not connected and has received nothing; [`run`](Proxy::run) connects it.
    pub fn new(address: SocketAddr, script: Script) -> Proxy {
        let (client, _) = watch::channel(XdsClient::new(script.clone()));
        Proxy { address, script, client }
    }

    /// Returns a copy of the proxy's view.
    pub fn view(&self) -> View {
        self.client.borrow().view.clone()
    }

    /// Returns the total size of the resources received, in bytes.
    pub fn bytes(&self) -> usize {
        self.client.borrow().view.bytes
    }

    /// Replaces the proxy's view with one that was received on another stream.
    pub fn set_view(&self, view: View) {
        self.client.send_modify(|client| client.view = view);
    }

    /// Waits until the view satisfies `condition` and returns the view. Panics with `expectation` after 30 seconds.
    pub async fn wait_for_view(&self, expectation: &str, condition: impl Fn(&View) -> bool) -> View {
        self.wait(expectation, condition).await;
        self.view()
    }

    /// Waits until the view satisfies `condition`. Panics with `expectation` after 30 seconds.
    pub async fn wait(&self, expectation: &str, condition: impl Fn(&View) -> bool) {
        let mut changes = self.client.subscribe();
        let satisfied = changes.wait_for(|client| condition(&client.view));
        if !matches!(tokio::time::timeout(MAX_WAIT, satisfied).await, Ok(Ok(_))) {
            panic!(
                "proxy {}: timed out waiting for {expectation}; its view: {:?}",
                self.script.id,
                self.view()
            );
        }
    }

    fn node(&self) -> Option<core::Node> {
        let locality = Some(core::Locality { zone: self.script.zone.clone(), ..Default::default() });
        Some(core::Node { id: self.script.id.clone(), locality, ..Default::default() })
    }

    /// Opens a connection to the service, with TLS if the script has certificates.
    pub async fn channel(&self) -> Result<Channel, Status> {
        let scheme = if self.script.tls.is_some() { "https" } else { "http" };
        let unavailable = |error: tonic::transport::Error| Status::unavailable(format!("{error:?}"));
        let mut endpoint =
            Endpoint::from_shared(format!("{scheme}://{}", self.address)).map_err(unavailable)?;
        if let Some(tls) = &self.script.tls {
            let config = ClientTlsConfig::new()
                .ca_certificate(Certificate::from_pem(&tls.authority))
                .identity(Identity::from_pem(&tls.certificate, &tls.key))
                .domain_name(tls.server_name.clone());
            endpoint = endpoint.tls_config(config).map_err(unavailable)?;
        }
        endpoint.connect().await.map_err(unavailable)
    }

    /// Runs one stream until it ends and returns its status. With `cut_after` the proxy drops the stream without notice
    /// after that many responses; it applies the last of them without an ACK or NACK.
    pub async fn run(&self, cut_after: Option<usize>) -> Status {
        match self.run_stream(cut_after).await {
            Ok(()) => Status::cancelled("the proxy dropped the stream"),
            Err(status) => status,
        }
    }

    async fn run_stream(&self, cut_after: Option<usize>) -> Result<(), Status> {
        let channel = self.channel().await?;
        let mut client =
            AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        if self.script.delta {
            let (requests, request_stream) = self.open_request_queue().await;
            let responses = client.delta_aggregated_resources(request_stream).await?.into_inner();
            self.handle_responses(requests, responses, cut_after).await
        } else {
            let (requests, request_stream) = self.open_request_queue().await;
            let responses = client.stream_aggregated_resources(request_stream).await?.into_inner();
            self.handle_responses(requests, responses, cut_after).await
        }
    }

    /// Returns a request queue that contains the first requests of a stream.
    async fn open_request_queue<Request: WireRequest>(
        &self,
    ) -> (mpsc::Sender<Request>, ReceiverStream<Request>) {
        let (requests, receiver) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let mut first_requests = Vec::new();
        self.client.send_modify(|client| first_requests = client.open());
        // Only the first request of a stream contains the node.
        let mut node = self.node();
        for request in first_requests {
            // Sending cannot fail, because the receiver exists.
            let _ = requests.send(Request::new(request, node.take())).await;
        }
        (requests, ReceiverStream::new(receiver))
    }

    /// Handles responses until the stream ends, which is returned as an error, or `cut_after` is reached.
    async fn handle_responses<Request: WireRequest, Response: WireResponse>(
        &self, requests: mpsc::Sender<Request>, mut responses: Streaming<Response>, cut_after: Option<usize>,
    ) -> Result<(), Status> {
        let mut handled = 0;
        let mut end_status: Option<Status> = None;
        // Responses with the times at which they arrive. The delay simulates network latency, so it does not add to
        // the time between two responses.
        let mut pending: VecDeque<(Instant, Response)> = VecDeque::new();
        while end_status.is_none() || !pending.is_empty() {
            let next_arrival =
                pending.front().map_or_else(|| Instant::now() + MAX_WAIT, |(arrival, _)| *arrival);
            tokio::select! {
                message = responses.message(), if end_status.is_none() => {
                    match message {
                        Ok(Some(response)) => pending.push_back((Instant::now() + self.script.delay, response)),
                        Ok(None) => end_status = Some(Status::new(Code::Ok, "the service ended the stream")),
                        Err(status) => end_status = Some(status),
                    }
                    continue;
                }
                () = tokio::time::sleep_until(next_arrival) => {}
            }
            let Some((_, response)) = pending.pop_front() else { continue };
            let response = response.into_response();
            let mut answers = Vec::new();
            self.client.send_modify(|client| answers = client.handle_response(&response));
            handled += 1;
            if cut_after.is_some_and(|limit| handled >= limit) {
                return Ok(());
            }
            for answer in answers {
                // Sending fails only once the stream has ended; the end is read above.
                let _ = requests.send(Request::new(answer, None)).await;
            }
        }
        Err(end_status.unwrap_or(Status::ok("")))
    }

    /// Opens a stream of load reports and, once the service requests reports, sends one on an interval of `seconds`.
    pub async fn report(&self, seconds: i64, loads: Vec<EndpointLoad>) -> Result<LoadReportStream, Status> {
        let stream = LoadReportStream::open(self.channel().await?, self.node()).await?;
        stream.send(seconds, loads).await;
        Ok(stream)
    }
}

/// Sends one incremental request for resources of a type that no service supports. Returns the status with which the
/// stream ends.
pub async fn request_unknown_type(channel: Channel, node_id: &str, names: Vec<String>) -> Status {
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let request = ads::DeltaDiscoveryRequest {
        node: Some(core::Node { id: node_id.to_string(), ..Default::default() }),
        type_url: UNKNOWN_TYPE_URL.to_string(),
        resource_names_subscribe: names,
        ..Default::default()
    };
    match client.delta_aggregated_resources(tokio_stream::iter([request])).await {
        Err(status) => status,
        Ok(responses) => responses.into_inner().message().await.err().unwrap_or(Status::ok("")),
    }
}
