//! The sub-command `control`.

use crate::{CliError, log_to_stderr, read_configuration, read_operator_file};
use argh::FromArgs;
use control_plane::{Options, dump, serve};
use query_router::config::Config;
use std::time::{SystemTime, UNIX_EPOCH};

/// Serve decisions to other proxies through xDS until a signal asks for the shutdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub struct Control {
    /// the configuration, $LB_CONFIG unless stated
    #[argh(option)]
    config: Option<String>,
    /// the operator's file, $YEWPIER_OPERATOR unless stated; its section [control] names where to listen
    #[argh(option)]
    operator: Option<String>,
    /// print the resources that a proxy would get, as JSON, by the list in the configuration; serve nothing
    #[argh(switch)]
    dump: bool,
    /// the proxy's id, with --dump
    #[argh(option, default = "String::from(\"dump\")")]
    node_id: String,
    /// the proxy's zone, with --dump
    #[argh(option, default = "String::new()")]
    zone: String,
}

impl Control {
    /// Serves until a signal asks for the shutdown, or prints a proxy's resources.
    pub fn run(self) -> Result<(), CliError> {
        let mut file = read_operator_file(self.operator.clone())?;
        log_to_stderr(&mut file)?;
        let options = Options::read(&mut file.section("control")).map_err(CliError::control_plane)?;
        file.reject_unknown()?;
        let (config, path) = read_configuration(self.config.clone())?;
        if self.dump {
            self.print_resources(&config, options)
        } else {
            serve(config, path, options).map_err(CliError::control_plane)
        }
    }

    fn print_resources(&self, config: &Config, options: Options) -> Result<(), CliError> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64;
        let resources =
            dump(now, config, options, &self.node_id, &self.zone).map_err(CliError::control_plane)?;
        println!("{}", serde_json::to_string_pretty(&resources)?);
        Ok(())
    }
}
