//! The sub-command `control`.

use crate::{CliError, log_to_stderr, read_configuration, read_operator_file};
use argh::FromArgs;
use control_plane::{Options, dump, serve};
use query_router::config::Config;
use std::time::{SystemTime, UNIX_EPOCH};

/// Serve routing decisions to other proxies over xDS until a signal requests shutdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub struct Control {
    /// path of the platform's configuration (default: $LB_CONFIG)
    #[argh(option)]
    config: Option<String>,
    /// path of the operator's file (default: $YEWPIER_OPERATOR); its section [control] sets the listen address
    #[argh(option)]
    operator: Option<String>,
    /// print the resources for one proxy as JSON, with the endpoints listed in the configuration, and exit
    #[argh(switch)]
    dump: bool,
    /// id of the proxy for --dump (default: dump)
    #[argh(option, default = "String::from(\"dump\")")]
    node_id: String,
    /// zone of the proxy for --dump (default: none)
    #[argh(option, default = "String::new()")]
    zone: String,
}

impl Control {
    /// Serves until a signal requests shutdown or, with `--dump`, prints the resources for one proxy.
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
