//! The settings of the site, read once at the start.

use crate::{DiscoveryMode, Micros, Settings};

/// How much more work than it can take a node that is warming up may be sent in a window.
#[derive(Clone, Copy, Default)]
pub struct ColdOverloadRule {
    /// The window.
    pub window: Micros,
    /// What may be sent in a window, as a multiple of the node's capacity.
    pub multiple: f64,
    /// The capacity of a node that has just started, as a share of a warm node's.
    pub initial_capacity_share: f64,
    /// How long a node takes to warm up.
    pub warm_up: Micros,
}

/// How many retries and hedged attempts are allowed in a window.
#[derive(Clone, Copy)]
pub struct RetryBudget {
    /// The window.
    pub window: Micros,
    /// How many are always allowed.
    pub min_retries: f64,
    /// How many are allowed for each query and shard request that arrives.
    pub retry_share: f64,
}

/// The settings of the site.
#[derive(Default)]
pub struct DeploymentSettings {
    /// The zone of this router.
    pub zone: usize,
    /// How many routers there are.
    pub routers: f64,
    /// How often the balancer decides.
    pub decision_interval: Micros,
    /// The largest number of shard requests in a batch.
    pub max_batch: usize,
    /// The fixed work of a batch.
    pub batch_work: f64,
    /// The largest number of attempts at a shard request.
    pub max_attempts: usize,
    /// Whether hedged attempts are allowed.
    pub hedging: bool,
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// Whether the priority weight counts by work instead of by shard request.
    pub priority_by_work: bool,
    /// The longest wait that clients heed when they are rejected, where they are told one.
    pub max_retry_after: Option<Micros>,
    /// The longest time between two polls, where the endpoint list must be polled.
    pub poll_interval: Option<Micros>,
    /// The limit on work for nodes that are warming up.
    pub cold_overload: ColdOverloadRule,
    /// The limit on retries and hedged attempts, where there is one.
    pub retry_budget: Option<RetryBudget>,
}

impl DeploymentSettings {
    /// What the balancer takes where settings are absent: one attempt, and batches of one shard request.
    pub fn new(settings: &Settings) -> Self {
        let Settings { batch, limits, rules, .. } = settings;
        let polled = settings.discovery_mode == DiscoveryMode::Polled;
        DeploymentSettings {
            zone: settings.zone,
            routers: settings.routers,
            decision_interval: settings.decision_interval,
            max_batch: batch.max_shard_requests.unwrap_or(1).max(1),
            batch_work: batch.work as f64,
            max_attempts: limits.max_attempts.unwrap_or(1),
            hedging: limits.hedging,
            cancellation: limits.cancellation,
            priority_by_work: settings.priority_by_work,
            max_retry_after: (limits.retry_after && limits.max_retry_after > 0)
                .then_some(limits.max_retry_after),
            poll_interval: polled.then_some(rules.poll_within),
            cold_overload: ColdOverloadRule {
                window: rules.cold_overload_window,
                multiple: rules.cold_overload_multiple,
                initial_capacity_share: rules.cold_capacity_share,
                warm_up: rules.warm_up,
            },
            retry_budget: rules.retry_share.map(|retry_share| RetryBudget {
                window: rules.retry_window,
                min_retries: rules.free_retries,
                retry_share,
            }),
        }
    }
}
