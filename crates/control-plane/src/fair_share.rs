//! How a cluster's capacity is divided among proxies, without regard to what they have been granted so far.

/// The number by which capacity is divided for `proxies` proxies: the next of 1, 2, 3, 4, 6, 8, 12, 16, 24,
/// ... so that a proxy more or less does not change the share of every other proxy.
pub(crate) fn proxy_divisor(proxies: u32) -> u32 {
    steps().find(|&step| step >= proxies.max(1)).unwrap_or(u32::MAX)
}

/// Rounds down to one of 0, 1, 2, 3, 4, 6, 8, 12, ...
pub(crate) fn round_down(value: u32) -> u32 {
    steps().take_while(|&step| step <= value).last().unwrap_or(0)
}

/// 1, 1, 2, 3, 4, 6, 8, 12, 16, ...
fn steps() -> impl Iterator<Item = u32> {
    (0..31).flat_map(|power| [1 << power, 3 << power >> 1])
}

/// Who gets a request where there is less than one for each proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ScarcityRule {
    /// Every proxy, for clusters of healthy nodes: the balancer's own limit never falls under one call
    /// either.
    OneForEach,
    /// As many proxies as there are requests, chosen by hash, for clusters of constrained nodes.
    OneForSome,
}

/// What a proxy should be granted of a capacity that is divided evenly.
pub(crate) fn fair_share(
    capacity: u32, proxies: u32, scarcity: ScarcityRule, cluster: &str, proxy: &str,
) -> u32 {
    let divisor = proxy_divisor(proxies);
    match (round_down(capacity / divisor), scarcity) {
        (0, ScarcityRule::OneForEach) => 1,
        // Each proxy has a fixed threshold; on average as many proxies as `capacity` are under it.
        (0, ScarcityRule::OneForSome) => {
            let position = proxy_hash(cluster, proxy) as f64 / u64::MAX as f64;
            (position * (divisor as f64) < capacity as f64) as u32
        }
        (share, _) => share,
    }
}

/// The position of a proxy among those that share a cluster, the same at every instance.
fn proxy_hash(cluster: &str, proxy: &str) -> u64 {
    let hash = blake3::hash(format!("{cluster} {proxy}").as_bytes());
    hash.as_bytes()[..8].iter().fold(0, |sum, &byte| sum << 8 | byte as u64)
}

#[cfg(test)]
mod tests;
