//! Counts of what was taken in, sent and answered, and of what must never be.

use std::fmt::Write;

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        #[derive(Debug, Default)]
        pub struct Counters { $(pub $name: u64),* }

        impl Counters {
            /// One line a counter: its name and its figure.
            pub fn lines(&self) -> String {
                let mut text = String::new();
                $(let _ = writeln!(text, "{} {}", stringify!($name), self.$name);)*
                text
            }
        }
    };
}

counters!(
    client_connections_arrived,
    client_connections_delayed,
    client_connections_evicted,
    requests_invalid,
    requests_over_memory,
    queries_accepted,
    queries_over_limit,
    queries_abandoned_by_client,
    queries_complete,
    queries_partial,
    queries_rejected,
    queries_failed,
    attempts_requested,
    attempts_sent,
    batches_sent,
    batches_reassigned,
    attempts_succeeded,
    attempts_server_error,
    attempts_rejected,
    attempts_timed_out,
    attempts_connect_failed,
    attempts_connection_lost,
    attempts_cancelled,
    attempts_not_sent,
    attempts_malformed_response,
    responses_late,
    frames_malformed,
    frames_unexpected,
    node_connections_opened,
    node_connections_failed,
    node_connections_closed_idle,
    health_checks_sent,
    endpoint_lists_full,
    endpoint_lists_incremental,
    endpoint_lists_invalid,
    endpoint_lists_stale,
    endpoint_watches_silent,
    discovery_requests,
    discovery_failures,
    sockets_peak,
    decisions,
    invariants_violated,
);

/// What must hold: a panic in debug builds, a count in release builds.
macro_rules! debug_invariant {
    ($counters:expr, $holds:expr, $what:literal) => {
        if !$holds {
            debug_assert!(false, $what);
            $counters.invariants_violated += 1;
        }
    };
}
pub(crate) use debug_invariant;
