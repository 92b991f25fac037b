//! Cluster load assignments (EDS): the nodes that a proxy of a zone uses, and the fraction of its requests that
//! goes to each zone.

use super::{encode_address, uint32};
use crate::desired_state::{ConstrainedNode, DesiredState, MemberHealth, ReplicaSet};
use prost::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as eds;
use xds_api::pb::envoy::r#type::v3::{FractionalPercent, fractional_percent::DenominatorType};

/// The drop category under which a proxy counts the requests that it sheds.
const DROP_CATEGORY: &str = "deferred";
/// No overprovisioning: requests spill over to the next priority as soon as a node of a zone is not healthy.
const OVERPROVISIONING_PERCENT: u32 = 100;
/// The sum of the locality weights if a zone sends a part of its requests to other zones.
const WEIGHT_SCALE: u32 = 1000;
/// Minimum spare capacity assumed of a zone, as a fraction of the capacity of all zones.
const MIN_SPARE_CAPACITY: f64 = 0.001;

/// The nodes of one zone, with their total capacity in requests.
#[derive(Default)]
struct ZoneEndpoints {
    capacity: u32,
    endpoints: Vec<eds::LbEndpoint>,
}

/// The priority and the weight of a locality; lower priorities are used first.
struct LocalityRank {
    priority: u32,
    weight: u32,
}

/// Encodes the endpoints of a replica set for proxies in the zone with index `proxy_zone`.
pub(crate) fn replica_set_endpoints(
    state: &DesiredState, name: &str, replica_set: &ReplicaSet, proxy_zone: usize, zone_names: &[String],
) -> Vec<u8> {
    let zones = endpoints_by_zone(replica_set);
    let ranks = rank_localities(state, replica_set, proxy_zone, &zones);
    let localities = zones.into_iter().zip(ranks).map(|((zone, endpoints), rank)| eds::LocalityLbEndpoints {
        locality: locality(zone, zone_names),
        lb_endpoints: endpoints.endpoints,
        load_balancing_weight: uint32(rank.weight.max(1)),
        priority: rank.priority,
        ..Default::default()
    });
    assignment(name, localities.collect(), replica_set.drop_percent)
}

/// Encodes the endpoint of a constrained node. `node` is `None` once the node is no longer constrained; proxies
/// that still use its cluster then get no endpoint.
pub(crate) fn constrained_node_endpoints(
    name: &str, node: Option<&ConstrainedNode>, zone_names: &[String],
) -> Vec<u8> {
    let localities = node.map(|node| eds::LocalityLbEndpoints {
        locality: locality(node.zone, zone_names),
        lb_endpoints: vec![endpoint(node.address, MemberHealth::Healthy, 1)],
        load_balancing_weight: uint32(1),
        ..Default::default()
    });
    assignment(name, Vec::from_iter(localities), 0)
}

fn endpoints_by_zone(replica_set: &ReplicaSet) -> BTreeMap<usize, ZoneEndpoints> {
    let mut zones: BTreeMap<usize, ZoneEndpoints> = BTreeMap::new();
    for member in &replica_set.members {
        let zone = zones.entry(member.zone).or_default();
        zone.capacity += member.capacity;
        zone.endpoints.push(endpoint(member.address, member.health, member.capacity));
    }
    zones
}

/// Divides the requests of a proxy among zones: its own zone gets the percentage in the desired state, the others
/// share the rest in proportion to their spare capacity. Without such a percentage, zones are weighted by
/// capacity.
fn rank_localities(
    state: &DesiredState, replica_set: &ReplicaSet, proxy_zone: usize, zones: &BTreeMap<usize, ZoneEndpoints>,
) -> Vec<LocalityRank> {
    let has_local_capacity = zones.get(&proxy_zone).is_some_and(|local| local.capacity > 0);
    let local_percent = replica_set.local_percent.get(proxy_zone).copied().filter(|_| has_local_capacity);
    let total: u32 = zones.values().map(|zone| zone.capacity).sum();
    let spare = |zone: usize, capacity: u32| spare_capacity(state, zone, capacity, total);
    let remote = zones.iter().filter(|(zone, _)| **zone != proxy_zone);
    let remote_spare: u32 = remote.map(|(&zone, endpoints)| spare(zone, endpoints.capacity)).sum();
    let rank = |(&zone, endpoints): (&usize, &ZoneEndpoints)| {
        let capacity = endpoints.capacity;
        let (priority, weight) = match local_percent {
            None => (0, capacity),
            Some(100) => ((zone != proxy_zone) as u32, capacity),
            Some(percent) if zone == proxy_zone => (0, percent * (WEIGHT_SCALE / 100)),
            Some(percent) => {
                let remote_weight = (100 - percent) * (WEIGHT_SCALE / 100);
                (0, remote_weight * spare(zone, capacity) / remote_spare.max(1))
            }
        };
        LocalityRank { priority, weight }
    };
    let mut ranks: Vec<LocalityRank> = zones.iter().map(rank).collect();
    // Priorities must start at 0 without gaps.
    if ranks.iter().all(|rank| rank.priority > 0) {
        ranks.iter_mut().for_each(|rank| rank.priority = 0);
    }
    ranks
}

/// Returns the capacity that a zone has left for requests from other zones, in thousandths of the capacity of all
/// zones.
fn spare_capacity(state: &DesiredState, zone: usize, capacity: u32, total: u32) -> u32 {
    let zone_proxies = state.proxies.by_zone.get(zone).copied().unwrap_or(0);
    let request_share = zone_proxies as f64 / state.proxies.total.max(1) as f64;
    let capacity_share = capacity as f64 / total.max(1) as f64;
    ((capacity_share - request_share).max(MIN_SPARE_CAPACITY) * WEIGHT_SCALE as f64) as u32
}

fn locality(zone: usize, zone_names: &[String]) -> Option<core::Locality> {
    let zone = zone_names.get(zone).cloned().unwrap_or_default();
    Some(core::Locality { zone, ..Default::default() })
}

fn endpoint(address: SocketAddr, health: MemberHealth, weight: u32) -> eds::LbEndpoint {
    let health = match health {
        MemberHealth::Healthy => core::HealthStatus::Healthy,
        MemberHealth::Unhealthy => core::HealthStatus::Unhealthy,
        MemberHealth::Draining => core::HealthStatus::Draining,
    };
    let endpoint = eds::Endpoint { address: encode_address(address), ..Default::default() };
    eds::LbEndpoint {
        health_status: health as i32,
        load_balancing_weight: uint32(weight.max(1)),
        host_identifier: Some(eds::lb_endpoint::HostIdentifier::Endpoint(endpoint)),
        ..Default::default()
    }
}

fn assignment(name: &str, localities: Vec<eds::LocalityLbEndpoints>, drop_percent: u32) -> Vec<u8> {
    let drop_percentage =
        FractionalPercent { numerator: drop_percent, denominator: DenominatorType::Hundred as i32 };
    let drop_overload = eds::cluster_load_assignment::policy::DropOverload {
        category: DROP_CATEGORY.to_string(),
        drop_percentage: Some(drop_percentage),
    };
    let policy = eds::cluster_load_assignment::Policy {
        drop_overloads: Vec::from_iter((drop_percent > 0).then_some(drop_overload)),
        overprovisioning_factor: uint32(OVERPROVISIONING_PERCENT),
        ..Default::default()
    };
    let assignment = eds::ClusterLoadAssignment {
        cluster_name: name.to_string(),
        endpoints: localities,
        policy: Some(policy),
        ..Default::default()
    };
    assignment.encode_to_vec()
}
