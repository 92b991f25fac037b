//! Identifiers allocated by a front end. Each is a small index that the front end may reuse once the balancer
//! has released it.

/// Identifier of a data node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub usize);

/// Identifier of a query in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueryId(pub usize);

/// Identifier of a query's request to one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardRequestId(pub usize);

/// Number of an attempt of a shard request, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptNumber(pub usize);

/// Identifier of one attempt of a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The shard request that the attempt belongs to.
    pub shard_request: ShardRequestId,
    /// Number of the attempt among those of the shard request.
    pub number: AttemptNumber,
}

impl AttemptId {
    /// Identifies attempt `number` of `shard_request`.
    pub fn new(shard_request: ShardRequestId, number: AttemptNumber) -> Self {
        AttemptId { shard_request, number }
    }
}
