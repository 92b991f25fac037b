use super::*;
use serde_json::json;

fn parse(json: Json) -> Settings {
    parse_settings(&json).expect("an object")
}

#[test]
fn settings_are_translated_and_times_converted_to_microseconds() {
    let json = json!({"tickNs": 5000000, "new": 1, "registryMode": "ask",
        "services": [{"idempotency": "read_like", "targetNs": 1500}], "ceilings": {"probes": true}});
    let stated = StatedSettings::parse(&json).expect("an object");
    let settings = stated.to_settings();
    assert_eq!(settings.decision_interval, 5000);
    assert_eq!(settings.classes[0].latency_objective, Some(1));
    assert_eq!(
        (settings.classes[0].idempotency, settings.discovery_mode),
        (Idempotency::Idempotent, DiscoveryMode::Polled)
    );
    assert!(stated.flag("ceilings.probes") && stated.0.len() == 5);
    assert!(parse_settings(&Json::Array(Vec::new())).is_err());
}

#[test]
fn table_of_known_paths_is_sorted_for_binary_search() {
    assert!(KNOWN_PATHS.is_sorted_by(|a, b| a < b));
}

#[test]
fn path_contains_each_array_index() {
    assert_eq!(parse(json!({"zones": ["a", "b"]})).zones, ["a", "b"]);
    let stated = StatedSettings::parse(&json!({"kinds": ["a", "b"]})).expect("an object");
    assert_eq!((stated.text("kinds.0"), stated.text("kinds.1")), ("a", "b"));
}

#[test]
fn name_that_equals_a_term_of_the_platform_is_not_translated() {
    let settings = parse(json!({"tenants": [{"name": "queue"}]}));
    assert_eq!(settings.tenants[0].name, "queue");
}

#[test]
fn empty_object_gives_the_defaults() {
    assert_eq!(parse(json!({})), Settings::default());
}

#[test]
fn value_of_an_unexpected_type_counts_as_absent() {
    let settings = parse(json!({
        "instances": "3", "zone": true, "tickNs": "5000000", "registryMode": 1, "countedBy": false,
        "report": {"how": 1},
        "familyInfo": {"sets": "2", "shards": null, "width": true, "bundleMax": [4], "callNs": {"a": 1}},
        "ceilings": {"maxAttempts": "3", "parallelTries": 1, "cancelling": "true", "retryAfter": null,
            "connectTimeoutNs": "1", "idleCloseNs": false, "maxStreams": "8", "openCap": "9"},
        "obligations": {"budgetShare": "0.1", "coldFrom": true, "tipMultiple": "2", "warmUpNs": "1"}}));
    assert_eq!(settings, Settings::default());
}

#[test]
fn class_value_of_an_unexpected_type_counts_as_absent() {
    let settings = parse(json!({
        "services": [{"name": "look", "idempotency": 1, "deadlineNs": "1", "targetNs": true, "worth": "2"}],
        "familyInfo": {"floorByClass": ["0.5"], "needByClass": [null], "secondStep": [true]}}));
    assert_eq!(settings.classes, [ClassSettings { name: "look".to_string(), ..Default::default() }]);
}

#[test]
fn lists_by_class_are_merged_with_the_services() {
    let settings = parse(json!({
        "services": [{"name": "look", "worth": 2}, {"name": "scan", "lateShare": 0.25}],
        "familyInfo": {"floorByClass": [0.5, 0.6, 0.7], "incompleteWorth": [0.8], "needByClass": [0.9],
            "secondStep": [0, 1]}}));
    let [look, scan, unnamed] = &settings.classes[..] else { panic!("three classes") };
    let values = |class: &ClassSettings| {
        [class.completeness_minimum, class.partial_value, class.completeness_required, class.priority_weight]
    };
    assert_eq!(values(look), [0.5, 0.8, 0.9, 2.0]);
    assert_eq!(values(scan), [0.6, 0.0, 1.0, 1.0]);
    assert_eq!(values(unnamed), [0.7, 0.0, 1.0, 1.0]);
    assert_eq!((look.second_step, scan.second_step, scan.late_value), (false, true, 0.25));
}

#[test]
fn named_classes_tenants_and_zones_end_before_the_first_without_a_name() {
    let settings = parse(json!({
        "services": [{"name": "look"}, {"deadlineNs": 1e9}, {"name": "scan"}],
        "tenants": [{"name": "a", "quotaRps": 3}, {"name": 7, "quotaRps": 4}, {"name": "c"}],
        "zones": ["x", "", "y"]}));
    assert_eq!(settings.named_classes().map(|class| &class.name[..]).collect::<Vec<_>>(), ["look"]);
    assert_eq!(settings.named_tenants().map(|tenant| &tenant.name[..]).collect::<Vec<_>>(), ["a"]);
    assert_eq!(settings.zones, ["x"]);
    // The classes and tenants after it stay accessible by index, since queries may refer to them by number.
    assert_eq!((settings.classes[1].deadline, settings.tenants[1].quota_per_second), (1_000_000, Some(4.0)));
}

#[test]
fn times_are_rounded_down_to_microseconds() {
    for (nanoseconds, microseconds) in [(999, 0), (1000, 1), (1999, 1), (-1, -1)] {
        let settings = parse(json!({"obligations": {"drainGraceNs": nanoseconds}}));
        assert_eq!(settings.rules.drain_grace, microseconds, "{nanoseconds}");
    }
}

#[test]
fn class_without_latency_objective_uses_its_deadline() {
    let settings = parse(json!({"services": [{"deadlineNs": 2000}, {"deadlineNs": 2000, "targetNs": 0}]}));
    let objectives = settings.classes.iter().map(ClassSettings::latency_objective_or_deadline);
    assert_eq!(objectives.collect::<Vec<_>>(), [2, 0]);
}

#[test]
fn each_kind_of_idempotency_is_known_and_others_count_as_non_idempotent() {
    for (stated, idempotency) in [
        ("read_like", Idempotency::Idempotent),
        ("idempotent", Idempotency::Idempotent),
        ("idempotency_key", Idempotency::Keyed),
        ("non_idempotent", Idempotency::NonIdempotent),
        ("other", Idempotency::NonIdempotent),
    ] {
        let settings = parse(json!({"services": [{"idempotency": stated}]}));
        assert_eq!(settings.classes[0].idempotency, idempotency, "{stated}");
    }
}

#[test]
fn change_of_a_known_but_unused_setting_is_detected_and_of_an_unknown_one_is_not() {
    let stated = |json: Json| StatedSettings::parse(&json).expect("an object");
    assert_ne!(stated(json!({"prices": {"moves": 1}})), stated(json!({"prices": {"moves": 2}})));
    assert_ne!(stated(json!({"serviceType": "a"})), stated(json!({})));
    assert_eq!(stated(json!({"unknown": 1, "tier": null})), stated(json!({"unknown": 2})));
}

#[test]
fn settings_other_than_an_object_are_an_error() {
    assert_eq!(parse_settings(&json!([])), Err(SettingsError::NotAnObject));
    assert_eq!(SettingsError::NotAnObject.to_string(), "expected a JSON object");
}
