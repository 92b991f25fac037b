//! The sub-command `check`.

use crate::{CliError, read_configuration, read_operator_file};
use argh::FromArgs;
use control_plane::Options;

/// Check the platform's configuration and the operator's file, and report the first error.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// path of the platform's configuration (default: $LB_CONFIG)
    #[argh(option)]
    config: Option<String>,
    /// path of the operator's file (default: $YEWPIER_OPERATOR)
    #[argh(option)]
    operator: Option<String>,
}

impl Check {
    /// Checks both files. Prints the router's name and that the configuration is valid if both are.
    pub fn run(self) -> Result<(), CliError> {
        let mut file = read_operator_file(self.operator)?;
        file.log_format()?;
        file.log_level()?;
        Options::read(&mut file.section("control")).map_err(CliError::control_plane)?;
        file.reject_unknown()?;
        let (config, _) = read_configuration(self.config)?;
        println!("{}: the configuration is valid", config.name);
        Ok(())
    }
}
