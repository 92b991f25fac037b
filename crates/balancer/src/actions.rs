//! What the balancer asks of a front end.

use crate::{AttemptId, Micros, NodeId, QueryId, ShardRequestId};

/// The final answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// As many shards answered as the service class requires.
    Complete,
    /// Fewer shards answered than the class requires, but no fewer than its minimum.
    Partial,
    /// Not executed, or safe to execute again: the client may retry.
    Rejected {
        /// How long the client should wait before it retries, where that is advised.
        retry_after: Option<Micros>,
    },
    /// Not answered; it may have been executed in part.
    Failed,
}

/// The condition of a node at this instant, for front ends that pass decisions on to other proxies.
/// `capacity` is how many shard requests all routers together may have in flight there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointHealth {
    /// It may be used up to its capacity.
    Healthy {
        /// Shard requests that may be in flight.
        capacity: f64,
    },
    /// An error occurred and it has not answered since.
    Suspect {
        /// Shard requests that may be in flight.
        capacity: f64,
    },
    /// It started recently or was unreachable: its capacity is reduced.
    WarmingUp {
        /// Shard requests that may be in flight.
        capacity: f64,
        /// The share of a warm node's load that it can take.
        share: f64,
    },
    /// It failed repeatedly and is not used until this time.
    EjectedUntil(Micros),
    /// It finishes what it has and accepts nothing new.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// What the balancer asks of a front end. A front end may ignore what it does not support.
#[allow(unused_variables, reason = "the defaults ignore what they are asked")]
pub trait Actions {
    /// Sends the next attempt at a shard request. The attempts to one node of one decision share a batch.
    /// Without a `timeout` the attempt lasts until the query's deadline.
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, timeout: Option<Micros>);
    /// Cancels an attempt.
    fn cancel_attempt(&mut self, attempt: AttemptId) {}
    /// Gives the final answer. With a second step, the first `Complete` or `Partial` brings further shard
    /// requests instead.
    fn complete_query(&mut self, query: QueryId, completion: Completion);
    /// The query has ended and none of its attempts is in flight: its identifiers may be reused.
    fn release_query(&mut self, query: QueryId) {}
    /// The node was removed and nothing refers to it: its identifier may be reused.
    fn release_node(&mut self, node: NodeId) {}
    /// Reports [`timer_expired`](crate::Events::timer_expired) with `token` after `delay`.
    fn set_timer(&mut self, delay: Micros, token: u64) {}
    /// Checks the health of a node.
    fn check_health(&mut self, node: NodeId) {}
    /// Closes the idle connections to a node.
    fn close_idle_connections(&mut self, node: NodeId) {}
    /// Starts or ends a watch on the endpoint list.
    fn watch_endpoints(&mut self, enabled: bool) {}
    /// Fetches the full endpoint list once.
    fn poll_endpoints(&mut self) {}
    /// Sends a gossip message to one peer, or to all.
    fn send_gossip(&mut self, peer: Option<usize>, data: &[u8]) {}
    /// Logs a change of mode.
    fn log(&mut self, line: &str) {}
}
