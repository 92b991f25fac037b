//! Nodes that are to get no new work, and the proxies that may still act on a view in which they did. A drain is
//! kept once each proxy has accepted a view without the node; a node that came back cold gets work again only then.

use crate::fleet::Node;
use crate::kinds::Kind;
use crate::ledger::Proxy;
use crate::session::Session;
use balancer::Micros;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct Departure {
    told: Micros,
    /// The plan that first went without it, and the clusters that it was in.
    plan: u64,
    clusters: Vec<String>,
    waits: BTreeSet<Proxy>,
}

#[derive(Debug, Default)]
pub struct Departures {
    open: BTreeMap<Node, Departure>,
}

impl Departures {
    /// A node leaves clusters; `proxies` may act on what they have of these.
    pub fn begin(
        &mut self, now: Micros, node: Node, plan: u64, clusters: Vec<String>,
        proxies: impl Iterator<Item = Proxy>,
    ) {
        let waits: BTreeSet<Proxy> = proxies.collect();
        if !waits.is_empty() {
            self.open.insert(node, Departure { told: now, plan, clusters, waits });
        }
    }

    /// The node is given new work again where it was.
    pub fn cancel(&mut self, node: Node) {
        self.open.remove(&node);
    }

    /// No proxy acts on a view from before any more.
    pub fn is_clear(&self, node: Node) -> bool {
        !self.open.contains_key(&node)
    }

    pub fn concerns(&self, proxy: Proxy) -> bool {
        self.open.values().any(|departure| departure.waits.contains(&proxy))
    }

    /// A proxy has accepted endpoints; how long after they were told the departures that this settles for it.
    pub fn accepted(&mut self, now: Micros, proxy: Proxy, session: &Session) -> Vec<Micros> {
        let mut after = Vec::new();
        self.open.retain(|_, departure| {
            let newer = |name: &String| match session.plan_of(Kind::Endpoints, name) {
                Some(plan) => plan >= departure.plan,
                None => !session.held_before(Kind::Endpoints, name),
            };
            if departure.waits.contains(&proxy) && departure.clusters.iter().all(newer) {
                departure.waits.remove(&proxy);
                after.push(now - departure.told);
            }
            !departure.waits.is_empty()
        });
        after
    }

    pub fn forget(&mut self, proxy: Proxy) {
        self.open.retain(|_, departure| {
            departure.waits.remove(&proxy);
            !departure.waits.is_empty()
        });
    }

    /// Pairs of a node and a proxy that has not accepted its departure, told before `since`.
    pub fn unsettled(&self, since: Micros) -> usize {
        let late = self.open.values().filter(|departure| departure.told <= since);
        late.map(|departure| departure.waits.len()).sum()
    }
}
