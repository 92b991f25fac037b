use super::*;

fn metric(name: &str, value: f64) -> LoadMetric<'_> {
    LoadMetric { name, value }
}

#[test]
fn load_report_is_a_list_of_names_with_finite_numbers() {
    assert_eq!(
        parse_load_metrics("active:7,new:0.5", ':'),
        Some(vec![metric("in_flight", 7.0), metric("new", 0.5)])
    );
    assert_eq!(
        parse_load_metrics("inflight=7,util=0.61", '='),
        Some(vec![metric("in_flight", 7.0), metric("busy", 0.61)])
    );
    assert!(["active", "active:x", "cpu:inf"].iter().all(|text| parse_load_metrics(text, ':').is_none()));
}

#[test]
fn empty_report_has_no_metrics() {
    assert_eq!(parse_load_metrics("", '='), Some(Vec::new()));
}
