//! Clusters (CDS): the limit on requests in flight and the retry budget of a proxy.

use super::{aggregated_discovery, duration, uint32};
use crate::deployment_settings::DeploymentSettings;
use prost::Message;
use xds_api::pb::envoy::config::cluster::v3 as cds;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::r#type::v3::Percent;

/// Encodes a cluster to which a proxy may have `max_requests` requests in flight. The free retries are divided
/// among `proxies` proxies.
pub(crate) fn cluster(
    deployment: &DeploymentSettings, name: &str, max_requests: u32, proxies: u32,
) -> Vec<u8> {
    let circuit_breakers = cds::CircuitBreakers {
        thresholds: vec![thresholds(deployment, max_requests, proxies)],
        ..Default::default()
    };
    let eds_config =
        cds::cluster::EdsClusterConfig { eds_config: aggregated_discovery(), service_name: String::new() };
    let discovery_type = cds::cluster::ClusterDiscoveryType::Type(cds::cluster::DiscoveryType::Eds as i32);
    let cluster = cds::Cluster {
        name: name.to_string(),
        cluster_discovery_type: Some(discovery_type),
        eds_cluster_config: Some(eds_config),
        connect_timeout: duration(deployment.connect_timeout),
        lb_policy: cds::cluster::LbPolicy::RoundRobin as i32,
        circuit_breakers: Some(circuit_breakers),
        common_lb_config: Some(common_lb_config()),
        ignore_health_on_host_removal: true,
        lrs_server: Some(load_reporting_server()),
        ..Default::default()
    };
    cluster.encode_to_vec()
}

fn thresholds(
    deployment: &DeploymentSettings, max_requests: u32, proxies: u32,
) -> cds::circuit_breakers::Thresholds {
    let retry_budget = deployment.retry_share.map(|share| cds::circuit_breakers::thresholds::RetryBudget {
        budget_percent: Some(Percent { value: share * 100.0 }),
        min_retry_concurrency: uint32((deployment.free_retries / proxies.max(1) as f64) as u32),
    });
    cds::circuit_breakers::Thresholds {
        max_requests: uint32(max_requests),
        max_pending_requests: uint32(max_requests),
        retry_budget,
        ..Default::default()
    }
}

/// Load balancing by locality weight, with panic mode off: if no node is healthy, requests fail instead of going
/// to unhealthy nodes.
fn common_lb_config() -> cds::cluster::CommonLbConfig {
    let locality_weighted =
        cds::cluster::common_lb_config::LocalityConfigSpecifier::LocalityWeightedLbConfig(Default::default());
    cds::cluster::CommonLbConfig {
        healthy_panic_threshold: Some(Percent { value: 0.0 }),
        locality_config_specifier: Some(locality_weighted),
        ..Default::default()
    }
}

/// The server that sent the cluster, which is the control plane, as the receiver of load reports.
fn load_reporting_server() -> core::ConfigSource {
    let own_server = core::config_source::ConfigSourceSpecifier::Self_(Default::default());
    core::ConfigSource {
        resource_api_version: core::ApiVersion::V3 as i32,
        config_source_specifier: Some(own_server),
        ..Default::default()
    }
}
