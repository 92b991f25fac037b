//! The backoff between a failed watch and the next one.

use crate::config::Config;
use crate::router::connection::discovery::HEARTBEAT_INTERVAL;
use crate::router::context::Context;
use crate::router::timers::Timer;
use balancer::Micros;
use std::ops::RangeInclusive;

/// The range of the random delay after a watch without any message. It spreads the watches of many routers.
const DELAY_AFTER_SILENCE: RangeInclusive<Micros> = 600_000..=900_000;

/// Schedules the next watch after a failure: after any failed request where endpoint lists are pushed, otherwise only
/// after a watch without any message.
pub struct WatchBackoff {
    /// The time of the next watch; `None` if none is scheduled.
    retry_at: Option<Micros>,
    /// The longest delay after the next failure; the shortest is half of it.
    max_delay: Micros,
    /// The longest delay after a first failure. The delays after further failures are at most twice as long, so that
    /// updates arrive soon after discovery has recovered.
    base_delay: Micros,
    rng: fastrand::Rng,
}

impl WatchBackoff {
    /// Creates a backoff with delays that suit the drain grace in the configuration. No watch is scheduled.
    pub fn new(config: &Config) -> WatchBackoff {
        // Where endpoint lists are pushed, the platform assumes that the router receives every change at once, even
        // without a watch, so the drain grace starts with the change.
        let base_delay = match config.settings.rules.drain_grace / 4 {
            0 => HEARTBEAT_INTERVAL,
            delay => delay.min(HEARTBEAT_INTERVAL),
        };
        let rng = fastrand::Rng::with_seed(!config.seed);
        WatchBackoff { retry_at: None, max_delay: base_delay, base_delay, rng }
    }

    /// Schedules the next watch after a failure. The delay is random, since routers whose watches end together could
    /// otherwise overload discovery with their next ones.
    pub fn schedule(&mut self, context: &mut Context) {
        let at = context.now + self.max_delay / 2 + self.rng.i64(0..=self.max_delay / 2);
        self.max_delay = (2 * self.base_delay).min(HEARTBEAT_INTERVAL);
        self.schedule_at(context, at);
    }

    /// Schedules the next watch after one without any message. The delay is short because it adds to the timeout of the
    /// watch: a longer one could exceed the time after which the platform assumes that the router has received a
    /// change.
    pub fn schedule_after_silence(&mut self, context: &mut Context) {
        let delay = self.rng.i64(DELAY_AFTER_SILENCE);
        self.schedule_at(context, context.now + delay);
    }

    fn schedule_at(&mut self, context: &mut Context, at: Micros) {
        self.cancel(context);
        self.retry_at = Some(at);
        context.timers.insert(at, Timer::StartWatch);
    }

    /// Cancels the scheduled watch, if there is one.
    pub fn cancel(&mut self, context: &mut Context) {
        if let Some(at) = self.retry_at.take() {
            context.timers.remove(at, Timer::StartWatch);
        }
    }

    /// Resets the delay after a watch that works, so that the next failure counts as the first.
    pub fn reset(&mut self) {
        self.max_delay = self.base_delay;
    }
}
