//! A proxy on sockets: a `Subscriber` on a stream of its own, and load reports.

use crate::subscriber::{Answer, Ask, Script, Subscriber, View};
use prost::{Message, Name};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};
use tonic::{Code, Status, Streaming};
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as eds;
use xds_api::pb::envoy::service::discovery::v3 as ads;
use xds_api::pb::envoy::service::load_stats::v3 as lrs;
use xds_api::pb::google::protobuf::Duration as Span;
use xds_api::pb::google::rpc;

/// How long a wait may take before a test is given up.
const PATIENCE: Duration = Duration::from_secs(30);
/// The largest message that is taken.
const MOST_MESSAGE: usize = 64 << 20;

pub struct Proxy {
    pub at: SocketAddr,
    pub script: Script,
    state: watch::Sender<Subscriber>,
}

fn socket_address(at: SocketAddr) -> Option<core::Address> {
    let port = core::socket_address::PortSpecifier::PortValue(at.port() as u32);
    let address = at.ip().to_string();
    let socket = core::SocketAddress { address, port_specifier: Some(port), ..Default::default() };
    Some(core::Address { address: Some(core::address::Address::SocketAddress(socket)) })
}

fn refused(words: Option<String>) -> Option<rpc::Status> {
    words.map(|message| rpc::Status { code: 3, message, ..Default::default() })
}

/// A message of either form of the aggregated service.
trait Asks: Sized {
    fn of(ask: Ask, node: Option<core::Node>) -> Self;
}

trait Answers {
    fn answer(self) -> Answer;
}

impl Asks for ads::DiscoveryRequest {
    fn of(ask: Ask, node: Option<core::Node>) -> Self {
        ads::DiscoveryRequest {
            node,
            version_info: ask.version,
            response_nonce: ask.nonce,
            error_detail: refused(ask.refusal),
            type_url: ask.url,
            resource_names: ask.names,
            ..Default::default()
        }
    }
}

impl Asks for ads::DeltaDiscoveryRequest {
    fn of(ask: Ask, node: Option<core::Node>) -> Self {
        ads::DeltaDiscoveryRequest {
            node,
            response_nonce: ask.nonce,
            error_detail: refused(ask.refusal),
            type_url: ask.url,
            resource_names_subscribe: ask.subscribe,
            resource_names_unsubscribe: ask.unsubscribe,
            initial_resource_versions: ask.initial.into_iter().collect(),
            ..Default::default()
        }
    }
}

impl Answers for ads::DiscoveryResponse {
    fn answer(self) -> Answer {
        // A leased resource comes wrapped, a heartbeat without content.
        let put = self.resources.into_iter().map(|any| {
            if any.type_url != ads::Resource::type_url() {
                return (crate::subscriber::name_of(&any), String::new(), Some(any));
            }
            let wrapped = ads::Resource::decode(&any.value[..]).expect("a resource");
            (wrapped.name, wrapped.version, wrapped.resource)
        });
        let put = put.collect();
        Answer { url: self.type_url, version: self.version_info, nonce: self.nonce, put, removed: Vec::new() }
    }
}

impl Answers for ads::DeltaDiscoveryResponse {
    fn answer(self) -> Answer {
        let put =
            self.resources.into_iter().map(|resource| (resource.name, resource.version, resource.resource));
        let (put, version) = (put.collect(), String::new());
        Answer { url: self.type_url, version, nonce: self.nonce, put, removed: self.removed_resources }
    }
}

impl Proxy {
    pub fn new(at: SocketAddr, script: Script) -> Proxy {
        Proxy { at, script: script.clone(), state: watch::channel(Subscriber::new(script)).0 }
    }

    pub fn view(&self) -> View {
        self.state.borrow().view.clone()
    }

    /// Content that it was sent, in bytes.
    pub fn bytes(&self) -> usize {
        self.state.borrow().view.bytes
    }

    /// Takes over what another stream brought.
    pub fn hold(&self, view: View) {
        self.state.send_modify(|state| state.view = view);
    }

    /// Waits until the view is as it should be; gives up the test after a while.
    pub async fn until(&self, what: &str, is: impl Fn(&View) -> bool) -> View {
        self.wait(what, is).await;
        self.view()
    }

    /// The same without a look at the view.
    pub async fn wait(&self, what: &str, is: impl Fn(&View) -> bool) {
        let mut changes = self.state.subscribe();
        let waited = tokio::time::timeout(PATIENCE, changes.wait_for(|state| is(&state.view))).await;
        if !matches!(waited, Ok(Ok(_))) {
            panic!("{}: not seen: {what}; it has {:?}", self.script.id, self.view());
        }
    }

    fn node(&self) -> Option<core::Node> {
        let locality = Some(core::Locality { zone: self.script.zone.clone(), ..Default::default() });
        Some(core::Node { id: self.script.id.clone(), locality, ..Default::default() })
    }

    pub async fn channel(&self) -> Result<Channel, Status> {
        let scheme = if self.script.tls.is_some() { "https" } else { "http" };
        let unavailable = |e: tonic::transport::Error| Status::unavailable(format!("{e:?}"));
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{}", self.at)).map_err(unavailable)?;
        if let Some((authority, certificate, key, name)) = &self.script.tls {
            let tls = ClientTlsConfig::new()
                .ca_certificate(Certificate::from_pem(authority))
                .identity(Identity::from_pem(certificate, key))
                .domain_name(name.clone());
            endpoint = endpoint.tls_config(tls).map_err(unavailable)?;
        }
        endpoint.connect().await.map_err(unavailable)
    }

    /// Runs one stream to its end; `cut_after` drops it without a word after so many messages, the last of them
    /// applied and not answered.
    pub async fn run(&self, cut_after: Option<usize>) -> Status {
        let channel = match self.channel().await {
            Ok(channel) => channel,
            Err(status) => return status,
        };
        let mut client =
            ads::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient::new(channel)
                .max_decoding_message_size(MOST_MESSAGE);
        let ended = if self.script.delta {
            let (to, asks) = self.begin().await;
            match client.delta_aggregated_resources(asks).await {
                Ok(answers) => self.follow(to, answers.into_inner(), cut_after).await,
                Err(status) => Err(status),
            }
        } else {
            let (to, asks) = self.begin().await;
            match client.stream_aggregated_resources(asks).await {
                Ok(answers) => self.follow(to, answers.into_inner(), cut_after).await,
                Err(status) => Err(status),
            }
        };
        ended.err().unwrap_or_else(|| Status::cancelled("cut"))
    }

    async fn begin<Q: Asks>(&self) -> (mpsc::Sender<Q>, ReceiverStream<Q>) {
        let (to, asks) = mpsc::channel(64);
        let mut node = self.node();
        let mut asks_first = Vec::new();
        self.state.send_modify(|state| asks_first = state.open());
        for ask in asks_first {
            let _ = to.send(Q::of(ask, node.take())).await;
        }
        (to, ReceiverStream::new(asks))
    }

    async fn follow<Q: Asks, A: Answers>(
        &self, to: mpsc::Sender<Q>, mut answers: Streaming<A>, cut_after: Option<usize>,
    ) -> Result<(), Status> {
        let (mut count, mut ended) = (0, None);
        // What is on its way: the lag is the line's, not the proxy's own.
        let mut inbox: VecDeque<(Instant, A)> = VecDeque::new();
        while ended.is_none() || !inbox.is_empty() {
            let due = inbox.front().map_or_else(|| Instant::now() + PATIENCE, |first| first.0);
            tokio::select! {
                message = answers.message(), if ended.is_none() => {
                    match message {
                        Ok(Some(answer)) => inbox.push_back((Instant::now() + self.script.lag, answer)),
                        Ok(None) => ended = Some(Status::new(Code::Ok, "the service ended the stream")),
                        Err(status) => ended = Some(status),
                    }
                    continue;
                }
                () = tokio::time::sleep_until(due) => {}
            }
            let Some((_, answer)) = inbox.pop_front() else { continue };
            let (answer, mut asks) = (answer.answer(), Vec::new());
            self.state.send_modify(|state| asks = state.take(&answer));
            count += 1;
            if cut_after.is_some_and(|most| count >= most) {
                return Ok(());
            }
            for ask in asks {
                let _ = to.send(Q::of(ask, None)).await;
            }
        }
        Err(ended.unwrap_or(Status::ok("")))
    }

    /// Reports, once it is asked, what each row says: an address, and answered, errors, in progress and issued. The
    /// stream stays open until the returned sender is dropped.
    pub async fn report(&self, seconds: i64, rows: Vec<(SocketAddr, [u64; 4])>) -> Result<Reporter, Status> {
        let mut client =
            lrs::load_reporting_service_client::LoadReportingServiceClient::new(self.channel().await?);
        let (to, from) = mpsc::channel(8);
        let first = lrs::LoadStatsRequest { node: self.node(), ..Default::default() };
        let _ = to.send(first).await;
        let mut answers = client.stream_load_stats(ReceiverStream::new(from)).await?.into_inner();
        let asked = answers.message().await?.ok_or_else(|| Status::unavailable("nothing was asked"))?;
        assert!(asked.send_all_clusters && asked.report_endpoint_granularity);
        let reporter = Reporter { to, _answers: answers };
        reporter.send(seconds, rows).await;
        Ok(reporter)
    }
}

pub struct Reporter {
    to: mpsc::Sender<lrs::LoadStatsRequest>,
    _answers: tonic::Streaming<lrs::LoadStatsResponse>,
}

impl Reporter {
    pub async fn send(&self, seconds: i64, rows: Vec<(SocketAddr, [u64; 4])>) {
        let stats =
            rows.into_iter().map(|(at, [answered, errors, held, issued])| eds::UpstreamEndpointStats {
                address: socket_address(at),
                total_successful_requests: answered,
                total_error_requests: errors,
                total_requests_in_progress: held,
                total_issued_requests: issued,
                ..Default::default()
            });
        let locality =
            eds::UpstreamLocalityStats { upstream_endpoint_stats: stats.collect(), ..Default::default() };
        let cluster = eds::ClusterStats {
            cluster_name: "shards-0".to_string(),
            upstream_locality_stats: vec![locality],
            load_report_interval: Some(Span { seconds, nanos: 0 }),
            ..Default::default()
        };
        let _ =
            self.to.send(lrs::LoadStatsRequest { cluster_stats: vec![cluster], ..Default::default() }).await;
    }
}

/// One incremental request of these names by a proxy of this id, of a type that there is not; how it ends.
pub async fn odd_request(channel: Channel, id: &str, names: Vec<String>) -> Status {
    let mut client = ads::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient::new(channel);
    let node = Some(core::Node { id: id.to_string(), ..Default::default() });
    let request = ads::DeltaDiscoveryRequest {
        node,
        type_url: "type.googleapis.com/envoy.Odd".to_string(),
        resource_names_subscribe: names,
        ..Default::default()
    };
    let asks = tokio_stream::iter([request]);
    match client.delta_aggregated_resources(asks).await {
        Err(status) => status,
        Ok(answers) => answers.into_inner().message().await.err().unwrap_or(Status::ok("")),
    }
}
