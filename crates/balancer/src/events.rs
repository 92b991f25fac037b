//! What a front end reports to the balancer.

use crate::{Actions, AttemptId, Micros, NodeId, QueryId, ShardRequestId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node answered with a value.
    Succeeded,
    /// The node answered with an error; the attempt may have been executed.
    ServerError,
    /// The node rejected it without executing it.
    Rejected,
    /// No answer came within the attempt's timeout; the attempt may have been executed.
    TimedOut,
    /// No connection to the node could be established, so nothing was executed.
    ConnectFailed,
    /// The connection was lost after the request was written; the attempt may have been executed.
    ConnectionLost,
    /// Cancelled by this router after it was sent; the attempt may have been executed.
    Cancelled,
    /// Cancelled or lost before it was sent, so nothing was executed.
    NotSent,
    /// The response could not be parsed; the attempt may have been executed.
    MalformedResponse,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the attempt was never executed, so that a retry is safe in any class.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// What an endpoint update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The endpoints that changed.
    Incremental,
    /// All endpoints: one that is not named has been removed.
    Full,
    /// The endpoint list cached from before the start; it may be outdated.
    Cached,
    /// A poll failed or the watch was lost; no endpoint follows.
    Failed,
}

/// The state of an endpoint according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It finishes what it has and accepts nothing new.
    Draining,
    /// It no longer exists.
    Removed,
}

/// One endpoint of an update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The node at this endpoint.
    pub node: NodeId,
    /// Index of its zone.
    pub zone: usize,
    /// Index of the replica set that it belongs to.
    pub replica_set: usize,
    /// Whether it may be used.
    pub state: EndpointState,
    /// Its size relative to others.
    pub scale: f64,
    /// When its process started, 0 for long ago.
    pub started_at: Micros,
}

/// A query that a client has sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryArrival {
    /// The query.
    pub query: QueryId,
    /// Index of its service class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// The time by which it must be answered.
    pub deadline: Micros,
    /// An estimate of the work of all its shard requests, 0 where there is none.
    pub work: Micros,
    /// How many shard requests follow.
    pub shard_requests: usize,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
}

/// One shard request of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardRequestArrival {
    /// The shard request.
    pub shard_request: ShardRequestId,
    /// The query that it belongs to.
    pub query: QueryId,
    /// Index of the shard that it asks for.
    pub shard: usize,
    /// Its share of the query's answer; the weights of a query add up to 1.
    pub weight: f64,
    /// An estimate of its work, 0 where there is none.
    pub work: Micros,
}

/// A figure that a node reports about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadMetric<'a> {
    /// What is measured.
    pub name: &'a str,
    /// The measured value.
    pub value: f64,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd<'a> {
    /// The attempt.
    pub attempt: AttemptId,
    /// The node that it was sent to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The time since it was sent.
    pub latency: Micros,
    /// The load that the node reported with it, if any.
    pub load: &'a [LoadMetric<'a>],
}

/// The end of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckEnd<'a> {
    /// The node that was checked.
    pub node: NodeId,
    /// How the check ended.
    pub outcome: AttemptOutcome,
    /// The time since it was sent.
    pub latency: Micros,
    /// The load that the node reported with it, if any.
    pub load: &'a [LoadMetric<'a>],
}

/// What other proxies observed at a node since their last report, in sums.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that were answered.
    pub succeeded: f64,
    /// Requests that ended otherwise; they may have been executed.
    pub failed: f64,
    /// Requests that were never executed because no connection could be established.
    pub connect_failures: f64,
    /// Requests in flight now.
    pub in_flight: f64,
    /// The mean latency of those answered.
    pub mean_latency: Micros,
}

/// What a front end reports to the balancer. Events of one instant are reported in their order, then
/// [`decide`](Events::decide) is called once. `now` never decreases.
pub trait Events {
    /// An endpoint update begins; its endpoints follow.
    fn endpoint_update_started(&mut self, now: Micros, update: EndpointUpdate);
    /// One endpoint of the update that has begun.
    fn endpoint_listed(&mut self, now: Micros, endpoint: &Endpoint);
    /// The endpoint update is complete.
    fn endpoint_update_finished(&mut self, now: Micros, actions: &mut dyn Actions);
    /// A query has arrived; its shard requests follow before the next [`decide`](Events::decide).
    fn query_arrived(&mut self, now: Micros, arrival: &QueryArrival);
    /// A shard request of a query that has arrived.
    fn shard_request_arrived(&mut self, now: Micros, arrival: &ShardRequestArrival);
    /// An attempt has ended.
    fn attempt_ended(&mut self, now: Micros, end: &AttemptEnd);
    /// Other proxies reported what they observed at a node.
    fn load_reported(&mut self, _now: Micros, _node: NodeId, _report: &LoadReport) {}
    /// The client of a query has disconnected.
    fn client_disconnected(&mut self, now: Micros, query: QueryId);
    /// The front end ends soon: every open query must be answered by `answer_by`, if its deadline is later.
    fn shutdown_started(&mut self, now: Micros, answer_by: Micros);
    /// A health check has ended.
    fn health_check_ended(&mut self, _now: Micros, _end: &HealthCheckEnd) {}
    /// A timer set with [`Actions::set_timer`] has expired.
    fn timer_expired(&mut self, now: Micros, token: u64);
    /// The response to an attempt of a streamed class has begun and is being passed to the client.
    fn response_started(&mut self, _now: Micros, _attempt: AttemptId, _node: NodeId, _latency: Micros) {}
    /// Another router sent a gossip message.
    fn gossip_received(&mut self, _now: Micros, _peer: usize, _data: &[u8]) {}
    /// Everything that happened by `now` has been reported: decide what to do.
    fn decide(&mut self, now: Micros, actions: &mut dyn Actions);
}
