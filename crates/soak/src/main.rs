//! A soak test of the query router. Routers, data nodes and clients run as processes on loopback while disruptions that
//! are drawn from a seed overlap in time. All processes report events to one list of records, and a run passes if the
//! records satisfy the invariants.
//!
//! `soak run --seeds 1,2,3 --seconds 20` prints a line with the ids for each violation, and fails if there is one.

mod checker;
mod client;
mod clock;
mod cluster;
mod config;
mod discovery;
mod floods;
mod node;
mod proxy;
mod record;
mod recording_process;
mod response;
mod router_process;
mod run;
mod schedule;
mod stall;

use argh::FromArgs;
use std::process::ExitCode;

/// Run routers, data nodes and clients under overlapping disruptions, and check invariants.
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
    Flood(floods::client::Flood),
    Floods(floods::Floods),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match args.command {
        Command::Run(run) => return run.run(),
        Command::Node(node) => node.run(),
        Command::Client(client) => client.run(),
        Command::Flood(flood) => flood.run(),
        Command::Floods(floods) => return floods.run(),
    }
    ExitCode::SUCCESS
}
