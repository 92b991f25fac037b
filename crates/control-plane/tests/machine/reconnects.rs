//! Proxies that reconnect, and control planes that restart.

use crate::MILLISECOND;
use crate::simulation::{SECOND, START, Simulation};
use crate::support::{config, entry, options};
use balancer::EndpointUpdate;
use control_plane::ControlPlane;
use serde_json::{Value as Json, json};
use test_servers::{Backend, View};

/// The part of a proxy's view that all proxies of a zone have in common.
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
fn a_proxy_that_reconnects_after_any_response_acts_on_complete_views_only() {
    for delta in [false, true] {
        for responses in 1..=14 {
            let mut simulation = Simulation::new(12, 4, 2, "");
            let steady = simulation.add_proxy(delta, 0);
            simulation.proxies[steady].subscriber.script.zone = "east".into();
            let reconnecting = simulation.add_proxy(delta, MILLISECOND);
            simulation.proxies[reconnecting].subscriber.script.zone = "east".into();
            simulation.proxies[reconnecting].disconnect_after = Some(responses);
            simulation.advance(SECOND);
            // A node restarts and gets a cluster of its own, one drains, one is new.
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
            let view = &simulation.proxies[reconnecting].subscriber.view;
            assert!(view.is_complete());
            let steady_view = &simulation.proxies[steady].subscriber.view;
            assert_eq!(common_view(view), common_view(steady_view), "after {responses} responses");
            let using = [3, 5, 12].map(|node| simulation.proxies_using(node));
            assert_eq!(using, [0, 0, 2]);
        }
    }
}

#[test]
fn a_restart_sends_nothing_to_proxies_that_are_up_to_date() {
    for delta in [false, true] {
        let mut simulation = Simulation::new(24, 4, 2, "expected = 12");
        for index in 0..12 {
            simulation.add_proxy(delta, index * MILLISECOND);
        }
        simulation.advance(30 * SECOND);
        let before = simulation.responses();
        let views = |simulation: &Simulation| -> Vec<CommonView> {
            simulation.proxies.iter().map(|proxy| common_view(&proxy.subscriber.view)).collect()
        };
        let views_before = views(&simulation);
        // Discovery cannot be reached at first; then its list is empty, then as it was.
        let cached: Vec<Json> = vec![entry(0, 4, "ready", 0)];
        let config = config(4, 2, cached);
        let mut control_plane = ControlPlane::new(simulation.now, &config, options("expected = 12"));
        control_plane.endpoint_update(simulation.now, &Json::Null, EndpointUpdate::Failed);
        simulation.replace_control_plane(control_plane);
        simulation.advance(3 * SECOND);
        assert!(simulation.watches > 0);
        assert_eq!(simulation.responses(), before, "a cached list takes no proxy back to an older state");
        let empty = json!({"members": [], "complete": true});
        simulation.control_plane.endpoint_update(simulation.now, &empty, EndpointUpdate::Full);
        simulation.advance(SECOND);
        assert_eq!(simulation.responses(), before, "an empty list at the start takes nothing from proxies");
        simulation.send_full_list();
        simulation.advance(30 * SECOND);
        assert_eq!(simulation.responses(), before, "all proxies were up to date");
        assert_eq!(views(&simulation), views_before);
        // They are sent the next change.
        simulation.update_endpoints(&[(3, "draining", 0)]);
        simulation.advance(SECOND);
        assert_eq!(simulation.proxies_using(3), 0);
    }
}

#[test]
fn without_discovery_a_new_proxy_gets_the_cached_endpoints() {
    let cached: Vec<Json> = (0..8).map(|node| entry(node, 4, "ready", 0)).collect();
    let mut simulation = Simulation::new(8, 4, 1, "");
    let control_plane = ControlPlane::new(START, &config(4, 1, cached), options(""));
    simulation.replace_control_plane(control_plane);
    let proxy = simulation.add_proxy(true, 0);
    simulation.advance(SECOND);
    assert!(simulation.proxies[proxy].subscriber.view.is_complete() && simulation.proxies_using(7) == 1);
}

#[test]
fn two_control_planes_with_the_same_endpoints_hand_out_the_same_resources() {
    let mut simulation = Simulation::new(24, 4, 2, "expected = 6");
    let members: Vec<Json> = simulation.entries.values().cloned().collect();
    for index in 0..6 {
        simulation.add_proxy(index % 2 == 0, 0);
    }
    simulation.advance(20 * SECOND);
    let before = simulation.responses();
    let mut other = ControlPlane::new(simulation.now, &config(4, 2, Vec::new()), options("expected = 6"));
    let list = json!({"members": members, "complete": true});
    other.endpoint_update(simulation.now, &list, EndpointUpdate::Full);
    simulation.replace_control_plane(other);
    simulation.advance(20 * SECOND);
    assert_eq!(simulation.responses(), before);
}
