//! The delay between a watch that failed and the next one.

use crate::config::Config;
use crate::router::connection::discovery::HEARTBEAT_INTERVAL;
use crate::router::context::Context;
use crate::router::timers::Timer;
use balancer::Micros;
use std::ops::RangeInclusive;

/// The delay after a watch that was never answered, drawn so that the watches of many routers do not come together.
const DELAY_AFTER_SILENCE: RangeInclusive<Micros> = 600_000..=900_000;

/// When a watch that failed is started again, where lists are pushed.
pub struct WatchBackoff {
    /// When the next watch starts.
    retry_at: Option<Micros>,
    /// The longest delay after the next failure.
    delay: Micros,
    /// The longest delay after a first failure. Later ones take at most twice as long, so that updates arrive soon
    /// after discovery has recovered.
    first_delay: Micros,
    rng: fastrand::Rng,
}

impl WatchBackoff {
    /// As the configuration says.
    pub fn new(config: &Config) -> WatchBackoff {
        // Where lists are pushed, the platform counts every change as known to the router at once, with or without a
        // watch.
        let first_delay = match config.settings.rules.drain_grace / 4 {
            0 => HEARTBEAT_INTERVAL,
            delay => delay.min(HEARTBEAT_INTERVAL),
        };
        let rng = fastrand::Rng::with_seed(!config.seed);
        WatchBackoff { retry_at: None, delay: first_delay, first_delay, rng }
    }

    /// Sets the time of the next watch after a failure. Guards against all routers whose watches end together keeping
    /// a busy discovery from answering any.
    pub fn schedule(&mut self, context: &mut Context) {
        let at = context.now + self.delay / 2 + self.rng.i64(0..=self.delay / 2);
        self.delay = (2 * self.first_delay).min(HEARTBEAT_INTERVAL);
        self.schedule_at(context, at);
    }

    /// Sets the time of the next watch after one that was never answered. Guards against a delay on top of the time that
    /// was waited, with which a change could be learned later than the platform counts it as known.
    pub fn schedule_after_silence(&mut self, context: &mut Context) {
        let delay = self.rng.i64(DELAY_AFTER_SILENCE);
        self.schedule_at(context, context.now + delay);
    }

    fn schedule_at(&mut self, context: &mut Context, at: Micros) {
        self.cancel(context);
        self.retry_at = Some(at);
        context.timers.insert(at, Timer::StartWatch);
    }

    /// Removes the time of the next watch.
    pub fn cancel(&mut self, context: &mut Context) {
        if let Some(at) = self.retry_at.take() {
            context.timers.remove(at, Timer::StartWatch);
        }
    }

    /// Notes that a watch works: the next failure counts as the first.
    pub fn reset(&mut self) {
        self.delay = self.first_delay;
    }
}
