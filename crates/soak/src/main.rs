//! A soak test of the query router: routers, data nodes and clients run as processes on loopback while troubles drawn from
//! a seed overlap in time. All processes write what they see to one record, which is judged by invariants alone.
//!
//! `soak run --seeds 1,2,3 --seconds 20` prints a line for each violation, with ids, and fails if there is one.

mod checker;
mod client;
mod clock;
mod cluster;
mod config;
mod discovery;
mod idle_connections;
mod node;
mod proxy;
mod record;
mod recording_process;
mod router_process;
mod run;
mod schedule;
mod stall;

use argh::FromArgs;
use std::process::ExitCode;

/// Run routers, data nodes and clients under overlapping troubles, and check invariants.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(run::Run),
    Node(node::Node),
    Client(client::Client),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match args.command {
        Command::Run(run) => return run.run(),
        Command::Node(node) => node.run(),
        Command::Client(client) => client.run(),
    }
    ExitCode::SUCCESS
}
