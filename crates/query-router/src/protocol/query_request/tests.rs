//! Tests of parsing and validating queries.

use super::*;

fn parse(expires_in_ms: &str, body: &str) -> Result<QueryRequest, QueryRequestError> {
    let parser = QueryParser { classes: vec!["look".into(), "pay".into()], tenants: Vec::new(), shards: 4 };
    let body = body.as_bytes().into();
    parser.parse(&Request { trace_id: "t1", service_class: "pay", expires_in_ms, body, ..Default::default() })
}

#[test]
fn names_and_numbers_of_a_valid_query_are_parsed() {
    let body = r#"{"segments":[{"segment":3,"boost":0.25,"work":9000,"affinity":"0f"},
        {"segment":0,"boost":0.75}],"text":"c4\u00e9","new":1}"#;
    let shards = vec![
        RequestedShard { shard: 3, weight: 0.25, work: 9000 },
        RequestedShard { shard: 0, weight: 0.75, work: 0 },
    ];
    let query = QueryRequest { class: 1, tenant: 0, deadline: 480_000, shards, text: "c4é".to_string() };
    assert_eq!(parse("480", body), Ok(query));
}

#[test]
fn error_names_the_field_that_is_missing_or_wrong() {
    let body = |segments: &str| format!(r#"{{"segments":[{segments}],"text":"x"}}"#);
    for (expires_in_ms, body, field) in [
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
        let error = parse(expires_in_ms, &body).expect_err(&body).to_string();
        assert!(error.contains(field), "{body}: {error}");
    }
}

#[test]
fn error_texts_are_the_bodies_sent_to_clients() {
    for (error, text) in [
        (
            QueryRequestError::InvalidTraceId,
            "X-Trace-Id must have 1 to 128 printable ASCII characters without spaces",
        ),
        (QueryRequestError::UnknownServiceClass, "X-Qos is missing or not a configured service class"),
        (QueryRequestError::UnknownTenant, "X-Customer is missing or not a configured tenant"),
        (QueryRequestError::InvalidDeadline, "X-Expires-In-Ms is missing or not a positive 32-bit integer"),
        (QueryRequestError::NotJson, "the body is not valid JSON"),
        (QueryRequestError::InvalidSegments, "'segments' is missing, empty or not an array"),
        (QueryRequestError::UnknownShard, "a 'segment' is missing or not the index of a configured shard"),
        (QueryRequestError::DuplicateShard, "'segments' contains a shard twice"),
        (QueryRequestError::InvalidWeight, "a 'boost' is missing or not a number from 0 to 1"),
        (QueryRequestError::InvalidWork, "a 'work' is negative or not a number"),
        (QueryRequestError::InvalidTotalWeight, "the values of 'boost' do not add up to 1"),
        (QueryRequestError::InvalidText, "'text' is missing or not a string"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}
