//! Clocks that all processes of a machine share.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Monotonic time in microseconds.
pub type Micros = i64;

/// One millisecond in microseconds.
pub const MILLISECOND: Micros = 1000;
/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;

/// Returns the monotonic time, which is the same in all processes.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec * SECOND + time.tv_nsec / 1000
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_clock_ms() -> i64 {
    let time = clock_gettime(ClockId::Realtime);
    time.tv_sec * 1000 + time.tv_nsec / 1_000_000
}

/// Sleeps for this many milliseconds.
pub fn sleep_ms(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}
