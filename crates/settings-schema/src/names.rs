//! The deployments' names for settings, phases and load figures, and ours. Paths with `#` stand for a place
//! in a list.

#[cfg(test)]
mod tests;

use balancer::{EndpointState, LoadMetric, Micros, Settings, Value};
use serde_json::Value as Json;

const SETTINGS: &[(&str, &str)] = &[
    ("ceilings.cancelling", "limits.cancellation"),
    ("ceilings.connectTimeoutNs", "limits.connect_timeout_us"),
    ("ceilings.cpuUsPerRequest", "limits.cpu_us_per_query"),
    ("ceilings.cpuUsPerS", "limits.cpu_us_per_s"),
    ("ceilings.idleCloseNs", "limits.idle_timeout_us"),
    ("ceilings.maxAttempts", "limits.max_attempts"),
    ("ceilings.maxRetryAfterNs", "limits.max_retry_after_us"),
    ("ceilings.maxStreams", "limits.max_requests_per_connection"),
    ("ceilings.openCap", "limits.max_in_flight"),
    ("ceilings.parallelTries", "limits.hedging"),
    ("ceilings.peers", "limits.peers"),
    ("ceilings.probes", "limits.health_checks"),
    ("ceilings.retryAfter", "limits.retry_after"),
    ("clients.marksRetry", "clients.mark_retries"),
    ("countedBy", "priority_by"),
    ("familyInfo.bundleMax", "batch.max_shard_requests"),
    ("familyInfo.callNs", "batch.work_us"),
    ("familyInfo.floorByClass.#", "class.#.completeness_minimum"),
    ("familyInfo.incompleteWorth.#", "class.#.partial_value"),
    ("familyInfo.needByClass.#", "class.#.completeness_required"),
    ("familyInfo.secondStep.#", "class.#.second_step"),
    ("familyInfo.sets", "shards.replica_sets"),
    ("familyInfo.shards", "shards.count"),
    ("familyInfo.warmKeys", "shards.warm_keys"),
    ("familyInfo.width", "shards.replica_sets_per_shard"),
    ("instances", "routers"),
    ("kinds.#", "kind.#.name"),
    ("layers.#", "layer.#.name"),
    ("obligations.answerSlackNs", "rules.answer_slack_us"),
    ("obligations.askWithinNs", "rules.poll_within_us"),
    ("obligations.budgetShare", "rules.retry_share"),
    ("obligations.coldFrom", "rules.cold_capacity_share"),
    ("obligations.drainGraceNs", "rules.drain_grace_us"),
    ("obligations.extraWindowNs", "rules.retry_window_us"),
    ("obligations.freeResends", "rules.free_retries"),
    ("obligations.tipAfterNs", "rules.cold_overload_window_us"),
    ("obligations.tipMultiple", "rules.cold_overload_multiple"),
    ("obligations.warmUpNs", "rules.warm_up_us"),
    ("overShareWorth", "over_quota_priority_weight"),
    ("prices.connection", "price.connection"),
    ("prices.crossZone", "price.cross_zone"),
    ("prices.fleet", "price.fleet"),
    ("prices.handshake", "price.handshake"),
    ("prices.lateFail", "price.late_failure"),
    ("prices.moves", "price.moves"),
    ("prices.origin", "price.origin"),
    ("prices.peer", "price.peer"),
    ("prices.probe", "price.health_check"),
    ("prices.registryMode", "price.discovery"),
    ("prices.waste", "price.waste"),
    ("registryMode", "discovery.mode"),
    ("report.columns.#", "load_report.#.name"),
    ("report.how", "load_report.transport"),
    ("scoringMix.whole", "weight.total"),
    ("scoringMix.worstClass", "weight.worst_class"),
    ("scoringMix.worstTenant", "weight.worst_tenant"),
    ("scoringMix.worstWindow", "weight.worst_window"),
    ("serviceType", "service_type"),
    ("services.#.aimStretch", "class.#.latency_objective_stretch"),
    ("services.#.deadlineNs", "class.#.deadline_us"),
    ("services.#.dedupWindowNs", "class.#.idempotency_window_us"),
    ("services.#.group", "class.#.idempotency_group"),
    ("services.#.idempotency", "class.#.idempotency"),
    ("services.#.lateShare", "class.#.late_value"),
    ("services.#.name", "class.#.name"),
    ("services.#.streamed", "class.#.streamed"),
    ("services.#.targetNs", "class.#.latency_objective_us"),
    ("services.#.worth", "class.#.priority_weight"),
    ("slotNo", "router"),
    ("tenants.#.fraction", "tenant.#.share"),
    ("tenants.#.name", "tenant.#.name"),
    ("tenants.#.quotaRps", "tenant.#.quota_per_s"),
    ("tickNs", "decision_interval_us"),
    ("tier", "tier"),
    ("weights", "discovery.weights"),
    ("zone", "zone"),
    ("zones.#", "zone.#.name"),
];

const WORDS: &[(&str, &str)] = &[
    ("read_like", "idempotent"),
    ("request", "query"),
    ("piggyback", "responses"),
    ("pull", "health_checks"),
    ("silent", "none"),
    ("push", "pushed"),
    ("ask", "polled"),
    ("active", "in_flight"),
    ("inflight", "in_flight"),
    ("waiting", "queued"),
    ("queue", "queued"),
    ("cpu", "busy"),
    ("util", "busy"),
    ("avg_ms", "service_ms"),
    ("latency_ms", "service_ms"),
    ("rps", "finished_per_s"),
    ("qps", "finished_per_s"),
    ("err_rps", "errors_per_s"),
    ("eps", "errors_per_s"),
];

fn ours(word: &str) -> &str {
    WORDS.iter().find(|w| w.0 == word).map_or(word, |w| w.1)
}

fn leaf(path: &str, places: &[String], value: Value, to: &mut Settings) {
    if let Ok(at) = SETTINGS.binary_search_by(|s| s.0.cmp(path)) {
        let mut name = SETTINGS[at].1.to_string();
        for place in places {
            name = name.replacen('#', place, 1);
        }
        to.set(&name, value);
    }
}

fn walk(json: &Json, path: &str, places: &mut Vec<String>, to: &mut Settings) {
    let below = |step: &str| if path.is_empty() { step.to_string() } else { format!("{path}.{step}") };
    match json {
        Json::Object(map) => map.iter().for_each(|(key, value)| walk(value, &below(key), places, to)),
        Json::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                places.push(i.to_string());
                walk(item, &below("#"), places, to);
                places.pop();
            }
        }
        Json::Bool(b) => leaf(path, places, Value::Flag(*b), to),
        Json::String(s) => {
            let word = if path.ends_with("name") { s } else { ours(s) };
            leaf(path, places, Value::Text(word.to_string()), to)
        }
        Json::Number(n) => {
            let n = n.as_f64().unwrap_or(0.0);
            let n = if path.ends_with("Ns") { (n / 1000.0).floor() } else { n };
            leaf(path, places, Value::Number(n), to)
        }
        Json::Null => {}
    }
}

/// A deployment's settings under our names, times in microseconds; what is unknown is left out.
pub fn settings(json: &Json) -> Result<Settings, String> {
    if !json.is_object() {
        return Err("it is not an object".to_string());
    }
    let mut to = Settings::default();
    walk(json, "", &mut Vec::new(), &mut to);
    Ok(to)
}

/// The state of an endpoint by the platform's code.
pub fn endpoint_state(code: &str) -> Option<EndpointState> {
    Some(match code {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Removed,
        _ => return None,
    })
}

/// One entry of an endpoint list in the platform's form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry<'a> {
    /// The node's id.
    pub id: &'a str,
    /// Its address with port, as text; empty if absent.
    pub address: &'a str,
    /// The name of its zone; empty if absent.
    pub zone: &'a str,
    /// Index of the replica set that it belongs to.
    pub replica_set: usize,
    /// Whether it may be used.
    pub state: EndpointState,
    /// Its size relative to others, 1 if absent.
    pub scale: f64,
    /// When its process started, in microseconds; 0 if absent.
    pub started_at: Micros,
}

impl<'a> EndpointEntry<'a> {
    /// Reads an entry; `None` if its id, replica set or state is missing or malformed.
    pub fn parse(entry: &'a Json) -> Option<Self> {
        let text = |name: &str| entry[name].as_str().unwrap_or("");
        let id = Some(text("id")).filter(|id| !id.is_empty())?;
        let started_at_ms = entry["up_since_ms"].as_i64().unwrap_or(0);
        Some(EndpointEntry {
            id,
            address: text("host_port"),
            zone: text("locality"),
            replica_set: entry["cell"].as_u64()? as usize,
            state: endpoint_state(text("phase"))?,
            scale: entry["size"].as_f64().unwrap_or(1.0),
            started_at: started_at_ms.saturating_mul(1000),
        })
    }
}

/// A load report's pairs under our names; `mark` stands between name and figure.
pub fn load(text: &str, mark: char) -> Option<Vec<LoadMetric<'_>>> {
    text.split(',')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            let (name, value) = pair.split_once(mark)?;
            let value = value.parse().ok().filter(|v: &f64| v.is_finite())?;
            Some(LoadMetric { name: ours(name), value })
        })
        .collect()
}
