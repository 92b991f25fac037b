//! What this router knows of a data node.

use super::samples_retained::SamplesRetained;
use super::sliding_window::SlidingWindow;
use crate::{AttemptNumber, Endpoint, EndpointState, Micros, ShardRequestId};

/// An attempt that has been sent and has not ended.
#[derive(Clone, Debug)]
pub struct InFlightAttempt {
    /// The shard request.
    pub shard_request: ShardRequestId,
    /// Which attempt at it this is.
    pub number: AttemptNumber,
    /// When it was sent.
    pub sent_at: Micros,
    /// How long the node had not been heard from by then.
    pub idle_time: Micros,
}

/// What attempts of one service class showed of a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassHealth {
    /// Failures that have not been made up for by answers.
    pub failure_score: u32,
    /// Until when the node is not used for this class.
    pub ejected_until: Micros,
    /// When it last answered.
    pub last_success_at: Micros,
}

/// The load of a node according to other proxies.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// When it was reported.
    pub reported_at: Micros,
    /// Requests in flight there.
    pub in_flight: f64,
}

/// The state of a node that is warming up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Since when it has been warming up.
    pub since: Micros,
    /// The share of a core's work that it may be sent in a window that ends now.
    pub share: f64,
    /// The share by the capacity that it has now.
    pub current_share: f64,
    /// What shows that it is warming up.
    pub reason: WarmUpReason,
}

/// What shows that a node is warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpReason {
    /// The endpoint list names its start.
    RecentStart,
    /// It could not be reached: it may have restarted.
    ConnectFailure,
}

/// What this router knows of a data node.
#[derive(Clone, Debug)]
pub struct NodeState {
    /// A random number between 0 and 1 that is drawn once, so that routers differ.
    pub tie_break: f64,
    /// Its state according to discovery, if it was ever listed.
    pub state: Option<EndpointState>,
    /// The number of the last endpoint update that named it.
    pub last_update_number: u64,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its replica set.
    pub replica_set: usize,
    /// When its process started, 0 for long ago.
    pub started_at: Micros,
    /// The sequence number of its last batch: the least recently used node has the lowest.
    pub last_batch_number: u64,
    /// How many shard requests of this router may be in flight there.
    pub concurrency_limit: f64,
    /// When the limit was last reduced.
    pub limit_reduced_at: Micros,
    /// Until when it is not used while its limit is under one batch.
    pub paused_until: Micros,
    /// Whether the last attempt filled it to its limit.
    pub reached_limit: bool,
    /// Attempts in flight, the oldest first.
    pub in_flight: Vec<InFlightAttempt>,
    /// Latencies of attempts that were answered, or lower bounds of those that were not.
    pub latencies: SlidingWindow,
    /// For each attempt that may have been executed, 0 if it was answered and 1 if not.
    pub failures: SlidingWindow,
    /// Work sent.
    pub work_sent: SlidingWindow,
    /// What attempts showed, by service class.
    pub health_by_class: Vec<ClassHealth>,
    /// When it was last heard from, or its idle connections were closed.
    pub last_activity_at: Micros,
    /// When a response was malformed or a connection was lost, 0 once it has answered since.
    pub suspect_since: Micros,
    /// When it could last not be connected to, 0 once it has answered as a warm node does.
    pub last_connect_failure_at: Micros,
    /// Rejections since its last answer.
    pub consecutive_rejections: u32,
    /// Until when it is not used because it rejected an attempt.
    pub rejection_backoff_until: Micros,
    /// The last load report.
    pub reported_load: Option<ReportedLoad>,
}

impl NodeState {
    /// A node of which nothing is known.
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

    /// Whether it was listed and still exists.
    pub fn is_listed(&self) -> bool {
        self.state.is_some() && !self.is_removed()
    }

    /// Whether it accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.state == Some(EndpointState::Ready)
    }

    /// Whether it was listed and no longer exists.
    pub fn is_removed(&self) -> bool {
        self.state == Some(EndpointState::Removed)
    }

    /// What attempts of `class` showed.
    pub fn class_health(&self, class: usize) -> ClassHealth {
        self.health_by_class.get(class).copied().unwrap_or_default()
    }

    /// What attempts of `class` showed, to be changed.
    pub fn class_health_mut(&mut self, class: usize) -> &mut ClassHealth {
        if self.health_by_class.len() <= class {
            self.health_by_class.resize(class + 1, ClassHealth::default());
        }
        &mut self.health_by_class[class]
    }

    /// Whether an error occurred that no answer has made up for since.
    pub fn is_suspect(&self, class: usize) -> bool {
        self.suspect_since > 0 || self.class_health(class).failure_score > 0
    }

    /// Whether it rejected an attempt, not to be used again until after `from`, and has not answered since.
    pub fn has_rejected_since(&self, from: Micros) -> bool {
        self.consecutive_rejections > 0 && self.rejection_backoff_until > from
    }

    /// Notes an answer, which clears suspicion.
    pub fn record_answer(&mut self, now: Micros, class: usize, latency: Micros) {
        self.class_health_mut(class).last_success_at = now;
        self.consecutive_rejections = 0;
        self.rejection_backoff_until = now;
        self.last_activity_at = now;
        self.suspect_since = 0;
        self.latencies.push(now, latency as f64);
    }

    /// The share of the attempts since `from` that may have been executed and were not answered.
    pub fn failure_share(&self, from: Micros) -> f64 {
        self.failures.sum(from) / self.failures.count(from).max(1) as f64
    }

    /// Notes how many requests other proxies have in flight there.
    pub fn record_load_report(&mut self, now: Micros, in_flight: f64) {
        self.reported_load = Some(ReportedLoad { reported_at: now, in_flight });
    }

    /// The requests that other proxies had in flight there, by a report after `from`.
    pub fn reported_in_flight(&self, from: Micros) -> f64 {
        self.reported_load.filter(|load| load.reported_at > from).map_or(0.0, |load| load.in_flight)
    }

    /// Notes what endpoint update number `update` says of it.
    pub fn apply_update(&mut self, endpoint: &Endpoint, update: u64) {
        self.zone = endpoint.zone;
        self.replica_set = endpoint.replica_set;
        self.state = Some(endpoint.state);
        self.last_update_number = update;
    }

    /// Notes that a full update does not name it.
    pub fn mark_removed(&mut self) {
        self.state = self.state.map(|_| EndpointState::Removed);
    }

    /// Notes a new process, and forgets what was seen of the one before.
    pub fn record_restart(&mut self, started_at: Micros) {
        self.started_at = started_at;
        self.health_by_class.clear();
        self.latencies.clear();
        self.failures.clear();
        self.suspect_since = 0;
    }

    /// Removes an attempt from those in flight.
    pub fn remove_in_flight(
        &mut self, shard_request: ShardRequestId, number: AttemptNumber,
    ) -> Option<InFlightAttempt> {
        let is_it =
            |attempt: &InFlightAttempt| attempt.shard_request == shard_request && attempt.number == number;
        let index = self.in_flight.iter().position(is_it)?;
        Some(self.in_flight.remove(index))
    }

    /// Whether an attempt is in flight.
    pub fn has_in_flight(&self, shard_request: ShardRequestId, number: AttemptNumber) -> bool {
        self.in_flight
            .iter()
            .any(|attempt| attempt.shard_request == shard_request && attempt.number == number)
    }

    /// When the oldest attempt in flight was sent.
    pub fn oldest_sent_at(&self) -> Option<Micros> {
        self.in_flight.iter().map(|attempt| attempt.sent_at).min()
    }
}
