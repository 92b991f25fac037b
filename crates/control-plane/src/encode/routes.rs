//! The route configuration (RDS): selects a cluster by the service class and the shard of a request.

use super::{ROUTE_CONFIGURATION, duration, uint32};
use crate::deployment_settings::{DeploymentSettings, ServiceClass};
use crate::desired_state::{ConstrainedNode, DesiredState, ReplicaSet, replica_set_cluster_name};
use crate::resource::Resource;
use balancer::Idempotency;
use prost::Message;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::route::v3 as rds;
use xds_api::pb::envoy::r#type::matcher::v3::RegexMatcher;
use xds_api::pb::google::protobuf::Any;

/// The request header that contains the service class.
const CLASS_HEADER: &str = "x-qos";
/// The request header that contains the shard number.
const SHARD_HEADER: &str = "x-shard";
/// Retry conditions of all requests: those under which the request cannot have been executed, since no connection
/// was established or the stream was refused (RFC 9113, 8.7).
const RETRY_NOT_EXECUTED: &str = "connect-failure,refused-stream";
/// Retry conditions of idempotent requests: any failure.
const RETRY_IDEMPOTENT: &str = "connect-failure,refused-stream,reset,5xx";

/// Encodes the routes of a proxy. `constrained` lists the clusters of constrained nodes that the proxy has.
pub(crate) fn routes(
    deployment: &DeploymentSettings, state: &DesiredState, constrained: &[String],
) -> Resource {
    let mut routes = Vec::new();
    for class in &deployment.classes {
        for (index, replica_set) in state.replica_sets.iter().enumerate() {
            let clusters = cluster_specifier(state, index, replica_set, constrained);
            let headers = vec![class_matcher(class), shard_matcher(deployment, index)];
            routes.push(route(headers, action(deployment, class, clusters)));
        }
    }
    routes.push(route(Vec::new(), direct_response(404, "no such service class or shard\n")));
    let mut resource =
        Resource::new(ROUTE_CONFIGURATION, route_configuration(routes).encode_to_vec(), state.generation);
    resource.routed_clusters = (0..state.replica_sets.len()).map(replica_set_cluster_name).collect();
    resource.routed_clusters.extend(constrained.iter().cloned());
    resource
}

fn route_configuration(routes: Vec<rds::Route>) -> rds::RouteConfiguration {
    let host = rds::VirtualHost {
        name: ROUTE_CONFIGURATION.to_string(),
        domains: vec!["*".to_string()],
        routes,
        ..Default::default()
    };
    rds::RouteConfiguration {
        name: ROUTE_CONFIGURATION.to_string(),
        virtual_hosts: vec![host],
        ..Default::default()
    }
}

fn class_matcher(class: &ServiceClass) -> rds::HeaderMatcher {
    let exact = rds::header_matcher::HeaderMatchSpecifier::ExactMatch(class.name.clone());
    header_matcher(CLASS_HEADER, exact)
}

/// Matches the shards whose first replica set is `replica_set`.
fn shard_matcher(deployment: &DeploymentSettings, replica_set: usize) -> rds::HeaderMatcher {
    let shards = (replica_set..deployment.shards).step_by(deployment.replica_sets);
    let shards: Vec<String> = shards.map(|shard| shard.to_string()).collect();
    let regex = RegexMatcher { regex: shards.join("|"), ..Default::default() };
    let regex = rds::header_matcher::HeaderMatchSpecifier::SafeRegexMatch(regex);
    header_matcher(SHARD_HEADER, regex)
}

fn header_matcher(name: &str, specifier: rds::header_matcher::HeaderMatchSpecifier) -> rds::HeaderMatcher {
    rds::HeaderMatcher {
        name: name.to_string(),
        header_match_specifier: Some(specifier),
        ..Default::default()
    }
}

fn route(headers: Vec<rds::HeaderMatcher>, action: rds::route::Action) -> rds::Route {
    let path = rds::route_match::PathSpecifier::Prefix("/".to_string());
    rds::Route {
        r#match: Some(rds::RouteMatch { headers, path_specifier: Some(path), ..Default::default() }),
        action: Some(action),
        ..Default::default()
    }
}

/// The cluster of the replica set; if the proxy also has clusters of the set's constrained nodes, all of these by
/// weight.
fn cluster_specifier(
    state: &DesiredState, index: usize, replica_set: &ReplicaSet, constrained: &[String],
) -> rds::route_action::ClusterSpecifier {
    let of_replica_set = |name: &String| -> Option<&ConstrainedNode> {
        state.constrained_nodes.get(name).filter(|node| node.replica_sets.contains(&index))
    };
    let constrained: Vec<(&String, &ConstrainedNode)> =
        constrained.iter().filter_map(|name| Some((name, of_replica_set(name)?))).collect();
    if constrained.is_empty() {
        return rds::route_action::ClusterSpecifier::Cluster(replica_set_cluster_name(index));
    }
    // The weight is 0 if the replica set has no healthy node; then only its constrained nodes get requests.
    let healthy_capacity: u32 = replica_set.members.iter().map(|member| member.capacity).sum();
    let mut clusters = vec![cluster_weight(&replica_set_cluster_name(index), healthy_capacity)];
    for (name, node) in constrained {
        clusters.push(cluster_weight(name, state.route_weight(replica_set, node)));
    }
    let weighted = rds::WeightedCluster { clusters, ..Default::default() };
    rds::route_action::ClusterSpecifier::WeightedClusters(weighted)
}

fn cluster_weight(name: &str, weight: u32) -> rds::weighted_cluster::ClusterWeight {
    rds::weighted_cluster::ClusterWeight {
        name: name.to_string(),
        weight: uint32(weight),
        ..Default::default()
    }
}

fn action(
    deployment: &DeploymentSettings, class: &ServiceClass, clusters: rds::route_action::ClusterSpecifier,
) -> rds::route::Action {
    if class.idempotency == Idempotency::Keyed {
        return direct_response(501, "a keyed class: its keys can't be kept by a proxy\n");
    }
    let not_found = rds::route_action::ClusterNotFoundResponseCode::ServiceUnavailable;
    rds::route::Action::Route(rds::RouteAction {
        cluster_specifier: Some(clusters),
        timeout: duration(class.request_timeout),
        retry_policy: Some(retry_policy(deployment, class)),
        cluster_not_found_response_code: not_found as i32,
        ..Default::default()
    })
}

fn direct_response(status: u32, text: &str) -> rds::route::Action {
    let body = core::DataSource {
        specifier: Some(core::data_source::Specifier::InlineString(text.to_string())),
        ..Default::default()
    };
    rds::route::Action::DirectResponse(rds::DirectResponseAction { status, body: Some(body) })
}

/// Retries avoid the nodes of earlier attempts. An idempotent attempt times out after half the latency objective
/// and is retried.
fn retry_policy(deployment: &DeploymentSettings, class: &ServiceClass) -> rds::RetryPolicy {
    let (retry_on, per_try_timeout) = match class.idempotency {
        Idempotency::Idempotent => (RETRY_IDEMPOTENT, duration(class.latency_objective / 2)),
        Idempotency::Keyed | Idempotency::NonIdempotent => (RETRY_NOT_EXECUTED, None),
    };
    rds::RetryPolicy {
        retry_on: retry_on.to_string(),
        num_retries: uint32(deployment.max_attempts.saturating_sub(1)),
        per_try_timeout,
        retry_host_predicate: vec![previous_hosts_predicate()],
        host_selection_retry_max_attempts: deployment.max_attempts as i64,
        ..Default::default()
    }
}

/// Excludes the nodes of earlier attempts from retries.
fn previous_hosts_predicate() -> rds::retry_policy::RetryHostPredicate {
    let config = Any {
        type_url: "type.googleapis.com/envoy.extensions.retry.host.previous_hosts.v3.PreviousHostsPredicate"
            .into(),
        value: Vec::new(),
    };
    rds::retry_policy::RetryHostPredicate {
        name: "envoy.retry_host_predicates.previous_hosts".to_string(),
        config_type: Some(rds::retry_policy::retry_host_predicate::ConfigType::TypedConfig(config)),
    }
}
