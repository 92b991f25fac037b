//! The file: its sections and their keys.

#[cfg(test)]
mod tests;

use crate::lines::{Content, lines};
use crate::{ConfigError, KeyLocation, Section};
use ini::{Ini, ParseOption};
use std::collections::BTreeMap;

/// The largest file that is read, in bytes. Anything larger was hardly written by an operator.
const MAX_BYTES: u64 = 1 << 20;

/// The sections that may stand in a file without a key.
const KNOWN_SECTIONS: [&str; 2] = ["control", "log"];

/// Which log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Changes of mode and failures.
    Info,
    /// Single queries, attempts and connections as well.
    Debug,
}

/// The form of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// The operator's file.
#[derive(Debug)]
pub struct ConfigFile {
    pub(crate) name: String,
    pub(crate) sections: BTreeMap<String, SectionContent>,
}

/// A section as it stands in the file.
#[derive(Debug)]
pub(crate) struct SectionContent {
    /// The line that opens it.
    pub line: usize,
    pub keys: BTreeMap<String, Entry>,
}

/// A key as it stands in the file.
#[derive(Debug)]
pub(crate) struct Entry {
    pub line: usize,
    pub value: String,
    /// Whether a subsystem has taken it.
    pub taken: bool,
}

impl ConfigFile {
    /// Reads the file at `path`.
    pub fn read(path: &str) -> Result<ConfigFile, ConfigError> {
        let unreadable = |cause| ConfigError::Unreadable { file: path.to_string(), cause };
        let size = std::fs::metadata(path).map_err(unreadable)?.len();
        if size > MAX_BYTES {
            return Err(ConfigError::TooLarge { file: path.to_string(), size, limit: MAX_BYTES });
        }
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        ConfigFile::parse(path, &text)
    }

    /// Parses the text of a file; `name` stands for the file in errors.
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
                    file.add_key(section, key, Entry { line: line.number, value, taken: false })?;
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
        // A header without a name opens no section.
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

    /// The section of this name; one that the file lacks has no keys.
    pub fn section<'a>(&'a mut self, name: &'a str) -> Section<'a> {
        Section::new(self, name)
    }

    /// The key `format` of the section `log`: `text`, which is the default, or `json`.
    pub fn log_format(&mut self) -> Result<LogFormat, ConfigError> {
        let mut log = self.section("log");
        match log.text("format", "text")?.as_str() {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            other => Err(log.rejected("format", format!("'{other}' is neither text nor json"))),
        }
    }

    /// The key `level` of the section `log`: `info`, which is the default, or `debug`, which adds a line with ids for each
    /// attempt that is repeated, query that is not answered in full and connection that ends.
    pub fn log_level(&mut self) -> Result<LogLevel, ConfigError> {
        let mut log = self.section("log");
        match log.text("level", "info")?.as_str() {
            "info" => Ok(LogLevel::Info),
            "debug" => Ok(LogLevel::Debug),
            other => Err(log.rejected("level", format!("'{other}' is neither info nor debug"))),
        }
    }

    /// Reports the first key that no subsystem has taken, or a section without keys that no subsystem has.
    /// Call it after every subsystem has taken its keys.
    pub fn reject_unknown(&self) -> Result<(), ConfigError> {
        if let Some(location) = self.first_key_not_taken() {
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

    fn first_key_not_taken(&self) -> Option<KeyLocation> {
        let mut first: Option<KeyLocation> = None;
        for (section, content) in &self.sections {
            for (key, entry) in &content.keys {
                let is_earlier = first.as_ref().is_none_or(|location| entry.line < location.line);
                if !entry.taken && is_earlier {
                    first = Some(self.location(section, key, entry.line));
                }
            }
        }
        first
    }
}
