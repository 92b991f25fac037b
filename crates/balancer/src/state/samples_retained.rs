//! Number of samples that are kept of each measurement.

/// Number of samples that are kept of each measurement.
pub struct SamplesRetained {
    /// Latencies across all nodes.
    pub latencies: usize,
    /// Latencies of each zone.
    pub zone_latencies: usize,
    /// Latencies of each node.
    pub node_latencies: usize,
    /// Outcomes of attempts at each node.
    pub node_failures: usize,
    /// Attempts sent to each node.
    pub node_sends: usize,
    /// Attempts sent to all nodes; also used for the retries and hedged attempts among them.
    pub sends: usize,
    /// Idle times of nodes before attempts.
    pub idle_times: usize,
    /// Arrivals of queries and shard requests.
    pub arrivals: usize,
    /// Arrivals of queries of each tenant.
    pub tenant_arrivals: usize,
    /// Answers and rejections of attempts.
    pub rejections: usize,
    /// Crashes of nodes.
    pub crashes: usize,
    /// Durations of the queries of each class.
    pub class_durations: usize,
    /// Timeouts that clients set for the queries of each class.
    pub class_query_timeouts: usize,
}
