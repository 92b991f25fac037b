//! Limits on the sizes of HTTP messages.

/// The protocol's limit on a body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The router's limit on a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most bytes that a request may take, with its body in small chunks.
pub const MAX_REQUEST_BYTES: usize = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES;
/// The most header fields of a head, and of a chunked body's trailer.
pub(super) const MAX_HEADERS: usize = 64;
