use super::*;
use serde_json::json;

#[test]
fn entry_is_parsed_with_its_start_time_in_microseconds() {
    let entry = json!({"id": "a", "host_port": "127.0.0.1:9001", "locality": "z", "cell": 2, "phase": "draining",
        "size": 0.5, "up_since_ms": 3});
    let expected = EndpointEntry {
        id: "a",
        address: "127.0.0.1:9001",
        zone: "z",
        replica_set: 2,
        state: EndpointState::Draining,
        scale: 0.5,
        reported_start: 3000,
    };
    assert_eq!(EndpointEntry::parse(&entry), Some(expected));
}

#[test]
fn absent_optional_fields_have_defaults() {
    let entry = json!({"id": "a", "cell": 0, "phase": "ready"});
    let entry = EndpointEntry::parse(&entry).expect("an entry");
    assert_eq!((entry.address, entry.zone, entry.scale, entry.reported_start), ("", "", 1.0, 0));
}

#[test]
fn entry_without_id_replica_set_or_known_state_is_rejected() {
    for entry in [
        json!({"cell": 0, "phase": "ready"}),
        json!({"id": "", "cell": 0, "phase": "ready"}),
        json!({"id": "a", "phase": "ready"}),
        json!({"id": "a", "cell": -1, "phase": "ready"}),
        json!({"id": "a", "cell": 0, "phase": "new"}),
    ] {
        assert_eq!(EndpointEntry::parse(&entry), None, "{entry}");
    }
}
