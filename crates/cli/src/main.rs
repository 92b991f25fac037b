//! Command line of the query router and the control plane. Each sub-command has a module of its own.

mod allocator;
mod check;
mod control;
mod error;
mod serve;
mod version;

use argh::FromArgs;
use error::CliError;
use operator_config::{ConfigFile, LogFormat, LogLevel};
use query_router::LogOutput;
use query_router::config::Config;
use std::process::ExitCode;

/// Query router, which fans queries out to shards, and its control plane.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(serve::Serve),
    Control(control::Control),
    Check(check::Check),
    Version(version::Version),
}

/// Returns the path of the platform's configuration: `path`, or the value of `$LB_CONFIG` if `path` is absent.
fn configuration_path(path: Option<String>) -> Result<String, CliError> {
    path.or_else(|| std::env::var("LB_CONFIG").ok()).ok_or(CliError::NoConfiguration)
}

/// Reads the platform's configuration and returns it with its path.
fn read_configuration(path: Option<String>) -> Result<(Config, String), CliError> {
    let path = configuration_path(path)?;
    Ok((Config::read(&path)?, path))
}

/// Reads the operator's file from `path`, or from the path in `$YEWPIER_OPERATOR` if `path` is absent. Without
/// either, the file counts as empty, which disables all optional features.
fn read_operator_file(path: Option<String>) -> Result<ConfigFile, CliError> {
    let file = match path.or_else(|| std::env::var("YEWPIER_OPERATOR").ok()) {
        Some(path) => ConfigFile::read(&path),
        None => ConfigFile::parse("<no operator's file>", ""),
    };
    Ok(file?)
}

/// Initializes logging to standard error with the level and the format set in the operator's file.
fn log_to_stderr(file: &mut ConfigFile) -> Result<(), CliError> {
    let level = match file.log_level()? {
        LogLevel::Info => tracing::Level::INFO,
        LogLevel::Debug => tracing::Level::DEBUG,
    };
    let log =
        tracing_subscriber::fmt().with_writer(LogOutput::default).with_target(false).with_max_level(level);
    match file.log_format()? {
        LogFormat::Text => log.without_time().init(),
        LogFormat::Json => log.json().init(),
    }
    Ok(())
}

fn main() -> ExitCode {
    allocator::return_freed_buffers();
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Serve(serve) => serve.run(),
        Command::Control(control) => control.run(),
        Command::Check(check) => check.run(),
        Command::Version(version) => version.run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("query-router: {error}");
            ExitCode::FAILURE
        }
    }
}
