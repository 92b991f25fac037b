//! The ids of queries that must not be executed again: their class is not idempotent, and an attempt may have been
//! executed. A client that sends such an id once more, at any time and on any connection, must not start it again.

use balancer::Micros;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

/// The most ids that are kept; the oldest are forgotten first.
const MAX_IDS: usize = 65_536;
/// The time after which an id is forgotten, in microseconds.
const RETENTION: Micros = 600_000_000;

/// The ids of queries that must not be executed again, as hashes.
#[derive(Debug, Default)]
pub struct ExecutedIds {
    hasher: RandomState,
    hashes: HashSet<u64>,
    /// The hashes in the order in which they were added, with the times.
    order: VecDeque<(Micros, u64)>,
}

impl ExecutedIds {
    /// Adds an id, and forgets those that are too old or too many.
    pub fn insert(&mut self, now: Micros, id: &str) {
        let hash = self.hasher.hash_one(id);
        if self.hashes.insert(hash) {
            self.order.push_back((now, hash));
        }
        let is_expired = |(added_at, _): &(Micros, u64)| now - added_at > RETENTION;
        while self.order.len() > MAX_IDS || self.order.front().is_some_and(is_expired) {
            let Some((_, oldest)) = self.order.pop_front() else { return };
            self.hashes.remove(&oldest);
        }
    }

    /// Returns whether an id was added and is not forgotten.
    pub fn contains(&self, id: &str) -> bool {
        !self.hashes.is_empty() && self.hashes.contains(&self.hasher.hash_one(id))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ids_are_known_until_they_are_too_old() {
        let mut ids = ExecutedIds::default();
        ids.insert(1, "t1");
        ids.insert(1 + RETENTION, "t2");
        assert!(ids.contains("t1") && ids.contains("t2") && !ids.contains("t3"));
        ids.insert(2 + RETENTION, "t3");
        assert!(!ids.contains("t1") && ids.contains("t2") && ids.contains("t3"));
    }

    #[test]
    fn the_number_of_ids_is_limited() {
        let mut ids = ExecutedIds::default();
        for index in 0..MAX_IDS + 10 {
            ids.insert(1, &format!("t{index}"));
        }
        assert_eq!((ids.order.len(), ids.hashes.len()), (MAX_IDS, MAX_IDS));
        assert!(!ids.contains("t9") && ids.contains("t10"));
    }
}
