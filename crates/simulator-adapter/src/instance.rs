//! One router: its module, its ids, and the lines that its actions become.

use crate::codes;
use crate::line::Line;
use balancer::{
    Actions, AttemptEnd, AttemptId, AttemptNumber, Balancer, Completion, Endpoint, EndpointState,
    EndpointUpdate, Events, HealthCheckEnd, LoadMetric, Micros, NodeId, QueryArrival, QueryId,
    ShardRequestArrival, ShardRequestId,
};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use settings_schema::IdInterner;
use settings_schema::{parse_load_metrics, parse_settings};
use std::collections::HashMap;
use std::io::Write;

/// One line of a numbered list: node, zone, cell, phase, scale and start.
pub type Row = (String, usize, usize, EndpointState, f64, Micros);

pub struct Instance {
    name: String,
    router: Balancer,
    ops: IdInterner<u64>,
    nodes: IdInterner<String>,
    /// The retrieval of each query number, and by retrieval its number and parts.
    queries: HashMap<u64, usize>,
    members: Vec<(u64, Vec<usize>)>,
}

/// What a batch's events made the module do, as lines of the reply.
struct Reply<'a> {
    name: &'a str,
    ops: &'a IdInterner<u64>,
    nodes: &'a IdInterner<String>,
    over: Vec<usize>,
    left: Vec<usize>,
    out: &'a mut Vec<u8>,
}

impl Reply<'_> {
    fn line(&mut self, message: &str, fields: std::fmt::Arguments) {
        let _ = writeln!(self.out, "{message}\trouter={}{fields}", self.name);
    }

    fn on_op(&mut self, message: &str, op: usize, fields: std::fmt::Arguments) {
        if let Some(&id) = self.ops.key(op) {
            self.line(message, format_args!("\topId={id}{fields}"));
        }
    }

    fn on_node(&mut self, message: &str, node: NodeId) {
        if let Some(id) = self.nodes.key(node.0) {
            self.line(message, format_args!("\tnode={id}"));
        }
    }
}

impl Actions for Reply<'_> {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, timeout: Option<Micros>) {
        if let Some(id) = self.nodes.key(node.0) {
            let allow = timeout.unwrap_or(0) * 1000;
            self.on_op("FORWARD", shard_request.0, format_args!("\tnode={id}\tallowForNs={allow}"));
        }
    }
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let number = attempt.number.0;
        self.on_op("RETRACT", attempt.shard_request.0, format_args!("\ttrial={number}"));
    }
    fn complete_query(&mut self, query: QueryId, completion: Completion) {
        let retrieval = query.0;
        match completion {
            Completion::Complete => self.on_op("GATHER_UP", retrieval, format_args!("\ton=1")),
            Completion::Partial => self.on_op("GATHER_UP", retrieval, format_args!("\ton=0")),
            Completion::Rejected { retry_after } => {
                let wait = retry_after.unwrap_or(0) * 1000;
                self.on_op("SAY_NO", retrieval, format_args!("\tstayAwayNs={wait}"))
            }
            Completion::Failed => self.on_op("REPORT_FAILURE", retrieval, format_args!("")),
        }
    }
    fn release_query(&mut self, query: QueryId) {
        self.over.push(query.0);
    }
    fn release_node(&mut self, node: NodeId) {
        self.left.push(node.0);
    }
    fn set_timer(&mut self, wait: Micros, token: u64) {
        self.line("NOTIFY_ME", format_args!("\twaitNs={}\tcookie={token}", wait * 1000));
    }
    fn check_health(&mut self, node: NodeId) {
        self.on_node("SAMPLE", node);
    }
    fn close_idle_connections(&mut self, node: NodeId) {
        self.on_node("LET_GO", node);
    }
    fn watch_endpoints(&mut self, enabled: bool) {
        self.line("KEEP_INFORMED", format_args!("\ton={}", enabled as u8));
    }
    fn poll_endpoints(&mut self) {
        self.line("RELOAD", format_args!(""));
    }
    fn send_gossip(&mut self, peer: Option<usize>, data: &[u8]) {
        let to = peer.map_or("all".to_string(), |p| p.to_string());
        let data = if data.is_empty() { "-".to_string() } else { BASE64.encode(data) };
        self.line("MEMO_TO", format_args!("\tdest={to}\tdata={data}"));
    }
    fn log(&mut self, text: &str) {
        self.line("JOURNAL_LINE", format_args!("\treasonText={text}"));
    }
}

/// Calls `$call` on the module with a reply in hand, then gives back the ids it is done with.
macro_rules! with_reply {
    ($self:ident, $out:expr, $call:ident($($arg:expr),*)) => {{
        let (ops, nodes) = (&$self.ops, &$self.nodes);
        let (over, left) = (Vec::new(), Vec::new());
        let mut reply = Reply { name: &$self.name, ops, nodes, over, left, out: $out };
        $self.router.$call($($arg,)* &mut reply);
        let (over, left) = (reply.over, reply.left);
        left.into_iter().for_each(|node| $self.nodes.release(node));
        over.into_iter().for_each(|retrieval| $self.release(retrieval));
    }};
}

impl Instance {
    pub fn new(name: &str, line: &Line) -> Result<Self, String> {
        let seed = line.need::<i128>("nonce64")? as u64;
        let json = serde_json::from_str(line.text("bootInfo")?).map_err(|e| e.to_string());
        let settings = json
            .and_then(|json| parse_settings(&json).map_err(|e| e.to_string()))
            .map_err(|e| line.wrong("bootInfo", &e))?;
        Ok(Instance {
            name: name.to_string(),
            router: Balancer::new(seed, settings),
            ops: IdInterner::default(),
            nodes: IdInterner::default(),
            queries: HashMap::new(),
            members: Vec::new(),
        })
    }

    fn release(&mut self, retrieval: usize) {
        if let Some((query, parts)) = self.members.get_mut(retrieval).map(std::mem::take) {
            self.queries.remove(&query);
            parts.into_iter().for_each(|part| self.ops.release(part));
            self.ops.release(retrieval);
        }
    }

    pub fn members(&mut self, now: Micros, how: EndpointUpdate, rows: &[Row], out: &mut Vec<u8>) {
        self.router.endpoint_update_started(now, how);
        for (node, zone, cell, phase, scale, up_since) in rows {
            let node = self.nodes.intern(node.clone());
            self.router.endpoint_listed(
                now,
                &Endpoint {
                    node: NodeId(node),
                    zone: *zone,
                    replica_set: *cell,
                    state: *phase,
                    scale: *scale,
                    started_at: *up_since,
                },
            );
        }
        with_reply!(self, out, endpoint_update_finished(now));
    }

    pub fn settle(&mut self, now: Micros, out: &mut Vec<u8>) {
        with_reply!(self, out, decide(now));
    }

    /// Every event that names an instance and needs no list.
    pub fn event(&mut self, now: Micros, line: &Line) -> Result<(), String> {
        match line.message {
            "ACCEPT" => self.accept(now, line)?,
            "VERDICT" => {
                let (trial, lag) = (line.need("trial")?, line.micros("lagNs")?);
                let outcome = line.code("disposition", codes::outcome)?;
                let load = self.gauge(line)?;
                let (op, node): (u64, &str) = (line.need("opId")?, line.text("node")?);
                line.flag("complete")?;
                if let (Some(part), Some(node)) = (self.ops.find(&op), self.nodes.find(node)) {
                    self.router.attempt_ended(
                        now,
                        &AttemptEnd {
                            attempt: AttemptId::new(ShardRequestId(part), AttemptNumber(trial)),
                            node: NodeId(node),
                            outcome,
                            latency: lag,
                            load: &load,
                        },
                    );
                }
            }
            "STARTED" => {
                let (trial, lag, node) = (line.need("trial")?, line.micros("lagNs")?, line.text("node")?);
                let op: u64 = line.need("opId")?;
                if let (Some(part), Some(node)) = (self.ops.find(&op), self.nodes.find(node)) {
                    self.router.response_started(
                        now,
                        AttemptId::new(ShardRequestId(part), AttemptNumber(trial)),
                        NodeId(node),
                        lag,
                    );
                }
            }
            "CANCELLED_BY_CLIENT" => {
                if let Some(op) = self.ops.find(&line.need("opId")?) {
                    self.router.client_disconnected(now, QueryId(op));
                }
            }
            "TICK_DUE" => self.router.timer_expired(now, line.need("cookie")?),
            "STATUS_BACK" => {
                let outcome = line.code("disposition", codes::outcome)?;
                let (lag, load) = (line.micros("lagNs")?, self.gauge(line)?);
                if let Some(node) = self.nodes.find(line.text("node")?) {
                    self.router.health_check_ended(
                        now,
                        &HealthCheckEnd { node: NodeId(node), outcome, latency: lag, load: &load },
                    );
                }
            }
            "DATAGRAM" => {
                let data = match line.text("data")? {
                    "-" => Vec::new(),
                    text => BASE64.decode(text).map_err(|_| line.wrong("data", "it is not base64"))?,
                };
                self.router.gossip_received(now, line.need("by")?, &data);
            }
            _ => return Err(format!("line {}: {}: unknown message", line.number, line.message)),
        }
        Ok(())
    }

    fn gauge<'a>(&self, line: &Line<'a>) -> Result<Vec<LoadMetric<'a>>, String> {
        let text = line.maybe("gauge").unwrap_or("");
        parse_load_metrics(text, ':')
            .ok_or_else(|| line.wrong("gauge", &format!("'{text}' is not pairs of name:number")))
    }

    fn accept(&mut self, now: Micros, line: &Line) -> Result<(), String> {
        let id: u64 = line.need("opId")?;
        let (class, tenant) = (line.need("lane")?, line.or("org", 0)?);
        let until = line.micros("validUntilNs")?;
        let (work, query) = (line.micros_or_zero("sizeHintNs")?, line.need::<u64>("query")?);
        let (shard, weight) = (line.need::<i64>("shard")?, line.number("heft")?);
        let again = line.flag("retry")?;
        line.flag("mutates")?;
        if let Ok(shard) = usize::try_from(shard) {
            let Some(&retrieval) = self.queries.get(&query) else { return Ok(()) };
            let part = self.ops.intern(id);
            self.members[retrieval].1.push(part);
            self.router.shard_request_arrived(
                now,
                &ShardRequestArrival {
                    shard_request: ShardRequestId(part),
                    query: QueryId(retrieval),
                    shard,
                    weight,
                    work,
                },
            );
        } else {
            let retrieval = self.ops.intern(id);
            if self.members.len() <= retrieval {
                self.members.resize_with(retrieval + 1, Default::default);
            }
            self.members[retrieval] = (query, Vec::new());
            self.queries.insert(query, retrieval);
            self.router.query_arrived(
                now,
                &QueryArrival {
                    query: QueryId(retrieval),
                    class,
                    tenant,
                    deadline: until,
                    work,
                    shard_requests: weight.max(0.0) as usize,
                    is_retry: again,
                },
            );
        }
        Ok(())
    }
}
