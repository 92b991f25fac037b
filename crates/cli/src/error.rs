//! Errors that end the program. Each is printed as one line.

use query_router::ServeError;
use query_router::config::ConfigFileError;

/// Why a sub-command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The command line and the environment name no configuration.
    #[error("neither --config nor LB_CONFIG names a configuration")]
    NoConfiguration,
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigFileError),
    /// The operator's file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] operator_config::ConfigError),
    /// The query router cannot serve.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The control plane cannot serve, or cannot say what it would serve.
    #[error("{0}")]
    ControlPlane(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The resources cannot be printed as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl CliError {
    /// What the system reported, if the operator's file could not be read.
    pub fn operator_file_io_error(&self) -> Option<&std::io::Error> {
        match self {
            CliError::OperatorFile(error) => error.io_error(),
            _ => None,
        }
    }

    /// Wraps an error of the control plane.
    pub fn control_plane(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> CliError {
        CliError::ControlPlane(error.into())
    }
}
