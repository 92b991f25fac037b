//! Drained and removed nodes get no new work.

use crate::simulation::{SECOND, SimulatedProxy, Simulation};
use crate::support::{address, entry, node_id};
use crate::{DRAIN_GRACE, MILLISECOND};
use balancer::{EndpointUpdate, Micros};
use control_plane::TICK_INTERVAL;
use serde_json::json;
use std::sync::Arc;
use test_servers::Script;

/// The longest time between a change and the next two ticks.
const TWO_TICKS: Micros = 2 * TICK_INTERVAL;

#[test]
fn drained_nodes_get_no_new_work_after_the_grace_time() {
    for delta in [false, true] {
        let mut simulation = Simulation::new(24, 4, 2, "");
        let latencies: Vec<Micros> = (0..21).map(|index| index * 100 * MILLISECOND).collect();
        for &latency in &latencies {
            simulation.add_proxy(delta, latency);
        }
        simulation.advance(60 * SECOND);
        assert_eq!(simulation.proxies_using(7), 21);
        let drained_at = simulation.now;
        simulation.update_endpoints(&[(7, "draining", 0)]);
        simulation.advance(DRAIN_GRACE);
        let uses = |proxy: &SimulatedProxy| proxy.subscriber.view.uses(address(7));
        let using: Vec<bool> = simulation.proxies.iter().map(uses).collect();
        let expected: Vec<bool> = latencies.iter().map(|&latency| latency > DRAIN_GRACE).collect();
        assert_eq!(using, expected, "each proxy by its own latency and no later");
        simulation.advance(TWO_TICKS);
        let late = latencies.iter().filter(|&&latency| latency > DRAIN_GRACE + TWO_TICKS).count();
        assert_eq!(simulation.metric("departures_late"), late as f64);
        simulation.advance(2 * SECOND - (simulation.now - drained_at));
        assert_eq!(simulation.proxies_using(7), 0);
        simulation.advance(3 * SECOND);
        assert_eq!(simulation.metric("departures_late"), 0.0);
    }
}

#[test]
fn a_drain_overtakes_responses_that_are_not_answered() {
    let mut simulation = Simulation::new(12, 4, 2, "");
    // The proxy rejects clusters of single nodes and answers slowly.
    let mut script = Script::new("odd", "east", true);
    script.reject = Some(Arc::new(|url: &str, names: &[String]| {
        let has_node_cluster = names.iter().any(|name| name.starts_with("node-"));
        (url.ends_with("Cluster") && has_node_cluster).then(|| "no\n\u{1b}[31m".repeat(99))
    }));
    let proxy = simulation.add_scripted_proxy(script, 200 * MILLISECOND);
    simulation.advance(5 * SECOND);
    simulation.update_endpoints(&[(1, "ready", simulation.now)]);
    simulation.advance(50 * MILLISECOND);
    // Endpoints without node 1 are not answered yet when another node drains.
    simulation.update_endpoints(&[(2, "draining", 0)]);
    simulation.advance(250 * MILLISECOND);
    assert_eq!((simulation.proxies_using(1), simulation.proxies_using(2)), (0, 0));
    simulation.advance(SECOND);
    assert!(simulation.proxies[proxy].subscriber.view.rejected > 0);
    // A rejected response does not delay a drain either.
    simulation.update_endpoints(&[(6, "draining", 0)]);
    simulation.advance(250 * MILLISECOND);
    assert_eq!(simulation.proxies_using(6), 0);
}

#[test]
fn a_drain_that_is_reverted_at_once_is_neither_late_nor_a_detour() {
    let mut simulation = Simulation::new(8, 4, 1, "");
    let proxy = simulation.add_proxy(true, MILLISECOND);
    simulation.advance(SECOND);
    let before = simulation.responses();
    for state in ["draining", "ready"] {
        let list = json!({"members": [entry(0, 4, state, 0)]});
        let now = simulation.now;
        simulation.control_plane.endpoint_update(now, &list, EndpointUpdate::Incremental);
    }
    simulation.advance(SECOND);
    // The drain was pushed at once and reverted: the proxy ends where it was.
    assert!(simulation.proxies[proxy].subscriber.view.uses(address(0)));
    let responses = simulation.responses() - before;
    assert!(responses <= 6, "{responses} responses");
    assert_eq!(simulation.metric("departures_late"), 0.0);
    // A later drain is pushed as usual.
    simulation.update_endpoints(&[(0, "draining", 0), (4, "draining", 0)]);
    simulation.advance(DRAIN_GRACE);
    assert_eq!((simulation.proxies_using(0), simulation.proxies_using(4)), (0, 0));
}

#[test]
fn the_last_nodes_of_a_replica_set_may_drain() {
    let mut simulation = Simulation::new(8, 4, 1, "");
    let proxy = simulation.add_proxy(true, MILLISECOND);
    simulation.advance(2 * SECOND);
    simulation.update_endpoints(&[(0, "draining", 0), (4, "draining", 0)]);
    simulation.advance(DRAIN_GRACE);
    assert_eq!((simulation.proxies_using(0), simulation.proxies_using(4)), (0, 0));
    let view = &simulation.proxies[proxy].subscriber.view;
    assert!(view.is_complete() && view.endpoints["shards-0"].iter().all(|backend| !backend.healthy));
    assert!(view.endpoints["shards-1"].iter().all(|backend| backend.healthy));
}

#[test]
fn failed_endpoint_updates_change_nothing_and_removed_nodes_get_no_new_work() {
    let mut simulation = Simulation::new(24, 4, 2, "");
    for index in 0..3 {
        simulation.add_proxy(index == 0, 0);
    }
    simulation.advance(SECOND);
    let before = simulation.responses();
    for _ in 0..10 {
        simulation.fail_endpoint_update();
        simulation.advance(SECOND);
    }
    assert_eq!(simulation.responses(), before, "the last list stays in force");
    // Half of the list is gone at once; the rest stays usable.
    let removed = 0..12;
    for node in removed.clone() {
        simulation.entries.remove(&node_id(node));
    }
    simulation.send_full_list();
    simulation.advance(DRAIN_GRACE);
    assert!(removed.clone().all(|node| simulation.proxies_using(node) == 0));
    assert_eq!(simulation.proxies_using(20), 3);
    assert!(simulation.proxies.iter().all(|proxy| proxy.subscriber.view.is_complete()));
}
