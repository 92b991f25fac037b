//! Typed access to the keys of one section.

#[cfg(test)]
mod tests;

use crate::file::SectionContent;
use crate::{ConfigError, ConfigFile, KeyLocation};
use bytesize::ByteSize;
use std::str::FromStr;
use std::time::Duration;

/// One section of the file. Each method that reads a key marks it as read for [`ConfigFile::reject_unknown`].
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

    /// Returns an error at the location of `key`, or at the header of the section if `key` is absent. The caller
    /// uses it to reject a value, or the absence of one.
    pub fn rejected(&self, key: &str, reason: impl Into<String>) -> ConfigError {
        ConfigError::Rejected { location: self.location(key), reason: reason.into() }
    }

    /// Returns the value of `key` without interpretation, and marks `key` as read; `None` if `key` is absent.
    pub fn take(&mut self, key: &str) -> Option<String> {
        let content = self.file.sections.get_mut(self.name)?;
        let entry = content.keys.get_mut(key)?;
        entry.is_read = true;
        Some(entry.value.clone())
    }

    /// Parses the value of `key`; `None` if `key` is absent. `expected` describes a valid value in the error.
    fn take_parsed<T>(
        &mut self, key: &str, expected: &'static str, parse: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, ConfigError> {
        let Some(value) = self.take(key) else { return Ok(None) };
        match parse(&value) {
            Some(parsed) => Ok(Some(parsed)),
            None => Err(ConfigError::Malformed { location: self.location(key), value, expected }),
        }
    }

    /// Returns the value of `key` as text, or `default` if `key` is absent.
    pub fn text(&mut self, key: &str, default: &str) -> Result<String, ConfigError> {
        Ok(self.take(key).unwrap_or_else(|| default.to_string()))
    }

    /// Parses the value of `key`, such as a number or an address, with [`FromStr`]; `default` if `key` is absent.
    /// `expected` describes a valid value in the error.
    pub fn parsed<T: FromStr>(
        &mut self, key: &str, default: T, expected: &'static str,
    ) -> Result<T, ConfigError> {
        Ok(self.optional(key, expected)?.unwrap_or(default))
    }

    /// Parses the value of `key` with [`FromStr`]; `None` if `key` is absent. `expected` describes a valid value in
    /// the error.
    pub fn optional<T: FromStr>(
        &mut self, key: &str, expected: &'static str,
    ) -> Result<Option<T>, ConfigError> {
        self.take_parsed(key, expected, |value| value.parse().ok())
    }

    /// Returns a flag, `on` or `off`; `false` if `key` is absent.
    pub fn flag(&mut self, key: &str) -> Result<bool, ConfigError> {
        let flag = self.take_parsed(key, "on or off", |value| match value {
            "on" => Some(true),
            "off" => Some(false),
            _ => None,
        })?;
        Ok(flag.unwrap_or(false))
    }

    /// Returns a duration with a unit, such as `500ms`; `default` if `key` is absent.
    pub fn duration(&mut self, key: &str, default: Duration) -> Result<Duration, ConfigError> {
        let duration = self.take_parsed(key, "a duration with a unit, such as 500ms", |value| {
            humantime::parse_duration(value).ok()
        })?;
        Ok(duration.unwrap_or(default))
    }

    /// Returns a size with a unit, such as `64KiB`, in bytes; `default` if `key` is absent.
    pub fn size(&mut self, key: &str, default: u64) -> Result<u64, ConfigError> {
        let size = self.take_parsed(key, "a size with a unit, such as 64KiB", |value| {
            value.parse::<ByteSize>().ok().map(|size| size.as_u64())
        })?;
        Ok(size.unwrap_or(default))
    }
}
