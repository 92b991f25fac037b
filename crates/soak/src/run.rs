//! The `run` command, which runs the soak test for one seed after another.

use crate::checker::check_run;
use crate::clock::{MILLISECOND, Micros, SECOND, now, sleep_ms};
use crate::cluster::{Cluster, Size};
use crate::record::Record;
use crate::router_process::RouterProcess;
use crate::schedule::Schedule;
use crate::stall;
use argh::FromArgs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Run the soak test and check its invariants.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// the seeds, separated by commas; default 1
    #[argh(option, default = "String::from(\"1\")")]
    seeds: String,
    /// for how many seconds new disruptions begin in the run of each seed; default 20
    #[argh(option, default = "20")]
    seconds: u64,
    /// how many routers run; default 6
    #[argh(option, default = "6")]
    routers: usize,
    /// how many data nodes run; default 10
    #[argh(option, default = "10")]
    nodes: usize,
    /// how many client processes each router has; default 2
    #[argh(option, default = "2")]
    clients: usize,
    /// the mean time from one disruption to the next in milliseconds; default 700
    #[argh(option, default = "700")]
    interval_ms: i64,
    /// the path of the router's executable; default: query-router in the directory of this executable
    #[argh(option)]
    program: Option<PathBuf>,
    /// rules, separated by commas, whose violations are printed as known and do not fail the run (KNOWN-RED.txt)
    #[argh(option, default = "String::new()")]
    known: String,
    /// print all actions, all events of the routers' processes and the routers' logs
    #[argh(switch)]
    verbose: bool,
}

/// Interval at which the resources that the routers use are sampled.
const SAMPLE_INTERVAL_MS: i64 = 250;
/// Interval at which the load of the machine is sampled.
const LOAD_SAMPLE_INTERVAL: Micros = 50 * MILLISECOND;
/// Time from the last action to the end of the run, in which open requests may complete.
const SETTLE_TIME_MS: u64 = 500;

impl Run {
    /// Runs all seeds. Returns failure if a rule that `--known` does not name was violated.
    pub fn run(self) -> ExitCode {
        if !fault_control::IS_SUPPORTED {
            eprintln!("soak: faults can be injected into system calls only on Linux on x86-64 and arm64");
            return ExitCode::FAILURE;
        }
        let seeds: Result<Vec<u64>, _> = self.seeds.split(',').map(str::parse).collect();
        let Ok(seeds) = seeds else {
            eprintln!(
                "soak: --seeds must be a list of non-negative integers separated by commas, such as 1,2,3"
            );
            return ExitCode::FAILURE;
        };
        let program = self.program.clone().unwrap_or_else(default_program);
        let violations: usize = seeds.into_iter().map(|seed| self.run_seed(&program, seed)).sum();
        if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }

    /// Runs one seed and prints its violations. Returns the number of those that `--known` does not name.
    fn run_seed(&self, program: &Path, seed: u64) -> usize {
        let size = Size { routers: self.routers, nodes: self.nodes, clients_per_router: self.clients };
        let mut cluster = Cluster::start(size, program, seed);
        let (records, has_ended) = (cluster.records.clone(), Arc::new(AtomicBool::new(false)));
        let flag = has_ended.clone();
        let watch = stall::watch(None, move |stall| {
            records.lock().expect("the mutex is not poisoned").extend(stall);
            !flag.load(Ordering::SeqCst)
        });
        let mut schedule = Schedule::new(seed);
        let started = now();
        schedule.add_crowd(&cluster, seed);
        schedule.add_restart(&cluster, seed);
        let mut next_disruption_at = started + SECOND;
        let mut next_flood_at = started + SECOND;
        let mut next_sample_at = started;
        let mut next_load_sample_at = started;
        let end = started + self.seconds as i64 * SECOND;
        while now() < end || !schedule.is_empty() {
            if now() >= next_disruption_at && now() < end {
                schedule.add_disruption(&cluster);
                next_disruption_at = now() + schedule.draw(2 * self.interval_ms.max(1)) * MILLISECOND;
            }
            if now() >= next_flood_at && now() < end {
                next_flood_at = now() + schedule.add_flood(&cluster);
            }
            schedule.run_due(&mut cluster);
            if now() >= next_load_sample_at {
                next_load_sample_at = now() + LOAD_SAMPLE_INTERVAL;
                record_load(&cluster);
            }
            if now() >= next_sample_at {
                cluster.routers.iter_mut().for_each(RouterProcess::sample_usage);
                next_sample_at = now() + SAMPLE_INTERVAL_MS * MILLISECOND;
            }
            sleep_ms(5);
        }
        sleep_ms(SETTLE_TIME_MS);
        cluster.finish();
        has_ended.store(true, Ordering::SeqCst);
        let _ = watch.join();
        self.report(&cluster, &schedule, seed)
    }

    fn report(&self, cluster: &Cluster, schedule: &Schedule, seed: u64) -> usize {
        let records = cluster.records.lock().expect("the mutex is not poisoned");
        let (totals, violations) = check_run(cluster, &records);
        let faults: u64 = cluster.routers.iter().map(|router| router.control.injected_in_all()).sum();
        for violation in &violations {
            println!("seed {seed}: {violation}");
        }
        for violation in &violations {
            for record in records.iter().filter(|record| record.id().is_some_and(|id| violation.mentions(id)))
            {
                println!("seed {seed}: trace of a violation: {record:?}");
            }
        }
        for router in &cluster.routers {
            for line in router.log.lock().expect("the mutex is not poisoned").iter() {
                let is_about = |word: &str| violations.iter().any(|violation| violation.mentions(word));
                if line.split(['"', ' ', '=']).any(is_about) {
                    println!("seed {seed}: router {} logged about a violation: {line}", router.index);
                }
            }
        }
        if self.verbose || !violations.is_empty() {
            for (at, action) in &schedule.history {
                println!("seed {seed}: done at {} ms: {action}", at / MILLISECOND);
            }
            for router in &cluster.routers {
                for (at, event) in &router.events {
                    println!("seed {seed}: router {} at {} ms: {event:?}", router.index, at / MILLISECOND);
                }
            }
        }
        if self.verbose {
            for router in &cluster.routers {
                for line in router.log.lock().expect("the mutex is not poisoned").iter() {
                    println!("seed {seed}: router {} logged: {line}", router.index);
                }
            }
        }
        println!(
            "seed {seed}: {} violations; {} requests, {} complete, {} rejected, {} failed; {} attempts, {} repeated; \
             {} responses cut off, {} with surplus bytes; {} actions, {faults} faults injected into system calls; attempts at most {} ms beyond a deadline and {} ms \
             after the end of a request, longest stall {} ms, {} attempts near stalls checked by the wider bound",
            violations.len(),
            totals.requests,
            totals.complete,
            totals.rejected,
            totals.failed,
            totals.attempts,
            totals.repeated_attempts,
            totals.responses_cut_off,
            totals.responses_with_surplus,
            schedule.history.len(),
            totals.peaks.deadline_excess / MILLISECOND,
            totals.peaks.after_end / MILLISECOND,
            totals.peaks.stall / MILLISECOND,
            totals.peaks.near_stalls
        );
        let is_known = |rule: &str| self.known.split(',').any(|known| known == rule);
        let known = violations.iter().filter(|violation| is_known(violation.rule)).count();
        if known > 0 {
            println!("seed {seed}: {known} of them known and not counted as failures: {}", self.known);
        }
        violations.len() - known
    }
}

/// Records the next sampling interval as a stall if the machine is overloaded.
fn record_load(cluster: &Cluster) {
    if stall::is_machine_overloaded() {
        let from = now();
        let stall = Record::Stalled { node: None, from, until: from + LOAD_SAMPLE_INTERVAL };
        cluster.records.lock().expect("the mutex is not poisoned").push(stall);
    }
}

/// Returns the path of the router beside this executable.
pub fn default_program() -> PathBuf {
    let program = std::env::current_exe().expect("the path of this executable is known");
    program.with_file_name("query-router")
}
