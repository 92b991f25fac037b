//! yewpier: a query router that serves a retrieval from many shards.

mod clients;
mod config;
mod counters;
mod discovery;
mod effects;
mod frames;
mod gather;
mod http;
mod links;
mod query;
mod reducer;
mod scatter;
mod serve;

use argh::FromArgs;
use config::Config;
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
    Serve(Serve),
    Check(Check),
    Version(Version),
}

/// Serve on sockets until told to end.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration, $LB_CONFIG unless stated
    #[argh(option)]
    config: Option<String>,
}

/// Read a configuration and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration, $LB_CONFIG unless stated
    #[argh(option)]
    config: Option<String>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn read(path: Option<String>) -> Result<(Config, String), String> {
    let path = path.or_else(|| std::env::var("LB_CONFIG").ok());
    let path = path.ok_or("neither --config nor LB_CONFIG names a configuration")?;
    Ok((Config::read(&path)?, path))
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).without_time().init();
    let done = match args.command {
        Command::Serve(Serve { config }) => {
            read(config).and_then(|(config, path)| serve::serve(config, path))
        }
        Command::Check(Check { config }) => {
            read(config).map(|read| println!("{}: fit to serve", read.0.name))
        }
        Command::Version(Version {}) => {
            println!("yewpier {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("yewpier: {why}");
            ExitCode::FAILURE
        }
    }
}
