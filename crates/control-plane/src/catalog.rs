//! Resources from the plan: xDS v3 messages, encoded once for all proxies that get the same.
//!
//! `docs/control.md` has the table of the rules against what these messages can say.

use crate::fleet::Site;
use crate::kinds::{Kind, Outline, Resource};
use crate::options::Options;
use crate::plan::{Health, Plan, Single, set_name, single_name};
use balancer::Micros;
use prost::Message;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use xds_api::pb::envoy::config::cluster::v3 as cds;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as eds;
use xds_api::pb::envoy::config::listener::v3 as lds;
use xds_api::pb::envoy::config::route::v3 as rds;
use xds_api::pb::envoy::extensions::filters::http::router::v3::Router;
use xds_api::pb::envoy::extensions::filters::network::http_connection_manager::v3 as hcm;
use xds_api::pb::envoy::r#type::matcher::v3::RegexMatcher;
use xds_api::pb::envoy::r#type::v3::{FractionalPercent, Percent, fractional_percent::DenominatorType};
use xds_api::pb::google::protobuf::{Any, Duration, UInt32Value};

/// The name of the one route configuration, and of the listener that a proxy opens.
pub const ROUTES: &str = "desk";

/// The header fields by which a request names its service class and its shard.
const GRADE: &str = "x-qos";
const SHARD: &str = "x-shard";

/// A proxy's zone, its units of each set and of each single that it holds, and the singles that it is to leave.
pub type Share = (usize, Vec<u32>, Vec<(String, u32)>, Vec<String>);

pub struct Catalog {
    service: String,
    proxy_listen: SocketAddr,
    zones: Vec<String>,
    /// Of the present plan, by set and zone of the proxy.
    endpoints: HashMap<(usize, usize), Arc<Resource>>,
    singles: HashMap<String, Arc<Resource>>,
    clusters: HashMap<(String, u32, u32), Arc<Resource>>,
    routes: HashMap<Vec<String>, Arc<Resource>>,
    listeners: Vec<Arc<Resource>>,
    plan: u64,
}

fn duration(time: Micros) -> Option<Duration> {
    Some(Duration { seconds: time / 1_000_000, nanos: (time % 1_000_000 * 1000) as i32 })
}

fn figure(value: u32) -> Option<UInt32Value> {
    Some(UInt32Value { value })
}

fn packed<M: Message + prost::Name>(message: &M) -> Option<Any> {
    Some(Any { type_url: M::type_url(), value: message.encode_to_vec() })
}

fn ads() -> Option<core::ConfigSource> {
    Some(core::ConfigSource {
        resource_api_version: core::ApiVersion::V3 as i32,
        config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Ads(Default::default())),
        ..Default::default()
    })
}

fn address(at: SocketAddr) -> Option<core::Address> {
    let socket = core::SocketAddress {
        address: at.ip().to_string(),
        port_specifier: Some(core::socket_address::PortSpecifier::PortValue(at.port() as u32)),
        ..Default::default()
    };
    Some(core::Address { address: Some(core::address::Address::SocketAddress(socket)) })
}

/// The address that a message names, if it is one of a data node's.
pub fn socket_of(address: &core::Address) -> Option<SocketAddr> {
    let Some(core::address::Address::SocketAddress(socket)) = &address.address else { return None };
    let Some(core::socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else {
        return None;
    };
    Some(SocketAddr::new(socket.address.parse().ok()?, u16::try_from(port).ok()?))
}

fn endpoint(at: SocketAddr, health: Health, weight: u32) -> eds::LbEndpoint {
    let health = match health {
        Health::Healthy => core::HealthStatus::Healthy,
        Health::Unhealthy => core::HealthStatus::Unhealthy,
        Health::Draining => core::HealthStatus::Draining,
    };
    let endpoint = eds::Endpoint { address: address(at), ..Default::default() };
    eds::LbEndpoint {
        health_status: health as i32,
        load_balancing_weight: figure(weight.max(1)),
        host_identifier: Some(eds::lb_endpoint::HostIdentifier::Endpoint(endpoint)),
        ..Default::default()
    }
}

fn assignment(name: &str, localities: Vec<eds::LocalityLbEndpoints>, dropped: u32) -> Vec<u8> {
    let percent = FractionalPercent { numerator: dropped, denominator: DenominatorType::Hundred as i32 };
    let overload = eds::cluster_load_assignment::policy::DropOverload {
        category: "deferred".to_string(),
        drop_percentage: Some(percent),
    };
    let policy = eds::cluster_load_assignment::Policy {
        drop_overloads: Vec::from_iter((dropped > 0).then_some(overload)),
        // What a zone lacks goes to the next at once, not only beyond a margin.
        overprovisioning_factor: figure(100),
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

impl Catalog {
    pub fn new(options: &Options, zones: &[String]) -> Catalog {
        let mut catalog = Catalog {
            service: options.service.clone(),
            proxy_listen: options.proxy_listen,
            zones: zones.to_vec(),
            endpoints: HashMap::new(),
            singles: HashMap::new(),
            clusters: HashMap::new(),
            routes: HashMap::new(),
            listeners: Vec::new(),
            plan: 0,
        };
        catalog.listeners = catalog.made_listeners();
        catalog
    }

    /// Another plan is in force; `before` was until now. What both say alike is kept.
    pub fn turn_to(&mut self, before: &Plan, plan: &Plan) {
        self.plan = plan.number;
        self.endpoints.retain(|&(set, _), _| before.sets.get(set) == plan.sets.get(set));
        self.singles.retain(|name, _| {
            plan.singles.contains_key(name) && before.singles.get(name) == plan.singles.get(name)
        });
        self.routes.clear();
        // Clusters depend on nothing but what is in their key; those of nodes that are no longer apart go.
        self.clusters.retain(|(name, ..), _| !name.starts_with("node-") || plan.singles.contains_key(name));
    }

    fn zone_name(&self, zone: usize) -> String {
        self.zones.get(zone).cloned().unwrap_or_default()
    }

    fn locality(&self, zone: usize) -> Option<core::Locality> {
        Some(core::Locality { zone: self.zone_name(zone), ..Default::default() })
    }

    /// All that a proxy should hold, by its share.
    pub fn outline(&mut self, site: &Site, plan: &Plan, (zone, units, held, left): &Share) -> Outline {
        let mut outline = Outline::default();
        for (set, &units) in units.iter().enumerate() {
            outline.put(Kind::Cluster, self.cluster(site, &plan.names[set], units, plan.proxies));
            outline.put(Kind::Endpoints, self.set_endpoints(plan, set, *zone));
        }
        for (name, units) in held {
            outline.put(Kind::Cluster, self.cluster(site, name, *units, plan.proxies));
            outline.put(Kind::Endpoints, self.single_endpoints(plan, name));
        }
        for name in left {
            outline.put(Kind::Endpoints, self.single_endpoints(plan, name));
        }
        outline
            .put(Kind::Route, self.routes(site, plan, held.iter().map(|single| single.0.clone()).collect()));
        for listener in &self.listeners {
            outline.put(Kind::Listener, listener.clone());
        }
        outline
    }

    /// The endpoints of a set as a proxy in `zone` should use them.
    pub fn set_endpoints(&mut self, plan: &Plan, set: usize, zone: usize) -> Arc<Resource> {
        if let Some(made) = self.endpoints.get(&(set, zone)) {
            return made.clone();
        }
        let name = set_name(set);
        let of = &plan.sets[set];
        let mut zones: BTreeMap<usize, (u32, Vec<eds::LbEndpoint>)> = BTreeMap::new();
        for member in &of.members {
            let at = zones.entry(member.zone).or_default();
            at.0 += member.parts;
            at.1.push(endpoint(member.at, member.health, member.parts));
        }
        let all: u32 = zones.values().map(|zone| zone.0).sum();
        let own = of.own.get(zone).copied().filter(|_| zones.get(&zone).is_some_and(|own| own.0 > 0));
        // What each other zone has over for work from elsewhere, in thousandths.
        let spare = |other: usize, parts: u32| {
            let from = plan.by_zone.get(other).copied().unwrap_or(0) as f64 / plan.proxies.max(1) as f64;
            ((parts as f64 / all.max(1) as f64 - from).max(0.001) * 1000.0) as u32
        };
        let others: u32 = zones.iter().filter(|z| *z.0 != zone).map(|(&z, at)| spare(z, at.0)).sum();
        let localities = zones.iter().map(|(&other, (parts, endpoints))| {
            let (priority, weight) = match own {
                None => (0, *parts),
                Some(100) => ((other != zone) as u32, *parts),
                Some(own) if other == zone => (0, own * 10),
                Some(own) => (0, (100 - own) * 10 * spare(other, *parts) / others.max(1)),
            };
            eds::LocalityLbEndpoints {
                locality: self.locality(other),
                lb_endpoints: endpoints.clone(),
                load_balancing_weight: figure(weight.max(1)),
                priority,
                ..Default::default()
            }
        });
        // Priorities begin at 0 and leave no gap.
        let mut localities: Vec<_> = localities.collect();
        if localities.iter().all(|locality| locality.priority > 0) {
            localities.iter_mut().for_each(|locality| locality.priority = 0);
        }
        let body = assignment(&name, localities, of.dropped);
        let made = Arc::new(Resource::new(&name, body, plan.number));
        self.endpoints.insert((set, zone), made.clone());
        made
    }

    /// The endpoint of a node that stands apart; none where it no longer does, for those still acting on it.
    pub fn single_endpoints(&mut self, plan: &Plan, name: &str) -> Arc<Resource> {
        if let Some(made) = self.singles.get(name) {
            return made.clone();
        }
        let single = plan.singles.get(name);
        let localities = single.map(|single| eds::LocalityLbEndpoints {
            locality: self.locality(single.zone),
            lb_endpoints: vec![endpoint(single.at, Health::Healthy, 1)],
            load_balancing_weight: figure(1),
            ..Default::default()
        });
        let body = assignment(name, Vec::from_iter(localities), 0);
        let made = Arc::new(Resource::new(name, body, plan.number));
        if single.is_some() {
            self.singles.insert(name.to_string(), made.clone());
        }
        made
    }

    /// A cluster in which a proxy may have `units` requests in flight.
    pub fn cluster(&mut self, site: &Site, name: &str, units: u32, divide: u32) -> Arc<Resource> {
        let key = (name.to_string(), units, divide);
        if let Some(made) = self.clusters.get(&key) {
            return made.clone();
        }
        let budget = site.further_share.map(|share| cds::circuit_breakers::thresholds::RetryBudget {
            budget_percent: Some(Percent { value: share * 100.0 }),
            min_retry_concurrency: figure((site.further_free / divide.max(1) as f64) as u32),
        });
        let thresholds = cds::circuit_breakers::Thresholds {
            max_requests: figure(units),
            max_pending_requests: figure(units),
            retry_budget: budget,
            ..Default::default()
        };
        let locality = cds::cluster::common_lb_config::LocalityConfigSpecifier::LocalityWeightedLbConfig(
            Default::default(),
        );
        let cluster = cds::Cluster {
            name: name.to_string(),
            cluster_discovery_type: Some(cds::cluster::ClusterDiscoveryType::Type(
                cds::cluster::DiscoveryType::Eds as i32,
            )),
            eds_cluster_config: Some(cds::cluster::EdsClusterConfig {
                eds_config: ads(),
                service_name: String::new(),
            }),
            connect_timeout: duration(site.connect),
            lb_policy: cds::cluster::LbPolicy::RoundRobin as i32,
            circuit_breakers: Some(cds::CircuitBreakers {
                thresholds: vec![thresholds],
                ..Default::default()
            }),
            // Where no node is fit none is used, instead of all of them.
            common_lb_config: Some(cds::cluster::CommonLbConfig {
                healthy_panic_threshold: Some(Percent { value: 0.0 }),
                locality_config_specifier: Some(locality),
                ..Default::default()
            }),
            ignore_health_on_host_removal: true,
            lrs_server: Some(core::ConfigSource {
                resource_api_version: core::ApiVersion::V3 as i32,
                config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Self_(
                    Default::default(),
                )),
                ..Default::default()
            }),
            ..Default::default()
        };
        let mut made = Resource::new(name, cluster.encode_to_vec(), self.plan);
        made.units = units;
        let made = Arc::new(made);
        self.clusters.insert(key, made.clone());
        made
    }

    /// Routes by service class and shard for a proxy that holds units of these singles.
    pub fn routes(&mut self, site: &Site, plan: &Plan, held: Vec<String>) -> Arc<Resource> {
        if let Some(made) = self.routes.get(&held) {
            return made.clone();
        }
        let mut routes = Vec::new();
        let mut clusters: Vec<String> = (0..plan.sets.len()).map(set_name).collect();
        clusters.extend(held.iter().cloned());
        for class in &site.classes {
            for (set, of) in plan.sets.iter().enumerate() {
                let shards: Vec<String> =
                    (set..site.shards).step_by(site.cells).map(|shard| shard.to_string()).collect();
                let single = |name: &String| plan.singles.get(name).filter(|s| s.sets.contains(&set));
                let apart: Vec<(&String, &Single)> =
                    held.iter().filter_map(|name| Some((name, single(name)?))).collect();
                let warm: u32 = of.members.iter().map(|member| member.parts).sum();
                let weight = |name: &str, weight: u32| rds::weighted_cluster::ClusterWeight {
                    name: name.to_string(),
                    weight: figure(weight),
                    ..Default::default()
                };
                let specifier = if apart.is_empty() {
                    rds::route_action::ClusterSpecifier::Cluster(set_name(set))
                } else {
                    // A set without a node in use gets nothing beside those that stand apart.
                    let weights = apart.iter().map(|(name, single)| weight(name, plan.weight(of, single)));
                    let clusters = std::iter::once(weight(&set_name(set), warm)).chain(weights).collect();
                    let weighted = rds::WeightedCluster { clusters, ..Default::default() };
                    rds::route_action::ClusterSpecifier::WeightedClusters(weighted)
                };
                let action = match class.effect.as_str() {
                    "idempotency_key" => refusal(501, "a keyed class: its keys can't be kept by a proxy\n"),
                    effect => rds::route::Action::Route(rds::RouteAction {
                        cluster_specifier: Some(specifier),
                        // What comes after the agreed time and pays nothing is given up there, as in a router.
                        timeout: duration(if class.pays_late { class.deadline } else { class.agreed }),
                        retry_policy: Some(retries(site, class.agreed, effect == "idempotent")),
                        cluster_not_found_response_code:
                            rds::route_action::ClusterNotFoundResponseCode::ServiceUnavailable as i32,
                        ..Default::default()
                    }),
                };
                let exact = rds::header_matcher::HeaderMatchSpecifier::ExactMatch(class.name.clone());
                let regex = RegexMatcher { regex: shards.join("|"), ..Default::default() };
                let regex = rds::header_matcher::HeaderMatchSpecifier::SafeRegexMatch(regex);
                routes.push(route(vec![header(GRADE, exact), header(SHARD, regex)], action));
            }
        }
        routes.push(route(Vec::new(), refusal(404, "no such service class or shard\n")));
        let host = rds::VirtualHost {
            name: ROUTES.to_string(),
            domains: vec!["*".to_string()],
            routes,
            ..Default::default()
        };
        let config = rds::RouteConfiguration {
            name: ROUTES.to_string(),
            virtual_hosts: vec![host],
            ..Default::default()
        };
        let mut made = Resource::new(ROUTES, config.encode_to_vec(), plan.number);
        made.clusters = clusters;
        let made = Arc::new(made);
        self.routes.insert(held, made.clone());
        made
    }

    /// The listener that a proxy opens, and the one that a proxyless client asks for.
    fn made_listeners(&self) -> Vec<Arc<Resource>> {
        let router = hcm::HttpFilter {
            name: "envoy.filters.http.router".to_string(),
            config_type: Some(hcm::http_filter::ConfigType::TypedConfig(
                packed(&Router::default()).unwrap_or_default(),
            )),
            ..Default::default()
        };
        let manager = hcm::HttpConnectionManager {
            stat_prefix: ROUTES.to_string(),
            http_filters: vec![router],
            route_specifier: Some(hcm::http_connection_manager::RouteSpecifier::Rds(hcm::Rds {
                config_source: ads(),
                route_config_name: ROUTES.to_string(),
            })),
            ..Default::default()
        };
        let filter = lds::Filter {
            name: "envoy.filters.network.http_connection_manager".to_string(),
            config_type: Some(lds::filter::ConfigType::TypedConfig(packed(&manager).unwrap_or_default())),
        };
        let socket = lds::Listener {
            name: ROUTES.to_string(),
            address: address(self.proxy_listen),
            filter_chains: vec![lds::FilterChain { filters: vec![filter], ..Default::default() }],
            ..Default::default()
        };
        let api = lds::Listener {
            name: self.service.clone(),
            api_listener: Some(lds::ApiListener { api_listener: packed(&manager) }),
            ..Default::default()
        };
        let made =
            |listener: &lds::Listener| Arc::new(Resource::new(&listener.name, listener.encode_to_vec(), 0));
        vec![made(&socket), made(&api)]
    }
}

fn header(name: &str, matches: rds::header_matcher::HeaderMatchSpecifier) -> rds::HeaderMatcher {
    rds::HeaderMatcher { name: name.to_string(), header_match_specifier: Some(matches), ..Default::default() }
}

fn route(headers: Vec<rds::HeaderMatcher>, action: rds::route::Action) -> rds::Route {
    let path = rds::route_match::PathSpecifier::Prefix("/".to_string());
    rds::Route {
        r#match: Some(rds::RouteMatch { headers, path_specifier: Some(path), ..Default::default() }),
        action: Some(action),
        ..Default::default()
    }
}

fn refusal(status: u32, words: &str) -> rds::route::Action {
    let body = core::DataSource {
        specifier: Some(core::data_source::Specifier::InlineString(words.to_string())),
        ..Default::default()
    };
    rds::route::Action::DirectResponse(rds::DirectResponseAction { status, body: Some(body) })
}

/// Another try on proof that the first never ran: no connection came about, or the stream was refused (RFC 9113,
/// 8.7). What may be repeated is tried again after any failure, and after half the agreed time.
fn retries(site: &Site, agreed: Micros, safe: bool) -> rds::RetryPolicy {
    let on = if safe { "connect-failure,refused-stream,reset,5xx" } else { "connect-failure,refused-stream" };
    let other = Any {
        type_url: "type.googleapis.com/envoy.extensions.retry.host.previous_hosts.v3.PreviousHostsPredicate"
            .into(),
        value: Vec::new(),
    };
    let previous = rds::retry_policy::RetryHostPredicate {
        name: "envoy.retry_host_predicates.previous_hosts".to_string(),
        config_type: Some(rds::retry_policy::retry_host_predicate::ConfigType::TypedConfig(other)),
    };
    rds::RetryPolicy {
        retry_on: on.to_string(),
        num_retries: figure(site.shots.saturating_sub(1)),
        per_try_timeout: if safe { duration(agreed / 2) } else { None },
        retry_host_predicate: vec![previous],
        host_selection_retry_max_attempts: site.shots as i64,
        ..Default::default()
    }
}

/// Whether a cluster is a node's own.
pub fn is_single(name: &str) -> bool {
    name.starts_with(&single_name(""))
}
