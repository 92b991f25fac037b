//! Heads of responses: those of discovery are parsed, those of the router are encoded.

use super::error::HttpError;
use super::framing::BodyFraming;
use super::limits::{MAX_HEAD_BYTES, MAX_HEADERS};
use balancer::Micros;
use httparse::Status;
use std::time::UNIX_EPOCH;

/// The head of a received response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The HTTP status code; 0 if absent.
    pub status: u16,
    /// The length of the head in bytes, including the empty line at its end.
    pub length: usize,
    /// How the length of the body is determined.
    pub framing: BodyFraming,
    /// The `Date` field: the time of the response by the server's clock, in Unix microseconds; `None` if the field is
    /// absent or malformed.
    pub date: Option<Micros>,
}

/// Parses the head of a response at the start of `bytes`. Returns `None` if it is incomplete.
///
/// # Errors
///
/// Returns an [`HttpError`] if the head is malformed or too large, or states an unsupported framing.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<ResponseHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(bytes) {
        Ok(Status::Complete(length)) => Ok(Some(ResponseHead {
            status: head.code.unwrap_or(0),
            length,
            framing: BodyFraming::from_headers(head.headers, BodyFraming::UntilClose)?,
            date: parse_date(head.headers),
        })),
        Ok(Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => Ok(None),
        _ => Err(HttpError::MalformedHead),
    }
}

/// Returns the value of the `Date` field in Unix microseconds; `None` if it is absent or malformed.
fn parse_date(headers: &[httparse::Header]) -> Option<Micros> {
    let field = headers.iter().find(|header| header.name.eq_ignore_ascii_case("date"))?;
    let date = httpdate::parse_http_date(std::str::from_utf8(field.value).ok()?).ok()?;
    Some(date.duration_since(UNIX_EPOCH).ok()?.as_micros() as Micros)
}

/// The head of a response of the router.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingHead<'a> {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body.
    pub content_type: &'a str,
    /// The length of the body in bytes.
    pub content_length: usize,
    /// The time in seconds after which the client may retry; `None` omits the `Retry-After` field.
    pub retry_after_seconds: Option<f64>,
    /// Whether the router closes the connection after this response.
    pub closes_connection: bool,
}

impl OutgoingHead<'_> {
    /// Encodes the head, including the empty line at its end.
    pub fn encode(&self) -> String {
        let OutgoingHead { status, content_type, content_length, .. } = self;
        let reason = reason_phrase(*status);
        let retry_after = match self.retry_after_seconds {
            Some(seconds) => format!("Retry-After: {seconds:.3}\r\n"),
            None => String::new(),
        };
        let connection = if self.closes_connection { "Connection: close\r\n" } else { "" };
        format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {content_length}\r\n\
             {retry_after}{connection}\r\n"
        )
    }
}

/// Returns the reason phrase of a status code that the router sends.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Bad Gateway",
    }
}
