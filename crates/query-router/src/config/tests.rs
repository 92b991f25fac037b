//! The configuration: what is read of it, and what is wrong with it.

use super::*;

#[test]
fn what_a_configuration_lacks_is_named() {
    let whole = serde_json::json!({"name": "r0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 64, "memory_mb": 48}, "known": {"members": []},
        "settings": {"services": [{"name": "look", "idempotency": "read_like", "deadlineNs": 1e9}],
            "familyInfo": {"sets": 1, "shards": 1, "width": 1, "bundleMax": 1},
            "ceilings": {"maxStreams": 1, "connectTimeoutNs": 1e6, "idleCloseNs": 1e9}}});
    let config = Config::parse(&whole.to_string()).expect("fit to serve");
    assert_eq!((config.seed, config.sockets), (0x8c1f30d27a5be964, 64));
    assert_eq!(config.memory, Some(48 << 20));
    for (stated, memory) in [(Json::Null, None), (1.5.into(), Some(3 << 19))] {
        let mut config = whole.clone();
        config["limits"]["memory_mb"] = stated;
        assert_eq!(Config::parse(&config.to_string()).expect("fit to serve").memory, memory);
    }
    for (path, value, names) in [
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
        let mut bad = whole.clone();
        *bad.pointer_mut(path).expect("a field") = value;
        let why = Config::parse(&bad.to_string()).expect_err(path);
        assert!(why.contains(names), "{path}: {why}");
    }
    assert!(Config::parse("{").is_err());
}
