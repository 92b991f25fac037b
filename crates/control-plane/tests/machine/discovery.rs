//! Tests of what the control plane reads from discovery, and of when it asks again.

use crate::discovery_peer::{REPLICA_SETS, change, line, list};
use crate::simulation::{SECOND, Simulation};
use crate::support::config_with;
use crate::{DRAIN_GRACE, MILLISECOND};
use balancer::{DiscoveryMode, Micros};
use std::collections::BTreeMap;

const MODES: [DiscoveryMode; 2] = [DiscoveryMode::Pushed, DiscoveryMode::Polled];
/// Longest time until the next watch where no drain grace is set.
const HEARTBEAT_INTERVAL: Micros = 2 * SECOND;
/// The time after which a change counts as delivered once discovery can be reached.
const DELIVERY_TIMEOUT: Micros = 6 * SECOND;

/// Returns a control plane without cached endpoints, and a proxy that is connected to it.
fn simulation(mode: DiscoveryMode, drain_grace: Micros, seed: u64) -> Simulation {
    let config = config_with(mode, drain_grace, seed, REPLICA_SETS, Vec::new());
    let mut simulation = Simulation::with_config(&config, REPLICA_SETS, "");
    simulation.add_proxy(true, 0);
    simulation
}

/// Like [`simulation`]; discovery has sent the list.
fn simulation_with_list(mode: DiscoveryMode, drain_grace: Micros, seed: u64) -> Simulation {
    let mut simulation = simulation(mode, drain_grace, seed);
    simulation.open_watch(&line(&list(41, &[])));
    simulation.advance(100 * MILLISECOND);
    assert_eq!(simulation.proxies_using(0), 1);
    simulation
}

/// A form in which discovery may write a message.
type Form = fn(&str) -> String;

/// Replaces the separators of a message that stand outside strings.
fn spread(message: &str, separator: &str) -> String {
    let (mut text, mut is_in_string) = (String::new(), false);
    for character in message.trim_end().chars() {
        is_in_string ^= character == '"';
        text.push(character);
        if !is_in_string && "{[,".contains(character) {
            text.push_str(separator);
        }
    }
    text
}

const FORMS: [(&str, Form); 8] = [
    ("one line", |message| message.to_string()),
    ("indented by spaces", |message| spread(message, "\n  ") + "\n"),
    ("indented by tabs", |message| spread(message, "\n\t") + "\n"),
    ("CRLF", |message| spread(message, "\r\n  ") + "\r\n"),
    ("blank lines inside and between", |message| format!("\n\n{}\n\n", spread(message, "\n\n"))),
    ("no line end", |message| message.trim_end().to_string()),
    ("spaces around", |message| format!("  \t{}  \t\n", message.trim_end())),
    ("another field with a string", |message| {
        let text = r#"{"note":"}]{[ \" \\ \n \u007d","revision""#;
        message.replacen("{\"revision\"", text, 1)
    }),
];

/// Guards against lists that are rejected since they do not stand on one line (`review/8`): drains were lost for good.
#[test]
fn lists_and_changes_are_read_in_every_form_that_the_protocol_allows() {
    for mode in MODES {
        for (name, form) in FORMS {
            for piece_length in [1, 7, usize::MAX] {
                let mut simulation = simulation(mode, DRAIN_GRACE, 1);
                let watch = simulation.open_watch("");
                for (message, expected) in [(list(41, &[]), 1), (change(42, 0, "draining"), 0)] {
                    let text = form(&line(&message));
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    simulation.send_bytes(watch, chunk.as_bytes(), piece_length);
                    simulation.advance(MILLISECOND);
                    assert_eq!(simulation.proxies_using(0), expected, "{name}, {mode:?}, {piece_length}");
                }
                assert_eq!(simulation.metric("lists_failed_total"), 0.0, "{name}, {mode:?}");
            }
        }
    }
}

#[test]
fn several_objects_on_a_line_are_read() {
    let mut simulation = simulation(DiscoveryMode::Pushed, DRAIN_GRACE, 1);
    let messages = [list(41, &[]), change(42, 0, "draining"), change(43, 1, "draining")];
    let text: String = messages.iter().map(|message| line(message).trim_end().to_string()).collect();
    simulation.open_watch(&text);
    simulation.advance(MILLISECOND);
    let using: Vec<usize> = (0..4).map(|node| simulation.proxies_using(node)).collect();
    assert_eq!(using, [0, 0, 1, 1]);
}

/// How a watch ends.
#[derive(Clone, Copy, Debug)]
enum WatchEnd {
    Closed,
    Refused,
    Unavailable,
    Malformed,
}

const WATCH_ENDS: [WatchEnd; 4] =
    [WatchEnd::Closed, WatchEnd::Refused, WatchEnd::Unavailable, WatchEnd::Malformed];

fn end_watch(simulation: &mut Simulation, end: WatchEnd) {
    let watch = simulation.newest_connection();
    match end {
        WatchEnd::Closed | WatchEnd::Refused => {}
        WatchEnd::Unavailable => {
            simulation.establish(watch);
            let response = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            simulation.send_bytes(watch, response, response.len());
        }
        WatchEnd::Malformed => drop(simulation.open_watch("[]\n")),
    }
    if simulation.discovery.is_open(watch) {
        simulation.end_connection(watch);
    }
}

/// Returns the longest delay of the next watch after a failure: a quarter of the grace at first, then half of it.
fn max_delay(drain_grace: Micros, failures: usize) -> Micros {
    let first = if drain_grace == 0 { HEARTBEAT_INTERVAL } else { drain_grace / 4 };
    let delay = if failures == 0 { first } else { 2 * first };
    delay.min(HEARTBEAT_INTERVAL)
}

/// Guards against a drain that is learned after its grace since the next watch comes too late (`review/10`): it came 2 s
/// after the end of the last one, whatever the grace.
#[test]
fn where_lists_are_pushed_the_next_watch_follows_within_the_grace() {
    const TOLERANCE: Micros = 2 * MILLISECOND;
    for drain_grace in [0, 100 * MILLISECOND, 500 * MILLISECOND, 5 * SECOND] {
        for end in WATCH_ENDS {
            let mut simulation = simulation_with_list(DiscoveryMode::Pushed, drain_grace, 1);
            let watch = simulation.newest_connection();
            simulation.end_connection(watch);
            for failures in 0..6 {
                let delay = simulation.time_to_next_connection();
                let max = max_delay(drain_grace, failures);
                assert!(
                    (max / 2..=max + TOLERANCE).contains(&delay),
                    "{end:?}, grace {drain_grace}, {failures} failures: {delay} us"
                );
                end_watch(&mut simulation, end);
            }
        }
    }
}

#[test]
fn a_drain_that_comes_with_the_end_of_a_watch_is_applied_within_the_grace() {
    let mut simulation = simulation_with_list(DiscoveryMode::Pushed, DRAIN_GRACE, 1);
    let watch = simulation.newest_connection();
    simulation.end_connection(watch);
    let delay = simulation.time_to_next_connection();
    simulation.open_watch(&line(&list(42, &[(0, "draining")])));
    simulation.advance(MILLISECOND);
    assert_eq!(simulation.proxies_using(0), 0);
    assert!(delay < DRAIN_GRACE, "{delay} us");
}

/// Where lists are polled the balancer asks again, soon enough for a change to arrive while it does not count as
/// delivered.
#[test]
fn where_lists_are_polled_three_watches_fit_into_the_time_of_a_delivery() {
    for end in WATCH_ENDS {
        let mut simulation = simulation_with_list(DiscoveryMode::Polled, DRAIN_GRACE, 1);
        let watch = simulation.newest_connection();
        simulation.end_connection(watch);
        let mut total = 0;
        for _ in 0..3 {
            total += simulation.time_to_next_connection();
            end_watch(&mut simulation, end);
        }
        assert!(total <= DELIVERY_TIMEOUT, "{end:?}: {total} us");
    }
}

/// Guards against many control planes whose watches end together and that ask a crowded discovery in the same moments.
#[test]
fn watches_that_end_together_are_opened_anew_at_different_times() {
    const INSTANCES: u64 = 64;
    const SLOT: Micros = 5 * MILLISECOND;
    let mut slots: BTreeMap<Micros, u64> = BTreeMap::new();
    for seed in 0..INSTANCES {
        let mut simulation = simulation_with_list(DiscoveryMode::Pushed, DRAIN_GRACE, seed);
        let watch = simulation.newest_connection();
        simulation.end_connection(watch);
        *slots.entry(simulation.time_to_next_connection() / SLOT).or_default() += 1;
    }
    assert!(slots.values().max() <= Some(&(INSTANCES / 4)), "{slots:?}");
}

/// Guards against a request that hangs, or a watch that falls silent or stops in the middle of a line, and keeps the
/// control plane from the next list for longer than the time of a delivery.
#[test]
fn another_watch_brings_a_change_in_time_if_one_hangs_falls_silent_or_stops_half_way() {
    for mode in MODES {
        for text in [None, Some(""), Some("\n"), Some("{\"revision\":42,\"complete\":false,\"members\":[{")] {
            let mut simulation = simulation_with_list(mode, DRAIN_GRACE, 1);
            let first = simulation.newest_connection();
            simulation.end_connection(first);
            simulation.time_to_next_connection();
            let opened_at = simulation.now;
            match text {
                None => drop(simulation.establish(simulation.newest_connection())),
                Some(text) => drop(simulation.open_watch(text)),
            }
            simulation.time_to_next_connection();
            simulation.open_watch(&line(&list(42, &[(0, "draining")])));
            simulation.advance(MILLISECOND);
            assert_eq!(simulation.proxies_using(0), 0, "{text:?}, {mode:?}");
            let delay = simulation.now - opened_at;
            assert!(delay <= DELIVERY_TIMEOUT, "{text:?}, {mode:?}: {delay} us");
        }
    }
}

/// Guards against a list that arrives slowly: the drains in it are applied as they arrive, and nodes that it has not
/// named are not used for longer than the time of a delivery.
#[test]
fn what_a_slow_list_takes_away_is_applied_before_the_list_is_complete() {
    const PIECE: usize = 40;
    const PAUSE: Micros = 600 * MILLISECOND;
    for mode in MODES {
        let mut simulation = simulation_with_list(mode, DRAIN_GRACE, 1);
        let first = simulation.newest_connection();
        simulation.end_connection(first);
        simulation.time_to_next_connection();
        let opened_at = simulation.now;
        let watch = simulation.open_watch("");
        let text = line(&list(42, &[(0, "draining"), (3, "gone")]));
        for piece in text.as_bytes().chunks(PIECE) {
            let is_in_use = simulation.proxies_using(0) + simulation.proxies_using(3) > 0;
            let elapsed = simulation.now - opened_at;
            assert!(!is_in_use || elapsed <= DELIVERY_TIMEOUT, "{mode:?}: {elapsed} us");
            simulation.send(watch, std::str::from_utf8(piece).expect("ASCII"));
            simulation.advance(PAUSE);
        }
        assert_eq!((simulation.proxies_using(0), simulation.proxies_using(3)), (0, 0), "{mode:?}");
    }
}

/// Guards against a replica of discovery that lags behind and undoes a drain, on the same watch or on the next; after 5 s
/// its revisions count as having begun anew.
#[test]
fn a_message_with_an_older_revision_undoes_no_drain_and_ends_no_watch() {
    for mode in MODES {
        let mut simulation = simulation_with_list(mode, DRAIN_GRACE, 1);
        let watch = simulation.newest_connection();
        simulation.send(watch, &line(&change(50, 0, "draining")));
        simulation.send(watch, &line(&change(49, 0, "ready")));
        simulation.send(watch, &line(&change(51, 1, "draining")));
        simulation.advance(MILLISECOND);
        assert!(simulation.discovery.is_open(watch));
        assert_eq!((simulation.proxies_using(0), simulation.proxies_using(1)), (0, 0), "{mode:?}");
        simulation.end_connection(watch);
        simulation.time_to_next_connection();
        simulation.open_watch(&line(&list(3, &[(1, "draining")])));
        simulation.advance(4 * SECOND);
        assert_eq!(simulation.proxies_using(0), 0, "{mode:?}");
        simulation.time_to_next_connection();
        let watch = simulation.newest_connection();
        let request = simulation.establish(watch);
        assert!(request.starts_with("GET /api/targets?watch=1&after=0 "), "{request}");
        simulation.open_watch(&line(&list(3, &[(1, "draining")])));
        simulation.advance(MILLISECOND);
        assert_eq!((simulation.proxies_using(0), simulation.proxies_using(1)), (1, 0), "{mode:?}");
    }
}

/// Guards against a message that never ends and keeps the control plane from newer lists, although it progresses.
#[test]
fn a_message_that_progresses_but_does_not_end_is_given_up_after_a_minute() {
    const MAX_MESSAGE_TIME: Micros = 60 * SECOND;
    let mut simulation = simulation_with_list(DiscoveryMode::Pushed, DRAIN_GRACE, 1);
    let watch = simulation.newest_connection();
    simulation.send(watch, "{\"revision\":42,");
    let started_at = simulation.now;
    while simulation.now < started_at + MAX_MESSAGE_TIME - SECOND {
        assert!(simulation.discovery.is_open(watch));
        simulation.send(watch, "\"x\":1,");
        simulation.advance(SECOND);
    }
    simulation.advance(2 * SECOND);
    assert!(!simulation.discovery.is_open(watch));
}

/// Guards against revisions of a former address of discovery: the full list is requested at the new one, at once, whether
/// or not a watch was open.
#[test]
fn a_reload_with_another_address_requests_the_full_list_there() {
    for (mode, is_open) in MODES.into_iter().flat_map(|mode| [(mode, true), (mode, false)]) {
        let mut simulation = simulation_with_list(mode, DRAIN_GRACE, 1);
        if !is_open {
            simulation.end_connection(simulation.newest_connection());
        }
        for port in [2, 3] {
            simulation.control_plane.set_discovery_address(simulation.now, ([127, 0, 0, 1], port).into());
            simulation.carry_out_effects();
        }
        assert_eq!(simulation.discovery.connections().len(), 1, "the former watches are closed");
        let watch = simulation.newest_connection();
        assert!(simulation.establish(watch).contains("after=0"));
        simulation.open_watch(&line(&list(43, &[(0, "draining")])));
        simulation.advance(MILLISECOND);
        assert_eq!(simulation.proxies_using(0), 0, "{mode:?}");
        // The same address changes nothing.
        let opened = simulation.discovery.opened;
        simulation.control_plane.set_discovery_address(simulation.now, ([127, 0, 0, 1], 3).into());
        simulation.carry_out_effects();
        assert_eq!((simulation.discovery.opened, simulation.discovery.is_open(watch)), (opened, true));
    }
}
