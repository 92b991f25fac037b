//! Parsing of header field values.

/// Returns whether a comma-separated field value contains a token, ignoring ASCII case.
pub(super) fn has_token(value: &[u8], token: &str) -> bool {
    let text = std::str::from_utf8(value).unwrap_or("");
    text.split(',').any(|part| part.trim().eq_ignore_ascii_case(token))
}
