//! The sub-command `serve`.

use crate::{CliError, configuration_path, log_to_stderr, read_operator_file};
use argh::FromArgs;

/// Serve queries until a signal requests shutdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// path of the platform's configuration (default: $LB_CONFIG)
    #[argh(option)]
    config: Option<String>,
    /// path of the operator's file (default: $YEWPIER_OPERATOR); without it, all optional features are off
    #[argh(option)]
    operator: Option<String>,
}

impl Serve {
    /// Serves until a signal requests shutdown.
    pub fn run(self) -> Result<(), CliError> {
        let signals = query_router::block_signals()?;
        let read_file = || read_operator_file(self.operator.clone());
        let mut operator_file = query_router::retry_at_start(read_file, CliError::operator_file_io_error)?;
        log_to_stderr(&mut operator_file)?;
        let path = configuration_path(self.config)?;
        let config = query_router::read_config(&path)?;
        query_router::serve(signals, config, path)?;
        Ok(())
    }
}
