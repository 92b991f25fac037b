//! How the end of a message's body is known.

use super::error::HttpError;

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The head states its length in bytes.
    Length(usize),
    /// It comes in chunks, of which the last is empty.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

impl BodyFraming {
    /// The framing that these header fields state, or `default` if they state none.
    ///
    /// # Errors
    ///
    /// An [`HttpError`] if a field is malformed, unsupported, or states the framing a second time.
    pub(super) fn from_headers(
        headers: &[httparse::Header], default: BodyFraming,
    ) -> Result<BodyFraming, HttpError> {
        let mut stated = None;
        for header in headers {
            let framing = if header.name.eq_ignore_ascii_case("content-length") {
                BodyFraming::Length(content_length(header.value)?)
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                if !header.value.eq_ignore_ascii_case(b"chunked") {
                    return Err(HttpError::UnsupportedTransferEncoding);
                }
                BodyFraming::Chunked
            } else {
                continue;
            };
            if stated.is_some() {
                return Err(HttpError::ConflictingBodyLength);
            }
            stated = Some(framing);
        }
        Ok(stated.unwrap_or(default))
    }
}

/// The number in a `Content-Length` field; one that does not fit counts as the largest.
fn content_length(value: &[u8]) -> Result<usize, HttpError> {
    let text = std::str::from_utf8(value).unwrap_or("").trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HttpError::InvalidContentLength);
    }
    Ok(text.parse().unwrap_or(usize::MAX))
}
