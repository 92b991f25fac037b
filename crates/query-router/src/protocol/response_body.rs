//! The body of the response to a query: a JSON object with the values that data nodes returned. A value is encoded when
//! it is received, so that putting a response together only copies bytes.

#[cfg(test)]
mod tests;

use std::fmt::Write;

/// A value as a JSON string, with its quotation marks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedValue(String);

impl EncodedValue {
    /// Encodes a value.
    pub fn new(value: &str) -> EncodedValue {
        if needs_escapes(value) {
            return EncodedValue(serde_json::Value::from(value).to_string());
        }
        let mut text = String::with_capacity(value.len() + 2);
        text.push('"');
        text.push_str(value);
        text.push('"');
        EncodedValue(text)
    }

    /// Returns the size in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// Returns whether a JSON string must contain escapes to represent a text.
fn needs_escapes(text: &str) -> bool {
    text.contains('"') || text.contains('\\') || has_ascii_control(text)
}

/// Returns whether a text contains an ASCII control character. Looks at all bytes, which is faster than to stop at the
/// first one.
pub(super) fn has_ascii_control(text: &str) -> bool {
    text.as_bytes().iter().fold(false, |found, byte| found | byte.is_ascii_control())
}

/// A value with its shard.
#[derive(Clone, Copy, Debug)]
pub struct ShardValue<'a> {
    /// The index of the shard.
    pub shard: usize,
    /// The value.
    pub value: &'a EncodedValue,
}

/// Encodes the body of a response. `is_complete` tells whether the response is marked as complete.
pub fn encode(is_complete: bool, values: &[ShardValue]) -> Vec<u8> {
    /// The size in bytes that suffices for what surrounds a value.
    const OVERHEAD_BYTES: usize = 64;
    let size = values.iter().map(|value| value.value.len() + OVERHEAD_BYTES).sum::<usize>();
    let mut body = String::with_capacity(size + OVERHEAD_BYTES);
    let _ = write!(body, r#"{{"all_in":{is_complete},"matches":["#);
    for (index, ShardValue { shard, value }) in values.iter().enumerate() {
        let separator = if index == 0 { "" } else { "," };
        let _ = write!(body, r#"{separator}{{"payload":"#);
        body.push_str(&value.0);
        let _ = write!(body, r#","segment":{shard}}}"#);
    }
    body.push_str("]}");
    body.into_bytes()
}
