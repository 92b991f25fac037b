use crate::{log_to_stderr, operator, platform};
use argh::FromArgs;
use control_plane::{Options, dump, serve};
use std::time::{SystemTime, UNIX_EPOCH};

/// Hand out decisions to other proxies through xDS until told to end.
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
    pub fn run(self) -> Result<(), String> {
        let mut file = operator(self.operator)?;
        log_to_stderr(&mut file)?;
        let options = Options::read(&mut file.section("control")).map_err(|error| error.to_string())?;
        file.all_known()?;
        let (config, path) = platform(self.config)?;
        if !self.dump {
            return serve(config, path, options).map_err(|error| error.to_string());
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64;
        let shown =
            dump(now, &config, options, &self.node_id, &self.zone).map_err(|error| error.to_string())?;
        println!("{}", serde_json::to_string_pretty(&shown).map_err(|e| e.to_string())?);
        Ok(())
    }
}
