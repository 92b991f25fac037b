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
    clients_arrived,
    clients_held_back,
    clients_turned_loose,
    requests_bad,
    requests_over_memory,
    retrievals_taken,
    retrievals_over_limit,
    retrievals_left_by_client,
    finished_whole,
    finished_part,
    deferred,
    given_up,
    shots_asked,
    shots_sent,
    calls_sent,
    calls_handed_over,
    shots_ok,
    shots_error,
    shots_turned_away,
    shots_overdue,
    shots_unreachable,
    shots_broken,
    shots_withdrawn,
    shots_unsent,
    shots_spoilt,
    answers_late,
    frames_bad,
    frames_beyond,
    links_opened,
    links_failed,
    links_closed_idle,
    probes_sent,
    lists_whole,
    lists_changes,
    lists_bad,
    lists_stale,
    watches_silent,
    discovery_calls,
    discovery_failures,
    sockets_most,
    turns,
    broken_invariants,
);

/// What must hold: a panic in debug builds, a count in release builds.
macro_rules! must {
    ($counters:expr, $holds:expr, $what:literal) => {
        if !$holds {
            debug_assert!(false, $what);
            $counters.broken_invariants += 1;
        }
    };
}
pub(crate) use must;
