//! Client connections without a request: eviction above their limit, and closing in a graceful shutdown.

use crate::io::{ConnectionId, Effect};
use crate::router::connection::EvictionRank;
use crate::router::connection::client::{ClientConnection, ClientState};
use crate::router::context::Context;
use balancer::Micros;

/// The time for which a connection is still read after the router has closed its writing side.
pub const LINGER_TIMEOUT: Micros = 1_000_000;

/// The time after the accept for which a shutdown keeps a connection without a request. The first request may be in
/// transit.
const FIRST_REQUEST_GRACE: Micros = 300_000;

/// Graceful shutdown: closes the connections without a request. Those that were accepted recently are kept for
/// [`FIRST_REQUEST_GRACE`], since clients do not retry the first request of a connection.
pub fn close_idle(context: &mut Context) {
    context.shutdown.begin_closing_idle();
    let idle: Vec<(ConnectionId, Option<Micros>)> = clients_without_request(context)
        .map(|(id, client)| {
            (id, (client.state == ClientState::New).then_some(client.idle_from + FIRST_REQUEST_GRACE))
        })
        .collect();
    for (id, first_request_by) in idle {
        match first_request_by.filter(|&at| at > context.now) {
            Some(at) => context.set_connection_timer(id, Some(at)),
            None => half_close(context, id),
        }
    }
}

/// Closes the writing side of a connection without a request. A request that is in transit at that time does not cause
/// a reset, so that its client retries it.
pub fn half_close(context: &mut Context, id: ConnectionId) {
    if !context.may_close_client(id) {
        return;
    }
    tracing::debug!(connection = id.0, "client connection closed for writing");
    let now = context.now;
    let client = context.connections.client_mut(id);
    client.state = ClientState::HalfClosed;
    client.idle_from = now;
    context.effects.push(Effect::CloseWrite(id));
    context.set_connection_timer(id, Some(context.now + LINGER_TIMEOUT));
}

/// Returns the clients without a request in progress and without a pipelined one.
pub fn clients_without_request(context: &Context) -> impl Iterator<Item = (ConnectionId, &ClientConnection)> {
    context.connections.clients().filter(|(_, client)| client.has_no_request() && !client.has_next_request())
}

/// Evicts idle clients, the longest idle first, while clients without a request hold more than a sixth of all
/// connections, so that clients that send none do not keep others from being accepted. Those that have sent a query
/// recently are not evicted.
pub fn evict_surplus_idle(context: &mut Context) {
    let max_without_request = (context.limits.max_connections / 6).max(1);
    let surplus = clients_without_request(context).count().saturating_sub(max_without_request);
    if surplus == 0 {
        return;
    }
    let mut idle: Vec<(EvictionRank, Micros, ConnectionId)> = clients_without_request(context)
        .filter_map(|(id, client)| {
            let (rank, since) = client.eviction_order(context.now)?;
            (rank != EvictionRank::InUse).then_some((rank, since, id))
        })
        .collect();
    idle.sort_unstable();
    for (.., id) in idle.into_iter().take(surplus) {
        context.evict_client(id);
    }
}
