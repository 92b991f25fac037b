//! Frames: what is read of their bytes, and what is refused.

use super::*;

#[test]
fn a_frame_is_read_once_its_last_byte_is_in() {
    let rest = b"t.3 OK 17 inflight=7\nvalue";
    let bytes: Vec<u8> = head(b'Y', rest.len()).into_iter().chain(*rest).chain([0, 0]).collect();
    for end in 0..4 + 1 + rest.len() {
        assert_eq!(read(&bytes[..end]), Read::More, "{end} bytes");
    }
    assert_eq!(read(&bytes), Read::Frame(b'Y', rest, 5 + rest.len()));
    assert_eq!(answer(rest), Some(("t.3", AttemptOutcome::Succeeded, &b"inflight=7"[..], "value")));
}

#[test]
fn what_is_no_frame_or_no_answer_is_known() {
    assert_eq!(read(&[0, 0, 0, 0, 1]), Read::Bad);
    assert_eq!(read(&[0x10, 0, 0, 0]), Read::Bad);
    for rest in ["t.3 OK 17 -", "t.3 MAYBE 17 -\n", "t.3  17 -\n", "t.3 OK 17\n", "t.3 OK x -\n"] {
        assert_eq!(answer(rest.as_bytes()), None, "{rest}");
    }
    // Noise, and a frame that a length too great has swallowed.
    assert_eq!(answer(b"t.3 OK 1 -\n\xff"), None);
    assert_eq!(answer(b"t.3 OK 1 -\nvalue\0\0\0\x09Yt.4 OK"), None);
    // Nothing more needs to come to know that it is of no use.
    assert_eq!(read(&[0, 0, 0, 9, 1]), Read::Bad);
    assert_eq!(read(&[&[0, 1, 0, 0, b'Y'], &[b'x'; MOST_LINE][..]].concat()), Read::Bad);
    assert_eq!(read(&[&[0, 1, 0, 0, b'Y'], &b"x\n".repeat(MOST_LINE)[..]].concat()), Read::More);
}

#[test]
fn an_answer_is_good_whatever_its_report_holds() {
    for report in [&b"%%%"[..], b"=,=", b"nan", b"\xff\xfe", b"a=1 b=2"] {
        let rest = [b"t.3 OK 17 ", report, b"\nvalue"].concat();
        assert_eq!(answer(&rest), Some(("t.3", AttemptOutcome::Succeeded, report, "value")));
    }
}
