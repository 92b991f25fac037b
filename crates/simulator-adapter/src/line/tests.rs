use super::*;

fn message<T>(result: Result<T, AdapterError>) -> Option<String> {
    result.err().map(|error| error.to_string())
}

#[test]
fn fields_are_found_in_any_order_and_bad_ones_named() {
    let line = Line::parse(4, "VERDICT\ttrial=x\topId=7\tlagNs=1999\tgauge=a=b").expect("a line");
    assert_eq!(line.value::<u64>("opId").expect("a number"), 7);
    assert_eq!(line.micros("lagNs").expect("a time"), 1);
    assert_eq!(line.text("gauge").expect("a text"), "a=b");
    assert_eq!(
        message(line.value::<usize>("trial")).as_deref(),
        Some("line 4: VERDICT: trial: 'x' is of the wrong type")
    );
    assert_eq!(message(line.text("node")).as_deref(), Some("line 4: VERDICT: node: it is missing"));
    assert!(Line::parse(1, "TURN\tbare").is_err() && !line.flag("complete").expect("absent is off"));
}

#[test]
fn a_field_without_a_value_is_an_error() {
    let error = message(Line::parse(1, "TURN\tbare"));
    assert_eq!(error.as_deref(), Some("line 1: TURN: bare: has no '='"));
}

#[test]
fn a_name_that_begins_with_a_fields_name_is_another_field() {
    let line = Line::parse(1, "VERDICT\topIdle=1\topId=2").expect("a line");
    assert_eq!(line.value::<u64>("opId").expect("a number"), 2);
}

#[test]
fn a_number_must_be_finite_and_a_flag_0_or_1() {
    let line = Line::parse(1, "ACCEPT\theft=inf\tretry=yes").expect("a line");
    assert_eq!(message(line.number("heft")).as_deref(), Some("line 1: ACCEPT: heft: it is not finite"));
    assert_eq!(
        message(line.flag("retry")).as_deref(),
        Some("line 1: ACCEPT: retry: 'yes' is neither 1 nor 0")
    );
}
