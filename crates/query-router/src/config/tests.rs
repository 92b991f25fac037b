//! The configuration: what is read of it, and what is wrong with it.

use super::*;

#[test]
fn configuration_is_read_and_errors_name_the_field() {
    let valid = serde_json::json!({"name": "r0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 64, "memory_mb": 48}, "known": {"members": []},
        "settings": {"services": [{"name": "look", "idempotency": "read_like", "deadlineNs": 1e9}],
            "familyInfo": {"sets": 1, "shards": 1, "width": 1, "bundleMax": 1},
            "ceilings": {"maxStreams": 1, "connectTimeoutNs": 1e6, "idleCloseNs": 1e9}}});
    let config = Config::parse(&valid.to_string()).expect("valid");
    assert_eq!((config.seed, config.max_sockets), (0x8c1f30d27a5be964, 64));
    assert_eq!(config.max_memory_bytes, Some(48 << 20));
    for (stated, max_memory_bytes) in [(Json::Null, None), (1.5.into(), Some(3 << 19))] {
        let mut config = valid.clone();
        config["limits"]["memory_mb"] = stated;
        let config = Config::parse(&config.to_string()).expect("valid");
        assert_eq!(config.max_memory_bytes, max_memory_bytes);
    }
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
        let mut invalid = valid.clone();
        *invalid.pointer_mut(path).expect("a field") = value;
        let error = Config::parse(&invalid.to_string()).expect_err(path).to_string();
        assert!(error.contains(field), "{path}: {error}");
    }
    assert!(matches!(Config::parse("{"), Err(ConfigError::NotJson(_))));
}
