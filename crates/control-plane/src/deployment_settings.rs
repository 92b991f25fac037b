//! The subset of the router's configuration that the control plane uses, with defaults applied.

use balancer::{ClassSettings, Idempotency, Micros, Settings};
use query_router::config::Config;
use std::time::Duration;

/// Connect timeout if the settings contain none.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
/// Minimum connect timeout of a probe of a data node.
const MIN_PROBE_TIMEOUT: Micros = 1000;

/// The settings of a service class that are encoded in resources.
#[derive(Clone, Debug)]
pub(crate) struct ServiceClass {
    pub name: String,
    pub idempotency: Idempotency,
    pub latency_objective: Micros,
    /// Time after which a request times out, as in a router: the deadline if a late response still has a value,
    /// otherwise the latency objective.
    pub request_timeout: Micros,
}

/// The settings that the control plane uses. They do not change before a restart.
#[derive(Clone, Debug)]
pub(crate) struct DeploymentSettings {
    pub zones: Vec<String>,
    pub classes: Vec<ServiceClass>,
    /// Number of replica sets into which the data nodes are divided.
    pub replica_sets: usize,
    pub shards: usize,
    pub replica_sets_per_shard: usize,
    pub max_attempts: u32,
    pub connect_timeout: Micros,
    /// Connect timeout of a probe of a data node.
    pub probe_timeout: Duration,
    /// Maximum ratio of retries to requests; `None` for no limit.
    pub retry_share: Option<f64>,
    /// Number of concurrent retries allowed regardless of `retry_share`, for all proxies together.
    pub free_retries: f64,
    /// Time after the start of a drain for which proxies may still use the node.
    pub drain_grace: Micros,
}

impl DeploymentSettings {
    /// Extracts the settings from a configuration.
    pub fn new(config: &Config) -> DeploymentSettings {
        let Settings { shards, limits, rules, .. } = &config.settings;
        let probe_timeout = limits.connect_timeout.unwrap_or(0).max(MIN_PROBE_TIMEOUT);
        DeploymentSettings {
            zones: config.settings.zones.clone(),
            classes: config.settings.named_classes().map(ServiceClass::new).collect(),
            replica_sets: shards.replica_sets_or_one(),
            shards: shards.count.unwrap_or(1).max(1),
            replica_sets_per_shard: shards.replica_sets_per_shard_or_one(),
            max_attempts: limits.max_attempts.unwrap_or(1).max(1) as u32,
            connect_timeout: limits.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            probe_timeout: Duration::from_micros(probe_timeout as u64),
            retry_share: rules.retry_share,
            free_retries: rules.free_retries,
            drain_grace: rules.drain_grace.max(1),
        }
    }

    /// Returns the index of a zone. All zones that the settings do not list share the index after the last one.
    pub fn zone_index(&self, zone: &str) -> usize {
        self.zones.iter().position(|known| known == zone).unwrap_or(self.zones.len())
    }

    /// Returns whether the nodes of replica set `node_set` hold the shards whose first replica set is `shard_set`.
    /// Shards are assigned to first replica sets round-robin, and `replica_sets_per_shard` consecutive sets hold each.
    pub fn holds_shards(&self, node_set: usize, shard_set: usize) -> bool {
        let distance = (node_set % self.replica_sets + self.replica_sets - shard_set) % self.replica_sets;
        distance < self.replica_sets_per_shard
    }

    /// Returns the number of shard groups. The shards of a group have the same first replica set.
    pub fn shard_groups(&self) -> usize {
        self.replica_sets.min(self.shards)
    }
}

impl ServiceClass {
    fn new(settings: &ClassSettings) -> ServiceClass {
        let latency_objective = settings.latency_objective_or_deadline();
        ServiceClass {
            name: settings.name.clone(),
            idempotency: settings.idempotency,
            latency_objective,
            request_timeout: if settings.late_value > 0.0 { settings.deadline } else { latency_objective },
        }
    }
}
