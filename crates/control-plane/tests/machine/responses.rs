//! Selection of responses, rejected and unanswered responses, and leases.

use crate::MILLISECOND;
use crate::simulation::{SECOND, Simulation};
use crate::support::address;
use std::sync::Arc;
use test_servers::Script;

#[test]
fn a_rejected_version_is_not_sent_again_and_delays_nothing_else() {
    let mut simulation = Simulation::new(24, 4, 1, "");
    let mut script = Script::new("picky", "east", true);
    script.reject = Some(Arc::new(|url: &str, names: &[String]| {
        let has_rejected = names.iter().any(|name| name == "shards-2");
        (url.ends_with("Assignment") && has_rejected).then(|| "bad".to_string())
    }));
    let proxy = simulation.add_scripted_proxy(script, 0);
    simulation.advance(5 * SECOND);
    let view = &simulation.proxies[proxy].xds_client.view;
    assert!(view.endpoints.len() == 3 && !view.endpoints.contains_key("shards-2"));
    // The rejected resource is sent at most twice together with others and once alone.
    assert!((1..=3).contains(&view.rejected), "{} rejected responses", view.rejected);
    let before = simulation.response_count();
    simulation.advance(60 * SECOND);
    assert_eq!(simulation.response_count(), before, "a rejected version is not sent again");
    simulation.proxies[proxy].xds_client.script.reject = None;
    simulation.update_endpoints(&[(2, "draining", 0)]);
    simulation.advance(SECOND);
    assert!(simulation.proxies[proxy].xds_client.view.is_complete());
    assert!(simulation.metric("refused_total") >= 1.0);
}

#[test]
fn a_proxyless_client_gets_the_resources_that_it_requests_by_name() {
    for delta in [false, true] {
        let mut simulation = Simulation::new(12, 4, 2, "");
        let mut script = Script::new("grpc", "north", delta);
        script.proxyless_listener = Some("yewpier".to_string());
        let client = simulation.add_scripted_proxy(script, 0);
        simulation.advance(SECOND);
        let view = &simulation.proxies[client].xds_client.view;
        assert!(view.is_complete() && view.listeners.contains("yewpier") && view.listeners.len() == 1);
        simulation.update_endpoints(&[(1, "ready", simulation.now)]);
        simulation.advance(5 * SECOND);
        simulation.advance(20 * SECOND);
        assert!(simulation.proxies[client].xds_client.view.is_complete() && simulation.proxies_using(1) == 1);
    }
}

#[test]
fn a_proxy_that_answers_no_response_is_disconnected_and_removed() {
    let mut simulation = Simulation::new(8, 4, 1, "answer_within = 2s\nhold = 3s");
    let unresponsive = simulation.add_proxy(true, 600 * SECOND);
    let responsive = simulation.add_proxy(true, 0);
    for index in 0..20 {
        let state = if index % 2 == 0 { "draining" } else { "ready" };
        simulation.update_endpoints(&[(1, state, 0)]);
        simulation.advance(50 * MILLISECOND);
    }
    simulation.advance(4 * SECOND);
    let statuses = &simulation.proxies[unresponsive].statuses;
    assert_eq!(*statuses, ["DeadlineExceeded: a response was not answered in time"]);
    simulation.advance(4 * SECOND);
    assert_eq!(simulation.metric("proxies"), 1.0);
    assert!(simulation.proxies[responsive].xds_client.view.uses(address(1)));
}

#[test]
fn leases_are_renewed_as_long_as_the_control_plane_runs() {
    for delta in [false, true] {
        let mut simulation = Simulation::new(8, 4, 1, "lease = 3s");
        let proxy = simulation.add_proxy(delta, MILLISECOND);
        simulation.advance(10 * SECOND);
        let view = &simulation.proxies[proxy].xds_client.view;
        assert!((8 * 4..=10 * 4).contains(&view.heartbeats), "{} heartbeats", view.heartbeats);
        simulation.update_endpoints(&[(1, "draining", 0)]);
        simulation.advance(SECOND);
        assert_eq!(simulation.proxies_using(1), 0);
    }
}
