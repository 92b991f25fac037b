//! Proxies that reconnect, and control planes that restart.

use crate::MILLISECOND;
use crate::simulation::{SECOND, START, Simulation};
use crate::support::{config, endpoint_entry, options};
use balancer::EndpointUpdate;
use control_plane::ControlPlane;
use serde_json::{Value as Json, json};
use test_servers::{Backend, View};

/// The part of a proxy's view that is the same for all proxies of a zone.
#[derive(Debug, PartialEq)]
struct CommonView {
    listeners: Vec<String>,
    endpoints: Vec<(String, Vec<Backend>)>,
}

fn common_view(view: &View) -> CommonView {
    let endpoints = view.endpoints.iter().filter(|(name, _)| name.starts_with("shards"));
    CommonView {
        listeners: view.listeners.iter().cloned().collect(),
        endpoints: endpoints.map(|(name, backends)| (name.clone(), backends.clone())).collect(),
    }
}

#[test]
fn a_proxy_that_reconnects_after_any_response_has_complete_views_only() {
    for delta in [false, true] {
        for responses in 1..=14 {
            let mut simulation = Simulation::new(12, 4, 2, "");
            let uninterrupted = simulation.add_proxy(delta, 0);
            simulation.proxies[uninterrupted].xds_client.script.zone = "east".into();
            let reconnecting = simulation.add_proxy(delta, MILLISECOND);
            simulation.proxies[reconnecting].xds_client.script.zone = "east".into();
            simulation.proxies[reconnecting].disconnect_after = Some(responses);
            simulation.advance(SECOND);
            // Node 3 restarts and gets a single-node cluster, node 5 drains, and node 12 is new.
            simulation.update_endpoints(&[
                (3, "ready", simulation.now),
                (5, "draining", 0),
                (12, "ready", 0),
            ]);
            simulation.advance(SECOND);
            let is_connected =
                simulation.proxies[reconnecting].disconnect_after.is_none_or(|remaining| remaining > 0);
            assert!(responses > 9 || !is_connected, "the stream did not break after {responses} responses");
            simulation.update_endpoints(&[(3, "gone", 0)]);
            simulation.connect(reconnecting);
            simulation.advance(2 * SECOND);
            let view = &simulation.proxies[reconnecting].xds_client.view;
            assert!(view.is_complete());
            let uninterrupted_view = &simulation.proxies[uninterrupted].xds_client.view;
            assert_eq!(common_view(view), common_view(uninterrupted_view), "after {responses} responses");
            let using = [3, 5, 12].map(|node| simulation.proxies_using(node));
            assert_eq!(using, [0, 0, 2]);
        }
    }
}

#[test]
fn a_restarted_control_plane_sends_nothing_to_proxies_that_are_up_to_date() {
    for delta in [false, true] {
        let mut simulation = Simulation::new(24, 4, 2, "expected = 12");
        for index in 0..12 {
            simulation.add_proxy(delta, index * MILLISECOND);
        }
        simulation.advance(30 * SECOND);
        let before = simulation.response_count();
        let views = |simulation: &Simulation| -> Vec<CommonView> {
            simulation.proxies.iter().map(|proxy| common_view(&proxy.xds_client.view)).collect()
        };
        let views_before = views(&simulation);
        // Discovery is unreachable at first, then sends an empty list, then the list from before the restart.
        let cached: Vec<Json> = vec![endpoint_entry(0, 4, "ready", 0)];
        let config = config(4, 2, cached);
        let control_plane = ControlPlane::new(simulation.now, &config, options("expected = 12"));
        simulation.replace_control_plane(control_plane);
        let requests_before = simulation.discovery.opened;
        simulation.fail_discovery();
        simulation.advance(12 * SECOND);
        assert!(simulation.discovery.opened > requests_before);
        assert_eq!(
            simulation.response_count(),
            before,
            "the cached list does not revert proxies to older resources"
        );
        let empty = json!({"members": [], "complete": true});
        simulation.control_plane.endpoint_update(simulation.now, &empty, EndpointUpdate::Full);
        simulation.advance(SECOND);
        assert_eq!(
            simulation.response_count(),
            before,
            "an empty list after a restart removes no resources from proxies"
        );
        simulation.send_full_list();
        simulation.advance(30 * SECOND);
        assert_eq!(simulation.response_count(), before, "proxies that are up to date are sent nothing");
        assert_eq!(views(&simulation), views_before);
        // The next change is sent to all proxies.
        simulation.update_endpoints(&[(3, "draining", 0)]);
        simulation.advance(SECOND);
        assert_eq!(simulation.proxies_using(3), 0);
    }
}

#[test]
fn without_discovery_a_new_proxy_gets_the_cached_endpoints_after_a_while() {
    let cached: Vec<Json> = (0..8).map(|node| endpoint_entry(node, 4, "ready", 0)).collect();
    let mut simulation = Simulation::new(8, 4, 1, "");
    let control_plane = ControlPlane::new(START, &config(4, 1, cached), options(""));
    simulation.replace_control_plane(control_plane);
    let proxy = simulation.add_proxy(true, 0);
    // Until then the list may be older than what proxies have learned from a predecessor of this control plane.
    simulation.advance(8 * SECOND);
    assert_eq!((simulation.response_count(), simulation.proxies_using(7)), (0, 0));
    simulation.advance(2 * SECOND);
    assert!(simulation.proxies[proxy].xds_client.view.is_complete() && simulation.proxies_using(7) == 1);
}

#[test]
fn two_control_planes_with_the_same_endpoints_send_the_same_resources() {
    let mut simulation = Simulation::new(24, 4, 2, "expected = 6");
    let members: Vec<Json> = simulation.entries.values().cloned().collect();
    for index in 0..6 {
        simulation.add_proxy(index % 2 == 0, 0);
    }
    simulation.advance(20 * SECOND);
    let before = simulation.response_count();
    let mut second = ControlPlane::new(simulation.now, &config(4, 2, Vec::new()), options("expected = 6"));
    let list = json!({"members": members, "complete": true});
    second.endpoint_update(simulation.now, &list, EndpointUpdate::Full);
    simulation.replace_control_plane(second);
    simulation.advance(20 * SECOND);
    assert_eq!(simulation.response_count(), before);
}
