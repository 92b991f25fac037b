//! One router: its balancer, and the mapping between the simulator's ids and the balancer's indices.

use crate::codes::{self, Event};
use crate::error::{AdapterError, FieldError};
use crate::line::Line;
use crate::reply::{EMPTY_DATA, Released, Reply};
use balancer::{
    Actions, AttemptEnd, AttemptId, AttemptNumber, Balancer, Endpoint, EndpointState, EndpointUpdate, Events,
    HealthCheckEnd, LoadMetric, Micros, NodeId, QueryArrival, QueryId, Settings, ShardRequestArrival,
    ShardRequestId,
};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use settings_schema::{IdInterner, parse_load_metrics, parse_settings};
use std::collections::HashMap;

/// Separator between name and value in a load report.
const LOAD_SEPARATOR: char = ':';

/// One entry of an endpoint list.
pub struct ListedEndpoint {
    /// Id of the node.
    pub node: String,
    /// Index of the node's zone.
    pub zone: usize,
    /// Index of the replica set that the node belongs to.
    pub replica_set: usize,
    /// Endpoint state of the node: ready, draining or removed.
    pub state: EndpointState,
    /// Size of the node relative to other nodes.
    pub scale: f64,
    /// Start time of the node's process; 0 for long ago.
    pub started_at: Micros,
}

/// A router instance.
pub struct Instance {
    name: String,
    balancer: Balancer,
    /// The simulator's ids of queries and shard requests, which share one range.
    request_ids: IdInterner<u64>,
    node_ids: IdInterner<String>,
    /// Queries by the number with which their shard requests refer to them.
    queries_by_number: HashMap<u64, QueryId>,
    /// Indexed by [`QueryId`].
    queries: Vec<Query>,
}

/// State of a query that is needed to release its ids.
#[derive(Default)]
struct Query {
    number: u64,
    shard_requests: Vec<ShardRequestId>,
}

/// A query or a shard request as sent by the simulator.
struct Request {
    id: u64,
    class: usize,
    tenant: usize,
    deadline: Micros,
    work: Micros,
    /// Common to a query and its shard requests.
    query_number: u64,
    /// Index of the shard; `None` for a query.
    shard: Option<usize>,
    /// The weight of a shard request; for a query, the number of its shard requests.
    weight: f64,
    is_retry: bool,
}

impl Request {
    fn parse(line: &Line) -> Result<Self, AdapterError> {
        let request = Request {
            id: line.value("opId")?,
            class: line.value("lane")?,
            tenant: line.value_or("org", 0)?,
            deadline: line.micros("validUntilNs")?,
            work: line.micros_or_zero("sizeHintNs")?,
            query_number: line.value("query")?,
            // A query has a negative number in place of a shard.
            shard: usize::try_from(line.value::<i64>("shard")?).ok(),
            weight: line.number("heft")?,
            is_retry: line.flag("retry")?,
        };
        line.flag("mutates")?;
        Ok(request)
    }
}

fn load_metrics<'a>(line: &Line<'a>) -> Result<Vec<LoadMetric<'a>>, AdapterError> {
    let report = line.optional_text("gauge").unwrap_or("");
    parse_load_metrics(report, LOAD_SEPARATOR)
        .ok_or_else(|| line.field_error("gauge", FieldError::NotALoadReport { value: report.to_string() }))
}

fn settings(line: &Line) -> Result<Settings, AdapterError> {
    let json = serde_json::from_str(line.text("bootInfo")?)
        .map_err(|cause| line.field_error("bootInfo", FieldError::NotJson(cause)))?;
    parse_settings(&json).map_err(|cause| line.field_error("bootInfo", FieldError::NotSettings(cause)))
}

impl Instance {
    /// Creates a router with the seed and the settings in the fields of `line`.
    pub fn new(name: &str, line: &Line) -> Result<Self, AdapterError> {
        // Accepts a 64-bit number in signed and in unsigned form.
        let seed = line.value::<i128>("nonce64")? as u64;
        Ok(Instance {
            name: name.to_string(),
            balancer: Balancer::new(seed, settings(line)?),
            request_ids: IdInterner::default(),
            node_ids: IdInterner::default(),
            queries_by_number: HashMap::new(),
            queries: Vec::new(),
        })
    }

    /// Runs `call` on the balancer, writes its actions to `output` and releases the ids that it no longer uses.
    fn with_actions(&mut self, output: &mut Vec<u8>, call: impl FnOnce(&mut Balancer, &mut dyn Actions)) {
        let mut reply = Reply::new(&self.name, &self.request_ids, &self.node_ids, output);
        call(&mut self.balancer, &mut reply);
        let Released { queries, nodes } = reply.released();
        for node in nodes {
            self.node_ids.release(node.0);
        }
        for query in queries {
            self.release_query(query);
        }
    }

    fn release_query(&mut self, id: QueryId) {
        let Some(entry) = self.queries.get_mut(id.0) else { return };
        let query = std::mem::take(entry);
        self.queries_by_number.remove(&query.number);
        for shard_request in query.shard_requests {
            self.request_ids.release(shard_request.0);
        }
        self.request_ids.release(id.0);
    }

    /// Reports an endpoint update to the balancer and writes its actions to `output`.
    pub fn endpoints_updated(
        &mut self, now: Micros, update: EndpointUpdate, endpoints: &[ListedEndpoint], output: &mut Vec<u8>,
    ) {
        self.balancer.endpoint_update_started(now, update);
        for listed in endpoints {
            let endpoint = Endpoint {
                node: NodeId(self.node_ids.intern(listed.node.clone())),
                zone: listed.zone,
                replica_set: listed.replica_set,
                state: listed.state,
                scale: listed.scale,
                started_at: listed.started_at,
            };
            self.balancer.endpoint_listed(now, &endpoint);
        }
        self.with_actions(output, |balancer, actions| balancer.endpoint_update_finished(now, actions));
    }

    /// Runs a decision of the balancer and writes its actions to `output`.
    pub fn decide(&mut self, now: Micros, output: &mut Vec<u8>) {
        self.with_actions(output, |balancer, actions| balancer.decide(now, actions));
    }

    /// Reports an event to the balancer. The balancer acts on it in [`Instance::decide`].
    pub fn handle_event(&mut self, now: Micros, event: Event, line: &Line) -> Result<(), AdapterError> {
        match event {
            Event::RequestArrived => self.request_arrived(now, line),
            Event::AttemptEnded => self.attempt_ended(now, line),
            Event::ResponseStarted => self.response_started(now, line),
            Event::ClientDisconnected => self.client_disconnected(now, line),
            Event::TimerExpired => self.timer_expired(now, line),
            Event::HealthCheckEnded => self.health_check_ended(now, line),
            Event::GossipReceived => self.gossip_received(now, line),
        }
    }

    fn request_arrived(&mut self, now: Micros, line: &Line) -> Result<(), AdapterError> {
        let request = Request::parse(line)?;
        match request.shard {
            Some(shard) => self.shard_request_arrived(now, &request, shard),
            None => self.query_arrived(now, &request),
        }
        Ok(())
    }

    fn query_arrived(&mut self, now: Micros, request: &Request) {
        let query = QueryId(self.request_ids.intern(request.id));
        if self.queries.len() <= query.0 {
            self.queries.resize_with(query.0 + 1, Query::default);
        }
        self.queries[query.0] = Query { number: request.query_number, shard_requests: Vec::new() };
        self.queries_by_number.insert(request.query_number, query);
        let arrival = QueryArrival {
            query,
            class: request.class,
            tenant: request.tenant,
            deadline: request.deadline,
            work: request.work,
            shard_requests: request.weight.max(0.0) as usize,
            is_retry: request.is_retry,
        };
        self.balancer.query_arrived(now, &arrival);
    }

    /// Ignores a shard request whose query is unknown or was released.
    fn shard_request_arrived(&mut self, now: Micros, request: &Request, shard: usize) {
        let Some(&query) = self.queries_by_number.get(&request.query_number) else { return };
        let shard_request = ShardRequestId(self.request_ids.intern(request.id));
        self.queries[query.0].shard_requests.push(shard_request);
        let arrival =
            ShardRequestArrival { shard_request, query, shard, weight: request.weight, work: request.work };
        self.balancer.shard_request_arrived(now, &arrival);
    }

    /// Returns the attempt and the node to which a line refers; `None` if the shard request or the node was
    /// released.
    fn attempt(&self, line: &Line) -> Result<Option<(AttemptId, NodeId)>, AdapterError> {
        let number = AttemptNumber(line.value("trial")?);
        let request = self.request_ids.find(&line.value::<u64>("opId")?);
        let node = self.node_ids.find(line.text("node")?);
        Ok(request
            .zip(node)
            .map(|(request, node)| (AttemptId::new(ShardRequestId(request), number), NodeId(node))))
    }

    fn attempt_ended(&mut self, now: Micros, line: &Line) -> Result<(), AdapterError> {
        let attempt = self.attempt(line)?;
        let latency = line.micros("lagNs")?;
        let outcome = line.code("disposition", codes::attempt_outcome)?;
        let load = load_metrics(line)?;
        line.flag("complete")?;
        if let Some((attempt, node)) = attempt {
            let end = AttemptEnd { attempt, node, outcome, latency, load: &load };
            self.balancer.attempt_ended(now, &end);
        }
        Ok(())
    }

    fn response_started(&mut self, now: Micros, line: &Line) -> Result<(), AdapterError> {
        let attempt = self.attempt(line)?;
        let latency = line.micros("lagNs")?;
        if let Some((attempt, node)) = attempt {
            self.balancer.response_started(now, attempt, node, latency);
        }
        Ok(())
    }

    fn client_disconnected(&mut self, now: Micros, line: &Line) -> Result<(), AdapterError> {
        if let Some(request) = self.request_ids.find(&line.value::<u64>("opId")?) {
            self.balancer.client_disconnected(now, QueryId(request));
        }
        Ok(())
    }

    fn timer_expired(&mut self, now: Micros, line: &Line) -> Result<(), AdapterError> {
        self.balancer.timer_expired(now, line.value("cookie")?);
        Ok(())
    }

    fn health_check_ended(&mut self, now: Micros, line: &Line) -> Result<(), AdapterError> {
        let outcome = line.code("disposition", codes::attempt_outcome)?;
        let latency = line.micros("lagNs")?;
        let load = load_metrics(line)?;
        if let Some(node) = self.node_ids.find(line.text("node")?) {
            let end = HealthCheckEnd { node: NodeId(node), outcome, latency, load: &load };
            self.balancer.health_check_ended(now, &end);
        }
        Ok(())
    }

    fn gossip_received(&mut self, now: Micros, line: &Line) -> Result<(), AdapterError> {
        let data = match line.text("data")? {
            EMPTY_DATA => Vec::new(),
            text => {
                BASE64.decode(text).map_err(|cause| line.field_error("data", FieldError::NotBase64(cause)))?
            }
        };
        self.balancer.gossip_received(now, line.value("by")?, &data);
        Ok(())
    }
}
