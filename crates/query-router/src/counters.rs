//! Counters of what was received, sent and answered, and of violated invariants. They are printed on SIGUSR1 and at the
//! exit, and served under `/-/counters`.

use std::fmt::Write;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The counters of a router since its start.
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: u64),* }

        impl Counters {
            /// One line for each counter: its name and its value.
            pub fn lines(&self) -> String {
                let mut text = String::new();
                $(let _ = writeln!(text, "{} {}", stringify!($name), self.$name);)*
                text
            }
        }
    };
}

counters!(
    /// Connections of clients that were accepted.
    client_connections_arrived,
    /// Connections of clients that had to wait for a free socket.
    client_connections_delayed,
    /// Idle connections of clients that were closed to make room for others.
    client_connections_evicted,
    /// Requests that were malformed or whose query was invalid.
    requests_invalid,
    /// Requests that were rejected while incomplete, since incomplete requests together took too much memory.
    requests_over_memory,
    /// Requests that stayed incomplete and were given up.
    client_requests_stalled,
    /// Answers that their clients did not read in time.
    client_answers_unread,
    /// Queries that were accepted and reported to the balancer.
    queries_accepted,
    /// Queries that were rejected because too many queries and shard requests were in flight.
    queries_over_limit,
    /// Queries whose client disconnected before the answer.
    queries_abandoned_by_client,
    /// Queries that were answered in full.
    queries_complete,
    /// Queries that were answered in part.
    queries_partial,
    /// Queries that were rejected and are safe to retry.
    queries_rejected,
    /// Queries that failed and may have been executed.
    queries_failed,
    /// Attempts that the balancer requested.
    attempts_requested,
    /// Further attempts at shard requests of which no attempt was in flight.
    attempts_retried,
    /// Further attempts at shard requests while one was in flight.
    attempts_hedged,
    /// Attempts that were handed to a connection for writing.
    attempts_sent,
    /// Batches that were handed to a connection for writing.
    batches_sent,
    /// Batches that moved from a connection that was not yet established to an idle one.
    batches_reassigned,
    /// Attempts that gave a value.
    attempts_succeeded,
    /// Attempts that the node answered with an error.
    attempts_server_error,
    /// Attempts that the node rejected without executing them.
    attempts_rejected,
    /// Attempts that were not answered in time.
    attempts_timed_out,
    /// Attempts whose connection could not be established.
    attempts_connect_failed,
    /// Attempts whose connection ended after they were written.
    attempts_connection_lost,
    /// Attempts that were cancelled after they were written.
    attempts_cancelled,
    /// Attempts that ended before they were completely written.
    attempts_not_sent,
    /// Attempts whose response could not be parsed.
    attempts_malformed_response,
    /// Responses to shard requests that were not in flight on their connection.
    responses_late,
    /// Frames that could not be parsed while an attempt was in flight on their connection, and notices of nodes that
    /// they could not parse a frame.
    frames_malformed,
    /// Frames that could not be parsed while no attempt was in flight on their connection.
    frames_unexpected,
    /// Connections to nodes that were begun.
    node_connections_opened,
    /// Times that this machine lacked something to open a connection to a node.
    node_connections_delayed,
    /// Connections to nodes that were never established.
    node_connections_failed,
    /// Connections to nodes that were closed while idle.
    node_connections_closed_idle,
    /// Health checks that were handed to a connection for writing.
    health_checks_sent,
    /// Full endpoint lists that were applied, the one known at the start included.
    endpoint_lists_full,
    /// Incremental endpoint lists that were applied.
    endpoint_lists_incremental,
    /// Answers of discovery that could not be used.
    endpoint_lists_invalid,
    /// Endpoint lists that were skipped because a newer one had been applied before.
    endpoint_lists_stale,
    /// Watches that sent nothing for too long and were replaced.
    endpoint_watches_silent,
    /// Polls and watches that were begun.
    discovery_requests,
    /// Polls and watches that failed.
    discovery_failures,
    /// The most connections that were open at a time.
    sockets_peak,
    /// Decisions of the balancer.
    decisions,
    /// Violated invariants. Any value but 0 is a fault of the router.
    invariants_violated,
);

/// Checks an invariant: panics in debug builds if it is violated, counts the violation in release builds.
macro_rules! debug_invariant {
    ($counters:expr, $holds:expr, $what:literal) => {
        if !$holds {
            debug_assert!(false, $what);
            $counters.invariants_violated += 1;
        }
    };
}
pub(crate) use debug_invariant;
