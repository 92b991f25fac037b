//! The names of settings, lists and load figures.

use super::*;

#[test]
fn settings_come_under_our_names_in_microseconds() {
    let json = r#"{"tickNs": 5000000, "new": 1, "registryMode": "ask",
        "services": [{"idempotency": "read_like", "targetNs": 1500}], "ceilings": {"probes": true}}"#;
    let got = settings(&serde_json::from_str(json).expect("JSON")).expect("an object");
    assert_eq!(got.number("decision_interval_us"), Some(5000.0));
    assert_eq!(got.number("class.0.latency_objective_us"), Some(1.0));
    assert_eq!((got.text("class.0.idempotency"), got.text("discovery.mode")), ("idempotent", "polled"));
    assert!(got.flag("limits.health_checks") && got.0.len() == 5);
    assert!(settings(&Json::Array(Vec::new())).is_err());
}

#[test]
fn the_table_is_sorted_for_its_search() {
    assert!(SETTINGS.is_sorted_by(|a, b| a.0 < b.0));
}

fn metric(name: &str, value: f64) -> LoadMetric<'_> {
    LoadMetric { name, value }
}

#[test]
fn load_reports_are_pairs_of_finite_numbers() {
    assert_eq!(load("active:7,new:0.5", ':'), Some(vec![metric("in_flight", 7.0), metric("new", 0.5)]));
    assert_eq!(load("inflight=7,util=0.61", '='), Some(vec![metric("in_flight", 7.0), metric("busy", 0.61)]));
    assert!(["active", "active:x", "cpu:inf"].iter().all(|text| load(text, ':').is_none()));
}
