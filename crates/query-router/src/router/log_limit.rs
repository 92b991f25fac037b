//! Limit on log lines that a peer can cause.

use balancer::Micros;

/// The most lines of one kind in an interval.
const MAX_LINES: u64 = 20;
/// The interval in which lines are counted, in microseconds.
const INTERVAL: Micros = 1_000_000;

/// The log lines of one kind that were written in the current interval.
#[derive(Debug, Default)]
pub struct LogLimit {
    interval_start: Micros,
    lines: u64,
    suppressed: u64,
}

impl LogLimit {
    /// Returns whether a line may be written now: the number of lines that were suppressed since the last one, or `None`
    /// if this one is suppressed too.
    pub fn admit(&mut self, now: Micros) -> Option<u64> {
        if now - self.interval_start >= INTERVAL {
            self.interval_start = now;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_beyond_the_limit_are_suppressed_and_counted() {
        let mut limit = LogLimit::default();
        let start = 10 * INTERVAL;
        assert!((0..MAX_LINES).all(|_| limit.admit(start) == Some(0)));
        assert_eq!([limit.admit(start), limit.admit(start + INTERVAL - 1)], [None, None]);
        assert_eq!(limit.admit(start + INTERVAL), Some(2));
        assert_eq!(limit.admit(start + INTERVAL), Some(0));
    }
}
