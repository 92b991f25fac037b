//! The clock of the server: the system time at start-up plus the monotonic time elapsed since, so that later
//! changes of the system time have no effect.

use balancer::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub(super) struct Clock {
    start_time: Micros,
    start_instant: Instant,
}

impl Clock {
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_time: since_epoch.as_micros() as Micros, start_instant: Instant::now() }
    }

    pub fn now(&self) -> Micros {
        self.start_time + self.start_instant.elapsed().as_micros() as Micros
    }
}
