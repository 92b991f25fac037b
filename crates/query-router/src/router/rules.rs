//! Preconditions for starting and sending attempts and for closing client connections. They are checked immediately
//! before the action, whether its cause is a decision, a connection that is established late, an endpoint update or a
//! shutdown. An action whose precondition fails is not carried out. The components should never request one, so it is
//! counted in `invariants_violated` and logged with the ids.

use crate::counters::Counters;
use crate::io::ConnectionId;
use crate::router::connection::client::{ClientConnection, ClientState};
use crate::router::connection::node::NodeConnection;
use crate::router::endpoints::EndpointRecord;
use crate::router::query_table::{Attempt, Query, ShardRequest};
use balancer::{Idempotency, Micros, NodeId};

/// The reason why an action is not permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// The query has its final response, or its client has disconnected.
    #[error("the query has ended")]
    QueryEnded,
    /// An earlier attempt has returned the value of the shard.
    #[error("the shard has answered")]
    ShardAnswered,
    /// An earlier attempt may have been executed, and the query is non-idempotent.
    #[error("an earlier attempt may have been executed")]
    MayHaveExecuted,
    /// The attempt has an outcome.
    #[error("the attempt has ended")]
    AttemptEnded,
    /// The deadline of the attempt has passed.
    #[error("the deadline of the attempt has passed")]
    DeadlinePassed,
    /// The node is draining or removed.
    #[error("the node is not ready")]
    NodeNotReady,
    /// The connection leads to a former address of the node.
    #[error("the connection leads to a former address of the node")]
    AddressChanged,
    /// A response to an earlier attempt at the same shard request may still arrive on the connection. Responses carry
    /// no attempt number, so it could be mistaken for the response to this attempt.
    #[error("a response to an earlier attempt at the same shard request may still arrive on the connection")]
    SameRequestInFlight,
    /// The client waits for the response to its query.
    #[error("the client waits for the response to its query")]
    ClientAwaitsResponse,
}

/// Checks whether another attempt at a shard request may be started.
pub fn may_start(query: &Query, request: &ShardRequest) -> Result<(), Violation> {
    if query.has_ended() {
        return Err(Violation::QueryEnded);
    }
    if request.value.is_some() {
        return Err(Violation::ShardAnswered);
    }
    let not_executed =
        |attempt: &Attempt| attempt.outcome.is_some_and(|outcome| outcome.proves_not_executed());
    let may_repeat = query.idempotency != Idempotency::NonIdempotent;
    if !may_repeat && !request.attempts.iter().all(not_executed) {
        return Err(Violation::MayHaveExecuted);
    }
    Ok(())
}

/// Checks whether an attempt may be written to this connection now.
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
    if connection.responses.may_receive_response_to(&request.id) {
        return Err(Violation::SameRequestInFlight);
    }
    Ok(())
}

/// Checks whether the router may close a client connection now.
pub fn may_close(client: &ClientConnection) -> Result<(), Violation> {
    match client.state {
        ClientState::AwaitingResponse(_) => Err(Violation::ClientAwaitsResponse),
        _ => Ok(()),
    }
}

/// The action whose precondition is checked, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckedAction<'a> {
    /// The name of the action.
    pub action: &'static str,
    /// The id of the shard request on the wire; empty if the action concerns none.
    pub id: &'a str,
    /// The node of the attempt, if the action concerns one.
    pub node: Option<NodeId>,
    /// The connection of the action; `None` if no connection is selected yet.
    pub connection: Option<ConnectionId>,
    /// The time for which the node of the attempt has not been ready; `None` if it is ready or of no concern.
    pub not_ready_for: Option<Micros>,
}

/// Returns whether the check succeeded; counts and logs the violation if it failed.
pub fn permitted(counters: &mut Counters, checked: CheckedAction, result: Result<(), Violation>) -> bool {
    let Err(violation) = result else { return true };
    counters.invariants_violated += 1;
    tracing::error!(
        action = checked.action,
        id = checked.id,
        node = checked.node.map(|node| node.0),
        connection = checked.connection.map(|connection| connection.0),
        not_ready_ms = checked.not_ready_for.map(|span| span / 1000),
        %violation,
        "rule violated"
    );
    false
}
