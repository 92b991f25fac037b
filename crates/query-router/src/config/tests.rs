//! Tests of parsing and validating the configuration.

use super::*;

fn valid_config() -> Json {
    serde_json::json!({"name": "r0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 64, "memory_mb": 48}, "known": {"members": []},
        "settings": {"services": [{"name": "look", "idempotency": "read_like", "deadlineNs": 1e9}],
            "familyInfo": {"sets": 1, "shards": 1, "width": 1, "bundleMax": 1},
            "ceilings": {"maxStreams": 1, "connectTimeoutNs": 1e6, "idleCloseNs": 1e9}}})
}

#[test]
fn valid_configuration_is_read() {
    let config = Config::parse(&valid_config().to_string()).expect("valid");
    assert_eq!((config.seed, config.max_sockets), (0x8c1f30d27a5be964, 64));
    assert_eq!(config.max_memory_bytes, Some(48 << 20));
}

#[test]
fn memory_limit_may_be_absent_or_a_fraction_of_a_mebibyte() {
    for (stated, max_memory_bytes) in [(Json::Null, None), (1.5.into(), Some(3 << 19))] {
        let mut config = valid_config();
        config["limits"]["memory_mb"] = stated;
        let config = Config::parse(&config.to_string()).expect("valid");
        assert_eq!(config.max_memory_bytes, max_memory_bytes);
    }
}

#[test]
fn error_names_the_field_that_is_missing_or_wrong() {
    for (path, value, field) in [
        ("/name", Json::Null, "name"),
        ("/listen", "nowhere".into(), "listen"),
        ("/seed", "xyz".into(), "seed"),
        ("/known/members", 3.into(), "known.members"),
        ("/limits/sockets", "many".into(), "limits/sockets"),
        ("/limits/memory_mb", 0.into(), "limits/memory_mb"),
        ("/limits/memory_mb", "48".into(), "limits/memory_mb"),
        ("/settings/services/0/deadlineNs", 0.into(), "deadlineNs"),
        ("/settings/services/0/idempotency", "idempotency_key".into(), "idempotency_key"),
        ("/settings/familyInfo/shards", Json::Null, "familyInfo.shards"),
        ("/settings", 1.into(), "settings"),
    ] {
        let mut invalid = valid_config();
        *invalid.pointer_mut(path).expect("a field") = value;
        let error = Config::parse(&invalid.to_string()).expect_err(path).to_string();
        assert!(error.contains(field), "{path}: {error}");
    }
}

#[test]
fn type_error_states_the_expected_and_the_actual_value() {
    let mut config = valid_config();
    config["limits"]["memory_mb"] = "48".into();
    let error = Config::parse(&config.to_string()).expect_err("a string is not a number");
    assert_eq!(error.to_string(), "limits/memory_mb: expected a positive number, found \"48\"");
}

#[test]
fn text_that_is_not_json_is_rejected() {
    assert!(matches!(Config::parse("{"), Err(ConfigError::NotJson(_))));
}

#[test]
fn error_of_an_unreadable_file_names_its_path() {
    let error = Config::read("/nonexistent/router.json").expect_err("the file does not exist");
    assert!(matches!(error, ConfigFileError::Unreadable { .. }));
    assert!(error.to_string().starts_with("/nonexistent/router.json: "), "{error}");
}

#[test]
fn a_changed_setting_needs_a_restart_even_if_the_router_does_not_use_it() {
    let parse = |config: &Json| Config::parse(&config.to_string()).expect("valid");
    let running = parse(&valid_config());
    for (path, value, fields) in [
        ("tier", Json::from("gold"), &["settings"][..]),
        ("tickNs", 5_000_000.into(), &["settings"]),
        ("unknown", 1.into(), &[]),
    ] {
        let mut newer = valid_config();
        newer["settings"][path] = value;
        assert_eq!(running.fields_needing_restart(&parse(&newer)), fields, "{path}");
    }
}

#[test]
fn error_names_each_required_setting_that_is_absent_or_below_its_minimum() {
    for field in [
        "familyInfo.sets",
        "familyInfo.shards",
        "familyInfo.width",
        "familyInfo.bundleMax",
        "ceilings.maxStreams",
        "ceilings.connectTimeoutNs",
        "ceilings.idleCloseNs",
    ] {
        for value in [Json::Null, 0.into(), 0.9.into(), (-1).into(), "1".into(), true.into()] {
            let mut invalid = valid_config();
            let path = format!("/settings/{}", field.replace('.', "/"));
            *invalid.pointer_mut(&path).expect("a field") = value;
            let error = Config::parse(&invalid.to_string()).expect_err(field).to_string();
            assert_eq!(error, format!("settings.{field}: expected at least 1, or 1000 for a time in ns"));
        }
    }
}

#[test]
fn error_names_the_service_class_that_cannot_be_served_and_the_reason() {
    for (path, value, message) in [
        ("/settings/services/0/name", Json::Null, "settings.services: no service class has a name"),
        (
            "/settings/services/0/deadlineNs",
            999.into(),
            "settings.services: look: deadlineNs is missing or less than 1000",
        ),
        (
            "/settings/services/0/idempotency",
            "idempotency_key".into(),
            "settings.services: look: idempotency_key is not supported",
        ),
        (
            "/settings/familyInfo/secondStep",
            serde_json::json!([1]),
            "settings.familyInfo.secondStep: look: a second step is not supported",
        ),
    ] {
        let mut invalid = valid_config();
        invalid["settings"]["familyInfo"]["secondStep"] = serde_json::json!([0]);
        *invalid.pointer_mut(path).expect("a field") = value;
        assert_eq!(Config::parse(&invalid.to_string()).expect_err(path).to_string(), message);
    }
}
