//! The platform's settings that the control plane uses, as typed values.

use balancer::{Micros, Settings};
use query_router::config::{Config, names_in_list};
use std::time::Duration;

/// The connect timeout where the settings name none.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
/// The shortest time in which a probe of a data node may connect.
const MIN_PROBE_TIMEOUT: Micros = 1000;

/// Whether a request of a service class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Idempotency {
    Idempotent,
    /// Only with an idempotency key, which a proxy cannot keep.
    Keyed,
    NonIdempotent,
}

/// How the platform notifies of changes of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoveryMode {
    Polled,
    Pushed,
}

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
        let settings = &config.settings;
        let replica_sets = count(settings, "shards.replica_sets");
        let probe_timeout = config.micros("limits.connect_timeout_us").max(MIN_PROBE_TIMEOUT);
        let polled = settings.text("discovery.mode") == "polled";
        SiteSettings {
            zones: names_in_list(settings, "zone"),
            classes: service_classes(settings),
            replica_sets,
            shards: count(settings, "shards.count"),
            replica_sets_per_shard: count(settings, "shards.replica_sets_per_shard").min(replica_sets),
            max_attempts: count(settings, "limits.max_attempts") as u32,
            connect_timeout: settings
                .number("limits.connect_timeout_us")
                .map_or(DEFAULT_CONNECT_TIMEOUT, |timeout| timeout as Micros),
            probe_timeout: Duration::from_micros(probe_timeout as u64),
            retry_share: settings.number("rules.retry_share"),
            free_retries: settings.number("rules.free_retries").unwrap_or(0.0),
            drain_grace: config.micros("rules.drain_grace_us").max(1),
            discovery_mode: if polled { DiscoveryMode::Polled } else { DiscoveryMode::Pushed },
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

fn service_classes(settings: &Settings) -> Vec<ServiceClass> {
    let names = names_in_list(settings, "class");
    names.into_iter().enumerate().map(|(index, name)| service_class(settings, index, name)).collect()
}

fn service_class(settings: &Settings, index: usize, name: String) -> ServiceClass {
    let key = |field: &str| format!("class.{index}.{field}");
    let deadline = settings.number(&key("deadline_us")).unwrap_or(0.0) as Micros;
    let latency_objective =
        settings.number(&key("latency_objective_us")).map_or(deadline, |objective| objective as Micros);
    let late_value = settings.number(&key("late_value")).unwrap_or(0.0);
    ServiceClass {
        name,
        idempotency: match settings.text(&key("idempotency")) {
            "idempotent" => Idempotency::Idempotent,
            "idempotency_key" => Idempotency::Keyed,
            _ => Idempotency::NonIdempotent,
        },
        latency_objective,
        request_timeout: if late_value > 0.0 { deadline } else { latency_objective },
    }
}

/// A setting that counts something; at least 1.
fn count(settings: &Settings, name: &str) -> usize {
    settings.number(name).unwrap_or(1.0).max(1.0) as usize
}
