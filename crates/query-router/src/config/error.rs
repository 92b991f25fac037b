//! What can be wrong with a configuration.

use serde_json::Value as Json;
use settings_schema::SettingsError;
use std::net::AddrParseError;
use std::num::ParseIntError;

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The file was read, and its content cannot be used.
    #[error("{path}: {source}")]
    Invalid {
        /// The path of the file.
        path: String,
        /// What is wrong with the content.
        source: ConfigError,
    },
}

impl ConfigFileError {
    /// What the system reported, if the file could not be read.
    pub(crate) fn cause(&self) -> Option<&std::io::Error> {
        match self {
            ConfigFileError::Unreadable { source, .. } => Some(source),
            ConfigFileError::Invalid { .. } => None,
        }
    }
}

/// What a configuration lacks or states wrongly. Fields are named by their path in the file.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("it is not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A field that the router needs is absent or null.
    #[error("{field}: it is missing")]
    Missing {
        /// The path of the field.
        field: &'static str,
    },
    /// A field is of the wrong type or out of its range.
    #[error("{field}: {value} is not {expected}")]
    WrongType {
        /// The path of the field.
        field: &'static str,
        /// What the field states.
        value: Json,
        /// What it should state.
        expected: ExpectedType,
    },
    /// A field is not an IP address with a port.
    #[error("{field}: '{value}' is not an address with a port")]
    InvalidAddress {
        /// The path of the field.
        field: &'static str,
        /// What the field states.
        value: String,
        /// Why it is no address.
        source: AddrParseError,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: '{value}' is not 16 hex digits")]
    InvalidSeed {
        /// What the field states.
        value: String,
        /// Why it is no such number.
        source: ParseIntError,
    },
    /// The settings of the deployment cannot be read.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// No service class is configured, so no query could be served.
    #[error("settings.services: no service class is named")]
    NoServiceClass,
    /// A service class has no deadline, or one that is not positive.
    #[error("settings.services: {class}: deadlineNs is missing or not positive")]
    InvalidDeadline {
        /// The name of the service class.
        class: String,
    },
    /// A service class relies on idempotency keys, which the protocol has no way to send to a node.
    #[error("settings.services: {class}: idempotency_key is not served")]
    UnsupportedIdempotencyKey {
        /// The name of the service class.
        class: String,
    },
    /// A service class asks for second steps.
    #[error("settings.familyInfo.secondStep: {class}: second steps are not served")]
    UnsupportedSecondStep {
        /// The name of the service class.
        class: String,
    },
    /// A setting that the router needs is absent or below 1.
    #[error("settings.{field}: it is missing or under 1")]
    SettingTooSmall {
        /// The path of the setting below `settings`.
        field: &'static str,
    },
}

/// What a field of the configuration should state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedType {
    /// A string.
    Text,
    /// An array.
    List,
    /// An integer that is not negative.
    NonNegativeInteger,
    /// A number above 0.
    PositiveNumber,
}

impl std::fmt::Display for ExpectedType {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str(match self {
            ExpectedType::Text => "a text",
            ExpectedType::List => "a list",
            ExpectedType::NonNegativeInteger => "a whole number",
            ExpectedType::PositiveNumber => "a positive number",
        })
    }
}
