//! Events that a front end reports to the balancer.

use crate::{Actions, AttemptId, Micros, NodeId, QueryId, ShardRequestId};

/// Outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node executed the attempt and returned its answer.
    Succeeded,
    /// The node responded with an error; the attempt may have been executed.
    ServerError,
    /// The node rejected the attempt without executing it.
    Rejected,
    /// No response arrived within the attempt's timeout; the attempt may have been executed.
    TimedOut,
    /// No connection to the node could be established, so the attempt was not executed.
    ConnectFailed,
    /// The connection was lost after the request was written; the attempt may have been executed.
    ConnectionLost,
    /// This router cancelled the attempt after it was sent; it may have been executed.
    Cancelled,
    /// The attempt was cancelled or lost before it was sent, so it was not executed.
    NotSent,
    /// The response could not be parsed; the attempt may have been executed.
    MalformedResponse,
}

impl AttemptOutcome {
    /// Returns whether the outcome proves that the attempt was not executed, so that a retry is safe in any
    /// service class.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// Kind of an endpoint update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The update contains the endpoints that changed.
    Incremental,
    /// The update contains all endpoints; an endpoint that is missing from it has been removed.
    Full,
    /// The update is the endpoint list that was cached before the start of the process; it may be outdated.
    Cached,
    /// The update is the endpoint list that was cached before the start of the process, and the front end is requesting
    /// the full list. Nodes may have been withdrawn since, so no attempt is sent until the full list has arrived or the
    /// wait for it is over.
    Provisional,
    /// A poll failed or the watch was lost; the update contains no endpoints.
    Failed,
}

/// State of an endpoint according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint completes the requests in flight and accepts no new ones.
    Draining,
    /// The endpoint no longer exists.
    Removed,
}

/// One endpoint of an update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The node at this endpoint.
    pub node: NodeId,
    /// Index of the endpoint's zone.
    pub zone: usize,
    /// Index of the replica set that the node belongs to.
    pub replica_set: usize,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Size of the node relative to others; 1 is the usual size.
    pub scale: f64,
    /// Start time of the node's process; 0 if it started long ago.
    pub started_at: Micros,
}

/// A query received from a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryArrival {
    /// Identifier of the query, allocated by the front end.
    pub query: QueryId,
    /// Index of the service class.
    pub class: usize,
    /// Index of the tenant that sent the query.
    pub tenant: usize,
    /// Time by which the query must be answered.
    pub deadline: Micros,
    /// Estimated work of all shard requests together; 0 if there is no estimate.
    pub work: Micros,
    /// Number of shard requests that are reported next.
    pub shard_requests: usize,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
}

/// One shard request of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardRequestArrival {
    /// Identifier of the shard request, allocated by the front end.
    pub shard_request: ShardRequestId,
    /// The query that the shard request belongs to.
    pub query: QueryId,
    /// Index of the requested shard.
    pub shard: usize,
    /// Share of the query's answer; the weights of a query's shard requests add up to 1.
    pub weight: f64,
    /// Estimated work; 0 if there is no estimate.
    pub work: Micros,
}

/// A load measurement reported by a node about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadMetric<'a> {
    /// Name of the metric.
    pub name: &'a str,
    /// Measured value, in the unit of the metric.
    pub value: f64,
}

/// End of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd<'a> {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Node that the attempt was sent to.
    pub node: NodeId,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time from sending to the end.
    pub latency: Micros,
    /// Load metrics that the node reported with its response; empty if there are none.
    pub load: &'a [LoadMetric<'a>],
}

/// Invalidation of a response, which makes the attempt one whose response could not be parsed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidatedResponse {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Node that the attempt was sent to.
    pub node: NodeId,
    /// Outcome that was reported: [`Succeeded`](AttemptOutcome::Succeeded) or [`Rejected`](AttemptOutcome::Rejected).
    pub outcome: AttemptOutcome,
    /// Time at which the attempt was sent.
    pub sent_at: Micros,
}

/// End of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckEnd<'a> {
    /// Node that was checked.
    pub node: NodeId,
    /// Outcome of the check.
    pub outcome: AttemptOutcome,
    /// Time from sending to the end.
    pub latency: Micros,
    /// Load metrics that the node reported with its response; empty if there are none.
    pub load: &'a [LoadMetric<'a>],
}

/// Totals of the requests that other proxies sent to a node since their last reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests that were answered.
    pub succeeded: f64,
    /// Number of requests that failed and may have been executed.
    pub failed: f64,
    /// Number of requests that were not executed because no connection could be established.
    pub connect_failures: f64,
    /// Number of requests in flight at the time of the report.
    pub in_flight: f64,
    /// Mean latency of the answered requests.
    pub mean_latency: Micros,
}

/// Events that a front end reports to the balancer. Simultaneous events are reported in their order, followed
/// by one call of [`decide`](Events::decide). `now` never decreases.
pub trait Events {
    /// An endpoint update has started; its endpoints follow.
    fn endpoint_update_started(&mut self, now: Micros, update: EndpointUpdate);
    /// Reports one endpoint of the current update.
    fn endpoint_listed(&mut self, now: Micros, endpoint: &Endpoint);
    /// The current endpoint update is complete and takes effect.
    fn endpoint_update_finished(&mut self, now: Micros, actions: &mut dyn Actions);
    /// Discovery has another address from now on, at which the front end has requested the endpoint list.
    fn discovery_address_changed(&mut self, now: Micros);
    /// A query has arrived; its shard requests follow before the next [`decide`](Events::decide).
    fn query_arrived(&mut self, now: Micros, arrival: &QueryArrival);
    /// A shard request of a reported query has arrived.
    fn shard_request_arrived(&mut self, now: Micros, arrival: &ShardRequestArrival);
    /// An attempt has ended.
    fn attempt_ended(&mut self, now: Micros, end: &AttemptEnd);
    /// The response to an attempt that has ended turned out to be malformed. Its query has not ended.
    fn response_invalidated(&mut self, _now: Micros, _invalidated: &InvalidatedResponse) {}
    /// Other proxies have reported the results of their requests to a node.
    fn load_reported(&mut self, _now: Micros, _node: NodeId, _report: &LoadReport) {}
    /// The client of a query has disconnected.
    fn client_disconnected(&mut self, now: Micros, query: QueryId);
    /// The front end is shutting down: open queries with a deadline after `answer_by` must be answered by
    /// `answer_by`.
    fn shutdown_started(&mut self, now: Micros, answer_by: Micros);
    /// A health check has ended.
    fn health_check_ended(&mut self, _now: Micros, _end: &HealthCheckEnd) {}
    /// A timer set with [`Actions::set_timer`] has expired.
    fn timer_expired(&mut self, now: Micros, token: u64);
    /// The response to an attempt of a streamed class has started and is being forwarded to the client.
    fn response_started(&mut self, _now: Micros, _attempt: AttemptId, _node: NodeId, _latency: Micros) {}
    /// Another router sent a gossip message.
    fn gossip_received(&mut self, _now: Micros, _peer: usize, _data: &[u8]) {}
    /// Makes all decisions that are due; every event up to `now` has been reported.
    fn decide(&mut self, now: Micros, actions: &mut dyn Actions);
}
