//! The operator's own file: INI, one section a subsystem, everything off unless it says otherwise. A subsystem
//! takes its keys one by one; what nobody took is an unknown key, and an error. Each error names the file, the
//! line, the section and the key.
//!
//! ```
//! use std::time::Duration;
//! use operator_config::File;
//!
//! let mut file = File::parse("yewpier.ini", "[control]\nlisten = 127.0.0.1:18000\nlease = 2s\nburst = 64KiB\n")?;
//! let mut control = file.section("control");
//! assert_eq!(control.duration("lease", Duration::ZERO)?, Duration::from_secs(2));
//! assert_eq!(control.size("burst", 0)?, 65_536);
//! let why = file.all_known().unwrap_err();
//! assert_eq!(why, "yewpier.ini:2: [control] listen: no such key");
//! # Ok::<(), String>(())
//! ```

use bytesize::ByteSize;
use ini::{Ini, ParseOption};
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// A file longer than this is not an operator's.
const MOST_BYTES: u64 = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    Text,
    Json,
}

struct Entry {
    line: usize,
    value: String,
    taken: bool,
}

pub struct File {
    name: String,
    /// By section and key.
    entries: BTreeMap<(String, String), Entry>,
    /// By section, the line that opens it.
    sections: BTreeMap<String, usize>,
}

/// The keys of one section, to be taken.
pub struct Section<'a> {
    file: &'a mut File,
    name: &'a str,
}

/// The lines on which sections and keys stand, in order: the library tells none.
fn places(text: &str) -> Vec<(usize, String, Option<String>)> {
    let (mut places, mut section) = (Vec::new(), String::new());
    for (i, line) in text.lines().enumerate().map(|(i, line)| (i + 1, line.trim())) {
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
            section = name.trim().to_string();
            places.push((i, section.clone(), None));
        } else if !line.starts_with(['#', ';'])
            && let Some(end) = line.find(['=', ':'])
        {
            places.push((i, section.clone(), Some(line[..end].trim().to_string())));
        }
    }
    places
}

impl File {
    pub fn read(path: &str) -> Result<File, String> {
        let size = std::fs::metadata(path).map_err(|e| format!("{path}: {e}"))?.len();
        if size > MOST_BYTES {
            return Err(format!(
                "{path}: {size} bytes are more than an operator's file may have, {MOST_BYTES}"
            ));
        }
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        File::parse(path, &text)
    }

    pub fn parse(name: &str, text: &str) -> Result<File, String> {
        let at = |line: usize, why: &str| format!("{name}:{line}: {why}");
        let options = ParseOption { enabled_escape: false, enabled_quote: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options)
            .map_err(|e| at(e.line.max(1), &format!("not INI: {}", e.msg)))?;
        let (mut entries, mut sections) = (BTreeMap::new(), BTreeMap::new());
        for (line, section, key) in places(text) {
            let Some(key) = key else {
                if let Some(first) = sections.insert(section.clone(), line) {
                    return Err(at(line, &format!("[{section}] stands on line {first} already")));
                }
                continue;
            };
            if section.is_empty() {
                return Err(at(line, &format!("{key}: it stands in no section")));
            }
            let value = ini.get_from(Some(section.as_str()), &key).unwrap_or("").trim().to_string();
            let entry = Entry { line, value, taken: false };
            if let Some(first) = entries.insert((section.clone(), key.clone()), entry) {
                return Err(at(
                    line,
                    &format!("[{section}] {key}: it stands on line {} already", first.line),
                ));
            }
        }
        Ok(File { name: name.to_string(), entries, sections })
    }

    pub fn section<'a>(&'a mut self, name: &'a str) -> Section<'a> {
        Section { file: self, name }
    }

    /// `[log] format`, `text` unless it says `json`.
    pub fn log_format(&mut self) -> Result<LogFormat, String> {
        let mut log = self.section("log");
        match log.text("format", "text")?.as_str() {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            other => Err(log.wrong("format", &format!("'{other}' is neither text nor json"))),
        }
    }

    /// Names the first key or section that no subsystem took.
    pub fn all_known(&self) -> Result<(), String> {
        let left = self.entries.iter().filter(|(_, entry)| !entry.taken);
        if let Some(((section, key), entry)) = left.min_by_key(|(_, entry)| entry.line) {
            return Err(format!("{}:{}: [{section}] {key}: no such key", self.name, entry.line));
        }
        let empty = |name: &String| !self.entries.keys().any(|(section, _)| section == name);
        match self.sections.iter().find(|(name, _)| empty(name) && !KNOWN.contains(&name.as_str())) {
            Some((name, line)) => Err(format!("{}:{line}: [{name}]: no such section", self.name)),
            None => Ok(()),
        }
    }
}

/// The sections there are, for those that stand in a file without a key.
const KNOWN: [&str; 2] = ["control", "log"];

impl Section<'_> {
    /// An error that names where `key` stands, or that it should.
    pub fn wrong(&self, key: &str, why: &str) -> String {
        let place = (self.name.to_string(), key.to_string());
        let line = self.file.entries.get(&place).map(|entry| entry.line);
        let line = line.or_else(|| self.file.sections.get(self.name).copied()).unwrap_or(1);
        format!("{}:{line}: [{}] {key}: {why}", self.file.name, self.name)
    }

    /// The value of `key` as it stands there.
    pub fn taken(&mut self, key: &str) -> Option<String> {
        let entry = self.file.entries.get_mut(&(self.name.to_string(), key.to_string()))?;
        entry.taken = true;
        Some(entry.value.clone())
    }

    /// The value of `key`, read by `read`, or `absent`.
    pub fn value<T>(
        &mut self, key: &str, absent: T, what: &str, read: impl Fn(&str) -> Option<T>,
    ) -> Result<T, String> {
        match self.taken(key) {
            None => Ok(absent),
            Some(text) => read(&text).ok_or_else(|| self.wrong(key, &format!("'{text}' is not {what}"))),
        }
    }

    pub fn text(&mut self, key: &str, absent: &str) -> Result<String, String> {
        self.value(key, absent.to_string(), "a text", |text| Some(text.to_string()))
    }

    /// What `FromStr` reads, such as a number or an address; `what` says what it should be.
    pub fn parsed<T: FromStr>(&mut self, key: &str, absent: T, what: &str) -> Result<T, String> {
        self.value(key, absent, what, |text| text.parse().ok())
    }

    /// The same where there is no value to fall back on: absent is none.
    pub fn optional<T: FromStr>(&mut self, key: &str, what: &str) -> Result<Option<T>, String> {
        self.value(key, None, what, |text| text.parse().ok().map(Some))
    }

    pub fn flag(&mut self, key: &str) -> Result<bool, String> {
        self.value(key, false, "on or off", |text| match text {
            "on" => Some(true),
            "off" => Some(false),
            _ => None,
        })
    }

    /// A time with its unit, such as `500ms`.
    pub fn duration(&mut self, key: &str, absent: Duration) -> Result<Duration, String> {
        self.value(key, absent, "a time with its unit, such as 500ms", |text| {
            humantime::parse_duration(text).ok()
        })
    }

    /// A size with its unit, such as `64KiB`.
    pub fn size(&mut self, key: &str, absent: u64) -> Result<u64, String> {
        self.value(key, absent, "a size with its unit, such as 64KiB", |text| {
            text.parse::<ByteSize>().ok().map(|size| size.as_u64())
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_error_names_file_line_section_and_key() {
        for (text, why) in [
            ("[log]\nformat = xml\n", "f:2: [log] format: 'xml' is neither text nor json"),
            ("[log]\n# no\nfromat = json\n", "f:3: [log] fromat: no such key"),
            ("[lgo]\n", "f:1: [lgo]: no such section"),
            ("format = json\n", "f:1: format: it stands in no section"),
            ("[log]\nformat = json\nformat = text\n", "f:3: [log] format: it stands on line 2 already"),
            ("[log]\n[control]\n[log]\n", "f:3: [log] stands on line 1 already"),
        ] {
            let read = File::parse("f", text).and_then(|mut file| {
                file.log_format()?;
                file.all_known()
            });
            assert_eq!(read, Err(why.to_string()), "{text}");
        }
        let why = File::parse("f", "[log\nformat = json\n").err().expect("not INI");
        assert!(why.starts_with("f:") && why.contains("not INI"), "{why}");
    }

    #[test]
    fn values_carry_their_units() {
        let text = "[control]\nlease = 5\nburst = many\nlimit = 70s\nport = 8\non = on\nlate = yes\n";
        let mut file = File::parse("f", text).expect("INI");
        let mut of = file.section("control");
        assert_eq!(
            of.duration("lease", Duration::ZERO).expect_err("no unit"),
            "f:2: [control] lease: '5' is not a time with its unit, such as 500ms"
        );
        assert!(of.size("burst", 0).expect_err("no size").starts_with("f:3: [control] burst: 'many'"));
        assert_eq!(of.duration("limit", Duration::ZERO), Ok(Duration::from_secs(70)));
        assert_eq!(of.parsed("port", 0u16, "a port"), Ok(8));
        assert_eq!(of.optional::<u16>("none", "a port"), Ok(None));
        assert_eq!((of.flag("on"), of.flag("off"), of.flag("late").is_err()), (Ok(true), Ok(false), true));
        assert_eq!(of.wrong("gone", "it is missing"), "f:1: [control] gone: it is missing");
    }

    #[test]
    fn without_a_file_all_is_off() {
        let mut file = File::parse("none", "").expect("INI");
        assert_eq!(file.log_format(), Ok(LogFormat::Text));
        assert_eq!(file.all_known(), Ok(()));
    }
}
