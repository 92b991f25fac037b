//! What proxies report of the data nodes, pooled so that no proxy is believed against the others.
//!
//! Reports are evidence and not truth: counts are checked and bounded, and of each node a proxy counts for no
//! more than the next one that reports on it. A lone voice is heard, for want of another; against one voice that
//! saw the node answer it makes half, and the module bars for more than half.

use crate::fleet::Node;
use crate::ledger::Proxy;
use balancer::{LoadReport, Micros};
use std::collections::BTreeMap;

/// Entries that one report may have, and the most that one may count.
pub const MOST_ENTRIES: usize = 20_000;
const MOST_COUNT: u64 = 1_000_000_000;
/// A report speaks of a time between these.
const INTERVALS: std::ops::RangeInclusive<Micros> = 10_000..=3_600_000_000;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    answered: f64,
    failed: f64,
    unreachable: f64,
    held: f64,
    /// Of the answered, all their lags.
    lags: f64,
}

impl Tally {
    /// Counts as UpstreamEndpointStats has them, over `interval`. Where requests stay in progress their mean lag
    /// follows from how many do and how many end (Little's law).
    pub fn checked(
        answered: u64, errors: u64, held: u64, issued: u64, interval: Micros,
    ) -> Result<Tally, &'static str> {
        if [answered, errors, held, issued].iter().any(|&count| count > MOST_COUNT) {
            return Err("a count beyond belief");
        }
        if !INTERVALS.contains(&interval) {
            return Err("load_report_interval: under 10 ms or over an hour");
        }
        // What ended now may have been issued before; what was issued now has ended or is held.
        if issued > answered + errors + held {
            return Err("total_issued_requests: more than ended or are in progress");
        }
        let (answered, held) = (answered as f64, held as f64);
        Ok(Tally { answered, failed: errors as f64, unreachable: 0.0, held, lags: held * interval as f64 })
    }

    /// A connection tried from here that came about or not.
    pub fn tried(reached: bool) -> Tally {
        let one = |yes: bool| yes as u8 as f64;
        Tally { answered: one(reached), unreachable: one(!reached), ..Tally::default() }
    }

    fn ended(&self) -> f64 {
        self.answered + self.failed + self.unreachable
    }

    fn add(&mut self, more: &Tally, weight: f64) {
        self.answered += weight * more.answered;
        self.failed += weight * more.failed;
        self.unreachable += weight * more.unreachable;
        self.lags += weight * more.lags;
        self.held += more.held;
    }

    /// The second largest of some figures, or the only one: none counts for more than the next.
    fn next_to_most(figures: impl Iterator<Item = f64>) -> f64 {
        let mut figures: Vec<f64> = figures.collect();
        figures.sort_by(f64::total_cmp);
        figures.iter().rev().nth(1).or(figures.last()).copied().unwrap_or(0.0)
    }
}

#[derive(Debug, Default)]
pub struct Loads {
    /// By node, what each proxy said since the last settle.
    said: BTreeMap<Node, BTreeMap<Proxy, Tally>>,
    /// What was tried from here; it counts where no proxy says anything.
    tried: BTreeMap<Node, Tally>,
}

impl Loads {
    pub fn report(&mut self, proxy: Proxy, node: Node, tally: &Tally) {
        self.said.entry(node).or_default().entry(proxy).or_default().add(tally, 1.0);
    }

    pub fn tried(&mut self, node: Node, reached: bool) {
        self.tried.insert(node, Tally::tried(reached));
    }

    /// The evidence since the last settle, a sum for each node.
    pub fn settle(&mut self) -> Vec<(Node, LoadReport)> {
        let mut tried = std::mem::take(&mut self.tried);
        let said = std::mem::take(&mut self.said);
        let mut pooled: Vec<(Node, Tally)> = Vec::new();
        for (node, by) in said {
            let most = Tally::next_to_most(by.values().map(Tally::ended));
            let held = Tally::next_to_most(by.values().map(|tally| tally.held));
            let mut sum = Tally::default();
            for tally in by.values() {
                let bounded = Tally { held: tally.held.min(held), ..*tally };
                sum.add(&bounded, (most / tally.ended().max(1e-9)).min(1.0));
            }
            // Out of reach from here as well is another voice; within reach says nothing of its answers.
            match tried.remove(&node) {
                Some(own) if own.unreachable > 0.0 => sum.add(&own, most.max(1.0)),
                _ => {}
            }
            pooled.push((node, sum));
        }
        pooled.extend(tried);
        pooled.sort_by_key(|entry| entry.0);
        let sums = |tally: Tally| LoadReport {
            succeeded: tally.answered,
            failed: tally.failed,
            connect_failures: tally.unreachable,
            in_flight: tally.held,
            mean_latency: (tally.lags / tally.answered.max(1.0)) as Micros,
        };
        pooled.into_iter().map(|(node, tally)| (node, sums(tally))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn tally(answered: u64, errors: u64) -> Tally {
        Tally::checked(answered, errors, 0, 0, 1_000_000).expect("fit")
    }

    fn failed_share(sums: &LoadReport) -> f64 {
        (sums.failed + sums.connect_failures) / (sums.succeeded + sums.failed + sums.connect_failures)
    }

    #[test]
    fn one_proxy_makes_no_majority_against_another_however_much_it_says() {
        let mut loads = Loads::default();
        loads.report(0, 5, &tally(0, 1_000_000));
        loads.report(1, 5, &tally(3, 0));
        assert_eq!(failed_share(&loads.settle()[0].1), 0.5);
        // Nor does it by saying it often, nor against several.
        (0..100).for_each(|_| loads.report(0, 5, &tally(0, 1000)));
        loads.report(1, 5, &tally(30, 0));
        loads.report(2, 5, &tally(20, 0));
        assert!(failed_share(&loads.settle()[0].1) <= 0.5);
        // Nor does it fill a node by saying that it holds a billion there.
        loads.report(0, 5, &Tally::checked(0, 0, 1_000_000_000, 0, 1_000_000).expect("fit"));
        loads.report(1, 5, &Tally::checked(9, 0, 2, 0, 1_000_000).expect("fit"));
        assert_eq!(loads.settle()[0].1.in_flight, 4.0);
        // Two that see it fail against one that doesn't are heard, and so is a lone one.
        (0..2).for_each(|proxy| loads.report(proxy, 5, &tally(0, 9)));
        loads.report(2, 5, &tally(9, 0));
        loads.report(0, 6, &tally(1, 9));
        let sums = loads.settle();
        assert!(failed_share(&sums[0].1) > 0.6 && failed_share(&sums[1].1) > 0.8);
        assert!(loads.settle().is_empty(), "heard once");
    }

    #[test]
    fn what_is_out_of_reach_from_here_counts_as_a_voice_and_what_is_within_does_not() {
        let mut loads = Loads::default();
        loads.report(0, 1, &tally(0, 4));
        loads.tried(1, true);
        loads.tried(2, false);
        let sums = loads.settle();
        assert_eq!((sums[0].1.succeeded, sums[0].1.failed), (0.0, 4.0));
        assert_eq!((sums[1].0, sums[1].1.connect_failures), (2, 1.0));
    }

    #[test]
    fn impossible_counts_are_refused() {
        assert!(Tally::checked(u64::MAX, 0, 0, 0, 1_000_000).is_err());
        assert!(Tally::checked(1, 0, 0, 9, 1_000_000).is_err());
        assert!(Tally::checked(1, 0, 0, 1, 0).is_err() && Tally::checked(1, 0, 0, 1, Micros::MAX).is_err());
        // Four in progress and two that end a second: two seconds each.
        let mut loads = Loads::default();
        loads.report(0, 0, &Tally::checked(2, 0, 4, 2, 1_000_000).expect("fit"));
        assert_eq!(loads.settle()[0].1.mean_latency, 2_000_000);
    }
}
