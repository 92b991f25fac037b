//! The clock of the event loop.

use balancer::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Time in Unix microseconds that never goes back: the system's time is read once, and monotonic time is
/// added to it.
pub(super) struct Clock {
    /// The system's time at the start.
    started_at: Micros,
    /// The monotonic time at the start.
    started: Instant,
}

impl Clock {
    /// Starts a clock at the system's time.
    pub(super) fn new() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: unix_time.as_micros() as Micros, started: Instant::now() }
    }

    /// The present time in Unix microseconds.
    pub(super) fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }
}
