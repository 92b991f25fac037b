//! The sub-command `version`.

use crate::CliError;
use argh::FromArgs;

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {}

impl Version {
    /// Prints the program's name and version.
    pub fn run(self) -> Result<(), CliError> {
        println!("query-router {}", env!("CARGO_PKG_VERSION"));
        Ok(())
    }
}
