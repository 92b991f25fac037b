//! The data nodes: the list as it was told, and the module that says how each of them stands. It decides nothing
//! itself; the module runs here as it runs in a router, tick by tick.

use balancer::{
    Actions, Balancer, Completion, Endpoint, EndpointHealth, EndpointUpdate, Events, LoadReport, Micros,
    NodeId, QueryId, Settings, ShardRequestId,
};
use query_router::config::{Config, names_in_list};
use serde_json::Value as Json;
use settings_schema::EndpointEntry;
use settings_schema::IdInterner;
use std::net::SocketAddr;

/// The index of a data node.
pub type Node = usize;

/// Nodes that a list may name: beyond them entries are passed over.
const MOST_NODES: usize = 100_000;

#[derive(Clone, Debug, Default)]
struct Place {
    at: Option<SocketAddr>,
    zone: usize,
    cell: usize,
}

/// What the module asks for beside its answers.
#[derive(Default)]
pub struct Wishes {
    pub subscribe: bool,
    released: Vec<Node>,
    pub lines: Vec<String>,
}

impl Actions for Wishes {
    fn send_attempt(&mut self, _shard_request: ShardRequestId, _node: NodeId, _timeout: Option<Micros>) {}
    fn complete_query(&mut self, _query: QueryId, _completion: Completion) {}
    fn release_node(&mut self, node: NodeId) {
        self.released.push(node.0);
    }
    fn watch_endpoints(&mut self, enabled: bool) {
        self.subscribe |= enabled;
    }
    fn log(&mut self, line: &str) {
        self.lines.push(line.to_string());
    }
}

pub struct Fleet {
    balance: Balancer,
    ids: IdInterner<String>,
    places: Vec<Place>,
    pub zones: Vec<String>,
    /// A list that named a node came from discovery, or from before the start.
    pub told: bool,
    pub known: bool,
    pub unusable: u64,
}

/// A node as the plan wants it.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen<'a> {
    pub node: Node,
    pub id: &'a str,
    pub at: SocketAddr,
    pub zone: usize,
    pub cell: usize,
    pub standing: EndpointHealth,
}

impl Fleet {
    pub fn new(config: &Config) -> Fleet {
        Fleet {
            balance: Balancer::new(config.seed, config.settings.clone()),
            ids: IdInterner::default(),
            places: Vec::new(),
            zones: names_in_list(&config.settings, "zone"),
            told: false,
            known: false,
            unusable: 0,
        }
    }

    /// A list in discovery's form, or the news that there is none.
    pub fn list(&mut self, now: Micros, list: &Json, listing: EndpointUpdate, wishes: &mut Wishes) {
        self.balance.endpoint_update_started(now, listing);
        for entry in list["members"].as_array().map_or(&[][..], Vec::as_slice) {
            let held = self.ids.count();
            let usable = EndpointEntry::parse(entry)
                .filter(|entry| held < MOST_NODES || self.ids.find(entry.id).is_some());
            let Some(entry) = usable else {
                self.unusable += 1;
                continue;
            };
            let node = self.ids.intern(entry.id.to_string());
            let zone = self.zones.iter().position(|known| known == entry.zone).unwrap_or(self.zones.len());
            if self.places.len() <= node {
                self.places.resize(node + 1, Place::default());
            }
            self.places[node] = Place { at: entry.address.parse().ok(), zone, cell: entry.replica_set };
            self.unusable += self.places[node].at.is_none() as u64;
            self.balance.endpoint_listed(
                now,
                &Endpoint {
                    node: NodeId(node),
                    zone,
                    replica_set: entry.replica_set,
                    state: entry.state,
                    scale: entry.scale,
                    started_at: entry.started_at,
                },
            );
            self.known = true;
            self.told |= listing != EndpointUpdate::Cached;
        }
        self.balance.endpoint_update_finished(now, wishes);
    }

    pub fn summed(&mut self, now: Micros, node: Node, sums: &LoadReport) {
        self.balance.load_reported(now, NodeId(node), sums);
    }

    pub fn settle(&mut self, now: Micros, wishes: &mut Wishes) {
        self.balance.decide(now, wishes);
        for node in std::mem::take(&mut wishes.released) {
            self.ids.release(node);
            self.places[node] = Place::default();
        }
    }

    /// All nodes that are listed and can be reached by an address, by id.
    pub fn seen(&self, now: Micros) -> Vec<Seen<'_>> {
        let seen = self.places.iter().enumerate().filter_map(|(node, place)| {
            let (id, at) = (self.ids.key(node)?, place.at?);
            let standing = self.balance.endpoint_health(now, NodeId(node));
            let seen = Seen { node, id, at, zone: place.zone, cell: place.cell, standing };
            (standing != EndpointHealth::Removed).then_some(seen)
        });
        let mut seen: Vec<Seen> = seen.collect();
        seen.sort_by(|a, b| a.id.cmp(b.id));
        seen
    }

    pub fn defers(&self, now: Micros, nodes: &[Node]) -> f64 {
        let nodes: Vec<NodeId> = nodes.iter().copied().map(NodeId).collect();
        self.balance.shed_fraction(now, &nodes)
    }

    pub fn find(&self, at: &SocketAddr) -> Option<Node> {
        self.places.iter().position(|place| place.at.as_ref() == Some(at))
    }

    pub fn count(&self) -> usize {
        self.ids.count()
    }

    pub fn places(&self) -> impl Iterator<Item = (SocketAddr, Node)> + '_ {
        self.places.iter().enumerate().filter_map(|(node, place)| Some((place.at?, node)))
    }
}

/// Figures of a service class that resources carry.
pub struct Class {
    pub name: String,
    pub effect: String,
    pub agreed: Micros,
    pub deadline: Micros,
    pub pays_late: bool,
}

/// What the settings say that resources carry.
pub struct Site {
    pub classes: Vec<Class>,
    pub cells: usize,
    pub shards: usize,
    pub width: usize,
    pub shots: u32,
    pub connect: Micros,
    pub further_share: Option<f64>,
    pub further_free: f64,
}

impl Site {
    pub fn new(settings: &Settings) -> Site {
        let number = |name: &str, absent: f64| settings.number(name).unwrap_or(absent);
        let whole = |name: &str| number(name, 1.0).max(1.0) as usize;
        let classes = names_in_list(settings, "class").into_iter().enumerate().map(|(i, name)| {
            let of = |name: &str| format!("class.{i}.{name}");
            let deadline = number(&of("deadline_us"), 0.0) as Micros;
            Class {
                name,
                effect: settings.text(&of("idempotency")).to_string(),
                agreed: settings.number(&of("latency_objective_us")).map_or(deadline, |t| t as Micros),
                deadline,
                pays_late: number(&of("late_value"), 0.0) > 0.0,
            }
        });
        let cells = whole("shards.replica_sets");
        Site {
            classes: classes.collect(),
            cells,
            shards: whole("shards.count"),
            width: whole("shards.replica_sets_per_shard").min(cells),
            shots: whole("limits.max_attempts") as u32,
            connect: number("limits.connect_timeout_us", 250_000.0) as Micros,
            further_share: settings.number("rules.retry_share"),
            further_free: number("rules.free_retries", 0.0),
        }
    }
}
