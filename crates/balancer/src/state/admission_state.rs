//! What admission keeps between decisions.

use super::candidate::Choice;
use super::query::QueryFingerprint;
use super::samples_retained::SamplesRetained;
use super::sliding_window::SlidingWindow;
use crate::{Micros, TenantSettings};

/// What a tenant asks, and what it may ask.
pub struct TenantUsage {
    /// Its queries.
    pub arrivals: SlidingWindow,
    /// How many queries a second it may send to all routers together.
    pub quota_per_second: f64,
}

/// A query under which several nodes crashed.
#[derive(Clone, Copy, Debug)]
pub struct PoisonQuery {
    /// When it ended.
    pub ended_at: Micros,
    /// What its retries have in common with it.
    pub fingerprint: QueryFingerprint,
}

/// What admission keeps between decisions.
#[derive(Default)]
pub struct AdmissionState {
    /// By tenant, what it asks.
    pub tenants: Vec<TenantUsage>,
    /// Queries and shard requests that arrived.
    pub arrivals: SlidingWindow,
    /// By node, the places that are kept for waiting queries in this decision.
    pub reservations: Vec<usize>,
    /// For each attempt that was answered, or rejected as another was before, 1 if it was rejected and 0 if
    /// not.
    pub rejections: SlidingWindow,
    /// Until when new queries of more than one batch wait because attempts are rejected.
    pub paced_until: Micros,
    /// Nodes that crashed.
    pub crashes: SlidingWindow,
    /// Whether so many nodes crashed that a canary attempt goes ahead of each query.
    pub canary_mode: bool,
    /// Queries under which several nodes crashed.
    pub poison_queries: Vec<PoisonQuery>,
}

impl AdmissionState {
    /// Without measurements.
    pub fn new(retained: &SamplesRetained) -> Self {
        AdmissionState {
            arrivals: SlidingWindow::new(retained.arrivals),
            rejections: SlidingWindow::new(retained.rejections),
            crashes: SlidingWindow::new(retained.crashes),
            ..Default::default()
        }
    }

    /// Counts a query of a tenant, whose quota is read when it is first seen.
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

    /// Reserves a place at each node that was chosen.
    pub fn reserve(&mut self, choices: &[Choice]) {
        for choice in choices {
            self.reservations[choice.node.0] += 1;
        }
    }

    /// Whether several nodes crashed after `since` under a query with this fingerprint.
    pub fn is_poison_query(&self, fingerprint: QueryFingerprint, since: Micros) -> bool {
        self.poison_queries.iter().any(|poison| poison.ended_at > since && poison.fingerprint == fingerprint)
    }

    /// Remembers a query under which several nodes crashed, and forgets those until `since`.
    pub fn record_poison_query(&mut self, now: Micros, fingerprint: QueryFingerprint, since: Micros) {
        self.poison_queries.retain(|poison| poison.ended_at > since);
        self.poison_queries.push(PoisonQuery { ended_at: now, fingerprint });
    }
}
