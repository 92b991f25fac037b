//! Tests of the capacity ledger.

use super::*;

const CLUSTER: &str = "c";

fn request(target: u32, capacity: u32, minimum: u32) -> CapacityRequest {
    CapacityRequest { target, capacity, minimum }
}

#[test]
fn grants_are_lowered_before_others_are_raised() {
    let [first, second, third] = [0, 1, 2].map(ProxyId);
    let mut ledger = CapacityLedger::default();
    for proxy in [first, second] {
        let offer = ledger.offer(CLUSTER, proxy, request(8, 16, 0));
        ledger.set(CLUSTER, proxy, offer);
    }
    // The third proxy is offered nothing until another one has acknowledged a lower grant.
    assert_eq!(ledger.offer(CLUSTER, third, request(5, 16, 0)), 0);
    assert_eq!(ledger.offer(CLUSTER, first, request(5, 16, 0)), 5);
    ledger.set(CLUSTER, first, 5);
    assert_eq!(ledger.offer(CLUSTER, third, request(5, 16, 0)), 3);
    ledger.set(CLUSTER, third, 3);
    assert_eq!(ledger.total(CLUSTER), 16);
    // Released grants are free for other proxies; a cluster without grants is removed.
    ledger.release_all(second);
    assert_eq!(ledger.offer(CLUSTER, third, request(5, 16, 0)), 5);
    ledger.set_all(first, &BTreeMap::new());
    ledger.release_all(third);
    assert!(ledger.is_empty());
}

#[test]
fn a_proxy_of_a_cluster_with_a_minimum_always_gets_it() {
    let mut ledger = CapacityLedger::default();
    ledger.set(CLUSTER, ProxyId(0), 8);
    assert_eq!(ledger.offer(CLUSTER, ProxyId(1), request(2, 8, 1)), 1);
    assert_eq!(ledger.offer(CLUSTER, ProxyId(1), request(2, 8, 0)), 0);
}
