//! One section of the file, whose keys its subsystem takes.

#[cfg(test)]
mod tests;

use crate::file::SectionContent;
use crate::{ConfigError, ConfigFile, KeyLocation};
use bytesize::ByteSize;
use std::str::FromStr;
use std::time::Duration;

/// The keys of one section, to be taken one by one.
#[derive(Debug)]
pub struct Section<'a> {
    file: &'a mut ConfigFile,
    name: &'a str,
}

impl<'a> Section<'a> {
    pub(crate) fn new(file: &'a mut ConfigFile, name: &'a str) -> Self {
        Section { file, name }
    }

    fn content(&self) -> Option<&SectionContent> {
        self.file.sections.get(self.name)
    }

    fn location(&self, key: &str) -> KeyLocation {
        let line = self.content().map_or(1, |content| match content.keys.get(key) {
            Some(entry) => entry.line,
            None => content.line,
        });
        self.file.location(self.name, key, line)
    }

    /// An error that names where `key` stands, or where it should.
    pub fn rejected(&self, key: &str, reason: impl Into<String>) -> ConfigError {
        ConfigError::Rejected { location: self.location(key), reason: reason.into() }
    }

    /// Takes the value of `key` as it stands in the file.
    pub fn take(&mut self, key: &str) -> Option<String> {
        let content = self.file.sections.get_mut(self.name)?;
        let entry = content.keys.get_mut(key)?;
        entry.taken = true;
        Some(entry.value.clone())
    }

    /// Takes the value of `key` and parses it; `expected` names what it should be.
    fn take_parsed<T>(
        &mut self, key: &str, expected: &'static str, parse: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, ConfigError> {
        let Some(value) = self.take(key) else { return Ok(None) };
        match parse(&value) {
            Some(parsed) => Ok(Some(parsed)),
            None => Err(ConfigError::Malformed { location: self.location(key), value, expected }),
        }
    }

    /// The text of `key`, or `default`.
    pub fn text(&mut self, key: &str, default: &str) -> Result<String, ConfigError> {
        Ok(self.take(key).unwrap_or_else(|| default.to_string()))
    }

    /// The value of `key` as [`FromStr`] reads it, such as a number or an address, or `default`; `expected`
    /// names what it should be.
    pub fn parsed<T: FromStr>(
        &mut self, key: &str, default: T, expected: &'static str,
    ) -> Result<T, ConfigError> {
        Ok(self.optional(key, expected)?.unwrap_or(default))
    }

    /// The value of `key` as [`FromStr`] reads it, if it is set; `expected` names what it should be.
    pub fn optional<T: FromStr>(
        &mut self, key: &str, expected: &'static str,
    ) -> Result<Option<T>, ConfigError> {
        self.take_parsed(key, expected, |value| value.parse().ok())
    }

    /// Whether `key` is `on`; it is off by default.
    pub fn flag(&mut self, key: &str) -> Result<bool, ConfigError> {
        let flag = self.take_parsed(key, "on or off", |value| match value {
            "on" => Some(true),
            "off" => Some(false),
            _ => None,
        })?;
        Ok(flag.unwrap_or(false))
    }

    /// A time with its unit, such as `500ms`, or `default`.
    pub fn duration(&mut self, key: &str, default: Duration) -> Result<Duration, ConfigError> {
        let duration = self.take_parsed(key, "a time with its unit, such as 500ms", |value| {
            humantime::parse_duration(value).ok()
        })?;
        Ok(duration.unwrap_or(default))
    }

    /// A size with its unit, such as `64KiB`, in bytes, or `default`.
    pub fn size(&mut self, key: &str, default: u64) -> Result<u64, ConfigError> {
        let size = self.take_parsed(key, "a size with its unit, such as 64KiB", |value| {
            value.parse::<ByteSize>().ok().map(|size| size.as_u64())
        })?;
        Ok(size.unwrap_or(default))
    }
}
