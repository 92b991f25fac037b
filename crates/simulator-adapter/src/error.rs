//! Errors that end the adapter.

use settings_schema::SettingsError;
use std::io;
use std::str::Utf8Error;

/// Error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read standard input: {0}")]
    Input(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write standard output: {0}")]
    Output(#[source] io::Error),
    /// A line is not UTF-8.
    #[error("line {line}: not valid UTF-8: {cause}")]
    NotUtf8 {
        /// Line number, counted from 1.
        line: usize,
        /// Position of the invalid bytes.
        #[source]
        cause: Utf8Error,
    },
    /// The input ended before the current batch did.
    #[error("line {line}: the input ended inside a batch, before EOB")]
    EndedInsideBatch {
        /// Number of the last line, counted from 1.
        line: usize,
    },
    /// A message cannot be handled.
    #[error("line {line}: {message}: {cause}")]
    Message {
        /// Line number, counted from 1.
        line: usize,
        /// Name of the message.
        message: String,
        /// The error in the message.
        #[source]
        cause: MessageError,
    },
}

/// Error in a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A field is invalid.
    #[error("{field}: {cause}")]
    Field {
        /// Name of the field.
        field: String,
        /// The error in the field.
        #[source]
        cause: FieldError,
    },
    /// The message name is unknown.
    #[error("unknown message")]
    Unknown,
    /// Another message arrived before all entries of an endpoint list.
    #[error("expected {remaining} more ITEM lines of the endpoint list")]
    EntriesMissing {
        /// Number of entries still expected.
        remaining: usize,
    },
    /// An entry of an endpoint list arrived while none was expected.
    #[error("no endpoint list expects an entry; a DIRECTORY line must precede")]
    NoListBegun,
    /// A batch started inside another.
    #[error("the previous batch has not ended; expected EOB")]
    BatchNotEnded,
    /// A message other than the start of a batch arrived outside a batch.
    #[error("outside a batch; expected TURN")]
    OutsideBatch,
}

/// Error in a field.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The field does not have the form `name=value`.
    #[error("expected name=value, found no '='")]
    NoValue,
    /// A required field is absent.
    #[error("required field is missing")]
    Missing,
    /// The value is not a number of the required type.
    #[error("'{value}' is not a number of the required type")]
    WrongType {
        /// The value found.
        value: String,
    },
    /// The value is infinite or NaN.
    #[error("expected a finite number")]
    NotFinite,
    /// The value is not a flag.
    #[error("expected 0 or 1, found '{value}'")]
    NotAFlag {
        /// The value found.
        value: String,
    },
    /// The value is not a known code, or not the name of a running router.
    #[error("'{value}' is unknown")]
    UnknownValue {
        /// The value found.
        value: String,
    },
    /// No endpoint list has this number.
    #[error("no endpoint list has the number {list}")]
    UnknownList {
        /// Number of the endpoint list.
        list: usize,
    },
    /// The value is not a load report.
    #[error("expected comma-separated name:number pairs, found '{value}'")]
    NotALoadReport {
        /// The value found.
        value: String,
    },
    /// The value is not valid base64.
    #[error("not valid base64: {0}")]
    NotBase64(#[source] base64::DecodeError),
    /// The value is not valid JSON.
    #[error("not valid JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The JSON value does not contain settings.
    #[error("{0}")]
    NotSettings(#[source] SettingsError),
}
