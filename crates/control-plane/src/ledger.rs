//! Who may have how many requests in flight where. A pool is a cluster and its units are what the module lets all
//! routers together have there; each proxy holds some. Units are lowered before others are raised: what a proxy
//! may still act on counts until it has accepted less, or is gone for long enough.

use std::collections::BTreeMap;

/// One proxy's index.
pub type Proxy = usize;

#[derive(Debug, Default)]
struct Pool {
    held: BTreeMap<Proxy, u32>,
    sum: u64,
}

#[derive(Debug, Default)]
pub struct Ledger {
    pools: BTreeMap<String, Pool>,
}

/// The number of proxies to divide by: the next of 1, 2, 3, 4, 6, 8, 12, 16, 24 ... so that a proxy more or less
/// does not change every other proxy's share.
pub fn divisor(proxies: u32) -> u32 {
    let mut steps = (0..31).flat_map(|power| [1 << power, 3 << power >> 1]);
    steps.find(|&step| step >= proxies.max(1)).unwrap_or(u32::MAX)
}

/// The next lower of 0, 1, 2, 3, 4, 6, 8, 12, ...
pub fn step_down(units: u32) -> u32 {
    let steps = (0..31).flat_map(|power| [1 << power, 3 << power >> 1]);
    steps.take_while(|&step| step <= units).last().unwrap_or(0)
}

/// A proxy's place among those that share what is too little for all of them: by hash, alike at every instance.
fn turn(pool: &str, proxy: &str) -> u64 {
    let hash = blake3::hash(format!("{pool} {proxy}").as_bytes());
    hash.as_bytes()[..8].iter().fold(0, |sum, &byte| sum << 8 | byte as u64)
}

/// What a proxy should hold of a pool that is split evenly. Where there is less than one unit for each, a pool of
/// warm nodes still leaves one to each (the module's own bound never falls under one call either); one of a cold
/// node leaves it to as many as there are units.
pub fn target(units: u32, proxies: u32, warm: bool, pool: &str, proxy: &str) -> u32 {
    let by = divisor(proxies);
    match step_down(units / by) {
        0 if warm => 1,
        // A fixed threshold for each proxy: on average `units` of them lie under it.
        0 => (turn(pool, proxy) as f64 / u64::MAX as f64 * (by as f64) < units as f64) as u32,
        share => share,
    }
}

impl Ledger {
    /// Notes what a proxy may act on.
    pub fn set(&mut self, pool: &str, proxy: Proxy, units: u32) {
        if units == 0 && !self.pools.contains_key(pool) {
            return;
        }
        let at = self.pools.entry(pool.to_string()).or_default();
        let before = match units {
            0 => at.held.remove(&proxy),
            _ => at.held.insert(proxy, units),
        };
        at.sum = at.sum + units as u64 - before.unwrap_or(0) as u64;
        debug_assert_eq!(at.sum, at.held.values().map(|&units| units as u64).sum::<u64>());
        if at.held.is_empty() {
            self.pools.remove(pool);
        }
    }

    /// Notes all that a proxy may act on; what is not named it no longer holds.
    pub fn set_all(&mut self, proxy: Proxy, units: &BTreeMap<String, u32>) {
        let gone: Vec<String> =
            self.held_by(proxy).filter(|pool| !units.contains_key(*pool)).cloned().collect();
        gone.iter().for_each(|pool| self.set(pool, proxy, 0));
        units.iter().for_each(|(pool, &units)| self.set(pool, proxy, units));
    }

    fn held_by(&self, proxy: Proxy) -> impl Iterator<Item = &String> {
        self.pools.iter().filter(move |(_, pool)| pool.held.contains_key(&proxy)).map(|(name, _)| name)
    }

    pub fn forget(&mut self, proxy: Proxy) {
        self.set_all(proxy, &BTreeMap::new());
    }

    pub fn held(&self, pool: &str, proxy: Proxy) -> u32 {
        self.pools.get(pool).and_then(|pool| pool.held.get(&proxy)).copied().unwrap_or(0)
    }

    /// What all proxies may act on.
    pub fn sum(&self, pool: &str) -> u64 {
        self.pools.get(pool).map_or(0, |pool| pool.sum)
    }

    /// What may be offered to a proxy now: less at once, more only as far as others have made room, so that the sum
    /// never passes what the pool bears, whoever has not yet taken the new share. `least` is left in any case.
    pub fn offer(&self, pool: &str, proxy: Proxy, target: u32, bears: u32, least: u32) -> u32 {
        let held = self.held(pool, proxy);
        if target <= held {
            return target;
        }
        let room = (bears as u64).saturating_sub(self.sum(pool)).min(u32::MAX as u64) as u32;
        target.min(held + room).max(least)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_change_by_steps_and_not_with_every_proxy() {
        let steps: Vec<u32> = (0..=17).map(divisor).collect();
        assert_eq!(steps, [1, 1, 2, 3, 4, 6, 6, 8, 8, 12, 12, 12, 12, 16, 16, 16, 16, 24]);
        assert!(divisor(u32::MAX) >= 1 << 30);
        assert_eq!([0, 1, 2, 5, 6, 11, 17].map(step_down), [0, 1, 2, 4, 6, 8, 16]);
    }

    #[test]
    fn too_little_for_all_goes_to_as_many_as_it_bears() {
        let of =
            |units, warm| (0..200).map(|p| target(units, 200, warm, "node-a", &format!("p{p}"))).sum::<u32>();
        assert_eq!(of(1300, false), 200 * 4, "five for each of 256, by steps four");
        assert_eq!(of(0, false), 0);
        assert_eq!(of(0, true), 200);
        assert!((5..=20).contains(&of(12, false)), "{}", of(12, false));
    }

    #[test]
    fn lower_shares_go_out_before_higher_ones() {
        let mut ledger = Ledger::default();
        for proxy in 0..2 {
            let offer = ledger.offer("c", proxy, 8, 16, 0);
            ledger.set("c", proxy, offer);
        }
        // A third comes: it gets nothing until one of the others has accepted less.
        assert_eq!(ledger.offer("c", 2, 5, 16, 0), 0);
        assert_eq!(ledger.offer("c", 0, 5, 16, 0), 5);
        ledger.set("c", 0, 5);
        assert_eq!(ledger.offer("c", 2, 5, 16, 0), 3);
        ledger.set("c", 2, 3);
        assert_eq!(ledger.sum("c"), 16);
        // What a proxy leaves is there for others once it is forgotten, and the pool with its last.
        ledger.forget(1);
        assert_eq!(ledger.offer("c", 2, 5, 16, 0), 5);
        ledger.set_all(0, &BTreeMap::new());
        ledger.forget(2);
        assert!(ledger.pools.is_empty());
    }

    #[test]
    fn a_proxy_of_warm_nodes_always_has_one() {
        let mut ledger = Ledger::default();
        ledger.set("c", 0, 8);
        assert_eq!(ledger.offer("c", 1, 2, 8, 1), 1);
        assert_eq!(ledger.offer("c", 1, 2, 8, 0), 0);
    }
}
