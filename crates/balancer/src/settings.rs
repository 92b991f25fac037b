//! Settings that a front end passes to the balancer at startup.
//!
//! They also include the settings of the deployment that only the front ends use. A field is optional if its
//! absence differs from every value, or if its users apply different defaults.

use crate::Micros;

/// Whether an attempt that may have been executed may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing an attempt again has no additional effect.
    Idempotent,
    /// Nodes detect duplicates by an idempotency key within a time window.
    Keyed,
    /// A repeated attempt may be executed twice.
    #[default]
    NonIdempotent,
}

/// How the router learns of changes to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery sends changes to the router.
    #[default]
    Pushed,
    /// The router requests the list periodically.
    Polled,
}

/// Settings of a service class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Name of the class; empty if it has none.
    pub name: String,
    /// Whether an attempt that may have been executed may be repeated.
    pub idempotency: Idempotency,
    /// Time for which nodes detect duplicates by the idempotency key, in microseconds.
    pub idempotency_window: Micros,
    /// Time within which a query should be answered, from its arrival, in microseconds; `None` means by the
    /// deadline.
    pub latency_objective: Option<Micros>,
    /// Extension of the latency objective, as a multiple of the query's estimated work.
    pub latency_objective_stretch: f64,
    /// Time within which a query must be answered, from its arrival, in microseconds.
    pub deadline: Micros,
    /// Value of an answer after the latency objective, relative to one before it.
    pub late_value: f64,
    /// Value of a partial answer, relative to a complete one.
    pub partial_value: f64,
    /// Minimum total weight of the answered shards for a complete answer.
    pub completeness_required: f64,
    /// Minimum total weight of the answered shards for a partial answer.
    pub completeness_minimum: f64,
    /// Importance of a query relative to those of other classes, used to order the admission queue.
    pub priority_weight: f64,
    /// Whether a query has a second step, whose shard requests arrive after the answer to the first.
    pub second_step: bool,
}

impl Default for ClassSettings {
    fn default() -> Self {
        ClassSettings {
            name: String::new(),
            idempotency: Idempotency::default(),
            idempotency_window: 0,
            latency_objective: None,
            latency_objective_stretch: 0.0,
            deadline: 0,
            late_value: 0.0,
            partial_value: 0.0,
            completeness_required: 1.0,
            completeness_minimum: 1.0,
            priority_weight: 1.0,
            second_step: false,
        }
    }
}

impl ClassSettings {
    /// Returns the latency objective in microseconds, or the deadline if there is none.
    pub fn latency_objective_or_deadline(&self) -> Micros {
        self.latency_objective.unwrap_or(self.deadline)
    }
}

/// Settings of a tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Name of the tenant; empty if it has none.
    pub name: String,
    /// Maximum rate of queries to all routers together, per second; `None` if the rate is not limited.
    pub quota_per_second: Option<f64>,
}

/// Assignment of shards to data nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardSettings {
    /// Number of shards.
    pub count: Option<usize>,
    /// Number of replica sets into which the data nodes are divided.
    pub replica_sets: Option<usize>,
    /// Number of consecutive replica sets that hold each shard.
    pub replica_sets_per_shard: Option<usize>,
}

impl ShardSettings {
    /// Returns the number of replica sets, at least 1.
    pub fn replica_sets_or_one(&self) -> usize {
        self.replica_sets.unwrap_or(1).max(1)
    }

    /// Returns the number of replica sets that hold each shard: at least 1, at most all.
    pub fn replica_sets_per_shard_or_one(&self) -> usize {
        self.replica_sets_per_shard.unwrap_or(1).max(1).min(self.replica_sets_or_one())
    }
}

/// Settings of batches of shard requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BatchSettings {
    /// Maximum number of shard requests in a batch.
    pub max_shard_requests: Option<usize>,
    /// Work of a batch in addition to that of its shard requests, in microseconds.
    pub work: Micros,
}

/// Limits and optional features of the deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitSettings {
    /// Maximum number of attempts of a shard request.
    pub max_attempts: Option<usize>,
    /// Whether hedged attempts are allowed.
    pub hedging: bool,
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// Whether a rejection can carry a recommended delay before the client's retry.
    pub retry_after: bool,
    /// Longest retry delay that clients respect, in microseconds.
    pub max_retry_after: Micros,
    /// Timeout for establishing a connection, in microseconds.
    pub connect_timeout: Option<Micros>,
    /// Time after which a data node closes an idle connection, in microseconds.
    pub idle_timeout: Micros,
    /// Maximum number of shard requests queued or in flight on one connection.
    pub max_requests_per_connection: usize,
    /// Maximum number of queries and shard requests in progress in a router.
    pub max_in_flight: Option<usize>,
}

/// Rules of the deployment that a router must comply with.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSettings {
    /// Maximum time between two polls of the endpoint list, in microseconds.
    pub poll_within: Micros,
    /// Time for which a node may still receive requests after discovery lists it as draining, in microseconds.
    pub drain_grace: Micros,
    /// Time window of the retry budget, in microseconds.
    pub retry_window: Micros,
    /// Number of retries allowed per query and shard request that arrives; `None` if retries are not limited.
    pub retry_share: Option<f64>,
    /// Number of retries that are always allowed within a window.
    pub free_retries: f64,
    /// Time window of the limit on the work sent to a node that is warming up, in microseconds.
    pub cold_overload_window: Micros,
    /// Maximum work sent to such a node in a window, as a multiple of its capacity.
    pub cold_overload_multiple: f64,
    /// Capacity of a node that has just started, as a fraction of a warm node's.
    pub cold_capacity_share: f64,
    /// Duration of a node's warm-up, in microseconds.
    pub warm_up: Micros,
}

impl Default for RuleSettings {
    fn default() -> Self {
        RuleSettings {
            poll_within: 0,
            drain_grace: 0,
            retry_window: 0,
            retry_share: None,
            free_retries: 0.0,
            cold_overload_window: 0,
            cold_overload_multiple: 1.0,
            cold_capacity_share: 1.0,
            warm_up: 0,
        }
    }
}

/// Settings of a deployment; by default there are no limits and all optional features are disabled.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Names of the zones; other settings and endpoints refer to zones by index.
    pub zones: Vec<String>,
    /// Index of this router's zone.
    pub zone: usize,
    /// Number of routers in the deployment, at least 1.
    pub routers: f64,
    /// Interval at which the balancer makes decisions, in microseconds.
    pub decision_interval: Micros,
    /// Whether a class's priority weight applies to a whole query instead of being divided by its number of
    /// shard requests.
    pub priority_by_work: bool,
    /// Service classes, by index.
    pub classes: Vec<ClassSettings>,
    /// Tenants, by index.
    pub tenants: Vec<TenantSettings>,
    /// Assignment of shards to data nodes.
    pub shards: ShardSettings,
    /// Settings of batches of shard requests.
    pub batch: BatchSettings,
    /// Limits and optional features of the deployment.
    pub limits: LimitSettings,
    /// Rules of the deployment that a router must comply with.
    pub rules: RuleSettings,
    /// How the router learns of changes to the endpoint list.
    pub discovery_mode: DiscoveryMode,
    /// Whether data nodes report their load in their responses to health checks.
    pub load_by_health_checks: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            zones: Vec::new(),
            zone: 0,
            routers: 1.0,
            decision_interval: 0,
            priority_by_work: false,
            classes: Vec::new(),
            tenants: Vec::new(),
            shards: ShardSettings::default(),
            batch: BatchSettings::default(),
            limits: LimitSettings::default(),
            rules: RuleSettings::default(),
            discovery_mode: DiscoveryMode::default(),
            load_by_health_checks: false,
        }
    }
}

impl Settings {
    /// Returns the service classes that clients can select by name: those before the first without a name.
    pub fn named_classes(&self) -> impl Iterator<Item = &ClassSettings> {
        self.classes.iter().take_while(|class| !class.name.is_empty())
    }

    /// Returns the tenants that clients can specify by name: those before the first without a name.
    pub fn named_tenants(&self) -> impl Iterator<Item = &TenantSettings> {
        self.tenants.iter().take_while(|tenant| !tenant.name.is_empty())
    }
}
