//! Decides which requests may lack a response because the process of their router was killed.

use super::Checker;
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::router_process::RouterEvent;

/// A router has to respond to requests that arrive within this time after SIGTERM.
const ACCEPTED_AFTER_SIGTERM: Micros = 700 * MILLISECOND;
/// How long after the end of a process its clients may detect it.
const DETECTION_TIMEOUT: Micros = SECOND;

/// A kill or a crash of a router's process.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Kill {
    at: Micros,
    /// Time of the first SIGTERM to the process; `None` if there was none.
    terminated_at: Option<Micros>,
}

impl Checker<'_> {
    /// Returns whether a request that was sent at `requested_at` and lost at `lost_at` may be lost because its router
    /// was killed or crashed, either without SIGTERM or with the request sent late enough after SIGTERM.
    pub(super) fn is_excused_by_kill(&self, router: usize, requested_at: Micros, lost_at: Micros) -> bool {
        let kills = kills(&self.cluster.routers[router].events);
        kills.iter().any(|kill| excuses(kill, requested_at, lost_at))
    }
}

fn excuses(kill: &Kill, requested_at: Micros, lost_at: Micros) -> bool {
    let overlaps_kill = kill.at <= lost_at
        && requested_at <= kill.at + DETECTION_TIMEOUT
        && lost_at <= kill.at + DETECTION_TIMEOUT;
    let must_be_answered =
        kill.terminated_at.is_some_and(|signal| requested_at <= signal + ACCEPTED_AFTER_SIGTERM);
    overlaps_kill && !must_be_answered
}

/// Returns the kills and crashes of a router, each with the time of SIGTERM to the same process.
fn kills(events: &[(Micros, RouterEvent)]) -> Vec<Kill> {
    let mut terminated_at = None;
    let mut kills = Vec::new();
    for &(at, event) in events {
        match event {
            RouterEvent::Started => terminated_at = None,
            RouterEvent::Terminated => terminated_at = Some(at),
            RouterEvent::Killed | RouterEvent::Crashed => kills.push(Kill { at, terminated_at }),
            _ => {}
        }
    }
    kills
}

#[cfg(test)]
mod tests {
    use super::*;

    const SIGNAL: Micros = 100 * SECOND;
    const END: Micros = SIGNAL + 3700 * MILLISECOND;

    fn is_excused(events: &[(Micros, RouterEvent)], requested_at: Micros, lost_at: Micros) -> bool {
        kills(events).iter().any(|kill| excuses(kill, requested_at, lost_at))
    }

    #[test]
    fn a_request_sent_soon_after_sigterm_must_get_a_response_before_the_kill() {
        let events =
            [(0, RouterEvent::Started), (SIGNAL, RouterEvent::Terminated), (END, RouterEvent::Killed)];
        assert!(!is_excused(&events, SIGNAL - SECOND, END));
        assert!(!is_excused(&events, SIGNAL + 700 * MILLISECOND, END));
        assert!(is_excused(&events, SIGNAL + 701 * MILLISECOND, END));
    }

    #[test]
    fn a_kill_without_sigterm_excuses_the_requests_in_flight() {
        let events = [(0, RouterEvent::Started), (END, RouterEvent::Killed)];
        assert!(is_excused(&events, END - 3 * SECOND, END + MILLISECOND));
        assert!(!is_excused(&events, END - 3 * SECOND, END - MILLISECOND), "lost before the kill");
        assert!(!is_excused(&events, END - 3 * SECOND, END + 2 * SECOND), "lost long after the kill");
    }

    #[test]
    fn sigterm_to_a_previous_process_does_not_count() {
        let events = [
            (0, RouterEvent::Started),
            (SIGNAL, RouterEvent::Terminated),
            (SIGNAL + SECOND, RouterEvent::Exited),
            (SIGNAL + SECOND, RouterEvent::Started),
            (END, RouterEvent::Killed),
        ];
        assert!(is_excused(&events, SIGNAL + 600 * MILLISECOND, END));
    }
}
