//! The configuration file of a router.

mod error;

#[cfg(test)]
mod tests;

pub use error::{ConfigError, ConfigFileError, ExpectedType};

use balancer::{ClassSettings, Idempotency, Settings};
use serde_json::Value as Json;
use settings_schema::StatedSettings;
use std::net::SocketAddr;

/// Bytes per mebibyte, the unit of `limits.memory_mb`.
const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;

/// A validated configuration.
#[derive(Debug)]
pub struct Config {
    /// The name of the router in log lines.
    pub name: String,
    /// The address on which the router accepts clients; port 0 lets the system choose one.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The limit on open file descriptors of the process.
    pub max_sockets: usize,
    /// The limit that the system sets; [`usize::MAX`] if none is known.
    pub system_descriptor_limit: usize,
    /// The memory limit of the process in bytes; `None` if there is no limit.
    pub max_memory_bytes: Option<usize>,
    /// The endpoint list to use until discovery sends one, in the format of discovery.
    pub cached_endpoints: Json,
    /// The settings of the deployment.
    pub settings: Settings,
    /// The settings as written in the file, including those that the router does not use: a change of any of them
    /// requires a restart.
    pub stated_settings: StatedSettings,
}

impl Config {
    /// Reads and validates a configuration file.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigFileError`] if the file cannot be read or its content is invalid.
    pub fn read(path: &str) -> Result<Config, ConfigFileError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigFileError::Unreadable { path: path.to_string(), source })?;
        Config::parse(&text).map_err(|source| ConfigFileError::Invalid { path: path.to_string(), source })
    }

    /// Parses and validates the text of a configuration file.
    ///
    /// # Errors
    ///
    /// Returns the [`ConfigError`] of the first invalid field.
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
            system_descriptor_limit: usize::MAX,
            cached_endpoints,
            settings: stated_settings.to_settings(),
            stated_settings,
        };
        config.check_settings()?;
        Ok(config)
    }

    /// Returns how many file descriptors the process may have open.
    pub fn usable_descriptors(&self) -> usize {
        self.max_sockets.min(self.system_descriptor_limit)
    }

    /// Returns those of the fields `name`, `listen`, `limits` and `settings` that differ in `newer`: they are applied
    /// only at a restart. `discovery` is applied at a reload; `seed` and `known` matter only at the start.
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

    /// Checks that the settings contain everything that the router needs to serve queries.
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

/// Checks that the router can serve queries of a service class.
fn check_service_class(class: &ClassSettings) -> Result<(), ConfigError> {
    let name = || class.name.clone();
    if class.deadline <= 0 {
        return Err(ConfigError::InvalidDeadline { class: name() });
    }
    // A node cannot detect duplicate requests without the client's idempotency key, and the protocol has no field for
    // the key.
    if class.idempotency == Idempotency::Keyed {
        return Err(ConfigError::UnsupportedIdempotencyKey { class: name() });
    }
    if class.second_step {
        return Err(ConfigError::UnsupportedSecondStep { class: name() });
    }
    Ok(())
}

/// Returns the path of each setting that must be at least 1, and whether it is. Times count in microseconds.
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

/// Typed access to the fields of a configuration by path. The parts of a path are separated by `/`.
struct Fields<'a>(&'a Json);

impl<'a> Fields<'a> {
    /// Returns a field; `None` if it is absent or null.
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
