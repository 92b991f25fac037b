//! Measurement of the iterations of the event loop: how long each took, and which connection took most of it.

use crate::io::{ConnectionId, IterationReport, TurnReport};
use balancer::Micros;

/// Iterations that take longer than this are logged.
const SLOW_ITERATION: Micros = 20_000;
/// The shortest time between two log lines about slow iterations.
const LOG_INTERVAL: Micros = 1_000_000;
/// The time between two samples of the bytes that connections hold.
const SAMPLE_INTERVAL: Micros = 1_000_000;

/// The measurements of the current iteration, and the times of the last log line and sample.
#[derive(Debug, Default)]
pub(super) struct IterationMonitor {
    started_at: Micros,
    /// The turn of a connection that took longest in the current iteration.
    longest_turn: Option<TurnReport>,
    /// The number of connections that had a turn in the current iteration.
    turns: usize,
    /// The time that the decision of the current iteration took, with the writes that follow from it.
    decision: Micros,
    logged_at: Micros,
    /// Slow iterations since the last log line.
    unlogged: u64,
    sampled_at: Micros,
}

impl IterationMonitor {
    /// Starts the measurement of an iteration.
    pub(super) fn begin(&mut self, now: Micros) {
        self.started_at = now;
        self.longest_turn = None;
        self.turns = 0;
        self.decision = 0;
    }

    /// Sets the time that the decision took.
    pub(super) fn set_decision(&mut self, duration: Micros) {
        self.decision = duration;
    }

    /// Adds the turn of a connection.
    pub(super) fn add_turn(&mut self, connection: ConnectionId, duration: Micros, requests: u64) {
        self.turns += 1;
        if self.longest_turn.is_none_or(|longest| duration > longest.duration) {
            self.longest_turn = Some(TurnReport { connection, duration, requests });
        }
    }

    /// Ends the measurement of an iteration, and logs it if it was slow.
    pub(super) fn end(&mut self, now: Micros) -> IterationReport {
        let report = IterationReport {
            duration: now - self.started_at,
            longest_turn: self.longest_turn,
            decision: self.decision,
        };
        if report.duration > SLOW_ITERATION {
            self.log_slow_iteration(now, &report);
        }
        report
    }

    /// Logs a slow iteration, unless another one was logged within [`LOG_INTERVAL`].
    fn log_slow_iteration(&mut self, now: Micros, report: &IterationReport) {
        self.unlogged += 1;
        if now - self.logged_at < LOG_INTERVAL {
            return;
        }
        let longest = report.longest_turn.unwrap_or_default();
        tracing::warn!(
            duration_us = report.duration,
            decision_us = report.decision,
            turns = self.turns,
            connection = longest.connection.0,
            turn_us = longest.duration,
            turn_requests = longest.requests,
            iterations = self.unlogged,
            "slow event loop iteration"
        );
        self.logged_at = now;
        self.unlogged = 0;
    }

    /// Returns whether the bytes that connections hold are to be sampled now.
    pub(super) fn take_sample_due(&mut self, now: Micros) -> bool {
        let is_due = now - self.sampled_at >= SAMPLE_INTERVAL;
        if is_due {
            self.sampled_at = now;
        }
        is_due
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn report_has_the_duration_and_the_longest_turn() {
        let mut monitor = IterationMonitor::default();
        monitor.begin(1_000);
        monitor.add_turn(ConnectionId(3), 40, 2);
        monitor.add_turn(ConnectionId(5), 900, 70);
        monitor.add_turn(ConnectionId(4), 60, 1);
        monitor.set_decision(70);
        let report = monitor.end(2_100);
        let longest = TurnReport { connection: ConnectionId(5), duration: 900, requests: 70 };
        assert_eq!(report, IterationReport { duration: 1_100, longest_turn: Some(longest), decision: 70 });
        monitor.begin(3_000);
        assert_eq!(monitor.end(3_001), IterationReport { duration: 1, longest_turn: None, decision: 0 });
    }

    #[test]
    fn samples_are_due_once_an_interval() {
        let mut monitor = IterationMonitor::default();
        let start = 10 * SAMPLE_INTERVAL;
        let due = [0, 1, SAMPLE_INTERVAL - 1, SAMPLE_INTERVAL, SAMPLE_INTERVAL + 1];
        assert_eq!(due.map(|at| monitor.take_sample_due(start + at)), [true, false, false, true, false]);
    }
}
