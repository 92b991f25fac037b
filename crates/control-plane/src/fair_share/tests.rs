//! Tests of the division of capacity among proxies.

use super::*;

#[test]
fn shares_change_in_steps_and_not_with_every_proxy() {
    let steps: Vec<u32> = (0..=17).map(proxy_divisor).collect();
    assert_eq!(steps, [1, 1, 2, 3, 4, 6, 6, 8, 8, 12, 12, 12, 12, 16, 16, 16, 16, 24]);
    assert!(proxy_divisor(u32::MAX) >= 1 << 30);
    assert_eq!([0, 1, 2, 5, 6, 11, 17].map(round_down), [0, 1, 2, 4, 6, 8, 16]);
}

#[test]
fn scarce_capacity_goes_to_as_many_proxies_as_it_suffices_for() {
    let total = |capacity, scarcity| {
        let share = |proxy| fair_share(capacity, 200, scarcity, "node-a", &format!("p{proxy}"));
        (0..200).map(share).sum::<u32>()
    };
    let few = total(12, ScarcityRule::OneForSome);
    assert_eq!(total(1300, ScarcityRule::OneForSome), 200 * 4, "five for each of 256, rounded down to four");
    assert_eq!(total(0, ScarcityRule::OneForSome), 0);
    assert_eq!(total(0, ScarcityRule::OneForEach), 200);
    assert!((5..=20).contains(&few), "{few}");
}
