//! The sub-command `check`.

use crate::{CliError, read_configuration, read_operator_file};
use argh::FromArgs;
use control_plane::Options;

/// Read a configuration and the operator's file and say what is wrong with them.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the configuration, $LB_CONFIG unless stated
    #[argh(option)]
    config: Option<String>,
    /// the operator's file, $YEWPIER_OPERATOR unless stated
    #[argh(option)]
    operator: Option<String>,
}

impl Check {
    /// Checks both files and prints that they can be served with.
    pub fn run(self) -> Result<(), CliError> {
        let mut file = read_operator_file(self.operator)?;
        file.log_format()?;
        file.log_level()?;
        Options::read(&mut file.section("control")).map_err(CliError::control_plane)?;
        file.reject_unknown()?;
        let (config, _) = read_configuration(self.config)?;
        println!("{}: fit to serve", config.name);
        Ok(())
    }
}
