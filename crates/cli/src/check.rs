use crate::{operator, platform};
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
    pub fn run(self) -> Result<(), String> {
        let mut file = operator(self.operator)?;
        file.log_format()?;
        Options::read(&mut file.section("control")).map_err(|error| error.to_string())?;
        file.all_known()?;
        println!("{}: fit to serve", platform(self.config)?.0.name);
        Ok(())
    }
}
