//! Requests for the endpoint list, and the timer.

use super::*;

/// Longest delay of the first request after a failure, in microseconds; the shortest is half of it.
const MIN_BACKOFF: Micros = 1_000_000;
/// Longest delay of a request after failures, in microseconds. A change counts as delivered 6 s after discovery has
/// recovered, so several requests must fit into that time.
const MAX_BACKOFF: Micros = 2_000_000;
/// Time after a change of discovery's address at which its changes count as delivered, in microseconds.
const DELIVERY_AFTER_ADDRESS_CHANGE: Micros = 4_000_000;
/// Longest delay of a request after a failure during that time, in microseconds.
const BACKOFF_AFTER_ADDRESS_CHANGE: Micros = 500_000;
/// Shortest interval between requests that are neither answered nor fail, in microseconds.
const MIN_REQUEST_INTERVAL: Micros = 1_000_000;
/// Longest time for which a provisional endpoint list is not used, in microseconds. The platform expects a restarted
/// router to be ready within 10 s.
const MAX_ENDPOINT_LIST_WAIT: Micros = 9_000_000;

impl Balancer {
    /// Returns whether queries wait because the endpoint list is from before the start of the process and discovery has
    /// not sent the full list yet. A front end is not ready during that time.
    pub fn awaits_endpoint_list(&self) -> bool {
        self.discovery.provisional_since.is_some()
    }

    /// Keeps a query open, without attempts, while the endpoint list is provisional.
    pub(super) fn wait_for_endpoint_list(
        &mut self, _now: Micros, _id: QueryId, _actions: &mut dyn Actions,
    ) -> StageResult {
        if self.awaits_endpoint_list() { StageResult::Wait } else { StageResult::Continue }
    }

    /// Records that the full endpoint list has arrived.
    pub(crate) fn replace_provisional_list(&mut self, now: Micros, actions: &mut dyn Actions) {
        if let Some(since) = self.discovery.provisional_since.take() {
            let milliseconds = (now - since) / 1000;
            actions.log(&format!(
                "endpoint list received {milliseconds} ms after the start, queries are served"
            ));
        }
    }

    /// Uses a provisional endpoint list once the full list has not arrived in time: a fleet must not stay out of service
    /// for as long as discovery is down.
    pub(super) fn end_endpoint_list_wait(&mut self, now: Micros, actions: &mut dyn Actions) {
        if self.endpoint_list_wait_ends_at().is_some_and(|at| now >= at) {
            self.discovery.provisional_since = None;
            let seconds = MAX_ENDPOINT_LIST_WAIT / 1_000_000;
            actions.log(&format!(
                "no endpoint list received within {seconds} s, the list from before the start is used"
            ));
        }
    }

    /// Returns the time at which a provisional endpoint list is used; `None` if there is none.
    fn endpoint_list_wait_ends_at(&self) -> Option<Micros> {
        self.discovery.provisional_since.map(|since| since + MAX_ENDPOINT_LIST_WAIT)
    }

    /// Counts the restart of a node as a crash if its process started within half of `CRASH_WINDOW`.
    pub(crate) fn observe_restart(&mut self, now: Micros, started_at: Micros) {
        if started_at > now - CRASH_WINDOW / 2 {
            self.admission.crashes.push(now, 1.0);
        }
    }

    /// Delays the next request for the endpoint list after a failure. The delay grows with the time for which
    /// requests have failed, and has jitter.
    pub(crate) fn delay_next_request(&mut self, now: Micros, actions: &mut dyn Actions) {
        let discovery = &mut self.discovery;
        discovery.watching = false;
        let failing_for = now - *discovery.failing_since.get_or_insert(now);
        let has_moved =
            discovery.address_changed_at.is_some_and(|at| now - at < DELIVERY_AFTER_ADDRESS_CHANGE);
        let max_delay = match has_moved {
            true => BACKOFF_AFTER_ADDRESS_CHANGE,
            false => failing_for.clamp(MIN_BACKOFF, MAX_BACKOFF),
        };
        discovery.next_request_at = now + max_delay / 2 + self.random.i64(0..=max_delay / 2);
        let milliseconds = (discovery.next_request_at - now) / 1000;
        actions.log(&format!("discovery unreachable, next request in {milliseconds} ms"));
    }

    /// Discards what failures at a former address of discovery have delayed. The front end requests the list at the
    /// new address by itself.
    pub(crate) fn restart_requests(&mut self, now: Micros) {
        let request_interval = self.request_interval();
        let discovery = &mut self.discovery;
        discovery.watching = false;
        discovery.failing_since = None;
        discovery.address_changed_at = Some(now);
        discovery.next_request_at = now + request_interval;
    }

    /// Returns the time from a request for the endpoint list to the next one if the first is neither answered nor
    /// fails.
    fn request_interval(&self) -> Micros {
        self.deployment.poll_interval.unwrap_or(0).max(MIN_REQUEST_INTERVAL)
    }

    /// Where discovery must be polled, requests the endpoint list until the watch on it is active. Keeps a timer set
    /// during that time, while a query is open, and for the end of the wait for the endpoint list.
    pub(super) fn schedule(&mut self, now: Micros, actions: &mut dyn Actions) {
        let has_open_queries = !self.queries.open().is_empty();
        let request_interval = self.request_interval();
        let wait_ends_at = self.endpoint_list_wait_ends_at();
        let discovery = &mut self.discovery;
        let must_request = self.deployment.poll_interval.is_some() && !discovery.watching;
        if must_request && now >= discovery.next_request_at {
            actions.watch_endpoints(true);
            discovery.next_request_at = now + request_interval;
        }
        let next = now + self.deployment.decision_interval.max(1_000);
        let request_at = must_request.then_some(discovery.next_request_at.max(next));
        let query_at = has_open_queries.then_some(next);
        let Some(expires_at) = [request_at, query_at, wait_ends_at].into_iter().flatten().min() else {
            return;
        };
        if discovery.timer_at.is_none_or(|expiry| expiry > expires_at || expiry <= now) {
            actions.set_timer(expires_at - now, 0);
            discovery.timer_at = Some(expires_at);
        }
    }
}
