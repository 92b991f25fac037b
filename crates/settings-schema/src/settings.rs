//! Translates the platform's settings, a JSON object, to the balancer's map of names and values.
//!
//! The path of a setting is made of the object keys that lead to it, joined by dots; `#` stands for an index
//! in an array, in the platform's paths and in the balancer's names alike.

#[cfg(test)]
mod tests;

use crate::terms;
use balancer::{Settings, Value};
use serde_json::Value as Json;

const NANOSECONDS_PER_MICROSECOND: f64 = 1000.0;

/// Paths that end with this hold times in nanoseconds.
const NANOSECONDS_SUFFIX: &str = "Ns";

/// Paths that end with this hold a name chosen by the platform, which is kept as it is.
const NAME_SUFFIX: &str = "name";

/// The platform's path of each setting and the name that the balancer reads it by, sorted by path.
const SETTING_NAMES: &[(&str, &str)] = &[
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

/// Why the platform's settings cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The JSON value is an array or a scalar.
    #[error("it is not an object")]
    NotAnObject,
}

/// Translates the platform's settings; times become whole microseconds. Unknown settings are ignored.
pub fn parse_settings(json: &Json) -> Result<Settings, SettingsError> {
    if !json.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    let mut reader = SettingsReader::default();
    reader.read(json, "");
    Ok(reader.settings)
}

/// Walks the platform's settings and collects those that are known.
#[derive(Default)]
struct SettingsReader {
    settings: Settings,
    /// The indices of the arrays that enclose the current value, outermost first.
    indices: Vec<usize>,
}

impl SettingsReader {
    fn read(&mut self, json: &Json, path: &str) {
        match json {
            Json::Object(members) => {
                for (key, value) in members {
                    self.read(value, &join(path, key));
                }
            }
            Json::Array(items) => {
                let item_path = join(path, "#");
                for (index, item) in items.iter().enumerate() {
                    self.indices.push(index);
                    self.read(item, &item_path);
                    self.indices.pop();
                }
            }
            Json::Bool(flag) => self.set(path, Value::Flag(*flag)),
            Json::String(text) => self.set(path, text_value(path, text)),
            Json::Number(number) => self.set(path, number_value(path, number)),
            Json::Null => {}
        }
    }

    fn set(&mut self, path: &str, value: Value) {
        let Ok(position) = SETTING_NAMES.binary_search_by(|(known, _)| (*known).cmp(path)) else { return };
        let mut name = SETTING_NAMES[position].1.to_string();
        for index in &self.indices {
            name = name.replacen('#', &index.to_string(), 1);
        }
        self.settings.set(&name, value);
    }
}

fn join(path: &str, step: &str) -> String {
    if path.is_empty() { step.to_string() } else { format!("{path}.{step}") }
}

fn text_value(path: &str, text: &str) -> Value {
    let text = if path.ends_with(NAME_SUFFIX) { text } else { terms::translate(text) };
    Value::Text(text.to_string())
}

fn number_value(path: &str, number: &serde_json::Number) -> Value {
    let number = number.as_f64().unwrap_or(0.0);
    if path.ends_with(NANOSECONDS_SUFFIX) {
        return Value::Number((number / NANOSECONDS_PER_MICROSECOND).floor());
    }
    Value::Number(number)
}
