//! Errors of the operator's file.

use std::fmt;

/// Location of a key in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyLocation {
    /// Name of the file.
    pub file: String,
    /// Line number, counted from 1. For an absent key it is the line of its section, or 1 if that is absent as
    /// well.
    pub line: usize,
    /// Name of the section.
    pub section: String,
    /// Name of the key.
    pub key: String,
}

impl fmt::Display for KeyLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}:{}: [{}] {}", self.file, self.line, self.section, self.key)
    }
}

impl ConfigError {
    /// Returns the I/O error that prevented reading the file; `None` for any other error.
    pub fn io_error(&self) -> Option<&std::io::Error> {
        match self {
            ConfigError::Unreadable { cause, .. } => Some(cause),
            _ => None,
        }
    }
}

/// Error in reading, parsing or validating the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {cause}")]
    Unreadable {
        /// Name of the file.
        file: String,
        /// The I/O error.
        #[source]
        cause: std::io::Error,
    },
    /// The file exceeds the size limit.
    #[error("{file}: the size of {size} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// Name of the file.
        file: String,
        /// Size of the file in bytes.
        size: u64,
        /// Largest size allowed, in bytes.
        limit: u64,
    },
    /// The file has a syntax error.
    #[error("{file}:{line}: invalid INI syntax: {}", cause.msg)]
    Syntax {
        /// Name of the file.
        file: String,
        /// Line number, counted from 1.
        line: usize,
        /// The error of the INI parser.
        #[source]
        cause: ini::ParseError,
    },
    /// A section header occurs twice.
    #[error("{file}:{line}: [{section}]: duplicate section, first on line {first_line}")]
    DuplicateSection {
        /// Name of the file.
        file: String,
        /// Line number of the second header.
        line: usize,
        /// Name of the section.
        section: String,
        /// Line number of the first header.
        first_line: usize,
    },
    /// A key precedes the first section or follows a header without a name.
    #[error("{file}:{line}: {key}: the key is outside any section")]
    KeyOutsideSection {
        /// Name of the file.
        file: String,
        /// Line number of the key.
        line: usize,
        /// Name of the key.
        key: String,
    },
    /// A key occurs twice in a section.
    #[error("{location}: duplicate key, first on line {first_line}")]
    DuplicateKey {
        /// Location of the second occurrence.
        location: KeyLocation,
        /// Line number of the first occurrence.
        first_line: usize,
    },
    /// No subsystem reads this key.
    #[error("{0}: no such key")]
    UnknownKey(KeyLocation),
    /// No subsystem reads this section.
    #[error("{file}:{line}: [{section}]: no such section")]
    UnknownSection {
        /// Name of the file.
        file: String,
        /// Line number of the section header.
        line: usize,
        /// Name of the section.
        section: String,
    },
    /// A value cannot be parsed.
    #[error("{location}: '{value}' is not {expected}")]
    Malformed {
        /// Location of the key.
        location: KeyLocation,
        /// The value found.
        value: String,
        /// Description of a valid value, such as `on or off`.
        expected: &'static str,
    },
    /// A subsystem rejects a value, or a required value is missing.
    #[error("{location}: {reason}")]
    Rejected {
        /// Location of the key.
        location: KeyLocation,
        /// Why the value is rejected.
        reason: String,
    },
}
