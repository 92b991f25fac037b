//! State of endpoint discovery and of the decision timer.

use crate::{EndpointUpdate, Micros};

/// State of endpoint discovery and of the decision timer.
#[derive(Default)]
pub struct DiscoveryState {
    /// Kind of the endpoint update in progress, if there is one.
    pub update: Option<EndpointUpdate>,
    /// Sequence number of the last endpoint update.
    pub update_number: u64,
    /// Whether the watch on the endpoint list is active: an update has arrived since the last failure. The list
    /// is requested only while the watch is not active.
    pub watching: bool,
    /// Earliest time of the next request for the endpoint list.
    pub next_request_at: Micros,
    /// Time of the first failed update since the last successful one or the last change of discovery's address;
    /// `None` if there was none.
    pub failing_since: Option<Micros>,
    /// Time of the last change of discovery's address; `None` if there was none.
    pub address_changed_at: Option<Micros>,
    /// Time of the provisional endpoint list; `None` if there was none, the full list has replaced it, or the wait for
    /// the full list is over.
    pub provisional_since: Option<Micros>,
    /// Expiry time of the timer, if it is set.
    pub timer_at: Option<Micros>,
}

impl DiscoveryState {
    /// Records a successful endpoint update; returns whether it is the first one after failures.
    pub fn record_update(&mut self) -> bool {
        let recovered = !self.watching && self.failing_since.is_some();
        self.watching = true;
        self.failing_since = None;
        recovered
    }
}
