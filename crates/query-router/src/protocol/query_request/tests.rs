//! A query: what is read of it, and what is wrong with it.

use super::*;

fn query(deadline: &str, body: &str) -> Result<Query, &'static str> {
    let terms =
        QueryVocabulary { classes: vec!["look".into(), "pay".into()], tenants: Vec::new(), shards: 4 };
    let body = body.as_bytes().into();
    terms.query(&Request { id: "t1", class: "pay", deadline, body, ..Default::default() })
}

#[test]
fn a_query_becomes_indices_and_figures() {
    let body = r#"{"segments":[{"segment":3,"boost":0.25,"work":9000,"affinity":"0f"},
        {"segment":0,"boost":0.75}],"text":"c4\u00e9","new":1}"#;
    let (segments, text) = (vec![(3, 0.25, 9000), (0, 0.75, 0)], "c4é".to_string());
    assert_eq!(query("480", body), Ok(Query { class: 1, tenant: 0, deadline: 480_000, segments, text }));
}

#[test]
fn what_a_query_lacks_is_named() {
    let body = |segments: &str| format!(r#"{{"segments":[{segments}],"text":"x"}}"#);
    for (deadline, body, names) in [
        ("", body(r#"{"segment":1,"boost":1}"#), "X-Expires-In-Ms"),
        ("-5", body(r#"{"segment":1,"boost":1}"#), "X-Expires-In-Ms"),
        ("0", body(r#"{"segment":1,"boost":1}"#), "X-Expires-In-Ms"),
        ("9", "{".to_string(), "JSON"),
        ("9", "{}".to_string(), "segments"),
        ("9", body(""), "segments"),
        ("9", body(r#"{"segment":4,"boost":1}"#), "shard"),
        ("9", body(r#"{"segment":1,"boost":-1}"#), "boost"),
        ("9", body(r#"{"segment":1,"boost":1.1}"#), "boost"),
        ("9", body(r#"{"segment":1,"boost":0.5},{"segment":2,"boost":0.4}"#), "add up"),
        ("9", body(r#"{"segment":0,"boost":1},{"segment":2,"boost":1}"#), "add up"),
        ("+9", body(r#"{"segment":1,"boost":1}"#), "X-Expires-In-Ms"),
        ("9", body(r#"{"segment":1,"boost":1},{"segment":1,"boost":1}"#), "twice"),
        ("9", body(r#"{"segment":1,"boost":1,"work":"x"}"#), "work"),
        ("9", r#"{"segments":[{"segment":1,"boost":1}]}"#.to_string(), "text"),
    ] {
        let why = query(deadline, &body).expect_err(&body);
        assert!(why.contains(names), "{body}: {why}");
    }
}
