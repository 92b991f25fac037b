//! Tests of splitting a stream into JSON objects.

use super::*;

fn objects(bytes: &[u8], piece_length: usize) -> Result<Vec<String>, JsonStreamError> {
    let (mut stream, mut found) = (JsonStream::default(), Vec::new());
    for piece in bytes.chunks(piece_length) {
        stream.push(piece);
        loop {
            match stream.next_item()? {
                JsonStreamItem::Incomplete => break,
                JsonStreamItem::BlankLine => {}
                JsonStreamItem::Object(object) => found.push(String::from_utf8(object).expect("text")),
            }
        }
    }
    Ok(found)
}

#[test]
fn objects_end_at_their_closing_bracket_however_the_stream_is_split() {
    let (one, two) = (r#"{"a":"}\"{","b":[{}]}"#, "{\n  \"a\": [\n    {\"b\": \"\\\\\"}\n  ]\n}");
    let text = format!("\n{one}\n\n \r\n{two}{one}\n");
    for piece_length in 1..=text.len() {
        assert_eq!(objects(text.as_bytes(), piece_length), Ok(vec![one.into(), two.into(), one.into()]));
    }
}

#[test]
fn bytes_that_are_not_a_stream_of_objects_are_rejected() {
    assert_eq!(objects(b"\n[1]\n", 9), Err(JsonStreamError::NotAnObject));
    assert_eq!(objects(b"{\"a\":\"b\n{\"a\":1}\n", 9), Err(JsonStreamError::UnterminatedString));
    let too_long = format!("{{{}}}", " ".repeat(MAX_ENDPOINT_LIST_BYTES));
    assert_eq!(objects(too_long.as_bytes(), 65_536), Err(JsonStreamError::ObjectTooLong));
    let blank_lines = format!("{}{{}}", "\n".repeat(MAX_ENDPOINT_LIST_BYTES));
    assert!(objects(blank_lines.as_bytes(), 65_536).is_ok());
}
