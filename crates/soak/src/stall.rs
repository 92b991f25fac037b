//! Detects periods in which a process of the run was not scheduled. Times that it measured then are late by up to the
//! length of the period.

use crate::clock::{MILLISECOND, Micros, now, sleep_ms};
use crate::record::Record;
use std::thread::JoinHandle;

/// How long the watching thread sleeps between two readings of the clock.
const SLEEP_MS: u64 = 5;
/// A sleep that takes longer than requested by more than this is reported as a stall.
const MIN_REPORTED_STALL: Micros = 10 * MILLISECOND;

/// Watches this process for stalls on a separate thread until `report` returns false, which is called after each sleep.
/// `node` is the index of the data node that runs in this process, if any.
pub fn watch(
    node: Option<usize>, report: impl Fn(Option<Record>) -> bool + Send + 'static,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        loop {
            let from = now();
            sleep_ms(SLEEP_MS);
            let until = now();
            let excess = until - from - SLEEP_MS as Micros * MILLISECOND;
            let stall = (excess > MIN_REPORTED_STALL).then_some(Record::Stalled { node, from, until });
            if !report(stall) {
                return;
            }
        }
    })
}

/// Number of runnable threads per processor above which the machine counts as overloaded.
const MAX_RUNNABLE_THREADS_PER_PROCESSOR: usize = 2;

/// Returns whether so many threads of the machine are runnable that some wait long for a processor.
pub fn is_machine_overloaded() -> bool {
    let Ok(statistics) = std::fs::read_to_string("/proc/stat") else { return false };
    let runnable =
        statistics.lines().find_map(|line| line.strip_prefix("procs_running ")?.trim().parse().ok());
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    runnable.is_some_and(|runnable: usize| runnable > MAX_RUNNABLE_THREADS_PER_PROCESSOR * processors)
}

/// Watches this process for stalls and prints them as records.
pub fn watch_and_print(node: Option<usize>) {
    watch(node, |stall| {
        if let Some(stall) = stall {
            stall.print();
        }
        true
    });
}
