//! Tests of parsing frames and responses.

use super::*;

const SUCCEEDED: AttemptOutcome = AttemptOutcome::Succeeded;

#[test]
fn frame_is_parsed_once_its_last_byte_is_received() {
    let payload = b"t.3 OK 17 inflight=7\nvalue";
    let bytes: Vec<u8> = head(b'Y', payload.len()).into_iter().chain(*payload).chain([0, 0]).collect();
    for end in 0..4 + 1 + payload.len() {
        assert_eq!(parse(&bytes[..end]), Ok(None), "{end} bytes");
    }
    let frame = Frame { kind: FrameKind::Response, payload, encoded_length: 5 + payload.len() };
    assert_eq!(parse(&bytes), Ok(Some(frame)));
    let response =
        ShardResponse { id: "t.3", outcome: SUCCEEDED, load_report: b"inflight=7", value: "value" };
    assert_eq!(ShardResponse::parse(payload), Ok(response));
}

#[test]
fn frame_with_an_invalid_length_is_rejected() {
    assert_eq!(parse(&[0, 0, 0, 0, 1]), Err(FrameError::InvalidLength(0)));
    assert_eq!(parse(&[0x10, 0, 0, 0]), Err(FrameError::InvalidLength(0x1000_0000)));
}

#[test]
fn frame_whose_length_exceeds_the_limit_is_rejected_at_its_first_byte() {
    assert_eq!(parse(b"5"), Err(FrameError::InvalidLength(0x3500_0000)));
    assert_eq!(parse(&[0, 2]), Err(FrameError::InvalidLength(0x2_0000)));
    for partial in [&[][..], &[0], &[0, 1], &[0, 0, 0xff]] {
        assert_eq!(parse(partial), Ok(None), "{partial:?}");
    }
}

#[test]
fn frame_end_is_ambiguous_if_the_next_byte_may_belong_to_a_value() {
    assert_eq!(FrameEnd::from_following(&[]), FrameEnd::Unknown);
    for following in [&b"5"[..], b"5\0", b" ", "\u{e9}".as_bytes(), b"\xc3", b"\xf0\x9f\x98", b"5\xff"] {
        assert_eq!(FrameEnd::from_following(following), FrameEnd::Ambiguous, "{following:?}");
    }
    for following in [&[0][..], &[0, 0, 0, 9, b'Y'], b"\r\n", b"\xff", b"\xa9", b"\xc3\x28", b"\xc2\x80"] {
        assert_eq!(FrameEnd::from_following(following), FrameEnd::Confirmed, "{following:?}");
    }
}

#[test]
fn malformed_frame_is_rejected_before_it_is_complete() {
    assert_eq!(parse(&[0, 0, 0, 9, 1]), Err(FrameError::UnknownKind(1)));
    let long_line = [&[0, 1, 0, 0, b'Y'], &[b'x'; MAX_LINE_BYTES][..]].concat();
    assert_eq!(parse(&long_line), Err(FrameError::LineTooLong));
    let short_lines = [&[0, 1, 0, 0, b'Y'], &b"x\n".repeat(MAX_LINE_BYTES)[..]].concat();
    assert_eq!(parse(&short_lines), Ok(None));
}

#[test]
fn malformed_response_is_rejected_with_its_first_malformed_part() {
    for (payload, part) in [
        (&b"t.3 OK 17 -"[..], ResponsePart::Line),
        (b"t.3 MAYBE 17 -\n", ResponsePart::Status),
        (b"t.3  17 -\n", ResponsePart::Status),
        (b"t.3 OK 17\n", ResponsePart::LoadReport),
        (b"t.3 OK x -\n", ResponsePart::Score),
        // A value that is not UTF-8, and one that includes the next frame because the stated length is too great.
        (b"t.3 OK 1 -\n\xff", ResponsePart::Value),
        (b"t.3 OK 1 -\nvalue\0\0\0\x09Yt.4 OK", ResponsePart::Value),
    ] {
        assert_eq!(ShardResponse::parse(payload), Err(FrameError::InvalidResponse(part)), "{payload:?}");
    }
}

#[test]
fn response_with_a_malformed_load_report_is_usable() {
    for load_report in [&b"%%%"[..], b"=,=", b"nan", b"\xff\xfe", b"a=1 b=2"] {
        let payload = [b"t.3 OK 17 ", load_report, b"\nvalue"].concat();
        let response = ShardResponse { id: "t.3", outcome: SUCCEEDED, load_report, value: "value" };
        assert_eq!(ShardResponse::parse(&payload), Ok(response));
    }
}
