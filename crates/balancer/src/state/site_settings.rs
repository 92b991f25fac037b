//! The settings of the site, read once at the start.

use crate::{Micros, Settings};

/// How much more work than it can take a node that is warming up may be sent in a window.
#[derive(Clone, Copy, Default)]
pub struct ColdOverloadRule {
    /// The window.
    pub window: Micros,
    /// What may be sent in a window, as a multiple of the node's capacity.
    pub multiple: f64,
    /// The capacity of a node that has just started, as a share of a warm node's.
    pub initial_capacity: f64,
    /// How long a node takes to warm up.
    pub warm_up: Micros,
}

/// How many retries and hedged attempts are allowed in a window.
#[derive(Clone, Copy)]
pub struct RetryBudget {
    /// The window.
    pub window: Micros,
    /// How many are always allowed.
    pub free: f64,
    /// How many are allowed for each query and shard request that arrives.
    pub share: f64,
}

/// The settings of the site.
#[derive(Default)]
pub struct SiteSettings {
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
    pub retry_after: Option<Micros>,
    /// The longest time between two polls, where the endpoint list must be polled.
    pub poll_interval: Option<Micros>,
    /// The limit on work for nodes that are warming up.
    pub cold_overload: ColdOverloadRule,
    /// The limit on retries and hedged attempts, where there is one.
    pub retry_budget: Option<RetryBudget>,
}

impl SiteSettings {
    /// Reads the settings; one that is absent limits nothing and enables nothing.
    pub fn new(settings: &Settings) -> Self {
        let number = |name, absent| settings.number(name).unwrap_or(absent);
        let micros = |name| number(name, 0.0) as Micros;
        let polled = settings.text("discovery.mode") == "polled";
        let advises_clients = settings.flag("limits.retry_after");
        let max_retry_after = micros("limits.max_retry_after_us");
        SiteSettings {
            zone: number("zone", 0.0) as usize,
            routers: number("routers", 1.0).max(1.0),
            decision_interval: micros("decision_interval_us"),
            max_batch: number("batch.max_shard_requests", 1.0).max(1.0) as usize,
            batch_work: number("batch.work_us", 0.0),
            max_attempts: number("limits.max_attempts", 1.0) as usize,
            hedging: settings.flag("limits.hedging"),
            cancellation: settings.flag("limits.cancellation"),
            priority_by_work: settings.text("priority_by") == "work",
            retry_after: (advises_clients && max_retry_after > 0).then_some(max_retry_after),
            poll_interval: polled.then_some(micros("rules.poll_within_us")),
            cold_overload: ColdOverloadRule {
                window: micros("rules.cold_overload_window_us"),
                multiple: number("rules.cold_overload_multiple", 1.0),
                initial_capacity: number("rules.cold_capacity_share", 1.0),
                warm_up: micros("rules.warm_up_us"),
            },
            retry_budget: settings.number("rules.retry_share").map(|share| RetryBudget {
                window: micros("rules.retry_window_us"),
                free: number("rules.free_retries", 0.0),
                share,
            }),
        }
    }
}
