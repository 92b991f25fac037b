//! Runs many routers on the simulator's protocol: reads batches of events from standard input and writes one reply
//! per batch to standard output. This crate only translates; the decisions are made in the crate `balancer`.

mod codes;
mod error;
mod host;
mod instance;
mod line;
mod reply;

use error::AdapterError;
use host::{BatchStatus, Host};
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// Replies to batches until the end of the input.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut bytes = Vec::new();
    let mut line_number = 0;
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(AdapterError::Input)? == 0 {
            break;
        }
        line_number += 1;
        let line = std::str::from_utf8(&bytes)
            .map_err(|cause| AdapterError::NotUtf8 { line: line_number, cause })?;
        let line = line.trim_end_matches(['\n', '\r']);
        if !line.is_empty() && host.handle_line(line_number, line)? == BatchStatus::Finished {
            output.write_all(host.reply()).map_err(AdapterError::Output)?;
            output.flush().map_err(AdapterError::Output)?;
        }
    }
    if host.is_in_batch() {
        return Err(AdapterError::EndedInsideBatch { line: line_number });
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
