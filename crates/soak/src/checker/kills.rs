//! Which requests a router may leave unanswered since its process was killed.

use super::Judge;
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::router_process::Incident;

/// After SIGTERM a router still owes an answer to what comes in this time.
const OWED_AFTER_SIGTERM: Micros = 700 * MILLISECOND;
/// How long after the end of a process its clients may notice it.
const NOTICED_WITHIN: Micros = SECOND;

/// A kill of a router's process.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Kill {
    at: Micros,
    /// When the process had been told to end, if it had.
    terminated_at: Option<Micros>,
}

impl Judge<'_> {
    /// Whether a request that came at `asked_at` and was lost at `lost_at` may be lost since its router was killed:
    /// without notice, or if it came late enough after SIGTERM.
    pub(super) fn is_excused_by_kill(&self, router: usize, asked_at: Micros, lost_at: Micros) -> bool {
        let kills = kills(&self.cluster.routers[router].incidents);
        kills.iter().any(|kill| excuses(kill, asked_at, lost_at))
    }
}

fn excuses(kill: &Kill, asked_at: Micros, lost_at: Micros) -> bool {
    let crosses =
        kill.at <= lost_at && asked_at <= kill.at + NOTICED_WITHIN && lost_at <= kill.at + NOTICED_WITHIN;
    let is_owed = kill.terminated_at.is_some_and(|signal| asked_at <= signal + OWED_AFTER_SIGTERM);
    crosses && !is_owed
}

/// The kills of a router, each with the signal that its process had before.
fn kills(incidents: &[(Micros, Incident)]) -> Vec<Kill> {
    let mut terminated_at = None;
    let mut kills = Vec::new();
    for &(at, incident) in incidents {
        match incident {
            Incident::Started => terminated_at = None,
            Incident::Terminated => terminated_at = Some(at),
            Incident::Killed | Incident::Crashed => kills.push(Kill { at, terminated_at }),
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

    fn is_excused(incidents: &[(Micros, Incident)], asked_at: Micros, lost_at: Micros) -> bool {
        kills(incidents).iter().any(|kill| excuses(kill, asked_at, lost_at))
    }

    #[test]
    fn a_request_that_came_soon_after_sigterm_is_owed_an_answer_before_the_kill() {
        let incidents = [(0, Incident::Started), (SIGNAL, Incident::Terminated), (END, Incident::Killed)];
        assert!(!is_excused(&incidents, SIGNAL - SECOND, END));
        assert!(!is_excused(&incidents, SIGNAL + 700 * MILLISECOND, END));
        assert!(is_excused(&incidents, SIGNAL + 701 * MILLISECOND, END));
    }

    #[test]
    fn a_kill_without_notice_excuses_what_was_open_then() {
        let incidents = [(0, Incident::Started), (END, Incident::Killed)];
        assert!(is_excused(&incidents, END - 3 * SECOND, END + MILLISECOND));
        assert!(!is_excused(&incidents, END - 3 * SECOND, END - MILLISECOND), "it was lost before the kill");
        assert!(
            !is_excused(&incidents, END - 3 * SECOND, END + 2 * SECOND),
            "the kill was noticed long before"
        );
    }

    #[test]
    fn a_signal_to_the_process_before_does_not_count() {
        let incidents = [
            (0, Incident::Started),
            (SIGNAL, Incident::Terminated),
            (SIGNAL + SECOND, Incident::Exited),
            (SIGNAL + SECOND, Incident::Started),
            (END, Incident::Killed),
        ];
        assert!(is_excused(&incidents, SIGNAL + 600 * MILLISECOND, END));
    }
}
