//! What can be wrong with the simulator's input.

use settings_schema::SettingsError;
use std::io;
use std::str::Utf8Error;

/// Why the adapter ends.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("standard input: {0}")]
    Input(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// A line is not UTF-8.
    #[error("line {line}: it is not UTF-8")]
    NotUtf8 {
        /// The line's number, counted from 1.
        line: usize,
        /// Where it is not UTF-8.
        #[source]
        cause: Utf8Error,
    },
    /// Input ended before the batch did.
    #[error("line {line}: the input ended inside a batch")]
    EndedInsideBatch {
        /// The number of the last line.
        line: usize,
    },
    /// A message cannot be handled.
    #[error("line {line}: {message}: {cause}")]
    Message {
        /// The line's number, counted from 1.
        line: usize,
        /// The message's name.
        message: String,
        /// What is wrong with it.
        #[source]
        cause: MessageError,
    },
}

/// What is wrong with a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// One of its fields is wrong.
    #[error("{field}: {cause}")]
    Field {
        /// The field's name.
        field: String,
        /// What is wrong with it.
        #[source]
        cause: FieldError,
    },
    /// No message has this name.
    #[error("unknown message")]
    Unknown,
    /// Another message stands where entries of an endpoint list are due.
    #[error("{remaining} more ITEM lines were due")]
    EntriesMissing {
        /// How many entries are still due.
        remaining: usize,
    },
    /// An entry of an endpoint list stands outside of one.
    #[error("no list has begun")]
    NoListBegun,
    /// A batch begins within another.
    #[error("the batch before has not ended")]
    BatchNotEnded,
    /// It stands outside of a batch.
    #[error("it stands outside a batch")]
    OutsideBatch,
}

/// What is wrong with a field.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// It is not of the form `name=value`.
    #[error("has no '='")]
    NoValue,
    /// The message lacks it.
    #[error("it is missing")]
    Missing,
    /// Its value is not of the type required.
    #[error("'{value}' is of the wrong type")]
    WrongType {
        /// The value.
        value: String,
    },
    /// Its value is infinite or not a number.
    #[error("it is not finite")]
    NotFinite,
    /// Its value is not a flag.
    #[error("'{value}' is neither 1 nor 0")]
    NotAFlag {
        /// The value.
        value: String,
    },
    /// Its value is not a known code or name.
    #[error("'{value}' is unknown")]
    UnknownValue {
        /// The value.
        value: String,
    },
    /// There is no endpoint list of this number.
    #[error("{list} is unknown")]
    UnknownList {
        /// The list's number.
        list: usize,
    },
    /// Its value is not a load report.
    #[error("'{value}' is not pairs of name:number")]
    NotALoadReport {
        /// The value.
        value: String,
    },
    /// Its value is not base64.
    #[error("it is not base64")]
    NotBase64(#[source] base64::DecodeError),
    /// Its value is not JSON.
    #[error("{0}")]
    NotJson(#[source] serde_json::Error),
    /// Its value does not hold settings.
    #[error("{0}")]
    NotSettings(#[source] SettingsError),
}
