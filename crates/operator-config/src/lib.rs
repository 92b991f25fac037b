//! The operator's configuration file: INI, one section per subsystem. Whatever the file does not set is off
//! or has its default.
//!
//! A subsystem takes the keys of its section one by one. A key that no subsystem has taken is unknown, which
//! [`ConfigFile::reject_unknown`] reports. Each error names the file, the line, the section and the key.
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
