//! Admission state that is kept between decisions.

use super::candidate::Choice;
use super::query::QueryFingerprint;
use super::samples_retained::SamplesRetained;
use super::sliding_window::SlidingWindow;
use crate::{Micros, TenantSettings};

/// Query rate and quota of a tenant.
pub struct TenantUsage {
    /// One sample for each query that arrived.
    pub arrivals: SlidingWindow,
    /// Maximum rate of queries to all routers together, per second; infinite if the rate is not limited.
    pub quota_per_second: f64,
}

/// A query during which several nodes crashed.
#[derive(Clone, Copy, Debug)]
pub struct PoisonQuery {
    /// Time at which the query was ended.
    pub ended_at: Micros,
    /// Identifies later retries of the query.
    pub fingerprint: QueryFingerprint,
}

/// Admission state that is kept between decisions.
#[derive(Default)]
pub struct AdmissionState {
    /// Tenants, by index.
    pub tenants: Vec<TenantUsage>,
    /// One sample for each query and shard request that arrived.
    pub arrivals: SlidingWindow,
    /// Number of shard requests for which capacity is reserved in this decision, by node.
    pub reservations: Vec<usize>,
    /// Share of rejected attempts, as samples of 1 for a rejection and 0 for an answer. The first rejection of
    /// a shard request counts only together with a second one.
    pub rejections: SlidingWindow,
    /// Time until which pacing delays new queries of more than one batch because attempts are rejected.
    pub paced_until: Micros,
    /// One sample for each crash of a node.
    pub crashes: SlidingWindow,
    /// Whether each query starts with a canary attempt because many nodes crashed recently.
    pub canary_mode: bool,
    /// Recent queries during which several nodes crashed.
    pub poison_queries: Vec<PoisonQuery>,
}

impl AdmissionState {
    /// Creates the state without measurements.
    pub fn new(retained: &SamplesRetained) -> Self {
        AdmissionState {
            arrivals: SlidingWindow::new(retained.arrivals),
            rejections: SlidingWindow::new(retained.rejections),
            crashes: SlidingWindow::new(retained.crashes),
            ..Default::default()
        }
    }

    /// Counts a query of a tenant and returns the tenant's usage; reads the tenant's quota on its first query.
    pub fn count_query(
        &mut self, now: Micros, tenant: usize, settings: &[TenantSettings], retained: &SamplesRetained,
    ) -> &TenantUsage {
        let unknown = self.tenants.len()..=tenant;
        self.tenants.extend(unknown.map(|tenant| {
            let quota = settings.get(tenant).and_then(|tenant| tenant.quota_per_second);
            TenantUsage {
                arrivals: SlidingWindow::new(retained.tenant_arrivals),
                quota_per_second: quota.unwrap_or(f64::INFINITY),
            }
        }));
        let usage = &mut self.tenants[tenant];
        usage.arrivals.push(now, 1.0);
        usage
    }

    /// Reserves capacity for one shard request at each chosen node.
    pub fn reserve(&mut self, choices: &[Choice]) {
        for choice in choices {
            self.reservations[choice.node.0] += 1;
        }
    }

    /// Returns whether several nodes crashed during a query with this fingerprint that ended after `since`.
    pub fn is_poison_query(&self, fingerprint: QueryFingerprint, since: Micros) -> bool {
        self.poison_queries.iter().any(|poison| poison.ended_at > since && poison.fingerprint == fingerprint)
    }

    /// Records a query during which several nodes crashed, and removes those that ended at `since` or earlier.
    pub fn record_poison_query(&mut self, now: Micros, fingerprint: QueryFingerprint, since: Micros) {
        self.poison_queries.retain(|poison| poison.ended_at > since);
        self.poison_queries.push(PoisonQuery { ended_at: now, fingerprint });
    }
}
