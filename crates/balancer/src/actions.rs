//! Operations that the balancer requests from a front end.

use crate::{AttemptId, Micros, NodeId, QueryId, ShardRequestId};

/// Final result of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The answered shards reach the completeness that the service class requires.
    Complete,
    /// The answered shards reach the minimum completeness of the class, but not the required one.
    Partial,
    /// The query was not executed or is safe to execute again; the client may retry it.
    Rejected {
        /// Recommended delay before the client's retry; `None` if no delay is sent to the client.
        retry_after: Option<Micros>,
    },
    /// The query was not answered and may have been executed in part.
    Failed,
}

/// Current health of a node, for front ends that configure other proxies. `capacity` is the number of shard
/// requests that all routers together may have in flight at the node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointHealth {
    /// The node accepts requests up to its capacity.
    Healthy {
        /// Maximum number of shard requests in flight.
        capacity: f64,
    },
    /// The node failed, and its later answers do not outweigh the failures yet.
    Suspect {
        /// Maximum number of shard requests in flight.
        capacity: f64,
    },
    /// The node started recently or was unreachable; its capacity is reduced.
    WarmingUp {
        /// Maximum number of shard requests in flight.
        capacity: f64,
        /// Fraction of a warm node's load that the node may receive.
        share: f64,
    },
    /// The node failed and receives no requests until this time.
    EjectedUntil(Micros),
    /// The node completes the requests in flight and accepts no new ones.
    Draining,
    /// The node is not in the endpoint list.
    Removed,
}

/// Operations that the balancer requests from a front end. Optional operations do nothing by default; a front end
/// overrides those that it supports.
#[allow(unused_variables, reason = "the default implementations ignore their parameters")]
pub trait Actions {
    /// Sends the next attempt of a shard request. All attempts sent to a node in one call of
    /// [`decide`](crate::Events::decide) share a batch. Without a `timeout`, the attempt times out at the
    /// query's deadline.
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, timeout: Option<Micros>);
    /// Cancels an attempt in flight; its end must still be reported.
    fn cancel_attempt(&mut self, attempt: AttemptId) {}
    /// Responds to a query with its result. If its class has a second step, the first `Complete` or `Partial`
    /// does not end the query: the shard requests of the second step follow.
    fn complete_query(&mut self, query: QueryId, completion: Completion);
    /// Releases the identifiers of a query and its shard requests for reuse: the query has ended and none of
    /// its attempts is in flight.
    fn release_query(&mut self, query: QueryId) {}
    /// Releases the identifier of a removed node for reuse: no attempt or query refers to it.
    fn release_node(&mut self, node: NodeId) {}
    /// Starts a timer that reports [`timer_expired`](crate::Events::timer_expired) with `token` after `delay`.
    fn set_timer(&mut self, delay: Micros, token: u64) {}
    /// Sends a health check to a node.
    fn check_health(&mut self, node: NodeId) {}
    /// Closes the idle connections to a node, so that the next attempt opens a new one.
    fn close_idle_connections(&mut self, node: NodeId) {}
    /// Starts or stops watching the endpoint list.
    fn watch_endpoints(&mut self, enabled: bool) {}
    /// Fetches the full endpoint list once.
    fn poll_endpoints(&mut self) {}
    /// Sends a gossip message to one peer, or to all if `peer` is `None`.
    fn send_gossip(&mut self, peer: Option<usize>, data: &[u8]) {}
    /// Logs a change of the operating mode, such as discovery becoming unreachable or canary attempts being
    /// enabled.
    fn log(&mut self, line: &str) {}
}
