//! Tests of drains that discovery tells in an unusual way or at an unusual moment.

use crate::DRAIN_GRACE;
use crate::running_server::{RunningServer, drain, start_discovery, wait_for_complete_views};
use crate::support::{ZONES, address};
use balancer::DiscoveryMode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_servers::{Proxy, Script};

const NODES: usize = 8;
const REPLICA_SETS: usize = 4;
/// The node that drains.
const DRAINED: usize = 3;
const MODES: [DiscoveryMode; 2] = [DiscoveryMode::Pushed, DiscoveryMode::Polled];

fn script(index: usize) -> Script {
    Script::new(&format!("p{index}"), ZONES[index % ZONES.len()], index.is_multiple_of(2))
}

async fn wait_for_drain(proxies: &[Arc<Proxy>], limit: Duration) {
    let drained_at = Instant::now();
    for proxy in proxies {
        proxy.wait_for_view("the drain", |view| !view.uses(address(DRAINED))).await;
    }
    assert!(drained_at.elapsed() < limit, "in use until {:?} after the drain", drained_at.elapsed());
}

/// Guards against lists that are rejected since they do not stand on one line (`review/8`): drains were lost for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_in_an_indented_list_reaches_proxies_within_the_grace() {
    for mode in MODES {
        let discovery = start_discovery(NODES, REPLICA_SETS);
        discovery.set_indented(true);
        let server = RunningServer::start_with_endpoints(&discovery, mode, REPLICA_SETS, Vec::new()).await;
        let proxies: Vec<_> = (0..2).map(|index| server.start_proxy(script(index))).collect();
        wait_for_complete_views(&proxies).await;
        drain(&discovery, DRAINED, REPLICA_SETS);
        wait_for_drain(&proxies, DRAIN_GRACE).await;
        server.stop().await;
    }
}

/// Guards against a drain that is learned after its grace since the next watch comes too late (`review/10`).
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_that_ends_the_watch_instead_of_being_told_reaches_proxies_within_the_grace() {
    let discovery = start_discovery(NODES, REPLICA_SETS);
    let server = RunningServer::start(&discovery, REPLICA_SETS, "").await;
    let proxies: Vec<_> = (0..2).map(|index| server.start_proxy(script(index))).collect();
    wait_for_complete_views(&proxies).await;
    discovery.end_watches_at_next_change();
    drain(&discovery, DRAINED, REPLICA_SETS);
    wait_for_drain(&proxies, DRAIN_GRACE).await;
    server.stop().await;
}
