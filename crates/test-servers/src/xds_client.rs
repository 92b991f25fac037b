//! A proxy as xDS sees it, without a socket: it subscribes, accepts or refuses, and holds the view that it would act
//! on. It checks after each message that no route of its view leads to a cluster without endpoints.

use prost::{Message, Name};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use xds_api::pb::envoy::config::cluster::v3::Cluster;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as eds;
use xds_api::pb::envoy::config::listener::v3::Listener;
use xds_api::pb::envoy::config::route::v3 as rds;
use xds_api::pb::google::protobuf::Any;

type Refuse = dyn Fn(&str, &[String]) -> Option<String> + Send + Sync;

/// How a proxy behaves.
#[derive(Clone)]
pub struct Script {
    pub id: String,
    pub zone: String,
    pub delta: bool,
    /// Asks for everything by name, listener first, as a proxyless client does; else clusters by wildcard.
    pub proxyless: Option<String>,
    /// What it lets pass before it looks at a message.
    pub lag: Duration,
    /// By type and names, what it holds against a response.
    pub refuse: Option<Arc<Refuse>>,
    /// The authority, and its own certificate and key, as PEM; and the name that the service's must have.
    pub tls: Option<(String, String, String, String)>,
}

impl Script {
    pub fn new(id: &str, zone: &str, delta: bool) -> Script {
        let (id, zone) = (id.to_string(), zone.to_string());
        Script { id, zone, delta, proxyless: None, lag: Duration::ZERO, refuse: None, tls: None }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    pub at: SocketAddr,
    pub healthy: bool,
    pub zone: String,
    pub priority: u32,
    pub weight: u32,
}

/// What a proxy has and would act on.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// By name: the most requests that it may have in flight.
    pub clusters: BTreeMap<String, u32>,
    pub endpoints: BTreeMap<String, Vec<Backend>>,
    /// In percent, by cluster.
    pub dropped: BTreeMap<String, u32>,
    /// By route configuration: clusters and their weights.
    pub routes: BTreeMap<String, BTreeMap<String, u32>>,
    pub listeners: BTreeSet<String>,
    /// By type and name, the version; for state of the world by type, under an empty name.
    pub versions: BTreeMap<(String, String), String>,
    /// By message: its type and the names in it.
    pub log: Vec<(String, Vec<String>)>,
    pub bytes: usize,
    pub refused: usize,
    pub heartbeats: usize,
    /// Routes that led to a cluster without endpoints, when a message was applied.
    pub gaps: Vec<String>,
}

impl View {
    /// Whether new work can go to a node: it is healthy in a cluster that a route leads to.
    pub fn uses(&self, at: SocketAddr) -> bool {
        self.routes.values().flat_map(BTreeMap::keys).any(|cluster| {
            self.endpoints.get(cluster).is_some_and(|all| all.iter().any(|b| b.at == at && b.healthy))
        })
    }

    /// Whether every route leads to a cluster that is there with its endpoints.
    fn gap(&self) -> Option<String> {
        let mut clusters = self.routes.values().flat_map(BTreeMap::keys);
        let lacks =
            |name: &&String| !self.clusters.contains_key(*name) || !self.endpoints.contains_key(*name);
        clusters.find(lacks).cloned()
    }

    pub fn whole(&self) -> bool {
        !self.routes.is_empty() && self.gap().is_none()
    }
}

fn decoded<M: Message + Default + Name>(any: &Any) -> M {
    assert_eq!(any.type_url, M::type_url(), "a resource of another type");
    M::decode(&any.value[..]).expect("a resource")
}

fn socket(address: &Option<core::Address>) -> SocketAddr {
    let Some(core::address::Address::SocketAddress(socket)) =
        address.as_ref().and_then(|a| a.address.as_ref())
    else {
        panic!("an address with a port");
    };
    let Some(core::socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else {
        panic!("a port");
    };
    SocketAddr::new(socket.address.parse().expect("an address"), port as u16)
}

pub fn name_of(any: &Any) -> String {
    let url = &any.type_url;
    if *url == Cluster::type_url() {
        decoded::<Cluster>(any).name
    } else if *url == eds::ClusterLoadAssignment::type_url() {
        decoded::<eds::ClusterLoadAssignment>(any).cluster_name
    } else if *url == rds::RouteConfiguration::type_url() {
        decoded::<rds::RouteConfiguration>(any).name
    } else {
        decoded::<Listener>(any).name
    }
}

impl View {
    fn put(&mut self, any: &Any) {
        let (url, name) = (&any.type_url, name_of(any));
        if *url == Cluster::type_url() {
            let breakers = decoded::<Cluster>(any).circuit_breakers.expect("bounds");
            let units = breakers.thresholds[0].max_requests.as_ref().expect("a bound").value;
            self.clusters.insert(name, units);
        } else if *url == eds::ClusterLoadAssignment::type_url() {
            let of: eds::ClusterLoadAssignment = decoded(any);
            let drops = of.policy.iter().flat_map(|policy| &policy.drop_overloads);
            let dropped = drops.filter_map(|drop| drop.drop_percentage.as_ref()).map(|share| share.numerator);
            self.dropped.insert(name.clone(), dropped.sum());
            let mut backends = Vec::new();
            for locality in &of.endpoints {
                for endpoint in &locality.lb_endpoints {
                    let Some(eds::lb_endpoint::HostIdentifier::Endpoint(at)) = &endpoint.host_identifier
                    else {
                        panic!("an endpoint");
                    };
                    backends.push(Backend {
                        at: socket(&at.address),
                        healthy: endpoint.health_status == core::HealthStatus::Healthy as i32,
                        zone: locality.locality.as_ref().map_or(String::new(), |l| l.zone.clone()),
                        priority: locality.priority,
                        weight: endpoint.load_balancing_weight.as_ref().map_or(1, |weight| weight.value),
                    });
                }
            }
            self.endpoints.insert(name, backends);
        } else if *url == rds::RouteConfiguration::type_url() {
            let of: rds::RouteConfiguration = decoded(any);
            let mut clusters = BTreeMap::new();
            for route in of.virtual_hosts.iter().flat_map(|host| &host.routes) {
                let Some(rds::route::Action::Route(action)) = &route.action else { continue };
                match &action.cluster_specifier {
                    Some(rds::route_action::ClusterSpecifier::Cluster(name)) => {
                        clusters.insert(name.clone(), 1);
                    }
                    Some(rds::route_action::ClusterSpecifier::WeightedClusters(all)) => {
                        for one in &all.clusters {
                            let weight = one.weight.as_ref().map_or(0, |weight| weight.value);
                            clusters.insert(one.name.clone(), weight);
                        }
                    }
                    _ => panic!("a cluster"),
                }
            }
            self.routes.insert(name, clusters);
        } else {
            self.listeners.insert(name);
        }
    }

    fn remove(&mut self, url: &str, name: &str) {
        if url == Cluster::type_url() {
            self.clusters.remove(name);
            self.endpoints.remove(name);
        } else if url == eds::ClusterLoadAssignment::type_url() {
            self.endpoints.remove(name);
        } else if url == rds::RouteConfiguration::type_url() {
            self.routes.remove(name);
        } else {
            self.listeners.remove(name);
        }
        self.versions.remove(&(url.to_string(), name.to_string()));
    }
}

/// One request, of either form: a state of the world request names all of `names`, an incremental one the changes.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    pub url: String,
    pub version: String,
    pub nonce: String,
    pub names: Vec<String>,
    pub subscribe: Vec<String>,
    pub unsubscribe: Vec<String>,
    pub initial: Vec<(String, String)>,
    pub refusal: Option<String>,
}

/// One response, of either form: by name, its version and its content; none is a heartbeat.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub url: String,
    pub version: String,
    pub nonce: String,
    pub put: Vec<(String, String, Option<Any>)>,
    pub removed: Vec<String>,
}

/// The proxy's side of a stream.
pub struct Subscriber {
    pub script: Script,
    pub view: View,
    subscribed: BTreeMap<String, BTreeSet<String>>,
    nonces: BTreeMap<String, String>,
}

impl Subscriber {
    pub fn new(script: Script) -> Subscriber {
        Subscriber { script, view: View::default(), subscribed: BTreeMap::new(), nonces: BTreeMap::new() }
    }

    /// The names that it wants of a type, with the view as it is.
    fn wanted(&self, url: &str) -> BTreeSet<String> {
        let (view, proxyless) = (&self.view, &self.script.proxyless);
        if url == eds::ClusterLoadAssignment::type_url() {
            view.clusters.keys().cloned().collect()
        } else if url == rds::RouteConfiguration::type_url() {
            if view.listeners.is_empty() { BTreeSet::new() } else { BTreeSet::from(["desk".to_string()]) }
        } else if url == Cluster::type_url() && proxyless.is_some() {
            view.routes.values().flat_map(BTreeMap::keys).cloned().collect()
        } else if url == Listener::type_url() {
            proxyless.iter().cloned().collect()
        } else {
            BTreeSet::new()
        }
    }

    fn types(&self) -> [String; 4] {
        let mut types = [
            Cluster::type_url(),
            eds::ClusterLoadAssignment::type_url(),
            Listener::type_url(),
            rds::RouteConfiguration::type_url(),
        ];
        if self.script.proxyless.is_some() {
            types.rotate_left(2);
        }
        types
    }

    fn is_wildcard(&self, url: &str) -> bool {
        self.script.proxyless.is_none() && (url == Cluster::type_url() || url == Listener::type_url())
    }

    fn version(&self, url: &str) -> String {
        self.view.versions.get(&(url.to_string(), String::new())).cloned().unwrap_or_default()
    }

    /// The first requests of a stream, with what is held from the one before.
    pub fn open(&mut self) -> Vec<Ask> {
        self.subscribed.clear();
        self.nonces.clear();
        let mut asks = Vec::new();
        for url in self.types() {
            let names = self.wanted(&url);
            if names.is_empty() && !self.is_wildcard(&url) {
                continue;
            }
            let held = self.view.versions.iter().filter(|((of, name), _)| *of == url && !name.is_empty());
            let list: Vec<String> = names.iter().cloned().collect();
            asks.push(Ask {
                version: self.version(&url),
                initial: held.map(|((_, name), version)| (name.clone(), version.clone())).collect(),
                names: list.clone(),
                subscribe: list,
                url: url.clone(),
                ..Ask::default()
            });
            self.subscribed.insert(url, names);
        }
        asks
    }

    /// Takes a response or refuses it; what it then says.
    pub fn take(&mut self, answer: &Answer) -> Vec<Ask> {
        let url = &answer.url;
        let names: Vec<String> =
            answer.put.iter().filter(|put| put.2.is_some()).map(|put| put.0.clone()).collect();
        let refusal = self.script.refuse.as_ref().and_then(|refuse| refuse(url, &names));
        let full = *url == Cluster::type_url() || *url == Listener::type_url();
        let view = &mut self.view;
        view.bytes +=
            answer.put.iter().filter_map(|put| put.2.as_ref()).map(|any| any.value.len()).sum::<usize>();
        view.heartbeats += answer.put.len() - names.len();
        if refusal.is_some() {
            view.refused += 1;
        } else {
            if full && !self.script.delta {
                let had: Vec<String> = match *url == Cluster::type_url() {
                    true => view.clusters.keys().cloned().collect(),
                    false => view.listeners.iter().cloned().collect(),
                };
                had.iter().filter(|name| !names.contains(name)).for_each(|name| view.remove(url, name));
            }
            for (name, version, content) in &answer.put {
                if let Some(any) = content {
                    assert_eq!((name_of(any), &any.type_url), (name.clone(), url));
                    view.put(any);
                }
                if self.script.delta {
                    view.versions.insert((url.clone(), name.clone()), version.clone());
                }
            }
            answer.removed.iter().for_each(|name| view.remove(url, name));
            if !self.script.delta {
                view.versions.insert((url.clone(), String::new()), answer.version.clone());
            }
        }
        view.log.push((url.clone(), names));
        view.gaps.extend(view.gap().filter(|_| self.script.proxyless.is_none()));
        self.nonces.insert(url.clone(), answer.nonce.clone());
        let mut asks = vec![Ask {
            url: url.clone(),
            version: self.version(url),
            nonce: answer.nonce.clone(),
            names: self.wanted(url).into_iter().collect(),
            refusal,
            ..Ask::default()
        }];
        for of in self.types() {
            let names = self.wanted(&of);
            let before = self.subscribed.get(&of);
            let known = before.is_some();
            let before = before.cloned().unwrap_or_default();
            if before == names {
                continue;
            }
            self.subscribed.insert(of.clone(), names.clone());
            if of == *url && !self.script.delta {
                continue;
            }
            asks.push(Ask {
                version: if known { self.version(&of) } else { String::new() },
                nonce: if self.script.delta {
                    String::new()
                } else {
                    self.nonces.get(&of).cloned().unwrap_or_default()
                },
                subscribe: names.difference(&before).cloned().collect(),
                unsubscribe: before.difference(&names).cloned().collect(),
                names: names.into_iter().collect(),
                url: of,
                ..Ask::default()
            });
        }
        asks
    }
}
