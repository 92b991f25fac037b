//! Parser of the requests of clients.

use super::chunked::ChunkedDecoder;
use super::error::HttpError;
use super::framing::BodyFraming;
use super::headers::has_token;
use super::limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS, MAX_REQUEST_BYTES};
use httparse::Status;
use std::borrow::Cow;

/// A complete request. A header field that is absent or not UTF-8 is an empty string.
#[derive(Debug, Default)]
pub struct Request<'a> {
    /// The method, such as `GET`.
    pub method: &'a str,
    /// The path with its query string.
    pub path: &'a str,
    /// The decoded body.
    pub body: Cow<'a, [u8]>,
    /// `X-Trace-Id`: the id of the query.
    pub trace_id: &'a str,
    /// `X-Qos`: the name of the service class.
    pub service_class: &'a str,
    /// `X-Customer`: the name of the tenant.
    pub tenant: &'a str,
    /// `X-Expires-In-Ms`: the deadline of the query, in milliseconds from its arrival.
    pub expires_in_ms: &'a str,
    /// `X-Second-Try`: whether the client retries a query that was answered before.
    pub is_retry: bool,
    /// Whether the connection is to be closed after the response.
    pub closes_connection: bool,
    /// The length of the encoded request in bytes.
    pub encoded_length: usize,
}

/// Returns whether `bytes` are exactly a head with `Expect: 100-continue`, whose client waits for `100 Continue` before
/// sending the body.
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

/// Parses the request at the start of `bytes`. Returns `None` if it is incomplete.
///
/// # Errors
///
/// Returns an [`HttpError`] if the request is malformed, unsupported or exceeds a limit.
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

/// Returns the request without its body.
fn request_from_head<'a>(head: &httparse::Request<'_, 'a>) -> Request<'a> {
    let mut request = Request {
        method: head.method.unwrap_or(""),
        path: head.path.unwrap_or(""),
        // An HTTP/1.0 connection is closed unless the client requests keep-alive.
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

/// Adds a body of the length in `Content-Length`. Returns `None` if it is incomplete.
fn with_plain_body<'a>(
    request: Request<'a>, bytes: &'a [u8], body_start: usize, length: usize,
) -> Option<Request<'a>> {
    let body_end = body_start + length;
    let body = bytes.get(body_start..body_end)?;
    Some(Request { body: Cow::Borrowed(body), encoded_length: body_end, ..request })
}

/// Adds a chunked body. Returns `None` if it is incomplete.
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
