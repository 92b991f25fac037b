//! Handling of discovery requests and load reports from proxies.

use super::{ControlPlane, EarlierVersions, Effect, StreamError};
use crate::ids::{ProxyId, StreamId};
use crate::load_reports::{EndpointLoad, LoadCounts, MAX_REPORT_ENTRIES};
use crate::resource::{ResourceSnapshot, ResourceType};
use crate::session::{Acknowledgement, DeltaRequest, RequestError, StateOfTheWorldRequest};
use balancer::{Micros, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum length of a proxy's text in log lines and error messages, in characters; longer text is truncated.
const MAX_LOGGED_TEXT: usize = 200;
/// Load reports with at most this many entries look up each address by a linear search of the endpoint table; for
/// larger ones an index of all addresses is built.
const MAX_LINEAR_SEARCH: usize = 8;

/// The fields of a message's `node` that identify the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyNode<'a> {
    /// The proxy's ID: `node.id`.
    pub id: &'a str,
    /// The proxy's zone: `node.locality.zone`.
    pub zone: &'a str,
}

/// A load report with the fields of a `LoadStatsRequest` that are used.
#[derive(Clone, Debug, Default)]
pub struct LoadReportRequest {
    /// The time that the report covers; `None` if not specified, which stands for the configured report interval.
    pub interval: Option<Micros>,
    /// One entry per cluster and endpoint.
    pub endpoints: Vec<EndpointLoad>,
}

/// The stream, proxy and resource type of a discovery request.
struct RequestOrigin {
    stream: StreamId,
    proxy: ProxyId,
    resource_type: ResourceType,
}

impl ControlPlane {
    /// Handles a request of the state-of-the-world variant. `node` is required on the first request of a stream.
    pub fn state_of_the_world_request(
        &mut self, now: Micros, stream: StreamId, node: Option<ProxyNode>, request: StateOfTheWorldRequest,
    ) {
        let Some(origin) = self.identify_request(now, stream, node, &request.type_url) else { return };
        let rejection = request.rejection.clone();
        let desired = self.snapshot_for_resumption(now, &origin, !request.version.is_empty());
        let Some(proxy) = self.proxies.get_mut(&origin.proxy) else { return };
        let result = proxy.session.state_of_the_world_request(origin.resource_type, request, &desired);
        self.request_finished(now, &origin, result, rejection);
    }

    /// Handles a request of the incremental variant. `node` is required on the first request of a stream.
    pub fn delta_request(
        &mut self, now: Micros, stream: StreamId, node: Option<ProxyNode>, request: DeltaRequest,
    ) {
        let Some(origin) = self.identify_request(now, stream, node, &request.type_url) else { return };
        let rejection = request.rejection.clone();
        let desired = self.snapshot_for_resumption(now, &origin, !request.initial_versions.is_empty());
        let Some(proxy) = self.proxies.get_mut(&origin.proxy) else { return };
        let result = proxy.session.delta_request(origin.resource_type, request, &desired);
        self.request_finished(now, &origin, result, rejection);
    }

    /// Returns the proxy and the resource type of a request. Closes the stream if one of them cannot be served.
    fn identify_request(
        &mut self, now: Micros, stream: StreamId, node: Option<ProxyNode>, type_url: &str,
    ) -> Option<RequestOrigin> {
        let proxy = self.identify_proxy(now, stream, node)?;
        let Some(resource_type) = ResourceType::from_type_url(type_url) else {
            let type_url = truncate_and_escape(type_url);
            self.close_stream(now, stream, StreamError::UnknownResourceType { type_url });
            return None;
        };
        Some(RequestOrigin { stream, proxy, resource_type })
    }

    /// Returns the snapshot against which the first request of a resource type is compared to find the versions that
    /// the proxy already has. Later requests are not compared and get an empty snapshot. Marks the session as resumed
    /// if the first request names versions.
    fn snapshot_for_resumption(
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

    /// Counts the ACK or NACK in a request, records the grants that now apply and pushes further responses. Closes the
    /// stream if the request is invalid.
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
                let reason = truncate_and_escape(rejection.as_deref().unwrap_or(""));
                tracing::warn!(proxy = name, ?resource_type, reason, "proxy rejected a response");
            }
        }
        if origin.resource_type == ResourceType::Cluster {
            self.capacity_ledger.set_all(origin.proxy, &proxy.session.max_requests_in_force());
        }
        self.push(now, origin.proxy);
    }

    /// Handles a load report. `node` is required on the first report of a stream.
    pub fn load_report(
        &mut self, now: Micros, stream: StreamId, node: Option<ProxyNode>, report: LoadReportRequest,
    ) {
        let is_first = self.streams.get(&stream).is_some_and(|stream| stream.proxy.is_none());
        let Some(proxy) = self.identify_proxy(now, stream, node) else { return };
        if is_first {
            self.effects.push(Effect::RequestLoadReports(stream));
        }
        if report.endpoints.len() > MAX_REPORT_ENTRIES {
            return self.close_stream(now, stream, StreamError::TooManyLoadReportEntries);
        }
        match self.add_load_report(proxy, &report) {
            0 => self.metrics.load_reports.inc(),
            _ => self.metrics.load_reports_rejected.inc(),
        };
    }

    /// Adds the entries of a load report. Returns the number of entries that are invalid or name an unknown address.
    fn add_load_report(&mut self, proxy: ProxyId, report: &LoadReportRequest) -> usize {
        let interval = report.interval.unwrap_or(self.options.report_interval);
        let nodes: Option<BTreeMap<SocketAddr, NodeId>> =
            (report.endpoints.len() > MAX_LINEAR_SEARCH).then(|| self.endpoints.addresses().collect());
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

/// Truncates and escapes a text received from a proxy for a log line or an error message.
fn truncate_and_escape(text: &str) -> String {
    let start: String = text.chars().take(MAX_LOGGED_TEXT).collect();
    start.escape_debug().to_string()
}
