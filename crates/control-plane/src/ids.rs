//! Identifiers of streams and proxies.

/// The number of a gRPC stream; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// The index of a proxy; may be reused once the proxy has been removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ProxyId(pub usize);
