use super::*;
use serde_json::json;

#[test]
fn settings_come_under_our_names_in_microseconds() {
    let json = r#"{"tickNs": 5000000, "new": 1, "registryMode": "ask",
        "services": [{"idempotency": "read_like", "targetNs": 1500}], "ceilings": {"probes": true}}"#;
    let settings = parse_settings(&serde_json::from_str(json).expect("JSON")).expect("an object");
    assert_eq!(settings.number("decision_interval_us"), Some(5000.0));
    assert_eq!(settings.number("class.0.latency_objective_us"), Some(1.0));
    assert_eq!(
        (settings.text("class.0.idempotency"), settings.text("discovery.mode")),
        ("idempotent", "polled")
    );
    assert!(settings.flag("limits.health_checks") && settings.0.len() == 5);
    assert!(parse_settings(&Json::Array(Vec::new())).is_err());
}

#[test]
fn the_table_is_sorted_for_its_search() {
    assert!(SETTING_NAMES.is_sorted_by(|a, b| a.0 < b.0));
}

#[test]
fn each_array_index_fills_its_place_in_the_name() {
    let settings = parse_settings(&json!({"zones": ["a", "b"]})).expect("an object");
    assert_eq!((settings.text("zone.0.name"), settings.text("zone.1.name")), ("a", "b"));
}

#[test]
fn a_name_that_equals_a_term_of_the_platform_is_kept() {
    let settings = parse_settings(&json!({"tenants": [{"name": "queue"}]})).expect("an object");
    assert_eq!(settings.text("tenant.0.name"), "queue");
}

#[test]
fn settings_that_are_no_object_are_an_error() {
    assert_eq!(parse_settings(&json!([])), Err(SettingsError::NotAnObject));
    assert_eq!(SettingsError::NotAnObject.to_string(), "it is not an object");
}
