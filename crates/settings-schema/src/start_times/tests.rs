use super::*;

const NOW: Micros = 1_700_000_000_000_000;
const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;

#[test]
fn first_list_is_believed_except_for_starts_in_the_future() {
    let mut starts = StartTimes::default();
    assert_eq!(starts.convert(NOW, 0, None).started_at(), 0);
    assert_eq!(starts.convert(NOW, NOW - HOUR, None).started_at(), NOW - HOUR);
    assert_eq!(starts.convert(NOW, NOW + HOUR, None).started_at(), NOW);
}

#[test]
fn same_start_is_no_news() {
    let mut starts = StartTimes::default();
    let start = starts.convert(NOW, NOW + HOUR, None);
    assert_eq!(starts.convert(NOW + SECOND, NOW + HOUR, Some(start)), start);
}

#[test]
fn credible_start_is_believed() {
    let mut starts = StartTimes::default();
    let start = starts.convert(NOW, 0, None);
    starts.list_received(NOW);
    let now = NOW + 2 * SECOND;
    assert_eq!(starts.convert(now, now - SECOND, Some(start)).started_at(), now - SECOND);
    assert_eq!(starts.convert(now, NOW - 5 * SECOND, None).started_at(), NOW - 5 * SECOND);
}

#[test]
fn restart_that_the_clocks_place_long_ago_or_in_the_future_is_one_of_now() {
    for reported in [NOW - HOUR, NOW + HOUR] {
        let mut starts = StartTimes::default();
        let start = starts.convert(NOW, NOW - HOUR / 2, None);
        starts.list_received(NOW);
        let now = NOW + SECOND;
        assert_eq!(starts.convert(now, reported, Some(start)).started_at(), now);
    }
}

#[test]
fn node_named_long_after_its_start_is_older_than_the_youngest() {
    let mut starts = StartTimes::default();
    starts.convert(NOW, NOW - 3 * SECOND, None);
    starts.list_received(NOW);
    let now = NOW + SECOND;
    assert_eq!(starts.convert(now, now - HOUR, None).started_at(), now - HOUR + 3 * SECOND);
}

#[test]
fn clock_that_is_ahead_shows_in_the_youngest_node() {
    let mut starts = StartTimes::default();
    starts.convert(NOW, 0, None);
    starts.list_received(NOW);
    // Both started within the last ten seconds; the clock is an hour ahead.
    let now = NOW + 10 * SECOND;
    assert_eq!(starts.convert(now, now - HOUR, None).started_at(), now);
    assert_eq!(starts.convert(now, now - HOUR - 4 * SECOND, None).started_at(), now - 4 * SECOND);
}

#[test]
fn stated_time_corrects_what_was_converted_without_it() {
    let mut starts = StartTimes::default();
    let reported = NOW - HOUR;
    let start = starts.convert(NOW, reported, None);
    // Discovery's clock is an hour behind this one, so the node has started just now.
    starts.time_stated(NOW, NOW - HOUR);
    let corrected = starts.convert(NOW, reported, Some(start));
    assert!((NOW - SECOND..=NOW).contains(&corrected.started_at()), "{corrected:?}");
    assert_eq!(starts.convert(NOW + HOUR, reported, Some(corrected)), corrected);
    // A node that is named late is as old as it is said to be.
    starts.list_received(NOW);
    let old = starts.convert(NOW, NOW - 3 * HOUR, None).started_at();
    assert!((old - (NOW - 2 * HOUR)).abs() < SECOND);
}

#[test]
fn stated_time_that_agrees_changes_nothing() {
    let mut starts = StartTimes::default();
    let start = starts.convert(NOW, NOW - HOUR, None);
    starts.time_stated(NOW, NOW - SECOND);
    assert_eq!(starts.convert(NOW, NOW - HOUR, Some(start)), start);
    starts.list_received(NOW);
    assert_eq!(starts.convert(NOW, NOW - 2 * HOUR, None).started_at(), NOW - 2 * HOUR);
}
