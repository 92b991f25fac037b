use crate::{log_to_stderr, operator, platform};
use argh::FromArgs;

/// Serve on sockets until told to end.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// the configuration, $LB_CONFIG unless stated
    #[argh(option)]
    config: Option<String>,
    /// the operator's file, $YEWPIER_OPERATOR unless stated; without one all that it sets is off
    #[argh(option)]
    operator: Option<String>,
}

impl Serve {
    pub fn run(self) -> Result<(), String> {
        let signals = query_router::heed_signals()?;
        let mut file = operator(self.operator).map_err(|error| error.to_string())?;
        log_to_stderr(&mut file).map_err(|error| error.to_string())?;
        let (config, path) = platform(self.config)?;
        query_router::serve(signals, config, path)
    }
}
