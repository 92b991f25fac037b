//! The clock of the event loop.

use balancer::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock in Unix microseconds that never goes backwards: the wall clock is read once, and elapsed monotonic time is
/// added to it.
pub(super) struct Clock {
    /// The wall-clock time at the creation of the clock, in Unix microseconds.
    unix_start: Micros,
    /// The monotonic time at the creation of the clock.
    monotonic_start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time.
    pub(super) fn new() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: unix_time.as_micros() as Micros, monotonic_start: Instant::now() }
    }

    /// Returns the current time in Unix microseconds.
    pub(super) fn now(&self) -> Micros {
        self.unix_start + self.monotonic_start.elapsed().as_micros() as Micros
    }
}
