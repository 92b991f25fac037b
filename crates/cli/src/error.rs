//! Errors that end the program. `main` prints them to standard error.

use query_router::ServeError;
use query_router::config::ConfigFileError;

/// Error of a sub-command.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// Neither the command line nor the environment sets the path of the configuration.
    #[error("no configuration file: use --config or set LB_CONFIG")]
    NoConfiguration,
    /// The platform's configuration is unreadable or invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigFileError),
    /// The operator's file is unreadable or invalid.
    #[error(transparent)]
    OperatorFile(#[from] operator_config::ConfigError),
    /// The query router failed to start or to serve.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The control plane has invalid options, failed to serve or could not print the resources of a proxy.
    #[error("{0}")]
    ControlPlane(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The resources could not be converted to JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl CliError {
    /// Returns the I/O error that prevented reading the operator's file; `None` for any other error.
    pub fn operator_file_io_error(&self) -> Option<&std::io::Error> {
        match self {
            CliError::OperatorFile(error) => error.io_error(),
            _ => None,
        }
    }

    /// Converts an error of the control plane.
    pub fn control_plane(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> CliError {
        CliError::ControlPlane(error.into())
    }
}
