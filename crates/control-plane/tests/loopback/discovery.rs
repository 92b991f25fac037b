//! Tests of drains that discovery tells in an unusual way or at an unusual moment.

use crate::DRAIN_GRACE;
use crate::running_server::{RunningServer, drain, start_discovery, wait_for_complete_views};
use crate::support::{ZONES, address, endpoint_entry};
use balancer::DiscoveryMode;
use serde_json::Value as Json;
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_servers::{Proxy, Script, View};

const NODES: usize = 8;
const REPLICA_SETS: usize = 4;
/// The node that drains.
const DRAINED: usize = 3;
const MODES: [DiscoveryMode; 2] = [DiscoveryMode::Pushed, DiscoveryMode::Polled];
/// How long discovery cannot be reached after a restart of the control plane.
const OUTAGE: Duration = Duration::from_secs(4);

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

/// Guards against a control plane that gives proxies the list from before its start back while it cannot reach discovery:
/// proxies then use nodes that a former instance has told them to leave (`review/9` at a proxy).
#[tokio::test(flavor = "multi_thread")]
async fn no_proxy_gets_a_drained_node_back_from_a_restarted_control_plane() {
    for mode in MODES {
        let cached: Vec<Json> =
            (0..NODES).map(|node| endpoint_entry(node, REPLICA_SETS, "ready", 0)).collect();
        let discovery = start_discovery(NODES, REPLICA_SETS);
        let server =
            RunningServer::start_with_endpoints(&discovery, mode, REPLICA_SETS, cached.clone()).await;
        let former: Vec<_> = (0..2).map(|index| server.start_proxy(script(index))).collect();
        wait_for_complete_views(&former).await;
        drain(&discovery, DRAINED, REPLICA_SETS);
        wait_for_drain(&former, DRAIN_GRACE).await;
        discovery.publish(vec![endpoint_entry(DRAINED, REPLICA_SETS, "gone", 0)]);
        server.stop().await;
        discovery.set_down(true);
        let successor = RunningServer::start_with_endpoints(&discovery, mode, REPLICA_SETS, cached).await;
        // Two come back with their views and name the versions that they have, two with their views name none, and one
        // is new.
        let views: Vec<View> = former.iter().map(|proxy| proxy.view()).collect();
        let without_versions = |view: &View| View { versions: Default::default(), ..view.clone() };
        let resumed =
            (0..2).map(|index| successor.start_proxy_with_view(script(index), views[index].clone()));
        let silent = (0..2)
            .map(|index| successor.start_proxy_with_view(script(2 + index), without_versions(&views[index])));
        let mut proxies: Vec<_> = resumed.chain(silent).collect();
        proxies.push(successor.start_proxy(script(4)));
        let started_at = Instant::now();
        while started_at.elapsed() < OUTAGE {
            for proxy in &proxies {
                let elapsed = started_at.elapsed();
                assert!(
                    !proxy.view().uses(address(DRAINED)),
                    "{mode:?}: {} after {elapsed:?}",
                    proxy.script.id
                );
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        discovery.set_down(false);
        wait_for_complete_views(&proxies).await;
        assert!(proxies.iter().all(|proxy| !proxy.view().uses(address(DRAINED))), "{mode:?}");
        assert!(proxies.iter().all(|proxy| proxy.view().uses(address(DRAINED + 1))), "{mode:?}");
        successor.stop().await;
    }
}
