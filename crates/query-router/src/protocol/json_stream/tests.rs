//! Objects of a watch: where they end.

use super::*;

fn objects(bytes: &[u8], piece: usize) -> Result<Vec<String>, &'static str> {
    let (mut stream, mut found) = (JsonStream::default(), Vec::new());
    for bytes in bytes.chunks(piece) {
        stream.push(bytes);
        loop {
            match stream.next()? {
                JsonStreamItem::Incomplete => break,
                JsonStreamItem::BlankLine => {}
                JsonStreamItem::Object(object) => found.push(String::from_utf8(object).expect("text")),
            }
        }
    }
    Ok(found)
}

#[test]
fn objects_end_where_their_brackets_do_however_they_come() {
    let (one, two) = (r#"{"a":"}\"{","b":[{}]}"#, "{\n  \"a\": [\n    {\"b\": \"\\\\\"}\n  ]\n}");
    let text = format!("\n{one}\n\n \r\n{two}{one}\n");
    for piece in 1..=text.len() {
        assert_eq!(objects(text.as_bytes(), piece), Ok(vec![one.into(), two.into(), one.into()]));
    }
}

#[test]
fn what_is_no_run_of_objects_is_known() {
    assert!(objects(b"\n[1]\n", 9).is_err());
    assert!(objects(b"{\"a\":\"b\n{\"a\":1}\n", 9).is_err());
    assert!(objects(format!("{{{}}}", " ".repeat(MAX_ENDPOINT_LIST_BYTES)).as_bytes(), 65_536).is_err());
    assert!(objects(format!("{}{{}}", "\n".repeat(MAX_ENDPOINT_LIST_BYTES)).as_bytes(), 65_536).is_ok());
}
