//! The clock: the system's time at the start, plus monotonic time since.

use balancer::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub(super) struct Clock {
    started_at: Micros,
    started: Instant,
}

impl Clock {
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: since_epoch.as_micros() as Micros, started: Instant::now() }
    }

    pub fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }
}
