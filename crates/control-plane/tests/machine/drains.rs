//! Drained and removed nodes get no new requests.

use crate::simulation::{SECOND, SimulatedProxy, Simulation};
use crate::support::{address, endpoint_entry, node_id};
use crate::{DRAIN_GRACE, MILLISECOND};
use balancer::{EndpointUpdate, Micros};
use control_plane::TICK_INTERVAL;
use serde_json::json;
use std::sync::Arc;
use test_servers::Script;

/// Maximum time from a change until the control plane has ticked twice.
const TWO_TICKS: Micros = 2 * TICK_INTERVAL;

#[test]
fn drained_nodes_get_no_new_requests_after_the_drain_grace() {
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
        let uses = |proxy: &SimulatedProxy| proxy.xds_client.view.uses(address(7));
        let using: Vec<bool> = simulation.proxies.iter().map(uses).collect();
        let expected: Vec<bool> = latencies.iter().map(|&latency| latency > DRAIN_GRACE).collect();
        assert_eq!(using, expected, "a proxy stops using the node after its own latency");
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
fn a_drain_is_pushed_ahead_of_unanswered_responses() {
    let mut simulation = Simulation::new(12, 4, 2, "");
    // The proxy rejects single-node clusters, and its answers are delayed by 200 ms.
    let mut script = Script::new("odd", "east", true);
    script.reject = Some(Arc::new(|url: &str, names: &[String]| {
        let has_node_cluster = names.iter().any(|name| name.starts_with("node-"));
        (url.ends_with("Cluster") && has_node_cluster).then(|| "no\n\u{1b}[31m".repeat(99))
    }));
    let proxy = simulation.add_scripted_proxy(script, 200 * MILLISECOND);
    simulation.advance(5 * SECOND);
    simulation.update_endpoints(&[(1, "ready", simulation.now)]);
    simulation.advance(50 * MILLISECOND);
    // The endpoints without node 1 are still unanswered when node 2 drains.
    simulation.update_endpoints(&[(2, "draining", 0)]);
    simulation.advance(250 * MILLISECOND);
    assert_eq!((simulation.proxies_using(1), simulation.proxies_using(2)), (0, 0));
    simulation.advance(SECOND);
    assert!(simulation.proxies[proxy].xds_client.view.rejected > 0);
    // A rejected response does not delay a drain either.
    simulation.update_endpoints(&[(6, "draining", 0)]);
    simulation.advance(250 * MILLISECOND);
    assert_eq!(simulation.proxies_using(6), 0);
}

#[test]
fn a_drain_that_is_reverted_immediately_takes_few_responses_and_is_not_late() {
    let mut simulation = Simulation::new(8, 4, 1, "");
    let proxy = simulation.add_proxy(true, MILLISECOND);
    simulation.advance(SECOND);
    let before = simulation.response_count();
    for state in ["draining", "ready"] {
        let list = json!({"members": [endpoint_entry(0, 4, state, 0)]});
        let now = simulation.now;
        simulation.control_plane.endpoint_update(now, &list, EndpointUpdate::Incremental);
    }
    simulation.advance(SECOND);
    // The drain was pushed immediately and then reverted, so the proxy uses the node again.
    assert!(simulation.proxies[proxy].xds_client.view.uses(address(0)));
    let responses = simulation.response_count() - before;
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
    let view = &simulation.proxies[proxy].xds_client.view;
    assert!(view.is_complete() && view.endpoints["shards-0"].iter().all(|backend| !backend.healthy));
    assert!(view.endpoints["shards-1"].iter().all(|backend| backend.healthy));
}

#[test]
fn failed_endpoint_updates_change_nothing_and_removed_nodes_get_no_new_requests() {
    let mut simulation = Simulation::new(24, 4, 2, "");
    for index in 0..3 {
        simulation.add_proxy(index == 0, 0);
    }
    simulation.advance(SECOND);
    let before = simulation.response_count();
    for _ in 0..10 {
        simulation.fail_discovery();
        simulation.advance(SECOND);
    }
    assert_eq!(simulation.response_count(), before, "the last endpoint list stays in use");
    // Half of the nodes leave the list in one update; the others stay in use.
    let removed = 0..12;
    for node in removed.clone() {
        simulation.entries.remove(&node_id(node));
    }
    simulation.send_full_list();
    simulation.advance(DRAIN_GRACE);
    assert!(removed.clone().all(|node| simulation.proxies_using(node) == 0));
    assert_eq!(simulation.proxies_using(20), 3);
    assert!(simulation.proxies.iter().all(|proxy| proxy.xds_client.view.is_complete()));
}
