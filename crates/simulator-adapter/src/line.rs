//! Parses a line of the simulator's protocol: a message name and `name=value` fields in any order, separated by
//! tabs.

#[cfg(test)]
mod tests;

use crate::error::{AdapterError, FieldError, MessageError};
use balancer::Micros;
use std::str::FromStr;

/// Conversion factor for times, which are nanoseconds in the protocol.
pub const NANOSECONDS_PER_MICROSECOND: i64 = 1000;

/// One line, with access to its fields by name.
pub struct Line<'a> {
    /// Counted from 1.
    line_number: usize,
    /// Name of the message.
    pub message: &'a str,
    /// The unparsed fields, separated by tabs.
    fields: &'a str,
}

impl<'a> Line<'a> {
    /// Splits a line into message name and fields. Returns an error if a field has no `=`.
    pub fn parse(line_number: usize, text: &'a str) -> Result<Self, AdapterError> {
        let (message, fields) = text.split_once('\t').unwrap_or((text, ""));
        let line = Line { line_number, message, fields };
        match fields.split('\t').find(|field| !field.is_empty() && !field.contains('=')) {
            Some(field) => Err(line.field_error(field, FieldError::NoValue)),
            None => Ok(line),
        }
    }

    /// Returns an error about this message.
    pub fn error(&self, cause: MessageError) -> AdapterError {
        AdapterError::Message { line: self.line_number, message: self.message.to_string(), cause }
    }

    /// Returns an error about a field of this message.
    pub fn field_error(&self, field: &str, cause: FieldError) -> AdapterError {
        self.error(MessageError::Field { field: field.to_string(), cause })
    }

    /// Returns the value of a field as text; `None` if it is absent.
    pub fn optional_text(&self, name: &str) -> Option<&'a str> {
        self.fields.split('\t').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the value of a required field as text.
    pub fn text(&self, name: &str) -> Result<&'a str, AdapterError> {
        self.optional_text(name).ok_or_else(|| self.field_error(name, FieldError::Missing))
    }

    fn parse_value<T: FromStr>(&self, name: &str, value: &str) -> Result<T, AdapterError> {
        value.parse().map_err(|_| self.field_error(name, FieldError::WrongType { value: value.to_string() }))
    }

    /// Parses the number in a required field.
    pub fn value<T: FromStr>(&self, name: &str) -> Result<T, AdapterError> {
        self.parse_value(name, self.text(name)?)
    }

    /// Parses the number in a field; `default` if the field is absent.
    pub fn value_or<T: FromStr>(&self, name: &str, default: T) -> Result<T, AdapterError> {
        match self.optional_text(name) {
            Some(value) => self.parse_value(name, value),
            None => Ok(default),
        }
    }

    /// Parses the finite number in a required field.
    pub fn number(&self, name: &str) -> Result<f64, AdapterError> {
        let number: f64 = self.value(name)?;
        if number.is_finite() { Ok(number) } else { Err(self.field_error(name, FieldError::NotFinite)) }
    }

    /// Returns a flag, 0 or 1; `false` if the field is absent.
    pub fn flag(&self, name: &str) -> Result<bool, AdapterError> {
        match self.optional_text(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.field_error(name, FieldError::NotAFlag { value: value.to_string() })),
        }
    }

    /// Returns the time in a required field, rounded down to microseconds.
    pub fn micros(&self, name: &str) -> Result<Micros, AdapterError> {
        Ok(self.value::<i64>(name)?.div_euclid(NANOSECONDS_PER_MICROSECOND))
    }

    /// Returns the time in a field, rounded down to microseconds; 0 if the field is absent.
    pub fn micros_or_zero(&self, name: &str) -> Result<Micros, AdapterError> {
        Ok(self.value_or::<i64>(name, 0)?.div_euclid(NANOSECONDS_PER_MICROSECOND))
    }

    /// Translates the code in a required field. Returns an error if `translate` returns `None`.
    pub fn code<T>(&self, name: &str, translate: fn(&str) -> Option<T>) -> Result<T, AdapterError> {
        let code = self.text(name)?;
        translate(code)
            .ok_or_else(|| self.field_error(name, FieldError::UnknownValue { value: code.to_string() }))
    }
}
