//! Tests of a control plane that has just started and whose only endpoint list is from before its start.

use crate::discovery_peer::{NODES, REPLICA_SETS, change, line, list};
use crate::simulation::{SECOND, Simulation};
use crate::support::{config_with, options};
use crate::{DRAIN_GRACE, MILLISECOND};
use balancer::{DiscoveryMode, Micros};
use control_plane::ControlPlane;
use test_servers::View;

const MODES: [DiscoveryMode; 2] = [DiscoveryMode::Pushed, DiscoveryMode::Polled];
/// The time after which new proxies are sent the list from before the start although discovery has sent none.
const MAX_ENDPOINT_LIST_WAIT: Micros = 9 * SECOND;
/// The node that has drained and is gone; the list from before the start lists it as ready.
const GONE: usize = 0;

/// The proxies of a test, by index.
const RESUMED_DELTA: usize = 0;
const RESUMED_STATE_OF_THE_WORLD: usize = 1;
/// A proxy that has its view and names no version.
const WITHOUT_VERSIONS: usize = 2;
const NEW: usize = 3;

/// Returns a control plane that was started anew with an old list. All proxies but the new one have dropped the node.
fn restarted(mode: DiscoveryMode) -> Simulation {
    let mut config = config_with(mode, DRAIN_GRACE, 1, REPLICA_SETS, Vec::new());
    config.cached_endpoints = list(41, &[]);
    let mut simulation = Simulation::with_config(&config, REPLICA_SETS, "");
    for delta in [true, false, true] {
        simulation.add_proxy(delta, 0);
    }
    let watch = simulation.open_watch(&line(&list(41, &[])));
    simulation.advance(100 * MILLISECOND);
    assert_eq!(simulation.proxies_using(GONE), 3);
    for (revision, state) in [(42, "draining"), (43, "gone")] {
        simulation.send(watch, &line(&change(revision, GONE, state)));
        simulation.advance(100 * MILLISECOND);
    }
    assert_eq!(simulation.proxies_using(GONE), 0);
    let view = &mut simulation.proxies[WITHOUT_VERSIONS].xds_client.view;
    *view = View { versions: Default::default(), ..view.clone() };
    let successor = ControlPlane::new(simulation.now, &config, options(""));
    simulation.replace_control_plane(successor);
    simulation.add_proxy(true, 0);
    simulation
}

/// Lets every request to discovery fail within this time.
fn refuse_for(simulation: &mut Simulation, span: Micros) {
    const STEP: Micros = 10 * MILLISECOND;
    let end = simulation.now + span;
    while simulation.now < end {
        simulation.fail_discovery();
        simulation.advance(STEP);
    }
}

/// Returns whether a proxy uses all nodes but the one that is gone.
fn has_current_view(simulation: &Simulation, proxy: usize) -> bool {
    let view = &simulation.proxies[proxy].xds_client.view;
    (0..NODES).all(|node| view.uses(crate::support::address(node)) == (node != GONE))
}

/// Guards against a control plane that gives proxies a node back that a former instance has told them to leave, for as long
/// as it cannot reach discovery (`review/9` at a proxy).
#[test]
fn no_proxy_gets_a_node_back_from_the_list_from_before_the_start() {
    for mode in MODES {
        for outage in [0, SECOND, 4 * SECOND, 6 * SECOND] {
            let mut simulation = restarted(mode);
            let responses = simulation.response_count();
            refuse_for(&mut simulation, outage);
            assert_eq!(simulation.proxies_using(GONE), 0, "{mode:?}, {outage} us");
            assert_eq!(simulation.response_count(), responses, "{mode:?}, {outage} us");
            if simulation.discovery.connections().is_empty() {
                simulation.time_to_next_connection();
            }
            let watch = simulation.newest_connection();
            assert!(simulation.establish(watch).contains("after=0"));
            simulation.open_watch(&line(&list(43, &[(GONE, "gone")])));
            simulation.advance(100 * MILLISECOND);
            for proxy in [RESUMED_DELTA, RESUMED_STATE_OF_THE_WORLD, WITHOUT_VERSIONS, NEW] {
                assert!(has_current_view(&simulation, proxy), "{mode:?}, {outage} us, proxy {proxy}");
            }
        }
    }
}

/// Guards against proxies that get nothing for as long as discovery is down. Those that come with versions of an earlier
/// instance keep what they have until discovery has sent the list.
#[test]
fn only_proxies_without_versions_get_the_list_from_before_the_start_after_the_wait() {
    for mode in MODES {
        let mut simulation = restarted(mode);
        refuse_for(&mut simulation, MAX_ENDPOINT_LIST_WAIT - 100 * MILLISECOND);
        assert!(!simulation.proxies[NEW].xds_client.view.is_complete(), "{mode:?}");
        refuse_for(&mut simulation, 300 * MILLISECOND);
        assert!(simulation.proxies[NEW].xds_client.view.is_complete(), "{mode:?}");
        refuse_for(&mut simulation, 30 * SECOND);
        for proxy in [RESUMED_DELTA, RESUMED_STATE_OF_THE_WORLD] {
            assert!(has_current_view(&simulation, proxy), "{mode:?}, proxy {proxy}");
        }
        simulation.time_to_next_connection();
        simulation.open_watch(&line(&list(43, &[(GONE, "gone")])));
        simulation.advance(SECOND);
        assert_eq!(simulation.proxies_using(GONE), 0, "{mode:?}");
        assert!(has_current_view(&simulation, NEW), "{mode:?}");
    }
}

#[test]
fn a_first_message_that_is_not_the_full_list_leads_to_a_poll_and_does_not_end_the_wait() {
    let first_messages = [
        "\n".to_string(),
        line(&serde_json::json!({"revision": 43, "complete": false, "members": []})),
        line(&change(43, 1, "ready")),
    ];
    for (mode, first) in
        MODES.into_iter().flat_map(|mode| first_messages.iter().map(move |first| (mode, first)))
    {
        let mut simulation = restarted(mode);
        let responses = simulation.response_count();
        simulation.open_watch(first);
        simulation.advance(100 * MILLISECOND);
        assert_eq!(
            (simulation.proxies_using(GONE), simulation.response_count()),
            (0, responses),
            "{first:?}"
        );
        let poll = simulation.newest_connection();
        assert!(simulation.establish(poll).starts_with("GET /api/targets HTTP/1.1"), "{first:?}");
        let body = line(&list(43, &[(GONE, "gone")]));
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        simulation.send_bytes(poll, response.as_bytes(), response.len());
        simulation.advance(100 * MILLISECOND);
        for proxy in [RESUMED_DELTA, RESUMED_STATE_OF_THE_WORLD, WITHOUT_VERSIONS, NEW] {
            assert!(has_current_view(&simulation, proxy), "{first:?}, {mode:?}, proxy {proxy}");
        }
    }
}

/// Guards against a list that arrives slowly after a start: what it has named so far does not confirm the rest.
#[test]
fn a_list_that_arrives_slowly_after_a_start_is_not_used_before_it_is_complete() {
    const PIECE: usize = 60;
    for mode in MODES {
        let mut simulation = restarted(mode);
        let responses = simulation.response_count();
        let watch = simulation.open_watch("");
        let text = line(&list(43, &[(GONE, "gone")]));
        for piece in text.as_bytes().chunks(PIECE) {
            assert_eq!((simulation.proxies_using(GONE), simulation.response_count()), (0, responses));
            simulation.send(watch, std::str::from_utf8(piece).expect("ASCII"));
            simulation.advance(600 * MILLISECOND);
        }
        assert!(has_current_view(&simulation, NEW) && has_current_view(&simulation, RESUMED_DELTA));
    }
}
