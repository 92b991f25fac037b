//! How many samples of each measurement are kept.

/// How many samples of each measurement are kept.
pub struct SamplesRetained {
    /// Latencies of all nodes.
    pub latencies: usize,
    /// Latencies of each zone.
    pub zone_latencies: usize,
    /// Latencies of each node.
    pub node_latencies: usize,
    /// Ends of attempts at each node.
    pub node_failures: usize,
    /// Sends to each node.
    pub node_sends: usize,
    /// Sends to all nodes, and retries and hedged attempts among them.
    pub sends: usize,
    /// Idle times before attempts.
    pub idle_times: usize,
    /// Queries and shard requests that arrived.
    pub arrivals: usize,
    /// Queries of each tenant.
    pub tenant_arrivals: usize,
    /// Answers and rejections.
    pub rejections: usize,
    /// Crashes of nodes.
    pub crashes: usize,
    /// Durations of the queries of each class.
    pub class_durations: usize,
    /// Times that clients left for the queries of each class.
    pub class_query_timeouts: usize,
}
