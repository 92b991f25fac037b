//! The router's components, and the actions that the balancer requests of them.

use crate::config::Config;
use crate::counters::debug_invariant;
use crate::router::clients::Clients;
use crate::router::context::Context;
use crate::router::discovery::{Discovery, EndpointReport};
use crate::router::dispatch::Dispatcher;
use crate::router::query_table::QueryTable;
use crate::router::timers::Timer;
use balancer::{Actions, AttemptId, AttemptOutcome, Completion, Micros, NodeId, QueryId, ShardRequestId};

/// The state of the router except for the balancer, which changes this state through [`Actions`].
pub struct State {
    /// The state that all components share.
    pub context: Context,
    /// The queries in progress, with their shard requests and attempts.
    pub queries: QueryTable,
    /// The state that concerns all client connections together.
    pub clients: Clients,
    /// The batches that wait for a connection to their data node.
    pub dispatcher: Dispatcher,
    /// The polls and the watch of the endpoint list.
    pub discovery: Discovery,
}

impl State {
    /// Creates the state of a router that starts at `now`.
    pub fn new(config: &Config, now: Micros) -> State {
        let context = Context::new(config, now);
        let discovery = Discovery::new(config, context.limits.max_connections);
        State {
            context,
            queries: QueryTable::default(),
            clients: Clients::new(config),
            dispatcher: Dispatcher::new(config),
            discovery,
        }
    }

    /// Returns the next endpoint update of discovery for the balancer; `None` if there is none.
    pub fn next_endpoint_report(&mut self) -> Option<EndpointReport> {
        self.discovery.next_report(&mut self.context)
    }
}

impl Actions for State {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, timeout: Option<Micros>) {
        self.dispatcher.add_attempt(&mut self.context, &mut self.queries, shard_request, node, timeout);
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.dispatcher.cancel(&mut self.context, &mut self.queries, attempt, AttemptOutcome::Cancelled);
    }

    fn complete_query(&mut self, query: QueryId, completion: Completion) {
        let State { context, queries, clients, dispatcher, .. } = self;
        let client = queries.end_query(query);
        debug_invariant!(context.counters, client.is_some(), "a query has exactly one final response");
        dispatcher.cancel_unwritten(context, queries, query);
        if let Some(id) = client {
            clients.reply_to_query(context, queries, id, query, completion);
        }
    }

    fn release_query(&mut self, query: QueryId) {
        self.queries.release_query(self.context.now, query);
    }

    fn release_node(&mut self, node: NodeId) {
        self.context.endpoints.release(node);
        self.context.close_idle_connections_to(node);
        self.context.endpoints.free_if_unused(node);
    }

    fn set_timer(&mut self, delay: Micros, token: u64) {
        self.context.timers.insert(self.context.now + delay, Timer::Balancer(token));
    }

    fn check_health(&mut self, node: NodeId) {
        let State { context, queries, dispatcher, .. } = self;
        dispatcher.check_health(context, queries, node);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.context.close_idle_connections_to(node);
    }

    fn watch_endpoints(&mut self, enabled: bool) {
        if enabled {
            self.discovery.ensure_watch(&mut self.context);
        } else {
            self.discovery.stop_watch(&mut self.context);
        }
    }

    fn poll_endpoints(&mut self) {
        self.discovery.poll(&mut self.context);
    }

    fn log(&mut self, line: &str) {
        tracing::info!("{line}");
    }
}
