use super::*;

const NOW: Micros = 1_700_000_000_000_000;
const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;

#[test]
fn first_list_keeps_reported_start_times_unless_they_lie_in_the_future() {
    let mut starts = StartTimes::default();
    assert_eq!(starts.convert(NOW, 0, None).started_at(), 0);
    assert_eq!(starts.convert(NOW, NOW - HOUR, None).started_at(), NOW - HOUR);
    assert_eq!(starts.convert(NOW, NOW + HOUR, None).started_at(), NOW);
}

#[test]
fn unchanged_reported_start_time_keeps_its_conversion() {
    let mut starts = StartTimes::default();
    let start = starts.convert(NOW, NOW + HOUR, None);
    assert_eq!(starts.convert(NOW + SECOND, NOW + HOUR, Some(start)), start);
}

#[test]
fn plausible_start_time_is_kept_as_reported() {
    let mut starts = StartTimes::default();
    let start = starts.convert(NOW, 0, None);
    starts.list_received(NOW);
    let now = NOW + 2 * SECOND;
    assert_eq!(starts.convert(now, now - SECOND, Some(start)).started_at(), now - SECOND);
    assert_eq!(starts.convert(now, NOW - 5 * SECOND, None).started_at(), NOW - 5 * SECOND);
}

#[test]
fn restart_with_a_start_time_long_ago_or_in_the_future_counts_as_now() {
    for reported in [NOW - HOUR, NOW + HOUR] {
        let mut starts = StartTimes::default();
        let start = starts.convert(NOW, NOW - HOUR / 2, None);
        starts.list_received(NOW);
        let now = NOW + SECOND;
        assert_eq!(starts.convert(now, reported, Some(start)).started_at(), now);
    }
}

#[test]
fn node_first_listed_long_after_its_start_is_dated_relative_to_the_youngest_node() {
    let mut starts = StartTimes::default();
    starts.convert(NOW, NOW - 3 * SECOND, None);
    starts.list_received(NOW);
    let now = NOW + SECOND;
    assert_eq!(starts.convert(now, now - HOUR, None).started_at(), now - HOUR + 3 * SECOND);
}

#[test]
fn local_clock_that_is_ahead_is_corrected_by_the_age_of_the_youngest_node() {
    let mut starts = StartTimes::default();
    starts.convert(NOW, 0, None);
    starts.list_received(NOW);
    // Both nodes started within the last ten seconds; the local clock is an hour ahead.
    let now = NOW + 10 * SECOND;
    assert_eq!(starts.convert(now, now - HOUR, None).started_at(), now);
    assert_eq!(starts.convert(now, now - HOUR - 4 * SECOND, None).started_at(), now - 4 * SECOND);
}

#[test]
fn known_clock_offset_corrects_earlier_conversions() {
    let mut starts = StartTimes::default();
    let reported = NOW - HOUR;
    let start = starts.convert(NOW, reported, None);
    // Discovery's clock is an hour behind the local clock, so the node has just started.
    starts.discovery_time_received(NOW, NOW - HOUR);
    let corrected = starts.convert(NOW, reported, Some(start));
    assert!((NOW - SECOND..=NOW).contains(&corrected.started_at()), "{corrected:?}");
    assert_eq!(starts.convert(NOW + HOUR, reported, Some(corrected)), corrected);
    // A node that is first listed long after its start has the reported age.
    starts.list_received(NOW);
    let old = starts.convert(NOW, NOW - 3 * HOUR, None).started_at();
    assert!((old - (NOW - 2 * HOUR)).abs() < SECOND);
}

#[test]
fn known_clock_offset_within_the_tolerance_changes_nothing() {
    let mut starts = StartTimes::default();
    let start = starts.convert(NOW, NOW - HOUR, None);
    starts.discovery_time_received(NOW, NOW - SECOND);
    assert_eq!(starts.convert(NOW, NOW - HOUR, Some(start)), start);
    starts.list_received(NOW);
    assert_eq!(starts.convert(NOW, NOW - 2 * HOUR, None).started_at(), NOW - 2 * HOUR);
}
