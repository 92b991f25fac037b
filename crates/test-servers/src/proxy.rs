//! A proxy on sockets: an [`XdsClient`] on a stream of its own, and load reports.

use crate::xds_messages::{WireRequest, WireResponse};
use crate::{EndpointLoad, Reporter, Script, View, XdsClient};
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

/// How long a test waits for a view.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The largest message that is accepted, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// How many requests may wait to be sent.
const QUEUED_REQUESTS: usize = 64;

/// A type URL that no service knows.
const UNKNOWN_TYPE_URL: &str = "type.googleapis.com/envoy.Odd";

/// A proxy that connects to an xDS service.
pub struct Proxy {
    /// The service's address.
    pub at: SocketAddr,
    /// How the proxy behaves.
    pub script: Script,
    client: watch::Sender<XdsClient>,
}

impl Proxy {
    /// A proxy that has received nothing; [`run`](Proxy::run) connects it.
    pub fn new(at: SocketAddr, script: Script) -> Proxy {
        let (client, _) = watch::channel(XdsClient::new(script.clone()));
        Proxy { at, script, client }
    }

    /// What it has received.
    pub fn view(&self) -> View {
        self.client.borrow().view.clone()
    }

    /// The size of all resources it has received, in bytes.
    pub fn bytes(&self) -> usize {
        self.client.borrow().view.bytes
    }

    /// Replaces its view with one that was received on another stream.
    pub fn set_view(&self, view: View) {
        self.client.send_modify(|client| client.view = view);
    }

    /// Waits until the view satisfies `condition` and returns it; panics after a while.
    pub async fn until(&self, what: &str, condition: impl Fn(&View) -> bool) -> View {
        self.wait(what, condition).await;
        self.view()
    }

    /// Waits until the view satisfies `condition`; panics after a while.
    pub async fn wait(&self, what: &str, condition: impl Fn(&View) -> bool) {
        let mut changes = self.client.subscribe();
        let satisfied = changes.wait_for(|client| condition(&client.view));
        if !matches!(tokio::time::timeout(MAX_WAIT, satisfied).await, Ok(Ok(_))) {
            panic!("{}: not seen: {what}; it has {:?}", self.script.id, self.view());
        }
    }

    fn node(&self) -> Option<core::Node> {
        let locality = Some(core::Locality { zone: self.script.zone.clone(), ..Default::default() });
        Some(core::Node { id: self.script.id.clone(), locality, ..Default::default() })
    }

    /// A new connection to the service.
    pub async fn channel(&self) -> Result<Channel, Status> {
        let scheme = if self.script.tls.is_some() { "https" } else { "http" };
        let unavailable = |error: tonic::transport::Error| Status::unavailable(format!("{error:?}"));
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{}", self.at)).map_err(unavailable)?;
        if let Some(tls) = &self.script.tls {
            let config = ClientTlsConfig::new()
                .ca_certificate(Certificate::from_pem(&tls.authority))
                .identity(Identity::from_pem(&tls.certificate, &tls.key))
                .domain_name(tls.server_name.clone());
            endpoint = endpoint.tls_config(config).map_err(unavailable)?;
        }
        endpoint.connect().await.map_err(unavailable)
    }

    /// Runs one stream to its end. With `cut_after` it drops the stream without notice after so many
    /// responses; the last of them is applied and not answered.
    pub async fn run(&self, cut_after: Option<usize>) -> Status {
        match self.run_stream(cut_after).await {
            Ok(()) => Status::cancelled("cut"),
            Err(status) => status,
        }
    }

    async fn run_stream(&self, cut_after: Option<usize>) -> Result<(), Status> {
        let channel = self.channel().await?;
        let mut client =
            AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        if self.script.delta {
            let (requests, queued) = self.open().await;
            let responses = client.delta_aggregated_resources(queued).await?.into_inner();
            self.follow(requests, responses, cut_after).await
        } else {
            let (requests, queued) = self.open().await;
            let responses = client.stream_aggregated_resources(queued).await?.into_inner();
            self.follow(requests, responses, cut_after).await
        }
    }

    /// A queue of requests that begins with the first requests of a stream.
    async fn open<Request: WireRequest>(&self) -> (mpsc::Sender<Request>, ReceiverStream<Request>) {
        let (requests, queued) = mpsc::channel(QUEUED_REQUESTS);
        let mut first_requests = Vec::new();
        self.client.send_modify(|client| first_requests = client.open());
        // Only the first request of a stream names the proxy.
        let mut node = self.node();
        for request in first_requests {
            // The queue is open: its other end is returned.
            let _ = requests.send(Request::new(request, node.take())).await;
        }
        (requests, ReceiverStream::new(queued))
    }

    /// Handles responses until the stream ends, which is an error, or is cut.
    async fn follow<Request: WireRequest, Response: WireResponse>(
        &self, requests: mpsc::Sender<Request>, mut responses: Streaming<Response>, cut_after: Option<usize>,
    ) -> Result<(), Status> {
        let mut handled = 0;
        let mut end: Option<Status> = None;
        // Responses on their way: the delay is that of the network, so it adds nothing to the time between
        // two responses.
        let mut delayed: VecDeque<(Instant, Response)> = VecDeque::new();
        while end.is_none() || !delayed.is_empty() {
            let due = delayed.front().map_or_else(|| Instant::now() + MAX_WAIT, |(due, _)| *due);
            tokio::select! {
                message = responses.message(), if end.is_none() => {
                    match message {
                        Ok(Some(response)) => delayed.push_back((Instant::now() + self.script.delay, response)),
                        Ok(None) => end = Some(Status::new(Code::Ok, "the service ended the stream")),
                        Err(status) => end = Some(status),
                    }
                    continue;
                }
                () = tokio::time::sleep_until(due) => {}
            }
            let Some((_, response)) = delayed.pop_front() else { continue };
            let response = response.into_response();
            let mut answers = Vec::new();
            self.client.send_modify(|client| answers = client.handle_response(&response));
            handled += 1;
            if cut_after.is_some_and(|limit| handled >= limit) {
                return Ok(());
            }
            for answer in answers {
                // A stream that has ended takes no more requests; its end is read above.
                let _ = requests.send(Request::new(answer, None)).await;
            }
        }
        Err(end.unwrap_or(Status::ok("")))
    }

    /// Opens a stream of load reports and sends the first report once the service asks for it.
    pub async fn report(&self, seconds: i64, loads: Vec<EndpointLoad>) -> Result<Reporter, Status> {
        let reporter = Reporter::open(self.channel().await?, self.node()).await?;
        reporter.send(seconds, loads).await;
        Ok(reporter)
    }
}

/// Sends one incremental request for resources of a type that no service knows; returns how the stream ends.
pub async fn request_unknown_type(channel: Channel, id: &str, names: Vec<String>) -> Status {
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let request = ads::DeltaDiscoveryRequest {
        node: Some(core::Node { id: id.to_string(), ..Default::default() }),
        type_url: UNKNOWN_TYPE_URL.to_string(),
        resource_names_subscribe: names,
        ..Default::default()
    };
    match client.delta_aggregated_resources(tokio_stream::iter([request])).await {
        Err(status) => status,
        Ok(responses) => responses.into_inner().message().await.err().unwrap_or(Status::ok("")),
    }
}
