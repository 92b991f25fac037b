//! The platform's settings that the control plane uses, as typed values.

use balancer::{ClassSettings, DiscoveryMode, Idempotency, Micros, Settings};
use query_router::config::Config;
use std::time::Duration;

/// The connect timeout where the settings name none.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
/// The shortest time in which a probe of a data node may connect.
const MIN_PROBE_TIMEOUT: Micros = 1000;

/// The values of a service class that resources carry.
#[derive(Clone, Debug)]
pub(crate) struct ServiceClass {
    pub name: String,
    pub idempotency: Idempotency,
    pub latency_objective: Micros,
    /// When a request times out: at the deadline if a late answer has a value, else at the latency objective,
    /// as in a router.
    pub request_timeout: Micros,
}

/// The settings of the site.
#[derive(Clone, Debug)]
pub(crate) struct SiteSettings {
    pub zones: Vec<String>,
    pub classes: Vec<ServiceClass>,
    /// The number of replica sets into which nodes are divided.
    pub replica_sets: usize,
    pub shards: usize,
    pub replica_sets_per_shard: usize,
    pub max_attempts: u32,
    pub connect_timeout: Micros,
    /// How long a probe of a data node may take to connect.
    pub probe_timeout: Duration,
    /// Retries in relation to requests; `None` if they are not limited.
    pub retry_share: Option<f64>,
    /// Retries that are allowed in any case.
    pub free_retries: f64,
    /// How long after the notice of a drain proxies may still use the node.
    pub drain_grace: Micros,
    pub discovery_mode: DiscoveryMode,
}

impl SiteSettings {
    /// Reads the settings of a configuration.
    pub fn new(config: &Config) -> SiteSettings {
        let Settings { shards, limits, rules, .. } = &config.settings;
        let probe_timeout = limits.connect_timeout.unwrap_or(0).max(MIN_PROBE_TIMEOUT);
        SiteSettings {
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
            discovery_mode: config.settings.discovery_mode,
        }
    }

    /// The index of a zone. A zone that the settings do not name gets the index after the last.
    pub fn zone_index(&self, zone: &str) -> usize {
        self.zones.iter().position(|known| known == zone).unwrap_or(self.zones.len())
    }

    /// Whether the nodes of replica set `node_set` hold the shards that start with `shard_set`: shards are
    /// assigned to replica sets in turn, and each shard to as many consecutive sets as the settings say.
    pub fn holds_shards(&self, node_set: usize, shard_set: usize) -> bool {
        let distance = (node_set % self.replica_sets + self.replica_sets - shard_set) % self.replica_sets;
        distance < self.replica_sets_per_shard
    }

    /// The number of groups of shards that are held by the same nodes.
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
