//! Load reports of proxies, and the ejection of nodes by them.

use crate::simulation::{SECOND, Simulation};
use crate::support::address;
use balancer::Micros;
use control_plane::{AuthorizedNames, EndpointLoad, LoadReportRequest, ProxyNode, Service, StreamId};
use std::net::SocketAddr;

/// Creates an entry of a load report.
fn endpoint_load(address: SocketAddr, [succeeded, failed, in_progress, issued]: [u64; 4]) -> EndpointLoad {
    EndpointLoad { address, succeeded, failed, in_progress, issued }
}

fn load_report(interval: Micros, endpoints: Vec<EndpointLoad>) -> LoadReportRequest {
    LoadReportRequest { interval: Some(interval), endpoints }
}

#[test]
fn failures_reported_by_most_proxies_eject_a_node_and_invalid_reports_are_rejected() {
    let mut simulation = Simulation::new(8, 4, 1, "");
    let reporters: Vec<StreamId> = (500..503).map(StreamId).collect();
    for _ in 0..3 {
        simulation.add_proxy(true, 0);
    }
    for (index, &stream) in reporters.iter().enumerate() {
        let (now, id) = (simulation.now, format!("p{index:04}"));
        let control_plane = &mut simulation.control_plane;
        control_plane.stream_opened(now, stream, Service::LoadReporting, AuthorizedNames::Any);
        let node = ProxyNode { id: &id, zone: "east" };
        control_plane.load_report(now, stream, Some(node), load_report(SECOND, vec![]));
    }
    simulation.advance(SECOND);
    // A single proxy reports failures of node 3; all proxies report failures of node 5.
    for _ in 0..5 {
        for (index, &stream) in reporters.iter().enumerate() {
            let counts_of_node_3 = if index == 0 { [0, 900_000_000, 0, 0] } else { [20, 0, 1, 20] };
            let endpoints = vec![
                endpoint_load(address(3), counts_of_node_3),
                endpoint_load(address(5), [1, 20, 0, 0]),
                endpoint_load(address(6), [9, 0, 0, 9]),
            ];
            let report = load_report(SECOND, endpoints);
            simulation.control_plane.load_report(simulation.now, stream, None, report);
        }
        simulation.advance(SECOND);
    }
    assert_eq!([3, 5, 6].map(|node| simulation.proxies_using(node)), [3, 0, 3]);
    // A count out of range, more issued requests than the other counts allow, an unknown address and a negative
    // interval.
    let before = simulation.metric("reports_refused_total");
    let invalid_reports = [
        load_report(SECOND, vec![endpoint_load(address(6), [u64::MAX, 0, 0, 0])]),
        load_report(SECOND, vec![endpoint_load(address(6), [1, 0, 0, 50])]),
        load_report(SECOND, vec![endpoint_load(address(99), [0, 9, 0, 0])]),
        load_report(-SECOND, vec![endpoint_load(address(6), [0, 9, 0, 0])]),
    ];
    for report in invalid_reports {
        simulation.control_plane.load_report(simulation.now, reporters[1], None, report);
    }
    assert_eq!(simulation.metric("reports_refused_total"), before + 4.0);
    simulation.advance(2 * SECOND);
    assert_eq!(simulation.proxies_using(6), 3);
}
