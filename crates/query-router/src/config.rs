//! The configuration that the platform hands to a router at its start.

mod error;

#[cfg(test)]
mod tests;

pub use error::{ConfigError, ConfigFileError, ExpectedType};

use balancer::{ClassSettings, Idempotency, Settings};
use serde_json::Value as Json;
use settings_schema::StatedSettings;
use std::net::SocketAddr;

/// The bytes of a mebibyte, in which `limits.memory_mb` is stated.
const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;

/// What a router needs to know at its start.
#[derive(Debug)]
pub struct Config {
    /// The name of the router, for the log.
    pub name: String,
    /// Where to listen for clients.
    pub listen: SocketAddr,
    /// Where to ask for the endpoint list.
    pub discovery: SocketAddr,
    /// The seed of all random draws.
    pub seed: u64,
    /// The most file descriptors that the process may hold.
    pub max_sockets: usize,
    /// The most memory that the process may take, in bytes, if it is limited.
    pub max_memory_bytes: Option<usize>,
    /// The endpoint list that was last known, in discovery's form.
    pub cached_endpoints: Json,
    /// The settings of the deployment.
    pub settings: Settings,
    /// The same as the file states them, with those that no code reads: a change of any needs a restart.
    pub stated_settings: StatedSettings,
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// A [`ConfigFileError`] if the file cannot be read, or if the router cannot serve with it.
    pub fn read(path: &str) -> Result<Config, ConfigFileError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigFileError::Unreadable { path: path.to_string(), source })?;
        Config::parse(&text).map_err(|source| ConfigFileError::Invalid { path: path.to_string(), source })
    }

    /// Reads a configuration from its text.
    ///
    /// # Errors
    ///
    /// The [`ConfigError`] of the first field that the router cannot serve with.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let json: Json = serde_json::from_str(text).map_err(ConfigError::NotJson)?;
        let fields = Fields(&json);
        let settings = fields.required("settings")?;
        let stated_settings = StatedSettings::parse(settings)?;
        let seed = fields.text("seed")?;
        let cached_endpoints = fields.cached_endpoints()?;
        fields.required("limits/sockets")?;
        let config = Config {
            max_memory_bytes: fields.max_memory_bytes()?,
            name: fields.text("name")?.to_string(),
            listen: fields.address("listen")?,
            discovery: fields.address("discovery")?,
            seed: parse_seed(seed)?,
            max_sockets: fields.count("limits/sockets")?,
            cached_endpoints,
            settings: stated_settings.to_settings(),
            stated_settings,
        };
        config.check_settings()?;
        Ok(config)
    }

    /// The fields that differ in a newer configuration and take effect at the next start only.
    pub fn fields_needing_restart(&self, newer: &Config) -> Vec<&'static str> {
        let limits = |config: &Config| (config.max_sockets, config.max_memory_bytes);
        let unchanged = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("limits", limits(self) == limits(newer)),
            ("settings", self.stated_settings == newer.stated_settings),
        ];
        unchanged.into_iter().filter(|(_, same)| !same).map(|(field, _)| field).collect()
    }

    /// Says which setting the router cannot serve with.
    fn check_settings(&self) -> Result<(), ConfigError> {
        if self.settings.named_classes().next().is_none() {
            return Err(ConfigError::NoServiceClass);
        }
        self.settings.named_classes().try_for_each(check_service_class)?;
        let too_small = required_settings(&self.settings).into_iter().find(|(_, is_positive)| !is_positive);
        match too_small {
            Some((field, _)) => Err(ConfigError::SettingTooSmall { field }),
            None => Ok(()),
        }
    }
}

/// Says why queries of a service class cannot be served.
fn check_service_class(class: &ClassSettings) -> Result<(), ConfigError> {
    let name = || class.name.clone();
    if class.deadline <= 0 {
        return Err(ConfigError::InvalidDeadline { class: name() });
    }
    // Without the client's key a node cannot recognize a repeated request, and the protocol has no field for
    // it.
    if class.idempotency == Idempotency::Keyed {
        return Err(ConfigError::UnsupportedIdempotencyKey { class: name() });
    }
    if class.second_step {
        return Err(ConfigError::UnsupportedSecondStep { class: name() });
    }
    Ok(())
}

/// The settings that must be at least 1, by their path in the file, and whether they are.
fn required_settings(settings: &Settings) -> [(&'static str, bool); 7] {
    let Settings { shards, batch, limits, .. } = settings;
    let is_positive = |count: Option<usize>| count.is_some_and(|count| count >= 1);
    [
        ("familyInfo.sets", is_positive(shards.replica_sets)),
        ("familyInfo.shards", is_positive(shards.count)),
        ("familyInfo.width", is_positive(shards.replica_sets_per_shard)),
        ("familyInfo.bundleMax", is_positive(batch.max_shard_requests)),
        ("ceilings.maxStreams", limits.max_requests_per_connection >= 1),
        ("ceilings.connectTimeoutNs", limits.connect_timeout.is_some_and(|timeout| timeout >= 1)),
        ("ceilings.idleCloseNs", limits.idle_timeout >= 1),
    ]
}

/// Typed access to the fields of a configuration by their path.
struct Fields<'a>(&'a Json);

impl<'a> Fields<'a> {
    /// A field, unless it is absent or null.
    fn optional(&self, field: &str) -> Option<&'a Json> {
        self.0.pointer(&format!("/{field}")).filter(|value| !value.is_null())
    }

    fn required(&self, field: &'static str) -> Result<&'a Json, ConfigError> {
        self.optional(field).ok_or(ConfigError::Missing { field })
    }

    fn text(&self, field: &'static str) -> Result<&'a str, ConfigError> {
        let value = self.required(field)?;
        value.as_str().ok_or_else(|| wrong_type(field, value, ExpectedType::Text))
    }

    fn count(&self, field: &'static str) -> Result<usize, ConfigError> {
        let value = self.required(field)?;
        let count =
            value.as_u64().ok_or_else(|| wrong_type(field, value, ExpectedType::NonNegativeInteger))?;
        Ok(count as usize)
    }

    fn address(&self, field: &'static str) -> Result<SocketAddr, ConfigError> {
        let value = self.text(field)?;
        value.parse().map_err(|source| ConfigError::InvalidAddress {
            field,
            value: value.to_string(),
            source,
        })
    }

    fn cached_endpoints(&self) -> Result<Json, ConfigError> {
        let list = self.required("known")?;
        let members = &list["members"];
        if !members.is_array() {
            return Err(wrong_type("known.members", members, ExpectedType::List));
        }
        Ok(list.clone())
    }

    fn max_memory_bytes(&self) -> Result<Option<usize>, ConfigError> {
        const FIELD: &str = "limits/memory_mb";
        let Some(value) = self.optional(FIELD) else { return Ok(None) };
        let mebibytes = value.as_f64().filter(|&mebibytes| mebibytes > 0.0);
        let mebibytes = mebibytes.ok_or_else(|| wrong_type(FIELD, value, ExpectedType::PositiveNumber))?;
        Ok(Some((mebibytes * BYTES_PER_MEBIBYTE) as usize))
    }
}

fn wrong_type(field: &'static str, value: &Json, expected: ExpectedType) -> ConfigError {
    ConfigError::WrongType { field, value: value.clone(), expected }
}

fn parse_seed(value: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(value, 16)
        .map_err(|source| ConfigError::InvalidSeed { value: value.to_string(), source })
}
