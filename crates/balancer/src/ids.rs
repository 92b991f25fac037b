//! Identifiers that a front end hands out. Each is a small index that is reused once the balancer has
//! released it.

/// A data node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub usize);

/// A query in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueryId(pub usize);

/// The request of a query to one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardRequestId(pub usize);

/// The number of an attempt at a shard request, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptNumber(pub usize);

/// One attempt at a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The shard request that is attempted.
    pub shard_request: ShardRequestId,
    /// Which attempt at it this is.
    pub number: AttemptNumber,
}

impl AttemptId {
    /// Attempt `number` at `shard_request`.
    pub fn new(shard_request: ShardRequestId, number: AttemptNumber) -> Self {
        AttemptId { shard_request, number }
    }
}
