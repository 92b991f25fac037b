//! What all proxies together should do, as plain values: which nodes hold which shards and stand how, how much
//! may be in flight at each, and how much of each zone's work stays there. The module's answers go in by steps, so
//! that the plan changes when something did and not with every sample.

use crate::fleet::{Fleet, Node, Seen, Site};
use crate::ledger::{divisor, step_down};
use balancer::{EndpointHealth, Micros};
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Healthy,
    Unhealthy,
    Draining,
}

/// A node that stands among others that hold the same shards.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub node: Node,
    pub at: SocketAddr,
    pub zone: usize,
    pub health: Health,
    /// Parts that all may have in flight there.
    pub parts: u32,
}

/// The nodes that hold the same shards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Set {
    pub members: Vec<Member>,
    pub units: u32,
    /// What of new work would be deferred, in percent.
    pub dropped: u32,
    /// By zone of the proxy, how much of its work the zone's own nodes should take, in percent.
    pub own: Vec<u32>,
}

/// A node that may have only so much in flight, in a cluster of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Single {
    pub node: Node,
    pub at: SocketAddr,
    pub zone: usize,
    pub sets: Vec<usize>,
    pub units: u32,
}

#[derive(Debug, Default)]
pub struct Plan {
    /// Counts the plans that differed from the one before.
    pub number: u64,
    pub sets: Vec<Set>,
    /// The sets' clusters.
    pub names: Vec<String>,
    pub singles: BTreeMap<String, Single>,
    /// How many proxies there are to divide by, and by zone.
    pub proxies: u32,
    pub by_zone: Vec<u32>,
}

/// Percentages go by steps of this.
const STEP: u32 = 10;

pub fn single_name(id: &str) -> String {
    format!("node-{id}")
}

pub fn set_name(set: usize) -> String {
    format!("shards-{set}")
}

impl Plan {
    /// What the nodes' standings make, divided among `instances` control services.
    pub fn of(
        now: Micros, fleet: &Fleet, site: &Site, by_zone: &[u32], proxies: u32, instances: u32,
    ) -> Plan {
        let seen = fleet.seen(now);
        let mut plan = Plan { proxies, by_zone: by_zone.to_vec(), ..Plan::default() };
        let holds =
            |set: usize, cell: usize| (cell % site.cells + site.cells - set) % site.cells < site.width;
        for set in 0..site.cells.min(site.shards) {
            let nodes: Vec<&Seen> = seen.iter().filter(|seen| holds(set, seen.cell)).collect();
            plan.sets.push(plan.set(now, fleet, site, &nodes, instances));
            plan.names.push(set_name(set));
        }
        for seen in &seen {
            let (EndpointHealth::Suspect { capacity: parts }
            | EndpointHealth::WarmingUp { capacity: parts, .. }) = seen.standing
            else {
                continue;
            };
            let sets: Vec<usize> = (0..plan.sets.len()).filter(|&set| holds(set, seen.cell)).collect();
            let units = step_down((parts / instances as f64) as u32);
            let Seen { node, at, zone, .. } = *seen;
            plan.singles.insert(single_name(seen.id), Single { node, at, zone, sets, units });
        }
        plan
    }

    fn set(&self, now: Micros, fleet: &Fleet, site: &Site, nodes: &[&Seen], instances: u32) -> Set {
        let member = |seen: &&Seen| {
            let (health, parts) = match seen.standing {
                EndpointHealth::Healthy { capacity: parts } => (Health::Healthy, step_down(parts as u32)),
                EndpointHealth::EjectedUntil(_) => (Health::Unhealthy, 0),
                EndpointHealth::Draining => (Health::Draining, 0),
                EndpointHealth::Suspect { .. }
                | EndpointHealth::WarmingUp { .. }
                | EndpointHealth::Removed => return None,
            };
            let Seen { node, at, zone, .. } = **seen;
            Some(Member { node, at, zone, health, parts })
        };
        let members: Vec<Member> = nodes.iter().filter_map(member).collect();
        let all: u32 = members.iter().map(|member| member.parts).sum();
        let units = (all as f64 / (site.width as f64 * instances as f64)) as u32;
        let indices: Vec<Node> = nodes.iter().map(|seen| seen.node).collect();
        let dropped = (fleet.defers(now, &indices) * 100.0) as u32 / STEP * STEP;
        let own = (0..fleet.zones.len()).map(|zone| self.stays(zone, &members, all)).collect();
        Set { members, units, dropped, own }
    }

    /// How much of a zone's work its own nodes take: all of it, unless that would be more than their share of all
    /// nodes. Guards against a near node that is swamped because it is near.
    fn stays(&self, zone: usize, members: &[Member], all: u32) -> u32 {
        let own: u32 = members.iter().filter(|member| member.zone == zone).map(|member| member.parts).sum();
        let from = self.by_zone.get(zone).copied().unwrap_or(0).max(1) as f64 / self.proxies.max(1) as f64;
        let share = own as f64 / all.max(1) as f64;
        ((share / from).min(1.0) * 100.0) as u32 / STEP * STEP
    }

    /// Whether it asks the same of proxies as another.
    pub fn same(&self, other: &Plan) -> bool {
        let divide = |plan: &Plan| divisor(plan.proxies);
        self.sets == other.sets && self.singles == other.singles && divide(self) == divide(other)
    }

    /// The nodes that may be given new work, by name of the cluster in which they are.
    pub fn in_use(&self) -> BTreeMap<Node, Vec<String>> {
        let mut used: BTreeMap<Node, Vec<String>> = BTreeMap::new();
        for (i, set) in self.sets.iter().enumerate() {
            for member in set.members.iter().filter(|member| member.health == Health::Healthy) {
                used.entry(member.node).or_default().push(set_name(i));
            }
        }
        for (name, single) in &self.singles {
            used.entry(single.node).or_default().push(name.clone());
        }
        used
    }

    /// What a single's cluster weighs beside one part of a set's: it goes to fewer proxies than there are, which
    /// make up for the others, but to none more than a warm node's.
    pub fn weight(&self, set: &Set, single: &Single) -> u32 {
        let warm = set.members.iter().map(|member| member.parts).max().unwrap_or(0);
        let by = divisor(self.proxies);
        let made_up = if single.units < by { by as f64 / single.units.max(1) as f64 } else { 1.0 };
        let weight = (single.units as f64 * made_up) as u32;
        if warm > 0 { weight.min(warm) } else { weight }.max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_zone_keeps_its_work_unless_its_nodes_are_too_few() {
        let member = |zone, parts| Member {
            node: 0,
            at: ([127, 0, 0, 1], 1).into(),
            zone,
            health: Health::Healthy,
            parts,
        };
        let plan = Plan { proxies: 10, by_zone: vec![5, 3, 2], ..Plan::default() };
        let members = [member(0, 10), member(1, 10), member(1, 10), member(1, 10)];
        assert_eq!([0, 1, 2].map(|zone| plan.stays(zone, &members, 40)), [50, 100, 0]);
    }
}
