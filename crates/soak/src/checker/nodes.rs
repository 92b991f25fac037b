//! Rules on data nodes: draining and removed nodes get no new requests, and nodes that warm up are not overloaded.

use super::{Attempt, Checker, MAX_ROUTER_DELAY, MEASUREMENT_TOLERANCE, PROTOCOL_TOLERANCE};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::cluster::EndpointChange;
use crate::config::{
    COLD_CAPACITY_SHARE, COLD_OVERLOAD_MULTIPLE, COLD_OVERLOAD_WINDOW_MS, DRAIN_GRACE_MS,
    MEAN_SERVICE_TIME_MS, WARM_UP_MS,
};
use crate::discovery::DiscoveryMode;
use crate::router_process::RouterEvent;
use std::collections::BTreeMap;

/// How long after discovery became reachable a change counts as delivered at the latest.
const DELIVERY_TIMEOUT: Micros = 6 * SECOND;

/// How long after a reload the list of discovery counts as delivered, if discovery is reachable.
const DELIVERY_TIMEOUT_AFTER_RELOAD: Micros = 4 * SECOND;

impl Checker<'_> {
    /// Returns from which time a change counts as delivered to a router: when discovery sent it, or after
    /// [`DELIVERY_TIMEOUT`] of reachable discovery, or [`DELIVERY_TIMEOUT_AFTER_RELOAD`] after a reload, or, where lists
    /// are pushed, when a process of the router that started after it is ready, whichever is earliest.
    fn delivered_at(&self, router: usize, change: &EndpointChange) -> Option<Micros> {
        let delivered = self.cluster.discovery.sent_at(router, change.revision);
        let reachable = self.reachable_from(change.at, DELIVERY_TIMEOUT).map(|from| from + DELIVERY_TIMEOUT);
        let reloaded = self.reload_after(router, change.at).map(|at| at + DELIVERY_TIMEOUT_AFTER_RELOAD);
        let started = self.ready_after(router, change.at);
        delivered.into_iter().chain(reachable).chain(reloaded).chain(started).min()
    }

    /// Returns when the first process of a router that was started after the platform's agent had learned of a change was
    /// ready, if lists are pushed: what the agent has counts as delivered from the first moment of a process.
    fn ready_after(&self, router: usize, changed_at: Micros) -> Option<Micros> {
        if !self.cluster.is_pushed {
            return None;
        }
        let learned_at = self.agent_learned_at(changed_at)?;
        let events = &self.cluster.routers[router].events;
        let start =
            events.iter().position(|&(at, event)| event == RouterEvent::Started && at >= learned_at)?;
        events[start..].iter().find(|(_, event)| *event == RouterEvent::Ready).map(|(at, _)| *at)
    }

    /// Returns when the platform's agent has learned of a change that was published at this time.
    fn agent_learned_at(&self, published_at: Micros) -> Option<Micros> {
        let modes = &self.cluster.discovery_modes;
        let (_, mode) = modes.iter().rfind(|(at, _)| *at <= published_at)?;
        if mode.agent_learns() {
            return Some(published_at);
        }
        modes.iter().find(|(at, mode)| *at > published_at && mode.agent_learns()).map(|(at, _)| *at)
    }

    /// Returns the first time, not before `since`, from which discovery was reachable for `span`.
    fn reachable_from(&self, since: Micros, span: Micros) -> Option<Micros> {
        let modes = &self.cluster.discovery_modes;
        let unreachable = modes.iter().filter(|(_, mode)| !mode.is_reachable()).map(|(at, _)| *at);
        let starts = modes.iter().filter(|(at, mode)| *at > since && mode.is_reachable()).map(|(at, _)| *at);
        let mode_at_since = modes.iter().rfind(|(at, _)| *at <= since).map(|(_, mode)| *mode);
        let first = mode_at_since.is_some_and(DiscoveryMode::is_reachable).then_some(since);
        let interruptions: Vec<Micros> = unreachable.collect();
        let is_reachable =
            |from: &Micros| !interruptions.iter().any(|at| (*from..from.saturating_add(span)).contains(at));
        first.into_iter().chain(starts).find(is_reachable)
    }

    /// Returns the time of the first reload of a router, not before `since`, after which discovery was reachable and no
    /// other reload followed for [`DELIVERY_TIMEOUT_AFTER_RELOAD`].
    fn reload_after(&self, router: usize, since: Micros) -> Option<Micros> {
        let reloads = self.cluster.reloads.iter().filter(|(_, of)| *of == router).map(|(at, _)| *at);
        let reloads: Vec<Micros> = reloads.collect();
        let is_followed = |at: Micros| {
            reloads.iter().any(|&later| later > at && later < at + DELIVERY_TIMEOUT_AFTER_RELOAD)
        };
        let is_reachable = |at: Micros| self.reachable_from(at, DELIVERY_TIMEOUT_AFTER_RELOAD) == Some(at);
        reloads.iter().copied().find(|&at| at >= since && !is_followed(at) && is_reachable(at))
    }

    /// Checks that draining and removed nodes get no new requests.
    pub(super) fn check_drains(&mut self) {
        let grace =
            DRAIN_GRACE_MS * MILLISECOND + PROTOCOL_TOLERANCE + MAX_ROUTER_DELAY + MEASUREMENT_TOLERANCE;
        let mut found = Vec::new();
        for (index, change) in
            self.cluster.published.iter().enumerate().filter(|(_, change)| !change.is_ready)
        {
            let later = self.cluster.published[index + 1..].iter();
            let ready_again = later.filter(|later| later.node == change.node).find(|later| later.is_ready);
            let until = ready_again.map_or(Micros::MAX, |ready| ready.at);
            let delivered: Vec<Option<Micros>> =
                (0..self.cluster.routers.len()).map(|router| self.delivered_at(router, change)).collect();
            let at_node = self.attempts.iter().filter(|attempt| attempt.node == change.node);
            for attempt in at_node.filter(|attempt| !self.may_be_delayed(attempt)) {
                let Some(request) = self.requests.get(attempt.query) else { continue };
                let Some(delivered_at) = delivered[request.router] else { continue };
                if attempt.at > delivered_at + grace && attempt.at < until {
                    let after = (attempt.at - delivered_at) / MILLISECOND;
                    let details = format!(
                        "{} of router {} at node {}: {after} ms after revision {} was delivered",
                        attempt.id, request.router, attempt.node, change.revision
                    );
                    found.push((attempt.at, details));
                }
            }
        }
        for (at, details) in found {
            self.add("drain", at, details);
        }
    }

    /// Checks that nodes that warm up are not overloaded. An overload counts only if discovery had sent the start of
    /// the node to the routers of more than two thirds of the requests.
    pub(super) fn check_cold_nodes(&mut self) {
        let mut found = Vec::new();
        for start in self.cluster.published.iter().filter(|change| change.is_ready && change.started_at > 0) {
            let until = start.started_at + WARM_UP_MS * MILLISECOND;
            let is_relevant = |attempt: &&Attempt| {
                attempt.node == start.node
                    && (start.started_at..until).contains(&attempt.at)
                    && !self.may_be_delayed(attempt)
            };
            let attempts: Vec<&Attempt> = self.attempts.iter().filter(is_relevant).collect();
            let overload = attempts.iter().enumerate().find_map(|(last, attempt)| {
                let from = attempt.at - COLD_OVERLOAD_WINDOW_MS * MILLISECOND;
                let window: Vec<&&Attempt> =
                    attempts[..=last].iter().filter(|other| other.at > from).collect();
                let delivered = window.iter().filter(|other| self.was_delivered(other, start)).count();
                let allowed = cold_allowance(attempt.at - start.started_at);
                let is_overload = window.len() as f64 > allowed && 3 * delivered > 2 * window.len();
                is_overload.then(|| (attempt.at, self.count_by_router(&window), allowed))
            });
            if let Some((at, by_router, allowed)) = overload {
                let age = (at - start.started_at) / MILLISECOND;
                let count: usize = by_router.values().sum();
                let details = format!(
                    "node {}: {count} requests where {allowed:.1} are allowed, {age} ms old, by router: {by_router:?}",
                    start.node
                );
                found.push((at, details));
            }
        }
        for (at, details) in found {
            self.add("cold overload", at, details);
        }
    }

    /// Returns the number of these attempts from each router.
    fn count_by_router(&self, attempts: &[&&Attempt]) -> BTreeMap<usize, usize> {
        let mut counts = BTreeMap::new();
        for attempt in attempts {
            if let Some(request) = self.requests.get(attempt.query) {
                *counts.entry(request.router).or_default() += 1;
            }
        }
        counts
    }

    fn was_delivered(&self, attempt: &Attempt, start: &EndpointChange) -> bool {
        let Some(request) = self.requests.get(attempt.query) else { return false };
        let delivered = self.cluster.discovery.sent_at(request.router, start.revision);
        delivered.is_some_and(|delivered| delivered <= attempt.at)
    }
}

/// Returns how many shard requests a node of this age may receive within [`COLD_OVERLOAD_WINDOW_MS`].
fn cold_allowance(age: Micros) -> f64 {
    let window = (COLD_OVERLOAD_WINDOW_MS * MILLISECOND) as f64;
    let capacity =
        COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * age as f64 / (WARM_UP_MS * MILLISECOND) as f64;
    let count =
        COLD_OVERLOAD_MULTIPLE * capacity * window / (MEAN_SERVICE_TIME_MS as f64 * MILLISECOND as f64);
    if count < 30.0 { count + 3.0 * count.sqrt() + 3.0 } else { count + 2.0 * count.sqrt() + 2.0 }
}
