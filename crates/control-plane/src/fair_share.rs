//! Division of a cluster's capacity among proxies, independent of their current grants.

/// Returns the divisor of capacity for this number of proxies, rounded up to one of 1, 2, 3, 4, 6, 8, 12, 16, 24, ...
/// Without rounding, each proxy that connects or disconnects would change the shares of all others.
pub(crate) fn proxy_divisor(proxies: u32) -> u32 {
    steps().find(|&step| step >= proxies.max(1)).unwrap_or(u32::MAX)
}

/// Rounds a value down to one of 0, 1, 2, 3, 4, 6, 8, 12, ...
pub(crate) fn round_down(value: u32) -> u32 {
    steps().take_while(|&step| step <= value).last().unwrap_or(0)
}

/// Returns the sequence 1, 1, 2, 3, 4, 6, 8, 12, 16, ... of the powers of two and the values halfway between them.
fn steps() -> impl Iterator<Item = u32> {
    (0..31).flat_map(|power| [1 << power, 3 << power >> 1])
}

/// The proxies that get one request when the capacity is less than one request per proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ScarcityRule {
    /// Every proxy. Used for clusters of healthy nodes, for which the balancer's own limit is never below one request
    /// either.
    OneForEach,
    /// On average as many proxies as there are requests, chosen by hash. Used for clusters of constrained nodes.
    OneForSome,
}

/// Returns a proxy's share of a capacity that is divided evenly, in concurrent requests.
pub(crate) fn fair_share(
    capacity: u32, proxies: u32, scarcity: ScarcityRule, cluster: &str, proxy: &str,
) -> u32 {
    let divisor = proxy_divisor(proxies);
    match (round_down(capacity / divisor), scarcity) {
        (0, ScarcityRule::OneForEach) => 1,
        // Each proxy has a fixed position in 0..1; on average `capacity` proxies are below `capacity / divisor`.
        (0, ScarcityRule::OneForSome) => {
            let position = proxy_hash(cluster, proxy) as f64 / u64::MAX as f64;
            (position * (divisor as f64) < capacity as f64) as u32
        }
        (share, _) => share,
    }
}

/// Returns a hash of the proxy for a cluster; every instance of the control plane computes the same one.
fn proxy_hash(cluster: &str, proxy: &str) -> u64 {
    let hash = blake3::hash(format!("{cluster} {proxy}").as_bytes());
    hash.as_bytes()[..8].iter().fold(0, |sum, &byte| sum << 8 | byte as u64)
}

#[cfg(test)]
mod tests;
