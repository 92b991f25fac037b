//! A client's query: its fields checked one by one before the module hears of it.

#[cfg(test)]
mod tests;

use crate::protocol::http::Request;
use balancer::Micros;
use serde_json::Value as Json;

/// One part of a query: its shard, its share of the answer, and a rough figure for its work.
pub type Segment = (usize, f64, Micros);

/// How far the shares of an answer may be from adding up to 1.
const ROUNDING: f64 = 0.01;

/// What a query asks for, as indices and figures.
#[derive(Debug, PartialEq)]
pub struct Query {
    pub class: usize,
    pub tenant: usize,
    pub deadline: Micros,
    pub segments: Vec<Segment>,
    pub text: String,
}

/// The names and the number of shards that queries are checked against.
#[derive(Debug, Default)]
pub struct QueryVocabulary {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub shards: usize,
}

impl QueryVocabulary {
    pub fn query(&self, request: &Request) -> Result<Query, &'static str> {
        let id = request.id;
        if id.is_empty() || id.len() > 128 || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return Err("X-Trace-Id is missing or not a plain word");
        }
        let known = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = known(&self.classes, request.class).ok_or("X-Qos names no known service class")?;
        let tenant = if self.tenants.is_empty() { Some(0) } else { known(&self.tenants, request.tenant) };
        let tenant = tenant.ok_or("X-Customer names no known customer")?;
        let digits = request.deadline.bytes().all(|b| b.is_ascii_digit());
        let deadline: Option<u32> = request.deadline.parse().ok().filter(|&ms| ms > 0 && digits);
        let deadline = deadline.ok_or("X-Expires-In-Ms is missing or not a positive whole number")?;
        let json: Json = serde_json::from_slice(&request.body).map_err(|_| "the body is not JSON")?;
        let list = json["segments"].as_array().filter(|list| !list.is_empty());
        let mut segments: Vec<Segment> = Vec::new();
        for segment in list.ok_or("segments is missing or not a list of parts")? {
            let shard = segment["segment"].as_u64().filter(|&s| s < self.shards as u64);
            let shard = shard.ok_or("a segment's number names no known shard")? as usize;
            if segments.iter().any(|s| s.0 == shard) {
                return Err("a segment is named twice");
            }
            let boost = segment["boost"].as_f64().filter(|b| (0.0..=1.0).contains(b));
            let boost = boost.ok_or("a segment's boost is missing or not a share")?;
            let work = match &segment["work"] {
                Json::Null => 0,
                work => {
                    work.as_f64().filter(|w| *w >= 0.0).ok_or("a segment's work is not a time")? as Micros
                }
            };
            segments.push((shard, boost, work));
        }
        let shares: f64 = segments.iter().map(|segment| segment.1).sum();
        if (shares - 1.0).abs() > ROUNDING {
            return Err("the segments' boosts do not add up to 1");
        }
        let text = json["text"].as_str().ok_or("text is missing or not a text")?.to_string();
        Ok(Query { class, tenant, deadline: Micros::from(deadline) * 1000, segments, text })
    }
}
