//! Requests that the tests create without an `XdsClient`: invalid requests and changed subscriptions.

use crate::simulation::{SECOND, START, Simulation};
use control_plane::{
    AuthorizedNames, ControlPlane, DeltaRequest, Effect, ProtocolVariant, ProxyNode, ResourceType, Response,
    Service, StateOfTheWorldRequest, StreamError, StreamId,
};
use std::sync::Arc;
use tonic::Code;

/// The proxy that sends the requests.
const NODE: ProxyNode = ProxyNode { id: "p", zone: "east" };

/// Opens the discovery stream for a variant. Effects queued before are discarded.
fn open_stream(control_plane: &mut ControlPlane, variant: ProtocolVariant) -> StreamId {
    control_plane.take_effects();
    let stream = StreamId(if variant == ProtocolVariant::Delta { 77 } else { 78 });
    control_plane.stream_opened(START, stream, Service::Discovery(variant), AuthorizedNames::Any);
    stream
}

/// Takes the queued effects. Returns the errors with which streams were closed.
fn take_stream_errors(control_plane: &mut ControlPlane) -> Vec<StreamError> {
    let error = |effect| match effect {
        Effect::CloseStream { error, .. } => Some(error),
        _ => None,
    };
    control_plane.take_effects().into_iter().filter_map(error).collect()
}

/// Takes the queued effects. Returns the responses among them.
fn take_responses(control_plane: &mut ControlPlane) -> Vec<Response> {
    let response = |effect| match effect {
        Effect::Respond { response, .. } => Some(response),
        _ => None,
    };
    control_plane.take_effects().into_iter().filter_map(response).collect()
}

fn resource_names(response: &Response) -> Vec<String> {
    response.resources.iter().map(|resource| resource.name.clone()).collect()
}

fn strings(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn numbered_names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("shards-{index}")).collect()
}

/// The content of an invalid request, and the field that the error must name.
struct InvalidRequest<'a> {
    type_url: &'a str,
    node: Option<ProxyNode<'a>>,
    names: Vec<String>,
    field: &'a str,
}

#[test]
fn an_invalid_request_closes_its_stream_and_no_other() {
    let endpoints = ResourceType::Endpoints.type_url();
    let mut simulation = Simulation::new(8, 4, 1, "");
    let other_proxy = simulation.add_proxy(true, 0);
    simulation.advance(SECOND);
    let control_plane = &mut simulation.control_plane;
    let long_name = "x".repeat(1 << 20);
    let node_with_id = |id| Some(ProxyNode { id, zone: "east" });
    let invalid = |type_url, node, names, field| InvalidRequest { type_url, node, names, field };
    let requests = [
        invalid("type.googleapis.com/envoy.Unknown\u{7}", Some(NODE), vec![], "type_url"),
        invalid(&endpoints, node_with_id(&long_name), vec![], "node.id"),
        invalid(&endpoints, node_with_id(""), vec![], "node.id"),
        invalid(&endpoints, None, vec![], "node.id"),
        invalid(&endpoints, Some(NODE), numbered_names(100_000), "resource_names"),
        invalid(&endpoints, Some(NODE), vec![long_name.clone()], "resource_names"),
    ];
    for InvalidRequest { type_url, node, names, field } in requests {
        let stream = open_stream(control_plane, ProtocolVariant::StateOfTheWorld);
        let type_url = type_url.to_string();
        let request = StateOfTheWorldRequest {
            type_url: type_url.clone(),
            resource_names: names.clone(),
            ..Default::default()
        };
        control_plane.state_of_the_world_request(START, stream, node, request);
        let errors = take_stream_errors(control_plane);
        let starts_with_field = errors.len() == 1 && errors[0].to_string().starts_with(field);
        assert!(starts_with_field && errors[0].code() == Code::InvalidArgument, "{field}: {errors:?}");
        let stream = open_stream(control_plane, ProtocolVariant::Delta);
        let request = DeltaRequest { type_url, subscribe: names, ..Default::default() };
        control_plane.delta_request(START, stream, node, request);
        assert_eq!(take_stream_errors(control_plane).len(), 1, "{field}");
    }
    simulation.update_endpoints(&[(1, "draining", 0)]);
    simulation.advance(SECOND);
    assert!(
        simulation.proxies[other_proxy].xds_client.view.is_complete() && simulation.proxies_using(1) == 0
    );
}

#[test]
fn missing_resources_are_reported_once_and_stale_nonces_are_ignored() {
    let type_url = ResourceType::Endpoints.type_url();
    let mut simulation = Simulation::new(8, 4, 1, "");
    simulation.add_proxy(true, 0);
    simulation.advance(SECOND);
    let control_plane = &mut simulation.control_plane;
    let stream = open_stream(control_plane, ProtocolVariant::Delta);
    let subscribe = numbered_names(3000);
    let request = DeltaRequest { type_url: type_url.clone(), subscribe, ..Default::default() };
    control_plane.delta_request(START, stream, Some(NODE), request);
    let responses = take_responses(control_plane);
    assert_eq!((responses.len(), responses[0].resources.len(), responses[0].removed.len()), (1, 4, 2996));
    for (nonce, rejection) in [("999", None), ("no number", Some("what?".to_string()))] {
        let nonce = nonce.to_string();
        let request = DeltaRequest { type_url: type_url.clone(), nonce, rejection, ..Default::default() };
        control_plane.delta_request(START, stream, Some(NODE), request);
    }
    assert!(take_responses(control_plane).is_empty());
    assert_eq!(simulation.metric("stale_total"), 2.0);
}

#[test]
fn a_stream_may_only_use_proxy_ids_in_its_certificate() {
    let mut simulation = Simulation::new(8, 4, 1, "");
    let control_plane = &mut simulation.control_plane;
    let names = AuthorizedNames::Only(Arc::new(vec!["q".to_string()]));
    let stream = StreamId(80);
    control_plane.stream_opened(START, stream, Service::Discovery(ProtocolVariant::Delta), names);
    let type_url = ResourceType::Endpoints.type_url();
    let request = DeltaRequest { type_url, ..Default::default() };
    control_plane.delta_request(START, stream, Some(NODE), request);
    assert_eq!(take_stream_errors(control_plane)[0].code(), Code::PermissionDenied);
}

#[test]
fn a_stream_without_a_first_message_is_closed() {
    let mut simulation = Simulation::new(8, 4, 1, "");
    let other_proxy = simulation.add_proxy(true, 0);
    simulation.advance(SECOND);
    let (now, silent_stream) = (simulation.now, StreamId(79));
    simulation.control_plane.stream_opened(now, silent_stream, Service::LoadReporting, AuthorizedNames::Any);
    assert_eq!(simulation.metric("streams"), 2.0);
    simulation.advance(6 * SECOND);
    assert_eq!(simulation.metric("streams"), 1.0);
    simulation.update_endpoints(&[(1, "draining", 0)]);
    simulation.advance(SECOND);
    assert!(
        simulation.proxies[other_proxy].xds_client.view.is_complete() && simulation.proxies_using(1) == 0
    );
}

#[test]
fn incremental_subscriptions_grow_shrink_and_request_resources_again() {
    let mut simulation = Simulation::new(8, 4, 1, "");
    let control_plane = &mut simulation.control_plane;
    let stream = open_stream(control_plane, ProtocolVariant::Delta);
    let mut request = |subscribe: &[&str], unsubscribe: &[&str], nonce: &str| {
        let request = DeltaRequest {
            type_url: ResourceType::Endpoints.type_url(),
            subscribe: strings(subscribe),
            unsubscribe: strings(unsubscribe),
            nonce: nonce.to_string(),
            ..Default::default()
        };
        control_plane.delta_request(START, stream, Some(NODE), request);
        take_responses(control_plane)
    };
    let first = request(&["shards-0", "shards-0", "nowhere"], &[], "");
    assert_eq!(resource_names(&first[0]), strings(&["shards-0"]));
    assert_eq!(first[0].removed, strings(&["nowhere"]));
    assert_eq!(request(&[], &[], &first[0].nonce), vec![]);
    let second = request(&["shards-1"], &["nowhere"], "");
    assert_eq!(resource_names(&second[0]), strings(&["shards-1"]));
    assert_eq!(request(&[], &["shards-0"], &second[0].nonce), vec![]);
    let third = request(&["shards-1"], &[], "");
    assert_eq!(
        resource_names(&third[0]),
        strings(&["shards-1"]),
        "a resource that is requested again is sent again"
    );
    assert_eq!(request(&[], &[], &third[0].nonce), vec![]);
}

#[test]
fn state_of_the_world_requests_replace_the_names_and_stale_nonces_change_nothing() {
    let mut simulation = Simulation::new(8, 4, 1, "");
    let control_plane = &mut simulation.control_plane;
    let stream = open_stream(control_plane, ProtocolVariant::StateOfTheWorld);
    let mut request = |names: &[&str], version: &str, nonce: &str| {
        let request = StateOfTheWorldRequest {
            type_url: ResourceType::Endpoints.type_url(),
            version: version.to_string(),
            nonce: nonce.to_string(),
            resource_names: strings(names),
            rejection: None,
        };
        control_plane.state_of_the_world_request(START, stream, Some(NODE), request);
        take_responses(control_plane)
    };
    let first = request(&["shards-2"], "", "");
    let second = request(&["shards-2", "shards-3"], "v", &first[0].nonce);
    assert_eq!(resource_names(&second[0]), strings(&["shards-3"]));
    assert_eq!(request(&["shards-0"], "v", &first[0].nonce), vec![]);
    assert_eq!(request(&["shards-3"], "v", &second[0].nonce), vec![]);
    let third = request(&["shards-2", "shards-3"], "v", &second[0].nonce);
    assert_eq!(
        resource_names(&third[0]),
        strings(&["shards-2"]),
        "a resource that is named again is sent again"
    );
}
