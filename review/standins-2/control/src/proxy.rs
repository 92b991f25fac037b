//! A proxy that takes clusters, endpoints, listeners and routes from an xDS v3 service by the incremental variant of the
//! aggregated discovery service. It applies each response at once and acknowledges it.

use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Status;
use tonic::transport::Endpoint;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as eds;
use xds_api::pb::envoy::config::route::v3 as rds;
use xds_api::pb::envoy::service::discovery::v3 as ads;

const CLUSTER: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
const ENDPOINTS: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
const LISTENER: &str = "type.googleapis.com/envoy.config.listener.v3.Listener";
const ROUTES: &str = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration";
/// The routes that the listener of the control plane names.
const ROUTE_NAME: &str = "desk";

/// What the proxy was sent.
#[derive(Default)]
struct View {
    clusters: BTreeSet<String>,
    healthy: BTreeMap<String, Vec<SocketAddr>>,
    routed: BTreeSet<String>,
}

pub struct Proxy {
    address: SocketAddr,
    id: String,
    zone: String,
    view: Mutex<View>,
}

impl Proxy {
    pub fn new(address: SocketAddr, id: &str, zone: &str) -> Proxy {
        Proxy { address, id: id.to_string(), zone: zone.to_string(), view: Mutex::default() }
    }

    /// Whether a request that is routed now may go to this node.
    pub fn uses(&self, node: SocketAddr) -> bool {
        let view = self.view.lock().expect("the view");
        view.routed.iter().filter_map(|cluster| view.healthy.get(cluster)).any(|nodes| nodes.contains(&node))
    }

    /// Runs one stream until it ends.
    pub async fn run(&self) -> Result<(), Status> {
        let unavailable = |error: tonic::transport::Error| Status::unavailable(format!("{error:?}"));
        let endpoint = Endpoint::from_shared(format!("http://{}", self.address)).map_err(unavailable)?;
        let channel = endpoint.connect().await.map_err(unavailable)?;
        let mut client =
            ads::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient::new(channel);
        let (requests, queue) = mpsc::channel(64);
        let locality = Some(core::Locality { zone: self.zone.clone(), ..Default::default() });
        let node = Some(core::Node { id: self.id.clone(), locality, ..Default::default() });
        let first = |type_url: &str, node| ads::DeltaDiscoveryRequest {
            node,
            type_url: type_url.to_string(),
            ..Default::default()
        };
        let _ = requests.send(first(CLUSTER, node)).await;
        let _ = requests.send(first(LISTENER, None)).await;
        let _ = requests.send(subscribe(ROUTES, vec![ROUTE_NAME.to_string()])).await;
        *self.view.lock().expect("the view") = View::default();
        let mut responses = client.delta_aggregated_resources(ReceiverStream::new(queue)).await?.into_inner();
        while let Some(response) = responses.message().await? {
            let new_clusters = self.apply(&response);
            let answer = ads::DeltaDiscoveryRequest {
                type_url: response.type_url.clone(),
                response_nonce: response.nonce.clone(),
                ..Default::default()
            };
            let _ = requests.send(answer).await;
            if !new_clusters.is_empty() {
                let _ = requests.send(subscribe(ENDPOINTS, new_clusters)).await;
            }
        }
        Ok(())
    }

    /// Applies a response. Returns the clusters whose endpoints are to be asked for.
    fn apply(&self, response: &ads::DeltaDiscoveryResponse) -> Vec<String> {
        let mut view = self.view.lock().expect("the view");
        let mut new_clusters = Vec::new();
        for resource in &response.resources {
            let Some(content) = &resource.resource else { continue };
            match response.type_url.as_str() {
                CLUSTER if view.clusters.insert(resource.name.clone()) => {
                    new_clusters.push(resource.name.clone())
                }
                ENDPOINTS => {
                    let assignment = eds::ClusterLoadAssignment::decode(&*content.value).expect("endpoints");
                    let nodes = assignment.endpoints.iter().flat_map(|zone| &zone.lb_endpoints);
                    let healthy =
                        nodes.filter(|node| node.health_status == core::HealthStatus::Healthy as i32);
                    let addresses = healthy.filter_map(address_of).collect();
                    view.healthy.insert(resource.name.clone(), addresses);
                }
                ROUTES => {
                    let routes = rds::RouteConfiguration::decode(&*content.value).expect("routes");
                    view.routed = routed_clusters(&routes);
                }
                _ => {}
            }
        }
        for name in &response.removed_resources {
            match response.type_url.as_str() {
                CLUSTER => drop(view.clusters.remove(name)),
                ENDPOINTS => drop(view.healthy.remove(name)),
                _ => {}
            }
        }
        new_clusters
    }
}

fn subscribe(type_url: &str, names: Vec<String>) -> ads::DeltaDiscoveryRequest {
    ads::DeltaDiscoveryRequest {
        type_url: type_url.to_string(),
        resource_names_subscribe: names,
        ..Default::default()
    }
}

fn address_of(node: &eds::LbEndpoint) -> Option<SocketAddr> {
    let Some(eds::lb_endpoint::HostIdentifier::Endpoint(endpoint)) = &node.host_identifier else {
        return None;
    };
    let Some(core::address::Address::SocketAddress(socket)) = &endpoint.address.as_ref()?.address else {
        return None;
    };
    let Some(core::socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else {
        return None;
    };
    Some(SocketAddr::new(socket.address.parse().ok()?, port as u16))
}

fn routed_clusters(routes: &rds::RouteConfiguration) -> BTreeSet<String> {
    use rds::route_action::ClusterSpecifier;
    let mut clusters = BTreeSet::new();
    for route in routes.virtual_hosts.iter().flat_map(|host| &host.routes) {
        let Some(rds::route::Action::Route(action)) = &route.action else { continue };
        match &action.cluster_specifier {
            Some(ClusterSpecifier::Cluster(name)) => drop(clusters.insert(name.clone())),
            Some(ClusterSpecifier::WeightedClusters(weighted)) => {
                clusters.extend(weighted.clusters.iter().map(|cluster| cluster.name.clone()));
            }
            _ => {}
        }
    }
    clusters
}
