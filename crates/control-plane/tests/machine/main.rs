//! The state machine of the control plane with simulated proxies, under faults of all kinds.

mod capacity;
mod drains;
mod load_reports;
mod random_faults;
mod reconnects;
mod requests;
mod responses;
mod simulation;
#[path = "../support/mod.rs"]
mod support;

use balancer::Micros;

const MILLISECOND: Micros = 1000;
/// The time in which proxies have to react to a drain.
const DRAIN_GRACE: Micros = 500 * MILLISECOND;
