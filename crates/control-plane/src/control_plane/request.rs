//! Requests of proxies: discovery requests and load reports.

use super::{ControlPlane, EarlierVersions, Effect, StreamError};
use crate::ids::{ProxyId, StreamId};
use crate::load_reports::{EndpointLoad, LoadCounts, MAX_ENTRIES};
use crate::resource::{ResourceSnapshot, ResourceType};
use crate::session::{Acknowledgement, DeltaRequest, RequestError, StateOfTheWorldRequest};
use balancer::{Micros, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How much of a proxy's text is logged, in characters.
const MAX_LOGGED_TEXT: usize = 200;
/// Reports with at most this many entries look up each address by a search through the endpoint table.
const MAX_SEARCHED_ENTRIES: usize = 8;

/// What a message says of the proxy that sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyNode<'a> {
    /// `node.id`.
    pub id: &'a str,
    /// `node.locality.zone`.
    pub zone: &'a str,
}

/// A load report, with the fields of a LoadStatsRequest.
#[derive(Clone, Debug, Default)]
pub struct LoadReportRequest {
    /// The time that the report covers; `None` if it does not say.
    pub interval: Option<Micros>,
    /// An entry for each cluster and endpoint.
    pub endpoints: Vec<EndpointLoad>,
}

/// A discovery request's proxy and resource type.
struct RequestOrigin {
    stream: StreamId,
    proxy: ProxyId,
    resource_type: ResourceType,
}

impl ControlPlane {
    /// Takes in a request of the state-of-the-world variant.
    pub fn state_of_the_world_request(
        &mut self, now: Micros, stream: StreamId, node: Option<ProxyNode>, request: StateOfTheWorldRequest,
    ) {
        let Some(origin) = self.identify_request(now, stream, node, &request.type_url) else { return };
        let rejection = request.rejection.clone();
        let desired = self.desired_at_request(now, &origin, !request.version.is_empty());
        let Some(proxy) = self.proxies.get_mut(&origin.proxy) else { return };
        let result = proxy.session.state_of_the_world_request(origin.resource_type, request, &desired);
        self.request_finished(now, &origin, result, rejection);
    }

    /// Takes in a request of the incremental variant.
    pub fn delta_request(
        &mut self, now: Micros, stream: StreamId, node: Option<ProxyNode>, request: DeltaRequest,
    ) {
        let Some(origin) = self.identify_request(now, stream, node, &request.type_url) else { return };
        let rejection = request.rejection.clone();
        let desired = self.desired_at_request(now, &origin, !request.initial_versions.is_empty());
        let Some(proxy) = self.proxies.get_mut(&origin.proxy) else { return };
        let result = proxy.session.delta_request(origin.resource_type, request, &desired);
        self.request_finished(now, &origin, result, rejection);
    }

    /// The proxy and the resource type of a request. Ends the stream if one of them cannot be served.
    fn identify_request(
        &mut self, now: Micros, stream: StreamId, node: Option<ProxyNode>, type_url: &str,
    ) -> Option<RequestOrigin> {
        let proxy = self.identify_proxy(now, stream, node)?;
        let Some(resource_type) = ResourceType::from_type_url(type_url) else {
            let type_url = loggable(type_url);
            self.close_stream(now, stream, StreamError::UnknownResourceType { type_url });
            return None;
        };
        Some(RequestOrigin { stream, proxy, resource_type })
    }

    /// The snapshot with which the first request of a type is compared, which may show that the proxy comes
    /// back with versions from before. Later requests need none.
    fn desired_at_request(
        &mut self, now: Micros, origin: &RequestOrigin, has_versions: bool,
    ) -> Arc<ResourceSnapshot> {
        let Some(proxy) = self.proxies.get_mut(&origin.proxy) else { return Arc::default() };
        if proxy.session.has_requested(origin.resource_type) {
            return Arc::default();
        }
        if has_versions {
            proxy.session.mark_resumed();
        }
        if proxy.session.is_resumed() {
            self.earlier_versions = EarlierVersions::InUse;
        }
        self.snapshot(now, origin.proxy).resources
    }

    /// Counts how a request answered an earlier response, and pushes what is due after it.
    fn request_finished(
        &mut self, now: Micros, origin: &RequestOrigin, result: Result<Acknowledgement, RequestError>,
        rejection: Option<String>,
    ) {
        let Some(proxy) = self.proxies.get(&origin.proxy) else { return };
        match result {
            Err(error) => return self.close_stream(now, origin.stream, error.into()),
            Ok(Acknowledgement::Absent) => {}
            Ok(Acknowledgement::Ack) => drop(self.metrics.acks.inc()),
            Ok(Acknowledgement::StaleNonce) => drop(self.metrics.stale_nonces.inc()),
            Ok(Acknowledgement::Nack) => {
                self.metrics.nacks.inc();
                let (name, resource_type) = (&proxy.name, origin.resource_type);
                let reason = loggable(rejection.as_deref().unwrap_or(""));
                tracing::warn!(proxy = name, ?resource_type, reason, "proxy rejected a response");
            }
        }
        if origin.resource_type == ResourceType::Cluster {
            self.ledger.set_all(origin.proxy, &proxy.session.max_requests_in_force());
        }
        self.push(now, origin.proxy);
    }

    /// Takes in a load report.
    pub fn load_report(
        &mut self, now: Micros, stream: StreamId, node: Option<ProxyNode>, report: LoadReportRequest,
    ) {
        let is_first = self.streams.get(&stream).is_some_and(|stream| stream.proxy.is_none());
        let Some(proxy) = self.identify_proxy(now, stream, node) else { return };
        if is_first {
            self.effects.push(Effect::RequestLoadReports(stream));
        }
        if report.endpoints.len() > MAX_ENTRIES {
            return self.close_stream(now, stream, StreamError::TooManyLoadReportEntries);
        }
        match self.add_load_report(proxy, &report) {
            0 => self.metrics.load_reports.inc(),
            _ => self.metrics.load_reports_rejected.inc(),
        };
    }

    /// Adds the entries of a load report. Returns how many cannot be used.
    fn add_load_report(&mut self, proxy: ProxyId, report: &LoadReportRequest) -> usize {
        let interval = report.interval.unwrap_or(self.options.report_interval);
        let nodes: Option<BTreeMap<SocketAddr, NodeId>> =
            (report.endpoints.len() > MAX_SEARCHED_ENTRIES).then(|| self.endpoints.addresses().collect());
        let mut rejected = 0;
        for load in &report.endpoints {
            let node = match &nodes {
                Some(nodes) => nodes.get(&load.address).copied(),
                None => self.endpoints.find(&load.address),
            };
            match (node, LoadCounts::checked(load, interval)) {
                (Some(node), Ok(counts)) => self.load_reports.add(proxy, node, &counts),
                (None, _) | (_, Err(_)) => rejected += 1,
            }
        }
        rejected
    }
}

/// The start of a proxy's text, without control characters.
fn loggable(text: &str) -> String {
    let start: String = text.chars().take(MAX_LOGGED_TEXT).collect();
    start.escape_debug().to_string()
}
