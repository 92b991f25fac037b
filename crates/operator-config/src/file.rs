//! Parses the file into sections and keys, and finds unknown ones.

#[cfg(test)]
mod tests;

use crate::lines::{Content, lines};
use crate::{ConfigError, KeyLocation, Section};
use ini::{Ini, ParseOption};
use std::collections::BTreeMap;

/// Size limit of the file in bytes. A larger file is most likely not an operator's file.
const MAX_BYTES: u64 = 1 << 20;

/// Sections that are known even if they have no keys.
const KNOWN_SECTIONS: [&str; 2] = ["control", "log"];

/// Lowest level at which log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Logs mode changes and failures.
    Info,
    /// Also logs individual queries, attempts and connections.
    Debug,
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// A parsed operator's file, which records the keys that were read.
#[derive(Debug)]
pub struct ConfigFile {
    pub(crate) name: String,
    pub(crate) sections: BTreeMap<String, SectionContent>,
}

/// Content of one section.
#[derive(Debug)]
pub(crate) struct SectionContent {
    /// Line number of the section header.
    pub line: usize,
    pub keys: BTreeMap<String, Entry>,
}

/// Value of one key and where it was set.
#[derive(Debug)]
pub(crate) struct Entry {
    pub line: usize,
    pub value: String,
    /// Whether a subsystem has read the key.
    pub is_read: bool,
}

impl ConfigFile {
    /// Reads and parses the file at `path`.
    pub fn read(path: &str) -> Result<ConfigFile, ConfigError> {
        let unreadable = |cause| ConfigError::Unreadable { file: path.to_string(), cause };
        let size = std::fs::metadata(path).map_err(unreadable)?.len();
        if size > MAX_BYTES {
            return Err(ConfigError::TooLarge { file: path.to_string(), size, limit: MAX_BYTES });
        }
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        ConfigFile::parse(path, &text)
    }

    /// Parses the text of a file. Errors refer to the file as `name`.
    pub fn parse(name: &str, text: &str) -> Result<ConfigFile, ConfigError> {
        let options = ParseOption { enabled_escape: false, enabled_quote: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|cause| ConfigError::Syntax {
            file: name.to_string(),
            line: cause.line.max(1),
            cause,
        })?;
        let mut file = ConfigFile { name: name.to_string(), sections: BTreeMap::new() };
        let mut section = "";
        for line in lines(text) {
            match line.content {
                Content::Section(name) => {
                    file.open_section(name, line.number)?;
                    section = name;
                }
                Content::Key(key) => {
                    let value = ini.get_from(Some(section), key).unwrap_or("").trim().to_string();
                    file.add_key(section, key, Entry { line: line.number, value, is_read: false })?;
                }
            }
        }
        Ok(file)
    }

    fn open_section(&mut self, section: &str, line: usize) -> Result<(), ConfigError> {
        let content = SectionContent { line, keys: BTreeMap::new() };
        match self.sections.insert(section.to_string(), content) {
            None => Ok(()),
            Some(first) => Err(ConfigError::DuplicateSection {
                file: self.name.clone(),
                line,
                section: section.to_string(),
                first_line: first.line,
            }),
        }
    }

    fn add_key(&mut self, section: &str, key: &str, entry: Entry) -> Result<(), ConfigError> {
        let line = entry.line;
        // Keys under a header without a name belong to no section.
        let Some(content) = self.sections.get_mut(section).filter(|_| !section.is_empty()) else {
            return Err(ConfigError::KeyOutsideSection {
                file: self.name.clone(),
                line,
                key: key.to_string(),
            });
        };
        match content.keys.insert(key.to_string(), entry) {
            None => Ok(()),
            Some(first) => Err(ConfigError::DuplicateKey {
                location: self.location(section, key, line),
                first_line: first.line,
            }),
        }
    }

    pub(crate) fn location(&self, section: &str, key: &str, line: usize) -> KeyLocation {
        KeyLocation { file: self.name.clone(), line, section: section.to_string(), key: key.to_string() }
    }

    /// Returns the section of this name; an absent section has no keys.
    pub fn section<'a>(&'a mut self, name: &'a str) -> Section<'a> {
        Section::new(self, name)
    }

    /// Reads the key `format` of the section `log`: `text`, which is the default, or `json`.
    pub fn log_format(&mut self) -> Result<LogFormat, ConfigError> {
        let mut log = self.section("log");
        match log.text("format", "text")?.as_str() {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            other => Err(log.rejected("format", format!("'{other}' is neither text nor json"))),
        }
    }

    /// Reads the key `level` of the section `log`: `info`, which is the default, or `debug`, which adds lines with ids,
    /// such as for each retry and hedged attempt, each query without a complete response and each node connection that
    /// ends.
    pub fn log_level(&mut self) -> Result<LogLevel, ConfigError> {
        let mut log = self.section("log");
        match log.text("level", "info")?.as_str() {
            "info" => Ok(LogLevel::Info),
            "debug" => Ok(LogLevel::Debug),
            other => Err(log.rejected("level", format!("'{other}' is neither info nor debug"))),
        }
    }

    /// Returns an error for the first key that no subsystem has read or, if there is none, for an unknown section
    /// without keys. Call it after every subsystem has read its keys.
    pub fn reject_unknown(&self) -> Result<(), ConfigError> {
        if let Some(location) = self.first_unread_key() {
            return Err(ConfigError::UnknownKey(location));
        }
        for (name, content) in &self.sections {
            if content.keys.is_empty() && !KNOWN_SECTIONS.contains(&name.as_str()) {
                return Err(ConfigError::UnknownSection {
                    file: self.name.clone(),
                    line: content.line,
                    section: name.clone(),
                });
            }
        }
        Ok(())
    }

    fn first_unread_key(&self) -> Option<KeyLocation> {
        let mut first: Option<KeyLocation> = None;
        for (section, content) in &self.sections {
            for (key, entry) in &content.keys {
                let is_earlier = first.as_ref().is_none_or(|location| entry.line < location.line);
                if !entry.is_read && is_earlier {
                    first = Some(self.location(section, key, entry.line));
                }
            }
        }
        first
    }
}
