//! State of a data node as observed by this router.

use super::samples_retained::SamplesRetained;
use super::sliding_window::SlidingWindow;
use crate::{AttemptNumber, Endpoint, EndpointState, Micros, ShardRequestId};

/// An attempt in flight.
#[derive(Clone, Debug)]
pub struct InFlightAttempt {
    pub shard_request: ShardRequestId,
    /// Number of the attempt among those of the shard request.
    pub number: AttemptNumber,
    pub sent_at: Micros,
    /// Time since the node's last activity when the attempt was sent.
    pub idle_time: Micros,
}

/// Health of a node for one service class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassHealth {
    /// Score of recent failures: each ejection adds 1, up to a maximum, and each answer halves it. Determines
    /// the duration of the next ejection.
    pub failure_score: u32,
    /// Time until which the node is ejected for this class; 0 if it never was.
    pub ejected_until: Micros,
    /// Time of the last answered attempt; 0 if there was none.
    pub last_success_at: Micros,
}

/// Load of a node as reported by other proxies.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    pub reported_at: Micros,
    /// Number of requests in flight at the node.
    pub in_flight: f64,
}

/// Slow-start state of a node that is warming up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Start of the warm-up.
    pub since: Micros,
    /// Work that the node may receive in a window ending now, as a fraction of the window's length; based on
    /// the node's capacity at the beginning of the window.
    pub window_share: f64,
    /// The same fraction, based on the node's current capacity.
    pub current_share: f64,
    /// Why the node is considered to be warming up.
    pub reason: WarmUpReason,
}

/// Reason why a node is considered to be warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpReason {
    /// The endpoint list states a recent start time.
    RecentStart,
    /// The node could not be connected to and may have restarted.
    ConnectFailure,
}

/// State of a data node as observed by this router.
#[derive(Clone, Debug)]
pub struct NodeState {
    /// Random number between 0 and 1, drawn once per node, so that routers order equal nodes differently.
    pub tie_break: f64,
    /// State according to discovery; `None` if the node was never listed.
    pub state: Option<EndpointState>,
    /// Sequence number of the last endpoint update that contained the node.
    pub last_update_number: u64,
    /// Index of the node's zone.
    pub zone: usize,
    /// Index of the node's replica set.
    pub replica_set: usize,
    /// Start time of the node's process; 0 if it started long ago.
    pub started_at: Micros,
    /// Sequence number of the last batch sent to the node: the least recently used node has the lowest.
    pub last_batch_number: u64,
    /// Maximum number of shard requests of this router in flight at the node.
    pub concurrency_limit: f64,
    /// Time of the last reduction of the concurrency limit; 0 if it was never reduced.
    pub limit_reduced_at: Micros,
    /// Time until which the node receives no attempts while its concurrency limit is below one batch; 0 if the
    /// limit never was.
    pub paused_until: Micros,
    /// Whether the last attempt reached the concurrency limit.
    pub reached_limit: bool,
    /// Attempts in flight, oldest first.
    pub in_flight: Vec<InFlightAttempt>,
    /// Latencies of answered attempts, and lower bounds for unanswered ones.
    pub latencies: SlidingWindow,
    /// Failure rate of the attempts that may have been executed, as samples of 0 for a success and 1 for a failure.
    /// Cancelled and timed-out attempts count only if they were late.
    pub failures: SlidingWindow,
    /// Work sent, one sample for each attempt.
    pub work_sent: SlidingWindow,
    /// Health by service class; a class without attempts may be missing.
    pub health_by_class: Vec<ClassHealth>,
    /// Time of the node's last answer, or of closing the idle connections to it; `Micros::MAX` before the
    /// first.
    pub last_activity_at: Micros,
    /// Time of the last malformed response or lost connection; 0 if there was none or the node has answered or
    /// restarted since.
    pub suspect_since: Micros,
    /// Time of the last connection failure; 0 if there was none or the node has since answered as fast as a warm
    /// node.
    pub last_connect_failure_at: Micros,
    /// Number of rejections since the last answer, up to a maximum. Rejections during the backoff after an
    /// earlier one do not count.
    pub consecutive_rejections: u32,
    /// Time until which the node receives no attempts after it rejected one; 0 before the
    /// first rejection or answer.
    pub rejection_backoff_until: Micros,
    /// Last load report; `None` if there was none.
    pub reported_load: Option<ReportedLoad>,
}

impl NodeState {
    /// Creates the state of a node without measurements.
    pub fn new(tie_break: f64, concurrency_limit: f64, retained: &SamplesRetained) -> Self {
        NodeState {
            tie_break,
            state: None,
            last_update_number: 0,
            zone: 0,
            replica_set: 0,
            started_at: 0,
            last_batch_number: 0,
            concurrency_limit,
            limit_reduced_at: 0,
            paused_until: 0,
            reached_limit: false,
            in_flight: Vec::new(),
            latencies: SlidingWindow::new(retained.node_latencies),
            failures: SlidingWindow::new(retained.node_failures),
            work_sent: SlidingWindow::new(retained.node_sends),
            health_by_class: Vec::new(),
            last_activity_at: Micros::MAX,
            suspect_since: 0,
            last_connect_failure_at: 0,
            consecutive_rejections: 0,
            rejection_backoff_until: 0,
            reported_load: None,
        }
    }

    /// Returns whether the node is in the endpoint list.
    pub fn is_listed(&self) -> bool {
        self.state.is_some() && !self.is_removed()
    }

    /// Returns whether the node accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.state == Some(EndpointState::Ready)
    }

    /// Returns whether the node was removed from the endpoint list.
    pub fn is_removed(&self) -> bool {
        self.state == Some(EndpointState::Removed)
    }

    /// Returns the health for `class`.
    pub fn class_health(&self, class: usize) -> ClassHealth {
        self.health_by_class.get(class).copied().unwrap_or_default()
    }

    /// Returns the health for `class` for modification, and adds it if it is missing.
    pub fn class_health_mut(&mut self, class: usize) -> &mut ClassHealth {
        if self.health_by_class.len() <= class {
            self.health_by_class.resize(class + 1, ClassHealth::default());
        }
        &mut self.health_by_class[class]
    }

    /// Returns whether errors occurred that later answers have not outweighed.
    pub fn is_suspect(&self, class: usize) -> bool {
        self.suspect_since > 0 || self.class_health(class).failure_score > 0
    }

    /// Returns whether the node has not answered since a rejection whose backoff ends after `from`.
    pub fn has_rejected_since(&self, from: Micros) -> bool {
        self.consecutive_rejections > 0 && self.rejection_backoff_until > from
    }

    /// Records an answer, which ends the backoff after rejections and clears `suspect_since`.
    pub fn record_answer(&mut self, now: Micros, class: usize, latency: Micros) {
        self.class_health_mut(class).last_success_at = now;
        self.consecutive_rejections = 0;
        self.rejection_backoff_until = now;
        self.last_activity_at = now;
        self.suspect_since = 0;
        self.latencies.push(now, latency as f64);
    }

    /// Returns the fraction of failures in `failures` since `from`; 0 if there are no samples.
    pub fn failure_share(&self, from: Micros) -> f64 {
        self.failures.sum(from) / self.failures.count(from).max(1) as f64
    }

    /// Records the number of requests that other proxies have in flight at the node.
    pub fn record_load_report(&mut self, now: Micros, in_flight: f64) {
        self.reported_load = Some(ReportedLoad { reported_at: now, in_flight });
    }

    /// Returns the number of requests that other proxies have in flight, or 0 if the last report is not after
    /// `from`.
    pub fn reported_in_flight(&self, from: Micros) -> f64 {
        self.reported_load.filter(|load| load.reported_at > from).map_or(0.0, |load| load.in_flight)
    }

    /// Applies the node's entry in the endpoint update with sequence number `update`.
    pub fn apply_update(&mut self, endpoint: &Endpoint, update: u64) {
        self.zone = endpoint.zone;
        self.replica_set = endpoint.replica_set;
        self.state = Some(endpoint.state);
        self.last_update_number = update;
    }

    /// Marks the node as removed, if it was ever listed.
    pub fn mark_removed(&mut self) {
        self.state = self.state.map(|_| EndpointState::Removed);
    }

    /// Records the start of a new process and discards the latencies and failures of the previous one.
    pub fn record_restart(&mut self, started_at: Micros) {
        self.started_at = started_at;
        self.health_by_class.clear();
        self.latencies.clear();
        self.failures.clear();
        self.suspect_since = 0;
    }

    /// Removes an attempt from those in flight; returns `None` if it is not among them.
    pub fn remove_in_flight(
        &mut self, shard_request: ShardRequestId, number: AttemptNumber,
    ) -> Option<InFlightAttempt> {
        let is_requested =
            |attempt: &InFlightAttempt| attempt.shard_request == shard_request && attempt.number == number;
        let index = self.in_flight.iter().position(is_requested)?;
        Some(self.in_flight.remove(index))
    }

    /// Returns whether an attempt is in flight at the node.
    pub fn has_in_flight(&self, shard_request: ShardRequestId, number: AttemptNumber) -> bool {
        self.in_flight
            .iter()
            .any(|attempt| attempt.shard_request == shard_request && attempt.number == number)
    }

    /// Returns the time at which the oldest attempt in flight was sent.
    pub fn oldest_sent_at(&self) -> Option<Micros> {
        self.in_flight.iter().map(|attempt| attempt.sent_at).min()
    }
}
