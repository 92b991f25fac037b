//! The configuration that the platform hands to a router at its start.

#[cfg(test)]
mod tests;

use balancer::{Micros, Settings};
use serde_json::Value as Json;
use settings_schema::parse_settings;
use std::net::SocketAddr;

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// The most file descriptors that the process may hold.
    pub sockets: usize,
    /// The most memory that it may take, in bytes, where that is stated.
    pub memory: Option<usize>,
    /// The list of data nodes as last held, in discovery's form.
    pub known: Json,
    pub settings: Settings,
}

/// The names under a numbered setting, in order.
pub fn numbered(settings: &Settings, list: &str) -> Vec<String> {
    let name = |i: usize| Some(settings.text(&format!("{list}.{i}.name"))).filter(|name| !name.is_empty());
    (0..).map_while(|i| name(i).map(str::to_string)).collect()
}

impl Config {
    pub fn read(path: &str) -> Result<Config, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        Config::parse(&text).map_err(|why| format!("{path}: {why}"))
    }

    pub fn parse(text: &str) -> Result<Config, String> {
        let json: Json = serde_json::from_str(text).map_err(|e| format!("it is not JSON: {e}"))?;
        let field = |name: &str| {
            json.pointer(name)
                .filter(|v| !v.is_null())
                .ok_or_else(|| format!("{}: it is missing", &name[1..]))
        };
        let text =
            |name: &str| field(name)?.as_str().ok_or_else(|| format!("{}: it is not a text", &name[1..]));
        let address = |name: &str| {
            let address = text(name)?;
            address.parse().map_err(|_| format!("{}: '{address}' is not an address with a port", &name[1..]))
        };
        let settings = parse_settings(field("/settings")?).map_err(|e| format!("settings: {e}"))?;
        let seed = text("/seed")?;
        let known = field("/known")?.clone();
        if !known["members"].is_array() {
            return Err("known.members: it is not a list".to_string());
        }
        let sockets = field("/limits/sockets")?;
        let memory = match field("/limits/memory_mb") {
            Ok(most) => {
                let most = most.as_f64().filter(|&mb| mb > 0.0);
                Some((most.ok_or("limits/memory_mb: it is not a positive number")? * 1_048_576.0) as usize)
            }
            Err(_) => None,
        };
        let config = Config {
            name: text("/name")?.to_string(),
            listen: address("/listen")?,
            discovery: address("/discovery")?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| format!("seed: '{seed}' is not 16 hex digits"))?,
            sockets: sockets.as_u64().ok_or("limits/sockets: it is not a whole number")? as usize,
            memory,
            known,
            settings,
        };
        config.checked()
    }

    /// The fields that differ in a newer configuration and are only heeded at a start.
    pub fn needs_restart(&self, newer: &Config) -> Vec<&'static str> {
        let same = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("limits", (self.sockets, self.memory) == (newer.sockets, newer.memory)),
            ("settings", self.settings == newer.settings),
        ];
        same.into_iter().filter(|field| !field.1).map(|field| field.0).collect()
    }

    /// Says which setting the router can't serve with.
    fn checked(self) -> Result<Config, String> {
        let settings = &self.settings;
        let classes = numbered(settings, "class");
        if classes.is_empty() {
            return Err("settings.services: no service class is named".to_string());
        }
        for (i, name) in classes.iter().enumerate() {
            if settings.number(&format!("class.{i}.deadline_us")).is_none_or(|t| t <= 0.0) {
                return Err(format!("settings.services: {name}: deadlineNs is missing or not positive"));
            }
            // Without the client's mark a node can't tell a repeat, and the protocol names no way to send it.
            if settings.text(&format!("class.{i}.idempotency")) == "idempotency_key" {
                return Err(format!("settings.services: {name}: idempotency_key is not served"));
            }
            if settings.number(&format!("class.{i}.second_step")).is_some_and(|n| n >= 1.0) {
                return Err(format!("settings.familyInfo.secondStep: {name}: second steps are not served"));
            }
        }
        for (name, theirs) in [
            ("shards.replica_sets", "familyInfo.sets"),
            ("shards.count", "familyInfo.shards"),
            ("shards.replica_sets_per_shard", "familyInfo.width"),
            ("batch.max_shard_requests", "familyInfo.bundleMax"),
            ("limits.max_requests_per_connection", "ceilings.maxStreams"),
            ("limits.connect_timeout_us", "ceilings.connectTimeoutNs"),
            ("limits.idle_timeout_us", "ceilings.idleCloseNs"),
        ] {
            if settings.number(name).is_none_or(|n| n < 1.0) {
                return Err(format!("settings.{theirs}: it is missing or under 1"));
            }
        }
        Ok(self)
    }

    pub fn micros(&self, name: &str) -> Micros {
        self.settings.number(name).unwrap_or(0.0) as Micros
    }

    pub fn whole(&self, name: &str) -> usize {
        self.settings.number(name).unwrap_or(0.0) as usize
    }
}
