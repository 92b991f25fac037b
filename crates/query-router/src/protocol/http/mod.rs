//! HTTP/1.1 as the router speaks it: requests of clients, responses of discovery, and the heads of its own
//! responses.

mod chunked;
mod error;
mod framing;
mod request;
mod response;

#[cfg(test)]
mod tests;

pub use chunked::ChunkedDecoder;
pub use error::HttpError;
pub use framing::BodyFraming;
pub use request::{Request, expects_continue, parse_request};
pub use response::{OutgoingHead, parse_response_head};

/// The protocol's limit on a body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The router's limit on a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most bytes that a request may take, with its body in small chunks.
pub const MAX_REQUEST_BYTES: usize = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES;
/// The most header fields of a head, and of a chunked body's trailer.
const MAX_HEADERS: usize = 64;

/// Whether a comma-separated field value contains a token, in any case.
fn has_token(value: &[u8], token: &str) -> bool {
    let text = std::str::from_utf8(value).unwrap_or("");
    text.split(',').any(|part| part.trim().eq_ignore_ascii_case(token))
}
