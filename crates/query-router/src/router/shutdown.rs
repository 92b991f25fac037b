//! Graceful shutdown, which SIGTERM starts. At first, clients that connect or send a request are still served. Later,
//! connections without a request are closed. Requests that are still open at the response deadline get an error
//! response.

use crate::router::timers::{Timer, Timers};
use balancer::Micros;

/// The time between SIGTERM and the close of idle connections. Clients detect the shutdown with a delay, which this
/// covers together with the tolerance of 50 ms by which the platform's protocol extends each time limit.
pub const IDLE_CLOSE_DELAY: Micros = 450_000;
/// The platform kills the process this long after SIGTERM plus the longest deadline of any service class.
pub const KILL_DELAY: Micros = 700_000;
/// The upper limit on the deadline that is added to [`KILL_DELAY`].
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// The time between the response deadline and the kill: twice the protocol's tolerance of 50 ms.
const RESPONSE_MARGIN: Micros = 100_000;

/// The time from the response deadline to an exit beside connected clients, in which responses are written.
const EXIT_DELAY: Micros = 20_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
enum Phase {
    #[default]
    Running,
    /// SIGTERM was received; new connections and requests are still served.
    Draining,
    /// Connections without a request are closed.
    ClosingIdle,
}

/// The phase of a graceful shutdown and its response deadline.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: Phase,
    response_deadline: Option<Micros>,
}

impl Shutdown {
    /// Starts a graceful shutdown. Returns false if one has already started.
    pub fn begin(&mut self, timers: &mut Timers, now: Micros, longest_deadline: Micros) -> bool {
        if self.has_begun() {
            return false;
        }
        self.phase = Phase::Draining;
        let killed_at = now + KILL_DELAY + longest_deadline.min(MAX_COUNTED_DEADLINE);
        let response_deadline = killed_at - RESPONSE_MARGIN;
        self.response_deadline = Some(response_deadline);
        timers.insert(now + IDLE_CLOSE_DELAY, Timer::CloseIdleClients);
        timers.insert(response_deadline, Timer::ResponseDeadline);
        true
    }

    /// Starts the phase in which connections without a request are closed.
    pub fn begin_closing_idle(&mut self) {
        self.phase = Phase::ClosingIdle;
    }

    /// Returns whether a graceful shutdown has started.
    pub fn has_begun(&self) -> bool {
        self.phase >= Phase::Draining
    }

    /// Returns whether the shutdown has reached the phase in which connections without a request are closed.
    pub fn closes_idle_connections(&self) -> bool {
        self.phase == Phase::ClosingIdle
    }

    /// Returns whether the response deadline has passed, so that all requests in time have their responses.
    pub fn is_over(&self, now: Micros) -> bool {
        self.response_deadline.is_some_and(|at| now >= at + EXIT_DELAY)
    }

    /// Returns the time by which every request must have its response; `None` before a shutdown starts.
    pub fn response_deadline(&self) -> Option<Micros> {
        self.response_deadline
    }
}
