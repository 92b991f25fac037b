//! The state of endpoint discovery and of the timer.

use crate::{EndpointUpdate, Micros};

/// The state of endpoint discovery and of the timer.
#[derive(Default)]
pub struct DiscoveryState {
    /// The endpoint update that has begun.
    pub update: Option<EndpointUpdate>,
    /// The number of the last endpoint update.
    pub update_number: u64,
    /// Whether endpoint updates arrive by themselves.
    pub watching: bool,
    /// When the endpoint list may be requested next.
    pub next_request_at: Micros,
    /// Failed requests since the last that succeeded, up to a limit.
    pub failures: u32,
    /// When the timer expires, if it is set.
    pub timer_at: Option<Micros>,
}

impl DiscoveryState {
    /// Notes an endpoint update; returns whether it is the first one after failures.
    pub fn record_update(&mut self) -> bool {
        let recovered = !self.watching && self.failures > 0;
        self.watching = true;
        self.failures = 0;
        recovered
    }
}
