//! Size limits of HTTP messages.

/// Maximum size of a request body in bytes, as defined by the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a message head in bytes, chosen by the router.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of an encoded request in bytes; leaves room for the framing of a body in small chunks.
pub const MAX_REQUEST_BYTES: usize = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES;
/// Maximum size in bytes of the requests that a client may send ahead of its responses.
pub const MAX_PIPELINED_BYTES: usize = 1024 * 1024;
/// Maximum number of header fields in a head, and of trailer fields after a chunked body.
pub(super) const MAX_HEADERS: usize = 64;
