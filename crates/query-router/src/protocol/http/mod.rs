//! The HTTP/1.1 messages of the router: requests of clients, responses of discovery, and the heads of the router's own
//! responses.

mod chunked;
mod error;
mod framing;
mod headers;
mod limits;
mod progress;
mod request;
mod response;

#[cfg(test)]
mod tests;

pub use chunked::ChunkedDecoder;
pub use error::HttpError;
pub use framing::BodyFraming;
pub use limits::{MAX_BODY_BYTES, MAX_PIPELINED_BYTES, MAX_REQUEST_BYTES};
pub use progress::RequestProgress;
pub use request::{Request, expects_continue};
pub use response::{OutgoingHead, parse_response_head};
