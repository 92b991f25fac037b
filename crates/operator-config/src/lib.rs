//! The operator's configuration file, in INI format with one section per subsystem. A feature that the file does
//! not enable is off, and a key that it does not set has its default.
//!
//! Each subsystem reads the keys of its section one by one. [`ConfigFile::reject_unknown`] reports a key that no
//! subsystem has read. An error about a key names the file, the line, the section and the key.
//!
//! ```
//! use std::time::Duration;
//! use operator_config::{ConfigError, ConfigFile};
//!
//! let text = "[control]\nlisten = 127.0.0.1:18000\nlease = 2s\nburst = 64KiB\n";
//! let mut file = ConfigFile::parse("yewpier.ini", text)?;
//! let mut control = file.section("control");
//! assert_eq!(control.duration("lease", Duration::ZERO)?, Duration::from_secs(2));
//! assert_eq!(control.size("burst", 0)?, 65_536);
//! let error = file.reject_unknown().unwrap_err();
//! assert_eq!(error.to_string(), "yewpier.ini:2: [control] listen: no such key");
//! # Ok::<(), ConfigError>(())
//! ```

#![warn(missing_docs)]

mod error;
mod file;
mod lines;
mod section;

pub use error::{ConfigError, KeyLocation};
pub use file::{ConfigFile, LogFormat, LogLevel};
pub use section::Section;
