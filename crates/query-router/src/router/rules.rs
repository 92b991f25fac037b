//! The rules on what may be started, sent, answered or closed at this moment. Whoever is about to act asks here, whatever
//! led to it: a decision, a late connection, an update of the endpoint list, a shutdown. What a rule forbids is not done;
//! it is counted in `invariants_violated` and logged with the ids, since the components should not have come to it.

use crate::counters::Counters;
use crate::io::ConnectionId;
use crate::router::connection::client::{ClientConnection, ClientState};
use crate::router::connection::node::NodeConnection;
use crate::router::endpoints::EndpointRecord;
use crate::router::query_table::{Attempt, Query, ShardRequest};
use balancer::{Idempotency, Micros, NodeId};

/// A rule that something about to be done would break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// The query has its final answer, or its client has disconnected.
    #[error("the query has ended")]
    QueryEnded,
    /// The shard has answered.
    #[error("the shard has answered")]
    ShardAnswered,
    /// An earlier attempt may have been executed, and the shard request may not be repeated then.
    #[error("an earlier attempt may have been executed")]
    MayHaveRun,
    /// The outcome of the attempt is known already.
    #[error("the attempt has ended")]
    AttemptEnded,
    /// The deadline has passed.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// The node drains or was removed.
    #[error("the node is not ready")]
    NodeNotReady,
    /// The connection leads to an address that the node had before.
    #[error("the node has another address")]
    AddressChanged,
    /// The connection has carried a shard request of the same id, which may still be answered.
    #[error("the same shard request may be answered on the connection")]
    SameRequestInFlight,
    /// A client waits for an answer on the connection.
    #[error("the client waits for its answer")]
    ClientWaits,
}

/// Whether another attempt at a shard request may be started.
pub fn may_start(query: &Query, request: &ShardRequest) -> Result<(), Violation> {
    if query.has_ended() {
        return Err(Violation::QueryEnded);
    }
    if request.value.is_some() {
        return Err(Violation::ShardAnswered);
    }
    let proves_nothing_ran =
        |attempt: &Attempt| attempt.outcome.is_some_and(|outcome| outcome.proves_not_executed());
    let may_repeat = query.idempotency != Idempotency::NonIdempotent;
    if !may_repeat && !request.attempts.iter().all(proves_nothing_ran) {
        return Err(Violation::MayHaveRun);
    }
    Ok(())
}

/// Whether an attempt may be written now, on this connection to this node.
pub fn may_send(
    now: Micros, query: &Query, request: &ShardRequest, attempt: &Attempt, endpoint: &EndpointRecord,
    connection: &NodeConnection,
) -> Result<(), Violation> {
    if query.has_ended() {
        return Err(Violation::QueryEnded);
    }
    if attempt.outcome.is_some() {
        return Err(Violation::AttemptEnded);
    }
    if attempt.deadline <= now {
        return Err(Violation::DeadlinePassed);
    }
    if !endpoint.ready {
        return Err(Violation::NodeNotReady);
    }
    if endpoint.address != Some(connection.address) {
        return Err(Violation::AddressChanged);
    }
    if connection.may_answer(&request.id) {
        return Err(Violation::SameRequestInFlight);
    }
    Ok(())
}

/// Whether this router may close a client's connection of its own accord.
pub fn may_close(client: &ClientConnection) -> Result<(), Violation> {
    match client.state {
        ClientState::AwaitingAnswer(_) => Err(Violation::ClientWaits),
        _ => Ok(()),
    }
}

/// What a rule was asked about, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subject<'a> {
    /// What was about to be done.
    pub action: &'static str,
    /// The id of the query or shard request on the wire.
    pub id: &'a str,
    /// The node.
    pub node: Option<NodeId>,
    /// The connection.
    pub connection: Option<ConnectionId>,
}

/// Counts and logs a violation. Returns whether there was none.
pub fn permitted(counters: &mut Counters, subject: Subject, result: Result<(), Violation>) -> bool {
    let Err(violation) = result else { return true };
    counters.invariants_violated += 1;
    tracing::error!(
        action = subject.action,
        id = subject.id,
        node = subject.node.map(|node| node.0),
        connection = subject.connection.map(|connection| connection.0),
        %violation,
        "rule violated"
    );
    false
}
