//! Notes when a process of the run did not get to run, so that what it measured then is too late by as much.

use crate::clock::{MILLISECOND, Micros, now, sleep_ms};
use crate::record::Record;
use std::thread::JoinHandle;

/// How long the watching thread sleeps each time.
const SLEEP_MS: u64 = 5;
/// A sleep that lasts longer than asked for by this is reported.
const REPORTED_FROM: Micros = 10 * MILLISECOND;

/// Watches this process, that of a data node or another one, on a thread of its own until `report` returns false.
pub fn watch(
    node: Option<usize>, report: impl Fn(Option<Record>) -> bool + Send + 'static,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        loop {
            let from = now();
            sleep_ms(SLEEP_MS);
            let until = now();
            let late = until - from - SLEEP_MS as Micros * MILLISECOND;
            let stall = (late > REPORTED_FROM).then_some(Record::Stalled { node, from, until });
            if !report(stall) {
                return;
            }
        }
    })
}

/// How many threads for each processor want to run on a machine whose threads have to wait for long.
const BUSY_THREADS_PER_PROCESSOR: usize = 2;

/// Whether so many threads of the machine want to run that some have to wait for long.
pub fn is_machine_busy() -> bool {
    let Ok(statistics) = std::fs::read_to_string("/proc/stat") else { return false };
    let running =
        statistics.lines().find_map(|line| line.strip_prefix("procs_running ")?.trim().parse().ok());
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    running.is_some_and(|running: usize| running > BUSY_THREADS_PER_PROCESSOR * processors)
}

/// Watches this process and prints its stalls.
pub fn watch_and_print(node: Option<usize>) {
    watch(node, |stall| {
        if let Some(stall) = stall {
            stall.print();
        }
        true
    });
}
