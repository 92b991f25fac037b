//! Graceful shutdown, which SIGTERM begins. Clients that connect or send a request meanwhile are still served, then
//! idle connections are closed, and what is not answered by the deadline is answered with an error.

use crate::router::timers::{Timer, Timers};
use balancer::Micros;

/// For how long idle connections are kept, since clients notice the shutdown late; includes the protocol's slack.
pub const IDLE_CLOSE_DELAY: Micros = 450_000;
/// The platform kills the process this long after SIGTERM, plus the longest deadline of a service class.
pub const KILL_DELAY: Micros = 700_000;
/// The upper limit on the deadline that is added to [`KILL_DELAY`].
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// How long before the kill everything is answered: twice the protocol's slack.
const ANSWER_MARGIN: Micros = 100_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
enum Phase {
    #[default]
    Running,
    /// New connections and requests are still served.
    Draining,
    /// Connections without a request are closed.
    ClosingIdle,
}

/// The progress of a graceful shutdown.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: Phase,
    answer_deadline: Option<Micros>,
}

impl Shutdown {
    /// Begins a graceful shutdown; false if it had begun before.
    pub fn begin(&mut self, timers: &mut Timers, now: Micros, longest_deadline: Micros) -> bool {
        if self.has_begun() {
            return false;
        }
        self.phase = Phase::Draining;
        let killed_at = now + KILL_DELAY + longest_deadline.min(MAX_COUNTED_DEADLINE);
        let answer_deadline = killed_at - ANSWER_MARGIN;
        self.answer_deadline = Some(answer_deadline);
        timers.insert(now + IDLE_CLOSE_DELAY, Timer::CloseIdleClients);
        timers.insert(answer_deadline, Timer::AnswerDeadline);
        true
    }

    /// Begins the phase in which connections without a request are closed.
    pub fn close_idle(&mut self) {
        self.phase = Phase::ClosingIdle;
    }

    /// Whether a graceful shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.phase >= Phase::Draining
    }

    /// Whether connections without a request are closed.
    pub fn closes_idle(&self) -> bool {
        self.phase == Phase::ClosingIdle
    }

    /// The time by which everything is answered.
    pub fn answer_deadline(&self) -> Option<Micros> {
        self.answer_deadline
    }
}
