use super::*;

fn error_text<T>(result: Result<T, AdapterError>) -> Option<String> {
    result.err().map(|error| error.to_string())
}

#[test]
fn fields_are_found_in_any_order_and_invalid_ones_reported_by_name() {
    let line = Line::parse(4, "VERDICT\ttrial=x\topId=7\tlagNs=1999\tgauge=a=b").expect("a line");
    assert_eq!(line.value::<u64>("opId").expect("a number"), 7);
    assert_eq!(line.micros("lagNs").expect("a time"), 1);
    assert_eq!(line.text("gauge").expect("a text"), "a=b");
    assert_eq!(
        error_text(line.value::<usize>("trial")).as_deref(),
        Some("line 4: VERDICT: trial: 'x' is not a number of the required type")
    );
    assert_eq!(
        error_text(line.text("node")).as_deref(),
        Some("line 4: VERDICT: node: required field is missing")
    );
    assert!(Line::parse(1, "TURN\tbare").is_err() && !line.flag("complete").expect("absent is off"));
}

#[test]
fn field_without_a_value_is_an_error() {
    let error = error_text(Line::parse(1, "TURN\tbare"));
    assert_eq!(error.as_deref(), Some("line 1: TURN: bare: expected name=value, found no '='"));
}

#[test]
fn field_whose_name_only_begins_with_the_requested_name_is_not_returned() {
    let line = Line::parse(1, "VERDICT\topIdle=1\topId=2").expect("a line");
    assert_eq!(line.value::<u64>("opId").expect("a number"), 2);
}

#[test]
fn number_must_be_finite_and_flag_0_or_1() {
    let line = Line::parse(1, "ACCEPT\theft=inf\tretry=yes").expect("a line");
    assert_eq!(
        error_text(line.number("heft")).as_deref(),
        Some("line 1: ACCEPT: heft: expected a finite number")
    );
    assert_eq!(
        error_text(line.flag("retry")).as_deref(),
        Some("line 1: ACCEPT: retry: expected 0 or 1, found 'yes'")
    );
}
