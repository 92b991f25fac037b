//! yewpier: a query router that serves a retrieval from many shards, and what stands around it. One file a
//! sub-command.

mod check;
mod control;
mod serve;
mod version;

use argh::FromArgs;
use operator_config::{ConfigError, ConfigFile, LogFormat};
use query_router::config::Config;
use std::process::ExitCode;

/// A query router that serves a retrieval from many shards.
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

/// The platform's configuration and its path: as stated, else where $LB_CONFIG says.
fn platform(path: Option<String>) -> Result<(Config, String), String> {
    let path = path.or_else(|| std::env::var("LB_CONFIG").ok());
    let path = path.ok_or("neither --config nor LB_CONFIG names a configuration")?;
    Ok((Config::read(&path)?, path))
}

/// The operator's file: as stated, else where $YEWPIER_OPERATOR says, else one in which all is off.
fn operator(path: Option<String>) -> Result<ConfigFile, ConfigError> {
    match path.or_else(|| std::env::var("YEWPIER_OPERATOR").ok()) {
        Some(path) => ConfigFile::read(&path),
        None => ConfigFile::parse("no operator's file", ""),
    }
}

/// Log lines go to standard error, in the form that the operator's file states.
fn log_to_stderr(file: &mut ConfigFile) -> Result<(), ConfigError> {
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false);
    match file.log_format()? {
        LogFormat::Text => log.without_time().init(),
        LogFormat::Json => log.json().init(),
    }
    Ok(())
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let done = match args.command {
        Command::Serve(serve) => serve.run(),
        Command::Control(control) => control.run(),
        Command::Check(check) => check.run(),
        Command::Version(version) => version.run(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("query-router: {why}");
            ExitCode::FAILURE
        }
    }
}
