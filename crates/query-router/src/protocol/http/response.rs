//! Heads of responses: those of discovery are parsed, the router's own are encoded.

use super::error::HttpError;
use super::framing::BodyFraming;
use super::limits::{MAX_HEAD_BYTES, MAX_HEADERS};
use balancer::Micros;
use httparse::Status;
use std::time::UNIX_EPOCH;

/// The head of a response that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// How many bytes the head takes.
    pub length: usize,
    /// How the end of the body is known.
    pub framing: BodyFraming,
    /// When the response was made by the server's clock, in Unix microseconds, if it says so.
    pub date: Option<Micros>,
}

/// The head of a response at the start of `bytes`, or `None` until it is complete.
///
/// # Errors
///
/// An [`HttpError`] if the head is malformed or too large.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<ResponseHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(bytes) {
        Ok(Status::Complete(length)) => Ok(Some(ResponseHead {
            status: head.code.unwrap_or(0),
            length,
            framing: BodyFraming::from_headers(head.headers, BodyFraming::UntilClose)?,
            date: date_in(head.headers),
        })),
        Ok(Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => Ok(None),
        _ => Err(HttpError::MalformedHead),
    }
}

/// The value of the field `Date`, if it can be read.
fn date_in(headers: &[httparse::Header]) -> Option<Micros> {
    let field = headers.iter().find(|header| header.name.eq_ignore_ascii_case("date"))?;
    let date = httpdate::parse_http_date(std::str::from_utf8(field.value).ok()?).ok()?;
    Some(date.duration_since(UNIX_EPOCH).ok()?.as_micros() as Micros)
}

/// The head of a response of the router.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingHead<'a> {
    /// The status code.
    pub status: u16,
    /// The media type of the body.
    pub content_type: &'a str,
    /// The length of the body in bytes.
    pub content_length: usize,
    /// After how many seconds the client may send the query again, if the router knows.
    pub retry_after_seconds: Option<f64>,
    /// Whether the router closes the connection after this response.
    pub closes_connection: bool,
}

impl OutgoingHead<'_> {
    /// The head as it is sent, with the empty line behind it.
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

/// The reason phrase of the status codes that the router sends.
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
