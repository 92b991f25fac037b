//! Counters of requests, attempts, connections and discovery, and of violated invariants. They are printed on SIGUSR1
//! and at exit, and served at `/-/counters`.

use crate::io::{BufferSizes, IterationReport};
use balancer::Micros;
use std::fmt::Write;

/// The bounds above which the counters of long iterations and old requests count.
const LONG_ITERATIONS: [Micros; 2] = [10_000, 50_000];
/// The age from which a request counts as old when it is first handled.
const OLD_REQUEST_AGE: Micros = 50_000;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The event counts of a router since its start.
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: u64),* }

        impl Counters {
            /// Returns one line per counter: the name, a space and the value.
            pub fn lines(&self) -> String {
                let mut text = String::new();
                $(let _ = writeln!(text, "{} {}", stringify!($name), self.$name);)*
                text
            }
        }
    };
}

counters!(
    /// Client connections that were accepted.
    client_connections_arrived,
    /// Client connections that had to wait for a free socket.
    client_connections_delayed,
    /// Evictions of idle client connections to make room for others; a connection with unread input stays open.
    client_connections_evicted,
    /// Requests of clients of any kind that were handled, malformed ones included.
    client_requests,
    /// Requests that arrived more than 50 ms before they were first handled.
    client_requests_old,
    /// The longest time between the arrival of a request and its first handling, in microseconds.
    client_request_age_max_us,
    /// The highest number of requests that one connection had in one turn.
    client_requests_per_turn_max,
    /// Requests that were malformed or contained an invalid query.
    requests_invalid,
    /// Times at which the unconsumed bytes of a client were discarded, because those of all clients exceeded their share of
    /// the memory limit and this client had the most.
    requests_over_memory,
    /// Requests that timed out before they were received completely.
    client_requests_stalled,
    /// Answers that the client did not read in time.
    client_answers_unread,
    /// Queries that were accepted and passed to the balancer.
    queries_accepted,
    /// Queries that were rejected because too many queries and shard requests were in flight.
    queries_over_limit,
    /// Queries that were rejected because queries in progress and unread responses took their share of the memory limit.
    queries_over_memory,
    /// Queries whose id belonged to a query in progress, or to one that may have been executed and is not idempotent.
    queries_with_used_id,
    /// Incomplete requests that were rejected because another client waited for a file descriptor.
    requests_rejected_for_descriptor,
    /// Queries whose client disconnected before the answer.
    queries_abandoned_by_client,
    /// Queries that were answered completely.
    queries_complete,
    /// Queries that were answered partially.
    queries_partial,
    /// Queries that were rejected and are safe to retry.
    queries_rejected,
    /// Queries that failed and may have been executed.
    queries_failed,
    /// Attempts that the balancer requested.
    attempts_requested,
    /// Retries: further attempts at a shard request that had no attempt in flight.
    attempts_retried,
    /// Hedged attempts: further attempts at a shard request that had another attempt in flight.
    attempts_hedged,
    /// Attempts that were passed to the event loop for writing.
    attempts_sent,
    /// Batches that were passed to the event loop for writing.
    batches_sent,
    /// Batches that were moved from a connection that was still being established to an idle one.
    batches_reassigned,
    /// Attempts that returned a value.
    attempts_succeeded,
    /// Attempts to which the node responded with an error.
    attempts_server_error,
    /// Attempts that the node rejected without executing them.
    attempts_rejected,
    /// Attempts that received no response in time.
    attempts_timed_out,
    /// Attempts whose connection could not be established.
    attempts_connect_failed,
    /// Attempts whose connection was closed or failed after they were written.
    attempts_connection_lost,
    /// Attempts that were cancelled after they were written.
    attempts_cancelled,
    /// Attempts that ended before they were written completely.
    attempts_not_sent,
    /// Attempts whose response could not be parsed.
    attempts_malformed_response,
    /// Responses to shard requests that were not in flight on the connection.
    responses_late,
    /// Responses that were not used because the bytes after them may belong to their value.
    responses_ambiguous,
    /// Responses that were invalidated before their query ended, because bytes received later may belong to their value.
    responses_invalidated,
    /// Responses after whose use bytes were received that may belong to their value: their query had ended, or another
    /// attempt had returned the value.
    responses_ambiguous_after_use,
    /// Responses that were used although they were followed by the same response again, or by bytes that belong neither
    /// to their value nor to another frame.
    responses_with_surplus_bytes,
    /// Frames that were malformed or not received completely in time while an attempt was in flight on the connection,
    /// and notices from nodes that they could not parse a frame.
    frames_malformed,
    /// Frames that were malformed or not received completely in time while no attempt was in flight on the connection.
    frames_unexpected,
    /// Connections to nodes that the router started to open.
    node_connections_opened,
    /// Failures to start a connection to a node due to a local shortage, such as of ports or file descriptors. Each
    /// failed retry counts again.
    node_connections_delayed,
    /// Connections to nodes that were never established.
    node_connections_failed,
    /// Connections to nodes that were closed while idle.
    node_connections_closed_idle,
    /// Connections to draining, removed or moved nodes that were closed because they had unwritten bytes.
    node_connections_abandoned,
    /// Health checks that were passed to the event loop for writing.
    health_checks_sent,
    /// Full endpoint lists that were applied, including the cached one from the configuration.
    endpoint_lists_full,
    /// Incremental endpoint updates that were applied.
    endpoint_lists_incremental,
    /// Responses of discovery that could not be used.
    endpoint_lists_invalid,
    /// Endpoint lists that were skipped because a newer revision was already applied.
    endpoint_lists_stale,
    /// Endpoint lists and updates with a lower revision than an earlier one, which made no node ready.
    endpoint_lists_older,
    /// Times at which entries of an incomplete endpoint list or update were applied.
    endpoint_lists_partial,
    /// Entries of endpoint lists that were invalid, had an address that could not be parsed, or were beyond the limit on
    /// endpoints.
    endpoint_entries_unusable,
    /// The revision of the last endpoint list or update that was applied.
    endpoint_list_revision,
    /// Watches that were restarted because no complete message followed the previous one in time.
    endpoint_watches_silent,
    /// Watches that were started beside open ones because these were overdue.
    endpoint_watches_additional,
    /// Polls and watches that were started.
    discovery_requests,
    /// Polls and watches that failed.
    discovery_failures,
    /// Polls and watches that failed because discovery responded with a status other than 200.
    discovery_requests_unavailable,
    /// Polls and watches that failed because no complete message arrived in time.
    discovery_requests_timed_out,
    /// Polls and watches that could not be started because no file descriptor was left for them.
    discovery_requests_without_descriptor,
    /// The highest number of connections open at the same time.
    sockets_peak,
    /// Iterations of the event loop.
    iterations,
    /// The time that all iterations took, without the waits for events, in microseconds.
    iterations_total_us,
    /// The time that the longest iteration took, in microseconds.
    iteration_max_us,
    /// Iterations that took more than 10 ms.
    iterations_over_10_ms,
    /// Iterations that took more than 50 ms.
    iterations_over_50_ms,
    /// The longest time that one connection took in an iteration, in microseconds.
    turn_max_us,
    /// The longest time that a decision took, with the writes that follow from it, in microseconds.
    decision_max_us,
    /// Bytes in the input buffers of clients, with unused capacity; sampled once a second, as are the next five.
    client_input_bytes,
    /// The highest sample of `client_input_bytes`.
    client_input_bytes_max,
    /// Bytes of answers that clients have not read.
    client_output_bytes,
    /// The highest sample of `client_output_bytes`.
    client_output_bytes_max,
    /// Bytes in the input and output buffers of data nodes and of discovery.
    upstream_buffer_bytes,
    /// Bytes of the texts and values of queries.
    query_bytes,
    /// Queries in progress, sampled once a second.
    queries_open,
    /// Decisions made by the balancer.
    decisions,
    /// Violated invariants. A value other than 0 is a bug in the router.
    invariants_violated,
);

impl Counters {
    /// Counts an iteration of the event loop.
    pub fn record_iteration(&mut self, report: &IterationReport) {
        let duration = report.duration.max(0);
        self.iterations += 1;
        self.iterations_total_us += duration as u64;
        self.iteration_max_us = self.iteration_max_us.max(duration as u64);
        self.iterations_over_10_ms += u64::from(duration > LONG_ITERATIONS[0]);
        self.iterations_over_50_ms += u64::from(duration > LONG_ITERATIONS[1]);
        self.decision_max_us = self.decision_max_us.max(report.decision.max(0) as u64);
        if let Some(turn) = report.longest_turn {
            self.turn_max_us = self.turn_max_us.max(turn.duration.max(0) as u64);
            self.client_requests_per_turn_max = self.client_requests_per_turn_max.max(turn.requests);
        }
    }

    /// Counts a request of a client that is handled `age` after its arrival.
    pub fn record_request(&mut self, age: Micros) {
        self.client_requests += 1;
        self.client_requests_old += u64::from(age > OLD_REQUEST_AGE);
        self.client_request_age_max_us = self.client_request_age_max_us.max(age.max(0) as u64);
    }

    /// Records a sample of the bytes that buffers and queries hold.
    pub fn record_buffer_sizes(&mut self, sizes: BufferSizes, query_bytes: usize) {
        self.client_input_bytes = sizes.client_input as u64;
        self.client_input_bytes_max = self.client_input_bytes_max.max(self.client_input_bytes);
        self.client_output_bytes = sizes.client_output as u64;
        self.client_output_bytes_max = self.client_output_bytes_max.max(self.client_output_bytes);
        self.upstream_buffer_bytes = sizes.upstream as u64;
        self.query_bytes = query_bytes as u64;
    }
}

/// Checks an invariant. A violation panics in debug builds and increments `invariants_violated` in release builds.
macro_rules! debug_invariant {
    ($counters:expr, $condition:expr, $message:literal) => {
        if !$condition {
            debug_assert!(false, $message);
            $counters.invariants_violated += 1;
        }
    };
}
pub(crate) use debug_invariant;
