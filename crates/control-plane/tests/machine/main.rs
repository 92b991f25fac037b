//! Tests of the control plane's state machine with simulated proxies, a simulated clock and injected faults.

mod capacity;
mod discovery;
mod discovery_peer;
mod drains;
mod load_reports;
mod random_faults;
mod reconnects;
mod requests;
mod responses;
mod restarts;
mod simulation;
#[path = "../support/mod.rs"]
mod support;

use balancer::Micros;

const MILLISECOND: Micros = 1000;
/// Time within which proxies must stop sending new requests to a drained node.
const DRAIN_GRACE: Micros = 500 * MILLISECOND;
