//! Requests for the endpoint list, and the timer.

use super::*;

impl Balancer {
    /// Counts the restart of a node as a crash if its process started within half of `CRASH_WINDOW`.
    pub(crate) fn observe_restart(&mut self, now: Micros, started_at: Micros) {
        if started_at > now - CRASH_WINDOW / 2 {
            self.admission.crashes.push(now, 1.0);
        }
    }

    /// Delays the next request for the endpoint list after a failure, with exponential backoff and jitter. Endpoint
    /// changes must be known 6 s after discovery has recovered, so no delay is much longer than two thirds of that.
    pub(crate) fn delay_next_request(&mut self, now: Micros, actions: &mut dyn Actions) {
        let discovery = &mut self.discovery;
        discovery.watching = false;
        discovery.failures = (discovery.failures + 1).min(3);
        let delay = 500_000 << discovery.failures;
        discovery.next_request_at = now + delay / 2 + self.random.i64(0..delay / 2 + delay / 8);
        let milliseconds = (discovery.next_request_at - now) / 1000;
        actions.log(&format!("discovery unreachable, next request in {milliseconds} ms"));
    }

    /// Where discovery must be polled, requests the endpoint list until the watch on it is active. Keeps a timer set
    /// during that time and while a query is open.
    pub(super) fn schedule(&mut self, now: Micros, actions: &mut dyn Actions) {
        let has_open_queries = !self.queries.open().is_empty();
        let discovery = &mut self.discovery;
        let poll_interval = self.deployment.poll_interval.filter(|_| !discovery.watching);
        if let Some(interval) = poll_interval.filter(|_| now >= discovery.next_request_at) {
            actions.watch_endpoints(true);
            discovery.next_request_at = now + interval.max(1_000_000);
        }
        let next = now + self.deployment.decision_interval.max(1_000);
        let expires_at = if has_open_queries { next } else { discovery.next_request_at.max(next) };
        let is_needed = poll_interval.is_some() || has_open_queries;
        if is_needed && discovery.timer_at.is_none_or(|expiry| expiry > expires_at || expiry <= now) {
            actions.set_timer(expires_at - now, 0);
            discovery.timer_at = Some(expires_at);
        }
    }
}
