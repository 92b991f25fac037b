//! What can be wrong with the operator's file.

use std::fmt;

/// Where a key stands in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyLocation {
    /// The file's name.
    pub file: String,
    /// The line, counted from 1. For a key that the file lacks: the line of its section, or 1 without that
    /// section.
    pub line: usize,
    /// The section's name.
    pub section: String,
    /// The key's name.
    pub key: String,
}

impl fmt::Display for KeyLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}:{}: [{}] {}", self.file, self.line, self.section, self.key)
    }
}

impl ConfigError {
    /// What the system reported, if the file could not be read.
    pub fn io_error(&self) -> Option<&std::io::Error> {
        match self {
            ConfigError::Unreadable { cause, .. } => Some(cause),
            _ => None,
        }
    }
}

/// Why the operator's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{file}: {cause}")]
    Unreadable {
        /// The file's name.
        file: String,
        /// The error of the system.
        #[source]
        cause: std::io::Error,
    },
    /// The file is larger than an operator's file is expected to be.
    #[error("{file}: {size} bytes are more than an operator's file may have, {limit}")]
    TooLarge {
        /// The file's name.
        file: String,
        /// Its size in bytes.
        size: u64,
        /// The size allowed.
        limit: u64,
    },
    /// The text is not INI.
    #[error("{file}:{line}: not INI: {}", cause.msg)]
    Syntax {
        /// The file's name.
        file: String,
        /// The line, counted from 1.
        line: usize,
        /// What the parser reports.
        #[source]
        cause: ini::ParseError,
    },
    /// A section is opened twice.
    #[error("{file}:{line}: [{section}] stands on line {first_line} already")]
    DuplicateSection {
        /// The file's name.
        file: String,
        /// The line that opens it again.
        line: usize,
        /// The section's name.
        section: String,
        /// The line that opens it first.
        first_line: usize,
    },
    /// A key stands before the first section.
    #[error("{file}:{line}: {key}: it stands in no section")]
    KeyOutsideSection {
        /// The file's name.
        file: String,
        /// The key's line.
        line: usize,
        /// The key's name.
        key: String,
    },
    /// A section has a key twice.
    #[error("{location}: it stands on line {first_line} already")]
    DuplicateKey {
        /// Where the key stands again.
        location: KeyLocation,
        /// The line on which it stands first.
        first_line: usize,
    },
    /// No subsystem has a key of this name.
    #[error("{0}: no such key")]
    UnknownKey(KeyLocation),
    /// No subsystem has a section of this name.
    #[error("{file}:{line}: [{section}]: no such section")]
    UnknownSection {
        /// The file's name.
        file: String,
        /// The line that opens the section.
        line: usize,
        /// The section's name.
        section: String,
    },
    /// A value cannot be parsed.
    #[error("{location}: '{value}' is not {expected}")]
    Malformed {
        /// Where the key stands.
        location: KeyLocation,
        /// The value as it stands there.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
    /// A subsystem does not accept a value, or needs one that is missing.
    #[error("{location}: {reason}")]
    Rejected {
        /// Where the key stands.
        location: KeyLocation,
        /// Why the value is not accepted.
        reason: String,
    },
}
