//! The balancer's state, and the event handlers that update it. The decisions are in [`policy`](crate::policy).

use crate::policy::{MAX_CONCURRENCY_LIMIT, RETAINED};
use crate::state::{
    AdmissionState, DeploymentSettings, DiscoveryState, FleetStatistics, NodeState, NodeTable, QueryTable,
    ServiceClass, ShardMap, ShardRequest, SlidingWindow,
};
use crate::{
    Actions, AttemptEnd, ClassSettings, Endpoint, EndpointUpdate, Events, InvalidatedResponse, LoadReport,
    Micros, NodeId, QueryArrival, QueryId, Settings, ShardRequestArrival,
};

/// Load balancer and admission control of one router, based on its settings and the events that it receives.
#[derive(Default)]
pub struct Balancer {
    /// Settings as passed by the front end; the entry of a service class or tenant is read on first use.
    pub(crate) settings: Settings,
    pub(crate) deployment: DeploymentSettings,
    pub(crate) classes: Vec<ServiceClass>,
    /// Source of the tie-breakers of nodes and of the jitter of endpoint list requests.
    pub(crate) random: fastrand::Rng,
    pub(crate) nodes: NodeTable,
    /// Ready nodes by shard.
    pub(crate) shards: ShardMap,
    /// Queries that are open or still have attempts in flight.
    pub(crate) queries: QueryTable,
    /// Time of the last call of [`decide`](Events::decide).
    pub(crate) now: Micros,
    pub(crate) statistics: FleetStatistics,
    pub(crate) admission: AdmissionState,
    pub(crate) discovery: DiscoveryState,
    /// One sample for each retry or hedged attempt sent.
    pub(crate) retries: SlidingWindow,
}

impl Balancer {
    /// Creates a balancer without nodes; `seed` initializes its random number generator.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Balancer {
            shards: ShardMap::new(&settings.shards),
            deployment: DeploymentSettings::new(&settings),
            settings,
            random: fastrand::Rng::with_seed(seed),
            statistics: FleetStatistics::new(&RETAINED),
            admission: AdmissionState::new(&RETAINED),
            retries: SlidingWindow::new(RETAINED.sends),
            ..Default::default()
        }
    }

    /// Extends the list of service classes to at least `count`; those without settings get the defaults.
    pub(crate) fn ensure_classes(&mut self, count: usize) {
        let unlisted = ClassSettings::default();
        let missing = self.classes.len()..count;
        self.classes.extend(missing.map(|class| {
            let settings = self.settings.classes.get(class).unwrap_or(&unlisted);
            ServiceClass::new(settings, &RETAINED)
        }));
    }

    /// Creates the state of a node without measurements.
    pub(crate) fn new_node(tie_break: f64) -> NodeState {
        NodeState::new(tie_break, MAX_CONCURRENCY_LIMIT, &RETAINED)
    }
}

impl Events for Balancer {
    fn endpoint_update_started(&mut self, _now: Micros, update: EndpointUpdate) {
        self.discovery.update = Some(update);
        self.discovery.update_number += 1;
    }

    fn endpoint_listed(&mut self, now: Micros, endpoint: &Endpoint) {
        let random = &mut self.random;
        self.nodes.ensure(endpoint.node, || Self::new_node(random.f64()));
        self.admission.reservations.resize(self.nodes.len(), 0);
        let node = &mut self.nodes[endpoint.node];
        node.apply_update(endpoint, self.discovery.update_number);
        if endpoint.started_at > node.started_at {
            node.record_restart(endpoint.started_at);
            self.observe_restart(now, endpoint.started_at);
        }
    }

    fn endpoint_update_finished(&mut self, now: Micros, actions: &mut dyn Actions) {
        let Some(update) = self.discovery.update.take() else { return };
        match update {
            EndpointUpdate::Failed => self.delay_next_request(now, actions),
            EndpointUpdate::Provisional => self.discovery.provisional_since = Some(now),
            EndpointUpdate::Cached => self.discovery.provisional_since = None,
            EndpointUpdate::Full | EndpointUpdate::Incremental => {
                if self.discovery.record_update() {
                    actions.log("discovery reachable again");
                }
            }
        }
        if update == EndpointUpdate::Full {
            self.replace_provisional_list(now, actions);
        }
        if matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached | EndpointUpdate::Provisional) {
            self.nodes.remove_unlisted(self.discovery.update_number);
        }
        self.shards.rebuild(&self.nodes);
    }

    fn discovery_address_changed(&mut self, now: Micros) {
        self.restart_requests(now);
    }

    fn query_arrived(&mut self, now: Micros, arrival: &QueryArrival) {
        self.ensure_classes(arrival.class + 1);
        self.enqueue(now, arrival);
        self.admission.arrivals.push(now, 1.0);
    }

    fn shard_request_arrived(&mut self, now: Micros, arrival: &ShardRequestArrival) {
        self.queries.insert_shard_request(arrival.shard_request, ShardRequest::new(arrival));
        self.admission.arrivals.push(now, 1.0);
    }

    fn attempt_ended(&mut self, now: Micros, end: &AttemptEnd) {
        let id = end.attempt.shard_request;
        let Some(attempt) = self.nodes[end.node].remove_in_flight(id, end.attempt.number) else { return };
        self.observe_attempt(now, &attempt, end);
        self.queries.attempt_ended(id, end.node, end.outcome);
    }

    fn response_invalidated(&mut self, now: Micros, invalidated: &InvalidatedResponse) {
        self.observe_invalidation(now, invalidated);
        self.queries[invalidated.attempt.shard_request].response_invalidated(invalidated);
    }

    fn load_reported(&mut self, now: Micros, node: NodeId, report: &LoadReport) {
        self.ensure_classes(self.settings.named_classes().count());
        self.nodes[node].record_load_report(now, report.in_flight);
        self.observe_report(now, node, report);
    }

    fn client_disconnected(&mut self, _now: Micros, query: QueryId) {
        self.queries.close(query);
    }

    fn shutdown_started(&mut self, _now: Micros, answer_by: Micros) {
        self.queries.limit_deadlines(answer_by);
    }

    fn timer_expired(&mut self, _now: Micros, _token: u64) {
        self.discovery.timer_at = None;
    }

    fn decide(&mut self, now: Micros, actions: &mut dyn Actions) {
        self.decide_all(now, actions);
    }
}
