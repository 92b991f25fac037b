//! Message framing: how the length of a body is determined.

use super::error::HttpError;

/// The framing of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// `Content-Length` states the length of the body in bytes.
    Length(usize),
    /// The body has the transfer encoding `chunked`.
    Chunked,
    /// The body extends to the end of the connection.
    UntilClose,
}

impl BodyFraming {
    /// Returns the framing that the header fields state, or `default` if they state none.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if a field is malformed or unsupported, or if several fields state the framing.
    pub(super) fn from_headers(
        headers: &[httparse::Header], default: BodyFraming,
    ) -> Result<BodyFraming, HttpError> {
        let mut stated = None;
        for header in headers {
            let framing = if header.name.eq_ignore_ascii_case("content-length") {
                BodyFraming::Length(parse_content_length(header.value)?)
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

/// Parses the value of a `Content-Length` field. A number too large for `usize` becomes `usize::MAX`.
fn parse_content_length(value: &[u8]) -> Result<usize, HttpError> {
    let text = std::str::from_utf8(value).unwrap_or("").trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HttpError::InvalidContentLength);
    }
    Ok(text.parse().unwrap_or(usize::MAX))
}
