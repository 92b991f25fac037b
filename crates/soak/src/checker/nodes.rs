//! Rules on data nodes: drains are kept, and no cold node is pushed over.

use super::{Attempt, HOLD_UP, Judge, MEASURING_SLACK, PROTOCOL_SLACK};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::cluster::Published;
use crate::config::{COLD_MULTIPLE, COLD_SHARE, COLD_WINDOW_MS, DRAIN_GRACE_MS, MEAN_WORK_MS, WARM_UP_MS};
use crate::discovery::Mood;
use std::collections::BTreeMap;

/// When a change counts as told at the latest once discovery can be reached.
const TOLD_AFTER: Micros = 6 * SECOND;

impl Judge<'_> {
    /// When a router was told a change, or counts as told.
    fn told_at(&self, router: usize, change: &Published) -> Option<Micros> {
        let told = self.cluster.discovery.told_at(router, change.revision);
        let reachable = self.reachable_for_long(change.at).map(|from| from + TOLD_AFTER);
        told.into_iter().chain(reachable).min()
    }

    /// The first time from `since` on from which discovery could be reached for as long as it may take to tell a change.
    fn reachable_for_long(&self, since: Micros) -> Option<Micros> {
        let moods = &self.cluster.moods;
        let ends = moods.iter().skip(1).map(|(at, _)| *at).chain([Micros::MAX]);
        let mut periods = moods.iter().zip(ends).filter(|((_, mood), _)| *mood == Mood::Well);
        periods.find_map(|(&(from, _), until)| {
            let from = from.max(since);
            (until >= from.saturating_add(TOLD_AFTER)).then_some(from)
        })
    }

    /// Nodes that drain or are gone get nothing new.
    pub(super) fn check_drains(&mut self) {
        let grace = DRAIN_GRACE_MS * MILLISECOND + PROTOCOL_SLACK + HOLD_UP + MEASURING_SLACK;
        let mut broken = Vec::new();
        for (index, change) in
            self.cluster.published.iter().enumerate().filter(|(_, change)| !change.is_ready)
        {
            let later = self.cluster.published[index + 1..].iter();
            let ready_again = later.filter(|later| later.node == change.node).find(|later| later.is_ready);
            let until = ready_again.map_or(Micros::MAX, |ready| ready.at);
            let told: Vec<Option<Micros>> =
                (0..self.cluster.routers.len()).map(|router| self.told_at(router, change)).collect();
            let at_node = self.attempts.iter().filter(|attempt| attempt.node == change.node);
            for attempt in at_node.filter(|attempt| !self.may_be_held(attempt)) {
                let Some(request) = self.requests.get(attempt.query) else { continue };
                let Some(told_at) = told[request.router] else { continue };
                if attempt.at > told_at + grace && attempt.at < until {
                    let after = (attempt.at - told_at) / MILLISECOND;
                    let details = format!(
                        "{} of router {} at node {}: {after} ms after revision {} was told",
                        attempt.id, request.router, attempt.node, change.revision
                    );
                    broken.push((attempt.at, details));
                }
            }
        }
        for (at, details) in broken {
            self.add("drain", at, details);
        }
    }

    /// Nodes that started recently get no more than they bear.
    pub(super) fn check_cold_nodes(&mut self) {
        let mut broken = Vec::new();
        for start in self.cluster.published.iter().filter(|change| change.is_ready && change.started_at > 0) {
            let until = start.started_at + WARM_UP_MS * MILLISECOND;
            let is_meant = |attempt: &&Attempt| {
                attempt.node == start.node
                    && (start.started_at..until).contains(&attempt.at)
                    && !self.may_be_held(attempt)
            };
            let attempts: Vec<&Attempt> = self.attempts.iter().filter(is_meant).collect();
            let overload = attempts.iter().enumerate().find_map(|(last, attempt)| {
                let from = attempt.at - COLD_WINDOW_MS * MILLISECOND;
                let window: Vec<&&Attempt> =
                    attempts[..=last].iter().filter(|other| other.at > from).collect();
                let told = window.iter().filter(|other| self.was_told(other, start)).count();
                let allowed = cold_allowance(attempt.at - start.started_at);
                let is_overload = window.len() as f64 > allowed && 3 * told > 2 * window.len();
                is_overload.then(|| (attempt.at, self.count_by_router(&window), allowed))
            });
            if let Some((at, by_router, allowed)) = overload {
                let age = (at - start.started_at) / MILLISECOND;
                let count: usize = by_router.values().sum();
                let details = format!(
                    "node {}: {count} where {allowed:.1} are allowed, {age} ms old, by router: {by_router:?}",
                    start.node
                );
                broken.push((at, details));
            }
        }
        for (at, details) in broken {
            self.add("cold overload", at, details);
        }
    }

    /// How many of these attempts came from each router.
    fn count_by_router(&self, attempts: &[&&Attempt]) -> BTreeMap<usize, usize> {
        let mut counts = BTreeMap::new();
        for attempt in attempts {
            if let Some(request) = self.requests.get(attempt.query) {
                *counts.entry(request.router).or_default() += 1;
            }
        }
        counts
    }

    fn was_told(&self, attempt: &Attempt, start: &Published) -> bool {
        let Some(request) = self.requests.get(attempt.query) else { return false };
        let told = self.cluster.discovery.told_at(request.router, start.revision);
        told.is_some_and(|told| told <= attempt.at)
    }
}

/// How many shard requests a node of this age may get in a window.
fn cold_allowance(age: Micros) -> f64 {
    let window = (COLD_WINDOW_MS * MILLISECOND) as f64;
    let capacity = COLD_SHARE + (1.0 - COLD_SHARE) * age as f64 / (WARM_UP_MS * MILLISECOND) as f64;
    let count = COLD_MULTIPLE * capacity * window / (MEAN_WORK_MS as f64 * MILLISECOND as f64);
    if count < 30.0 { count + 3.0 * count.sqrt() + 3.0 } else { count + 2.0 * count.sqrt() + 2.0 }
}
