//! Translates the platform's settings, a JSON object, to the balancer's typed settings.
//!
//! The path of a setting consists of the object keys and array indices that lead to it, joined by dots. In the
//! table of known paths, `#` stands for any array index.

#[cfg(test)]
mod tests;

use crate::terms;
use balancer::{
    BatchSettings, ClassSettings, DiscoveryMode, Idempotency, LimitSettings, Micros, RuleSettings, Settings,
    ShardSettings, TenantSettings,
};
use serde_json::Value as Json;
use std::collections::BTreeMap;

const NANOSECONDS_PER_MICROSECOND: f64 = 1000.0;

/// Suffix of the paths of times in nanoseconds.
const NANOSECONDS_SUFFIX: &str = "Ns";

/// Suffix of the paths of names that the platform chooses freely; they are not translated.
const NAME_SUFFIX: &str = "name";

/// Paths of the lists whose entries belong to the service class of the same index.
const CLASS_LISTS: [&str; 5] = [
    "services",
    "familyInfo.floorByClass",
    "familyInfo.incompleteWorth",
    "familyInfo.needByClass",
    "familyInfo.secondStep",
];

/// The paths of the known settings, sorted for binary search. Some are not used by any code, but
/// [`StatedSettings`] includes them, so that a change of their values is detected.
const KNOWN_PATHS: &[&str] = &[
    "ceilings.cancelling",
    "ceilings.connectTimeoutNs",
    "ceilings.cpuUsPerRequest",
    "ceilings.cpuUsPerS",
    "ceilings.idleCloseNs",
    "ceilings.maxAttempts",
    "ceilings.maxRetryAfterNs",
    "ceilings.maxStreams",
    "ceilings.openCap",
    "ceilings.parallelTries",
    "ceilings.peers",
    "ceilings.probes",
    "ceilings.retryAfter",
    "clients.marksRetry",
    "countedBy",
    "familyInfo.bundleMax",
    "familyInfo.callNs",
    "familyInfo.floorByClass.#",
    "familyInfo.incompleteWorth.#",
    "familyInfo.needByClass.#",
    "familyInfo.secondStep.#",
    "familyInfo.sets",
    "familyInfo.shards",
    "familyInfo.warmKeys",
    "familyInfo.width",
    "instances",
    "kinds.#",
    "layers.#",
    "obligations.answerSlackNs",
    "obligations.askWithinNs",
    "obligations.budgetShare",
    "obligations.coldFrom",
    "obligations.drainGraceNs",
    "obligations.extraWindowNs",
    "obligations.freeResends",
    "obligations.tipAfterNs",
    "obligations.tipMultiple",
    "obligations.warmUpNs",
    "overShareWorth",
    "prices.connection",
    "prices.crossZone",
    "prices.fleet",
    "prices.handshake",
    "prices.lateFail",
    "prices.moves",
    "prices.origin",
    "prices.peer",
    "prices.probe",
    "prices.registryMode",
    "prices.waste",
    "registryMode",
    "report.columns.#",
    "report.how",
    "scoringMix.whole",
    "scoringMix.worstClass",
    "scoringMix.worstTenant",
    "scoringMix.worstWindow",
    "serviceType",
    "services.#.aimStretch",
    "services.#.deadlineNs",
    "services.#.dedupWindowNs",
    "services.#.group",
    "services.#.idempotency",
    "services.#.lateShare",
    "services.#.name",
    "services.#.streamed",
    "services.#.targetNs",
    "services.#.worth",
    "slotNo",
    "tenants.#.fraction",
    "tenants.#.name",
    "tenants.#.quotaRps",
    "tickNs",
    "tier",
    "weights",
    "zone",
    "zones.#",
];

/// Error in reading the platform's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The JSON value is an array or a scalar.
    #[error("expected a JSON object")]
    NotAnObject,
}

/// Translates the platform's settings. Times are rounded down to whole microseconds. Unknown settings are
/// ignored, and a value of an unexpected type counts as absent.
///
/// # Errors
///
/// [`SettingsError::NotAnObject`] if `json` is not an object.
pub fn parse_settings(json: &Json) -> Result<Settings, SettingsError> {
    Ok(StatedSettings::parse(json)?.to_settings())
}

/// Value of one setting. A time is a `Number` of whole microseconds.
#[derive(Clone, Debug, PartialEq)]
enum Value {
    Number(f64),
    Flag(bool),
    Text(String),
}

/// The known settings that are present in the platform's settings, by path with array indices. Includes known
/// settings that no code uses, so comparing two values detects changes of those too.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatedSettings(BTreeMap<String, Value>);

impl StatedSettings {
    /// Collects the known settings from the platform's settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError::NotAnObject`] if `json` is not an object.
    pub fn parse(json: &Json) -> Result<StatedSettings, SettingsError> {
        if !json.is_object() {
            return Err(SettingsError::NotAnObject);
        }
        let mut reader = SettingsReader::default();
        reader.read(json, "");
        Ok(reader.settings)
    }

    /// Converts the settings that the balancer uses to typed values; absent ones get their defaults.
    pub fn to_settings(&self) -> Settings {
        Settings {
            zones: self.zones(),
            zone: self.count("zone").unwrap_or(0),
            routers: self.number("instances").unwrap_or(1.0).max(1.0),
            decision_interval: self.micros("tickNs").unwrap_or(0),
            priority_by_work: self.text("countedBy") == "work",
            classes: self.classes(),
            tenants: self.tenants(),
            shards: self.shards(),
            batch: self.batch(),
            limits: self.limits(),
            rules: self.rules(),
            discovery_mode: match self.text("registryMode") {
                "polled" => DiscoveryMode::Polled,
                _ => DiscoveryMode::Pushed,
            },
            load_by_health_checks: self.text("report.how") == "health_checks",
        }
    }

    /// The names of the zones, up to the first entry that is absent or empty.
    fn zones(&self) -> Vec<String> {
        let name = |index: usize| self.text(&format!("zones.{index}")).to_string();
        (0..).map(name).take_while(|name| !name.is_empty()).collect()
    }

    fn classes(&self) -> Vec<ClassSettings> {
        let count = CLASS_LISTS.iter().map(|list| self.list_length(list)).max().unwrap_or(0);
        (0..count).map(|index| self.class(index)).collect()
    }

    fn class(&self, index: usize) -> ClassSettings {
        let defaults = ClassSettings::default();
        let service = |key: &str| format!("services.{index}.{key}");
        let by_class = |list: &str| self.number(&format!("familyInfo.{list}.{index}"));
        ClassSettings {
            name: self.text(&service("name")).to_string(),
            idempotency: match self.text(&service("idempotency")) {
                "idempotent" => Idempotency::Idempotent,
                "idempotency_key" => Idempotency::Keyed,
                _ => Idempotency::NonIdempotent,
            },
            idempotency_window: self.micros(&service("dedupWindowNs")).unwrap_or(defaults.idempotency_window),
            latency_objective: self.micros(&service("targetNs")),
            latency_objective_stretch: self
                .number(&service("aimStretch"))
                .unwrap_or(defaults.latency_objective_stretch),
            deadline: self.micros(&service("deadlineNs")).unwrap_or(defaults.deadline),
            late_value: self.number(&service("lateShare")).unwrap_or(defaults.late_value),
            partial_value: by_class("incompleteWorth").unwrap_or(defaults.partial_value),
            completeness_required: by_class("needByClass").unwrap_or(defaults.completeness_required),
            completeness_minimum: by_class("floorByClass").unwrap_or(defaults.completeness_minimum),
            priority_weight: self.number(&service("worth")).unwrap_or(defaults.priority_weight),
            second_step: by_class("secondStep").is_some_and(|steps| steps >= 1.0),
        }
    }

    fn tenants(&self) -> Vec<TenantSettings> {
        let tenant = |index: usize| TenantSettings {
            name: self.text(&format!("tenants.{index}.name")).to_string(),
            quota_per_second: self.number(&format!("tenants.{index}.quotaRps")),
        };
        (0..self.list_length("tenants")).map(tenant).collect()
    }

    fn shards(&self) -> ShardSettings {
        ShardSettings {
            count: self.count("familyInfo.shards"),
            replica_sets: self.count("familyInfo.sets"),
            replica_sets_per_shard: self.count("familyInfo.width"),
        }
    }

    fn batch(&self) -> BatchSettings {
        BatchSettings {
            max_shard_requests: self.count("familyInfo.bundleMax"),
            work: self.micros("familyInfo.callNs").unwrap_or(0),
        }
    }

    fn limits(&self) -> LimitSettings {
        LimitSettings {
            max_attempts: self.count("ceilings.maxAttempts"),
            hedging: self.flag("ceilings.parallelTries"),
            cancellation: self.flag("ceilings.cancelling"),
            retry_after: self.flag("ceilings.retryAfter"),
            max_retry_after: self.micros("ceilings.maxRetryAfterNs").unwrap_or(0),
            connect_timeout: self.micros("ceilings.connectTimeoutNs"),
            idle_timeout: self.micros("ceilings.idleCloseNs").unwrap_or(0),
            max_requests_per_connection: self.count("ceilings.maxStreams").unwrap_or(0),
            max_in_flight: self.count("ceilings.openCap"),
        }
    }

    fn rules(&self) -> RuleSettings {
        let defaults = RuleSettings::default();
        let number = |path, default| self.number(path).unwrap_or(default);
        let micros = |path| self.micros(path).unwrap_or(0);
        RuleSettings {
            poll_within: micros("obligations.askWithinNs"),
            drain_grace: micros("obligations.drainGraceNs"),
            retry_window: micros("obligations.extraWindowNs"),
            retry_share: self.number("obligations.budgetShare"),
            free_retries: number("obligations.freeResends", defaults.free_retries),
            cold_overload_window: micros("obligations.tipAfterNs"),
            cold_overload_multiple: number("obligations.tipMultiple", defaults.cold_overload_multiple),
            cold_capacity_share: number("obligations.coldFrom", defaults.cold_capacity_share),
            warm_up: micros("obligations.warmUpNs"),
        }
    }

    /// Returns the length of a list, counted up to the last entry with a known setting.
    fn list_length(&self, list: &str) -> usize {
        let index = |path: &String| {
            let rest = path.strip_prefix(list)?.strip_prefix('.')?;
            rest.split('.').next()?.parse::<usize>().ok()
        };
        self.0.keys().filter_map(index).map(|index| index + 1).max().unwrap_or(0)
    }

    fn number(&self, path: &str) -> Option<f64> {
        match self.0.get(path) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Returns a number rounded towards 0; a negative number counts as 0.
    fn count(&self, path: &str) -> Option<usize> {
        self.number(path).map(|number| number as usize)
    }

    fn micros(&self, path: &str) -> Option<Micros> {
        self.number(path).map(|number| number as Micros)
    }

    /// Returns a flag; `false` if absent.
    fn flag(&self, path: &str) -> bool {
        self.0.get(path) == Some(&Value::Flag(true))
    }

    /// Returns a string; empty if absent.
    fn text(&self, path: &str) -> &str {
        match self.0.get(path) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }
}

/// Traverses the platform's settings and collects the known ones.
#[derive(Default)]
struct SettingsReader {
    settings: StatedSettings,
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
        if KNOWN_PATHS.binary_search(&path).is_err() {
            return;
        }
        let mut path = path.to_string();
        for index in &self.indices {
            path = path.replacen('#', &index.to_string(), 1);
        }
        self.settings.0.insert(path, value);
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
