//! The settings that a front end passes to the balancer at the start.
//!
//! They also hold what the front ends themselves need to know of the deployment. A field is optional where its
//! absence differs from any value, or where the readers differ in what they take instead.

use crate::Micros;

/// Whether an attempt may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating it changes nothing.
    Idempotent,
    /// A repeat within a window is recognized by its key.
    Keyed,
    /// Repeating it may execute it twice.
    #[default]
    NonIdempotent,
}

/// How changes of the endpoint list become known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery sends them.
    #[default]
    Pushed,
    /// They must be asked for.
    Polled,
}

/// The settings of a service class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Its name, empty if it has none.
    pub name: String,
    /// Whether an attempt may be repeated.
    pub idempotency: Idempotency,
    /// How long a repeat is recognized by its key, in microseconds.
    pub idempotency_window: Micros,
    /// How soon after its arrival a query should be answered, in microseconds; by its deadline if absent.
    pub latency_objective: Option<Micros>,
    /// How much longer than that a query may take for each unit of its estimated work.
    pub latency_objective_stretch: f64,
    /// How soon after its arrival a query must be answered, in microseconds.
    pub deadline: Micros,
    /// What an answer after the latency objective is worth, relative to one before.
    pub late_value: f64,
    /// What a partial answer is worth, relative to a complete one.
    pub partial_value: f64,
    /// The weight of shards that makes an answer complete.
    pub completeness_required: f64,
    /// The weight of shards that makes an answer at least partial.
    pub completeness_minimum: f64,
    /// What a query counts for relative to others.
    pub priority_weight: f64,
    /// Whether a query has a second step of shard requests that follow the first answer.
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
    /// The latency objective, or the deadline where there is none, in microseconds.
    pub fn latency_objective_or_deadline(&self) -> Micros {
        self.latency_objective.unwrap_or(self.deadline)
    }
}

/// The settings of a tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Its name, empty if it has none.
    pub name: String,
    /// How many queries a second it may send to all routers together; `None` if they are not limited.
    pub quota_per_second: Option<f64>,
}

/// How shards are assigned to data nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardSettings {
    /// The number of shards.
    pub count: Option<usize>,
    /// The number of replica sets into which data nodes are divided.
    pub replica_sets: Option<usize>,
    /// How many consecutive replica sets hold a shard.
    pub replica_sets_per_shard: Option<usize>,
}

impl ShardSettings {
    /// The number of replica sets, at least 1.
    pub fn replica_sets_or_one(&self) -> usize {
        self.replica_sets.unwrap_or(1).max(1)
    }

    /// How many replica sets hold a shard: at least 1, at most all.
    pub fn replica_sets_per_shard_or_one(&self) -> usize {
        self.replica_sets_per_shard.unwrap_or(1).max(1).min(self.replica_sets_or_one())
    }
}

/// The settings of batches of shard requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BatchSettings {
    /// The largest number of shard requests in a batch.
    pub max_shard_requests: Option<usize>,
    /// The fixed work of a batch, in microseconds.
    pub work: Micros,
}

/// What the deployment limits or allows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitSettings {
    /// The largest number of attempts at a shard request.
    pub max_attempts: Option<usize>,
    /// Whether hedged attempts are allowed.
    pub hedging: bool,
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// Whether a rejected client is told how long to wait.
    pub retry_after: bool,
    /// The longest such wait that clients heed, in microseconds.
    pub max_retry_after: Micros,
    /// How long a connection may take to be established, in microseconds.
    pub connect_timeout: Option<Micros>,
    /// After how long a data node closes an idle connection, in microseconds.
    pub idle_timeout: Micros,
    /// The most shard requests queued or in flight on one connection.
    pub max_requests_per_connection: usize,
    /// The most queries and shard requests that a router may hold.
    pub max_in_flight: Option<usize>,
}

/// The rules that a router follows.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSettings {
    /// The longest time between two polls of the endpoint list, in microseconds.
    pub poll_within: Micros,
    /// How long after the notice of a drain a node may still be used, in microseconds.
    pub drain_grace: Micros,
    /// The window of the limit on retries, in microseconds.
    pub retry_window: Micros,
    /// Retries allowed for each arrival; `None` if retries are not limited.
    pub retry_share: Option<f64>,
    /// Retries allowed in any case within a window.
    pub free_retries: f64,
    /// The window of the limit on work for a node that is warming up, in microseconds.
    pub cold_overload_window: Micros,
    /// What such a node may be sent in a window, as a multiple of its capacity.
    pub cold_overload_multiple: f64,
    /// The capacity of a node that has just started, as a share of a warm node's.
    pub cold_capacity_share: f64,
    /// How long a node takes to warm up, in microseconds.
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

/// The settings of a deployment; by default nothing is limited and nothing is enabled.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The zone of this router, as an index.
    pub zone: usize,
    /// How many routers there are, at least 1.
    pub routers: f64,
    /// How often the balancer decides, in microseconds.
    pub decision_interval: Micros,
    /// Whether the priority weight counts by work instead of by shard request.
    pub priority_by_work: bool,
    /// The service classes, by index.
    pub classes: Vec<ClassSettings>,
    /// The tenants, by index.
    pub tenants: Vec<TenantSettings>,
    /// How shards are assigned to data nodes.
    pub shards: ShardSettings,
    /// The settings of batches.
    pub batch: BatchSettings,
    /// What the deployment limits or allows.
    pub limits: LimitSettings,
    /// The rules that a router follows.
    pub rules: RuleSettings,
    /// How changes of the endpoint list become known.
    pub discovery_mode: DiscoveryMode,
    /// Whether data nodes report their load in answers to health checks.
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
    /// The service classes that can be asked for by name: those before the first without a name.
    pub fn named_classes(&self) -> impl Iterator<Item = &ClassSettings> {
        self.classes.iter().take_while(|class| !class.name.is_empty())
    }

    /// The tenants that can be stated by name: those before the first without a name.
    pub fn named_tenants(&self) -> impl Iterator<Item = &TenantSettings> {
        self.tenants.iter().take_while(|tenant| !tenant.name.is_empty())
    }
}
