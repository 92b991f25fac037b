//! Settings of the deployment in the form that the policy uses, with defaults applied.

use crate::{DiscoveryMode, Micros, Settings};

/// Limit on the work sent to a node that is warming up; may exceed the node's capacity.
#[derive(Clone, Copy, Default)]
pub struct ColdOverloadRule {
    pub window: Micros,
    /// Maximum work sent in a window, as a multiple of the node's capacity.
    pub multiple: f64,
    /// Capacity of a node that has just started, as a fraction of a warm node's.
    pub initial_capacity_share: f64,
    /// Duration of a node's warm-up.
    pub warm_up: Micros,
}

/// Limit on the retries and hedged attempts in a window.
#[derive(Clone, Copy)]
pub struct RetryBudget {
    pub window: Micros,
    /// Number of retries that are always allowed.
    pub min_retries: f64,
    /// Number of retries allowed in addition, per query and shard request that arrives.
    pub retry_share: f64,
}

/// Settings of the deployment.
#[derive(Default)]
pub struct DeploymentSettings {
    /// Index of this router's zone.
    pub zone: usize,
    /// Number of routers in the deployment.
    pub routers: f64,
    /// Interval at which the balancer makes decisions.
    pub decision_interval: Micros,
    /// Maximum number of shard requests in a batch.
    pub max_batch: usize,
    /// Work of a batch in addition to that of its shard requests.
    pub batch_work: f64,
    /// Maximum number of attempts of a shard request.
    pub max_attempts: usize,
    /// Whether hedged attempts are allowed.
    pub hedging: bool,
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// Whether a class's priority weight applies to a whole query instead of being divided by its number of
    /// shard requests.
    pub priority_by_work: bool,
    /// Longest retry delay that clients respect; `None` if rejections carry no retry delay.
    pub max_retry_after: Option<Micros>,
    /// Maximum time between two polls of the endpoint list; `None` if discovery pushes changes.
    pub poll_interval: Option<Micros>,
    /// Limit on the work sent to nodes that are warming up.
    pub cold_overload: ColdOverloadRule,
    /// Limit on retries and hedged attempts; `None` if they are not limited.
    pub retry_budget: Option<RetryBudget>,
}

impl DeploymentSettings {
    /// Applies the defaults to absent settings: one attempt per shard request, and batches of one shard
    /// request.
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
