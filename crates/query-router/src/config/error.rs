//! Errors of the configuration file.

use serde_json::Value as Json;
use settings_schema::SettingsError;
use std::net::AddrParseError;
use std::num::ParseIntError;

/// The configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the system call.
        source: std::io::Error,
    },
    /// The content of the file is invalid.
    #[error("{path}: {source}")]
    Invalid {
        /// The path of the file.
        path: String,
        /// The first error in the content.
        source: ConfigError,
    },
}

impl ConfigFileError {
    /// Returns the I/O error if the file could not be read.
    pub(crate) fn io_error(&self) -> Option<&std::io::Error> {
        match self {
            ConfigFileError::Unreadable { source, .. } => Some(source),
            ConfigFileError::Invalid { .. } => None,
        }
    }
}

/// A field of the configuration is missing or invalid. Messages name the field by its path in the file.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("invalid JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A required field is absent or null.
    #[error("{field}: required field is missing")]
    Missing {
        /// The path of the field.
        field: &'static str,
    },
    /// A field has the wrong type or is out of range.
    #[error("{field}: expected {expected}, found {value}")]
    WrongType {
        /// The path of the field.
        field: &'static str,
        /// The value in the file.
        value: Json,
        /// The expected type and range.
        expected: ExpectedType,
    },
    /// A field is not an IP address with a port.
    #[error("{field}: expected an IP address with a port, found '{value}'")]
    InvalidAddress {
        /// The path of the field.
        field: &'static str,
        /// The value in the file.
        value: String,
        /// The error of the address parser.
        source: AddrParseError,
    },
    /// The seed is not a 64-bit hexadecimal number.
    #[error("seed: expected up to 16 hexadecimal digits, found '{value}'")]
    InvalidSeed {
        /// The value in the file.
        value: String,
        /// The error of the integer parser.
        source: ParseIntError,
    },
    /// The settings of the deployment cannot be parsed.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// No service class is configured, so no query could be served.
    #[error("settings.services: no service class has a name")]
    NoServiceClass,
    /// The deadline of a service class is missing or shorter than a microsecond.
    #[error("settings.services: {class}: deadlineNs is missing or less than 1000")]
    InvalidDeadline {
        /// The name of the service class.
        class: String,
    },
    /// A service class relies on idempotency keys, for which the protocol of the data nodes has no field.
    #[error("settings.services: {class}: idempotency_key is not supported")]
    UnsupportedIdempotencyKey {
        /// The name of the service class.
        class: String,
    },
    /// A service class requires a second step, which the router does not support.
    #[error("settings.familyInfo.secondStep: {class}: a second step is not supported")]
    UnsupportedSecondStep {
        /// The name of the service class.
        class: String,
    },
    /// A required setting is absent or below its minimum: 1, or 1000 ns (a microsecond) for a time.
    #[error("settings.{field}: expected at least 1, or 1000 for a time in ns")]
    SettingTooSmall {
        /// The path of the setting below `settings`.
        field: &'static str,
    },
}

/// The type and range that a field of the configuration must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedType {
    /// A JSON string.
    Text,
    /// A JSON array.
    List,
    /// An integer of 0 or more.
    NonNegativeInteger,
    /// An integer or decimal number greater than 0.
    PositiveNumber,
}

impl std::fmt::Display for ExpectedType {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str(match self {
            ExpectedType::Text => "a string",
            ExpectedType::List => "an array",
            ExpectedType::NonNegativeInteger => "a non-negative integer",
            ExpectedType::PositiveNumber => "a positive number",
        })
    }
}
