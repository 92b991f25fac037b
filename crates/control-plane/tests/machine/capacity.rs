//! The capacity of constrained nodes.

use crate::MILLISECOND;
use crate::simulation::{SECOND, Simulation};
use crate::support::address;
use balancer::Micros;
use test_servers::View;

#[test]
fn two_hundred_proxies_never_exceed_the_capacity_of_a_warming_node() {
    let mut simulation = Simulation::new(24, 4, 2, "");
    for index in 0..200 {
        let high_latency = SECOND + (index as Micros * 7_919) % SECOND;
        simulation.add_proxy(index % 3 > 0, if index % 2 == 0 { MILLISECOND } else { high_latency });
    }
    simulation.advance(60 * SECOND);
    assert_eq!(simulation.proxies_using(9), 200);
    // Node 9 restarts twice, the second time while the grants after the first restart are still being raised.
    simulation.update_endpoints(&[(9, "gone", 0)]);
    simulation.advance(300 * MILLISECOND);
    simulation.update_endpoints(&[(9, "ready", simulation.now)]);
    simulation.advance(6 * SECOND);
    assert!(
        simulation.peak_grants["node-n0009"].granted > 0,
        "no proxy was granted requests to the warming node"
    );
    simulation.update_endpoints(&[(9, "ready", simulation.now)]);
    simulation.advance(4 * SECOND);
    // Meanwhile ten proxies disconnect and ten new ones connect.
    for index in 0..10 {
        simulation.disconnect(index * 11);
    }
    for _ in 0..10 {
        simulation.add_proxy(true, 500 * MILLISECOND);
    }
    simulation.advance(20 * SECOND);
    let connected = simulation.proxies.iter().filter(|proxy| proxy.stream.is_some());
    let views: Vec<&View> = connected.map(|proxy| &proxy.xds_client.view).collect();
    assert!(views.iter().all(|view| view.uses(address(9)) && view.is_complete()));
    assert!(!views[0].clusters.contains_key("node-n0009"), "a warm node has no single-node cluster");
    assert_eq!(simulation.metric("invariants_broken_total"), 0.0);
}
