//! Tests of the desired state.

use super::*;

fn member(zone: usize, capacity: u32) -> ReplicaSetMember {
    let address = ([127, 0, 0, 1], 1).into();
    ReplicaSetMember { node: NodeId(0), address, zone, health: MemberHealth::Healthy, capacity }
}

#[test]
fn a_zones_requests_stay_in_the_zone_up_to_its_share_of_capacity() {
    let proxies = ProxyCounts { total: 10, by_zone: vec![5, 3, 2] };
    let state = DesiredState { proxies, ..DesiredState::default() };
    let members = [member(0, 10), member(1, 10), member(1, 10), member(1, 10)];
    assert_eq!([0, 1, 2].map(|zone| state.local_percent(zone, &members, 40)), [50, 100, 0]);
}
