//! Requests of clients, parsed from the bytes of a connection.

use super::chunked::ChunkedDecoder;
use super::error::HttpError;
use super::framing::BodyFraming;
use super::headers::has_token;
use super::limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS, MAX_REQUEST_BYTES};
use httparse::Status;
use std::borrow::Cow;

/// A complete request. Header fields that were not sent are empty.
#[derive(Debug, Default)]
pub struct Request<'a> {
    /// The method, such as `GET`.
    pub method: &'a str,
    /// The path with its query string.
    pub path: &'a str,
    /// The body, without the framing of chunks.
    pub body: Cow<'a, [u8]>,
    /// `X-Trace-Id`.
    pub trace_id: &'a str,
    /// `X-Qos`: the name of the service class.
    pub service_class: &'a str,
    /// `X-Customer`: the name of the tenant.
    pub tenant: &'a str,
    /// `X-Expires-In-Ms`: the time in milliseconds after which an answer is of no use.
    pub expires_in_ms: &'a str,
    /// `X-Second-Try`: the client sends the query again after an earlier answer.
    pub is_retry: bool,
    /// The client will not use the connection again.
    pub closes_connection: bool,
    /// How many bytes of the connection the request takes.
    pub encoded_length: usize,
}

/// Whether these bytes are exactly a head whose sender waits for `100 Continue` before it sends the body.
pub fn expects_continue(bytes: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(Status::Complete(length)) if length == bytes.len() => head.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("expect") && has_token(header.value, "100-continue")
        }),
        _ => false,
    }
}

/// The request at the start of `bytes`, or `None` until it is complete.
///
/// # Errors
///
/// An [`HttpError`] if the request is malformed or beyond a limit.
pub fn parse_request(bytes: &[u8]) -> Result<Option<Request<'_>>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let body_start = match head.parse(bytes) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::MalformedHead),
    };
    let request = request_from_head(&head);
    match BodyFraming::from_headers(head.headers, BodyFraming::Length(0))? {
        BodyFraming::Chunked => with_chunked_body(request, bytes, body_start),
        BodyFraming::Length(length) if length <= MAX_BODY_BYTES => {
            Ok(with_plain_body(request, bytes, body_start, length))
        }
        _ => Err(HttpError::BodyTooLarge),
    }
}

/// The request without its body.
fn request_from_head<'a>(head: &httparse::Request<'_, 'a>) -> Request<'a> {
    let mut request = Request {
        method: head.method.unwrap_or(""),
        path: head.path.unwrap_or(""),
        // HTTP/1.0 closes unless asked to keep the connection.
        closes_connection: head.version == Some(0),
        ..Default::default()
    };
    for header in head.headers.iter() {
        let text = std::str::from_utf8(header.value).unwrap_or("").trim();
        match header.name {
            name if name.eq_ignore_ascii_case("x-trace-id") => request.trace_id = text,
            name if name.eq_ignore_ascii_case("x-qos") => request.service_class = text,
            name if name.eq_ignore_ascii_case("x-customer") => request.tenant = text,
            name if name.eq_ignore_ascii_case("x-expires-in-ms") => request.expires_in_ms = text,
            name if name.eq_ignore_ascii_case("x-second-try") => request.is_retry = text == "1",
            name if name.eq_ignore_ascii_case("connection") => {
                request.closes_connection = has_token(header.value, "close")
                    || request.closes_connection && !has_token(header.value, "keep-alive");
            }
            _ => {}
        }
    }
    request
}

/// Adds a body of a stated length, or returns `None` until it is complete.
fn with_plain_body<'a>(
    request: Request<'a>, bytes: &'a [u8], body_start: usize, length: usize,
) -> Option<Request<'a>> {
    let body_end = body_start + length;
    let body = bytes.get(body_start..body_end)?;
    Some(Request { body: Cow::Borrowed(body), encoded_length: body_end, ..request })
}

/// Adds a body in chunks, or returns `None` until it is complete.
fn with_chunked_body<'a>(
    request: Request<'a>, bytes: &[u8], body_start: usize,
) -> Result<Option<Request<'a>>, HttpError> {
    let mut body = Vec::new();
    let mut decoder = ChunkedDecoder::new(MAX_BODY_BYTES);
    let progress = decoder.decode(&bytes[body_start..], &mut |data| body.extend_from_slice(data))?;
    if body.len() > MAX_BODY_BYTES || !progress.complete && bytes.len() >= MAX_REQUEST_BYTES {
        return Err(HttpError::BodyTooLarge);
    }
    if !progress.complete {
        return Ok(None);
    }
    let encoded_length = body_start + progress.consumed;
    Ok(Some(Request { body: Cow::Owned(body), encoded_length, ..request }))
}
