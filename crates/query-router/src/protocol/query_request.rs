//! Parser of a client's query. The headers and the body are validated before the query is passed to the balancer.

#[cfg(test)]
mod tests;

use crate::protocol::http::Request;
use balancer::Micros;
use serde_json::Value as Json;

/// Maximum difference between the sum of the weights of a query and 1.
const WEIGHT_TOLERANCE: f64 = 0.01;
/// Maximum length of `X-Trace-Id` in bytes.
const MAX_TRACE_ID_BYTES: usize = 128;

/// One shard of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestedShard {
    /// The index of the shard.
    pub shard: usize,
    /// The weight of the shard in the completeness of the answer, from 0 to 1.
    pub weight: f64,
    /// The estimated work of the shard request in microseconds; 0 if the client states none.
    pub work: Micros,
}

/// A validated query, with names resolved to indices.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// The index of the service class.
    pub class: usize,
    /// The index of the tenant; 0 if no tenants are configured.
    pub tenant: usize,
    /// The deadline, in microseconds from the arrival of the query.
    pub deadline: Micros,
    /// The requested shards, without duplicates.
    pub shards: Vec<RequestedShard>,
    /// The query text, which is sent to every shard.
    pub text: String,
}

/// A field of a query is missing or invalid. The error text is the body of the response to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryRequestError {
    /// `X-Trace-Id` is missing, too long, or contains a space or a character other than printable ASCII.
    #[error("X-Trace-Id must have 1 to 128 printable ASCII characters without spaces")]
    InvalidTraceId,
    /// `X-Qos` is missing or not the name of a configured service class.
    #[error("X-Qos is missing or not a configured service class")]
    UnknownServiceClass,
    /// `X-Customer` is missing or not the name of a configured tenant.
    #[error("X-Customer is missing or not a configured tenant")]
    UnknownTenant,
    /// `X-Expires-In-Ms` is missing or not a positive 32-bit integer.
    #[error("X-Expires-In-Ms is missing or not a positive 32-bit integer")]
    InvalidDeadline,
    /// The body is not JSON.
    #[error("the body is not valid JSON")]
    NotJson,
    /// `segments` is missing, empty or not an array.
    #[error("'segments' is missing, empty or not an array")]
    InvalidSegments,
    /// A `segment` is missing or not the index of a configured shard.
    #[error("a 'segment' is missing or not the index of a configured shard")]
    UnknownShard,
    /// A shard is requested more than once.
    #[error("'segments' contains a shard twice")]
    DuplicateShard,
    /// A `boost` is missing or not a number from 0 to 1.
    #[error("a 'boost' is missing or not a number from 0 to 1")]
    InvalidWeight,
    /// A `work` is neither absent nor a non-negative number.
    #[error("a 'work' is negative or not a number")]
    InvalidWork,
    /// The weights do not add up to 1.
    #[error("the values of 'boost' do not add up to 1")]
    InvalidTotalWeight,
    /// `text` is missing or not a string.
    #[error("'text' is missing or not a string")]
    InvalidText,
}

/// Parses queries and validates them against the configured names and the number of shards.
#[derive(Debug, Default)]
pub struct QueryParser {
    /// The names of the service classes, in the order of their indices.
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of their indices. If empty, `X-Customer` is ignored.
    pub tenants: Vec<String>,
    /// The number of configured shards.
    pub shards: usize,
}

impl QueryParser {
    /// Parses and validates the query in a request.
    ///
    /// # Errors
    ///
    /// Returns the [`QueryRequestError`] of the first missing or invalid field.
    pub fn parse(&self, request: &Request) -> Result<QueryRequest, QueryRequestError> {
        check_trace_id(request.trace_id)?;
        let class = index_of(&self.classes, request.service_class);
        let class = class.ok_or(QueryRequestError::UnknownServiceClass)?;
        let tenant = if self.tenants.is_empty() { Some(0) } else { index_of(&self.tenants, request.tenant) };
        let tenant = tenant.ok_or(QueryRequestError::UnknownTenant)?;
        let deadline = parse_deadline(request.expires_in_ms)?;
        let body: Json = serde_json::from_slice(&request.body).map_err(|_| QueryRequestError::NotJson)?;
        let shards = self.parse_shards(&body["segments"])?;
        let text = body["text"].as_str().ok_or(QueryRequestError::InvalidText)?.to_string();
        Ok(QueryRequest { class, tenant, deadline, shards, text })
    }

    fn parse_shards(&self, segments: &Json) -> Result<Vec<RequestedShard>, QueryRequestError> {
        let segments = segments.as_array().filter(|segments| !segments.is_empty());
        let mut shards: Vec<RequestedShard> = Vec::new();
        for segment in segments.ok_or(QueryRequestError::InvalidSegments)? {
            let shard = self.parse_shard_index(&segment["segment"])?;
            if shards.iter().any(|earlier| earlier.shard == shard) {
                return Err(QueryRequestError::DuplicateShard);
            }
            let weight = parse_weight(&segment["boost"])?;
            let work = parse_work(&segment["work"])?;
            shards.push(RequestedShard { shard, weight, work });
        }
        let total_weight: f64 = shards.iter().map(|shard| shard.weight).sum();
        if (total_weight - 1.0).abs() > WEIGHT_TOLERANCE {
            return Err(QueryRequestError::InvalidTotalWeight);
        }
        Ok(shards)
    }

    fn parse_shard_index(&self, value: &Json) -> Result<usize, QueryRequestError> {
        let index = value.as_u64().filter(|&index| index < self.shards as u64);
        Ok(index.ok_or(QueryRequestError::UnknownShard)? as usize)
    }
}

fn check_trace_id(id: &str) -> Result<(), QueryRequestError> {
    let is_word = id.bytes().all(|byte| byte.is_ascii_graphic());
    if id.is_empty() || id.len() > MAX_TRACE_ID_BYTES || !is_word {
        return Err(QueryRequestError::InvalidTraceId);
    }
    Ok(())
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Parses a positive number of milliseconds, in decimal digits without a sign. Returns it in microseconds.
fn parse_deadline(text: &str) -> Result<Micros, QueryRequestError> {
    let only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let milliseconds: Option<u32> = text.parse().ok().filter(|&ms| ms > 0 && only_digits);
    Ok(Micros::from(milliseconds.ok_or(QueryRequestError::InvalidDeadline)?) * 1000)
}

fn parse_weight(value: &Json) -> Result<f64, QueryRequestError> {
    let weight = value.as_f64().filter(|weight| (0.0..=1.0).contains(weight));
    weight.ok_or(QueryRequestError::InvalidWeight)
}

fn parse_work(value: &Json) -> Result<Micros, QueryRequestError> {
    if value.is_null() {
        return Ok(0);
    }
    let work = value.as_f64().filter(|&work| work >= 0.0);
    Ok(work.ok_or(QueryRequestError::InvalidWork)? as Micros)
}
