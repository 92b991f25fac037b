//! Identifiers of streams and proxies.

/// The number of a gRPC stream. Numbers are not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// The index of a proxy. The index of a forgotten proxy may be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ProxyId(pub usize);
