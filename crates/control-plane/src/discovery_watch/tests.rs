//! Tests of the order of revisions and of lines that arrive slowly.

use super::*;

/// Returns whether a list with this revision is used.
fn is_used(revisions: &mut Revisions, revision: u64, now: Instant) -> bool {
    let line = format!("{{\"revision\":{revision},\"complete\":true,\"members\":[]}}\n");
    parse_line(line.as_bytes(), LinePosition::First, revisions, now).is_ok_and(|update| update.is_some())
}

/// Guards against a replica of discovery that lags behind and undoes a drain.
#[test]
fn a_list_with_an_older_revision_is_rejected_until_revisions_count_as_begun_anew() {
    let (mut revisions, start) = (Revisions::default(), Instant::now());
    assert!(is_used(&mut revisions, 50, start));
    assert!(!is_used(&mut revisions, 49, start));
    assert_eq!(revisions.last(), 0, "the next watch requests the full list");
    assert!(!is_used(&mut revisions, 49, start + Duration::from_millis(4_900)));
    assert!(is_used(&mut revisions, 51, start + Duration::from_secs(5)), "the replica has caught up");
    assert!(!is_used(&mut revisions, 2, start + Duration::from_secs(6)));
    assert!(is_used(&mut revisions, 2, start + Duration::from_secs(11)), "the revisions began anew");
    assert!(is_used(&mut revisions, 3, start + Duration::from_secs(11)));
}

/// Guards against an update that never ends and keeps the control plane from newer lists.
#[test]
fn a_line_that_progresses_but_does_not_end_is_given_up_after_a_minute() {
    let (mut buffer, start) = (LineBuffer::default(), Instant::now());
    assert!(buffer.push(b"{", start).is_ok());
    assert!(buffer.push(b" ", start + Duration::from_secs(59)).is_ok());
    assert!(matches!(buffer.push(b" ", start + Duration::from_secs(61)), Err(WatchError::LineTooSlow)));
    let mut buffer = LineBuffer::default();
    assert!(buffer.push(b"{}\n", start).is_ok_and(|line| line.is_some()));
    assert!(buffer.push(b"{", start + Duration::from_secs(90)).is_ok(), "each line has its own time");
}
