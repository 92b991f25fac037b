//! Troubles drawn from a seed: each is a few actions at their times, so several overlap.

use crate::clock::{MILLISECOND, Micros, now};
use crate::cluster::Cluster;
use crate::config::longest_deadline_ms;
use crate::discovery::Mood;
use crate::node::{BEHAVIOURS, Behaviour};
use crate::proxy::Path;
use crate::router_process::Incident;
use fastrand::Rng;
use fault_control::{Call, Fault};
use rustix::process::Signal;

/// For how long clients still connect to a router that was told to end.
const FRONT_DELAY_MS: i64 = 300;
/// When a router is killed after it was told to end, beyond the longest deadline (3 s at most).
const KILL_DELAY_MS: i64 = 700;
/// The longest deadline counts as no more than this.
const MAX_COUNTED_DEADLINE_MS: i64 = 3000;
/// When SIGTERM is sent: it comes more than once.
const TERMINATE_DELAYS_MS: [i64; 3] = [0, 60, 250];
/// When a reload and a look at the counters follow the first of them.
const SIGNAL_SPACING_MS: i64 = 120;
/// How much later than its start a node is told at most.
const MAX_TOLD_LATE_MS: i64 = 1500;
/// How many nodes stay sound.
const MIN_SOUND_NODES: usize = 2;
/// For how long a call or a process is held up.
const HOLD_UP_MS: u64 = 80;

/// How long after SIGTERM a router is killed: as soon as the terms allow it.
fn kill_delay_ms() -> i64 {
    KILL_DELAY_MS + longest_deadline_ms().min(MAX_COUNTED_DEADLINE_MS)
}

/// Something that is done to the cluster.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Tells a process to end, given by its router and its generation.
    Terminate(usize, usize),
    /// Kills a process that was told to end and still runs.
    KillTerminated(usize, usize),
    CloseFront(usize),
    KillRouter(usize),
    StartRouter(usize),
    Reload(usize),
    ReloadHalfConfig(usize),
    CompleteConfig(usize),
    PauseRouter(usize),
    FailCalls(usize),
    HoldUpCalls(usize),
    ClearFaults(usize),
    StepClock(usize, i64),
    SetBehaviour(usize, Behaviour),
    Drain(usize),
    Remove(usize),
    KillNode(usize),
    RestartNode(usize),
    PublishReady(usize),
    PrintCounters(usize),
    PauseNode(usize),
    ResumeNode(usize),
    SetPath(usize, Path),
    ResetPath(usize),
    SetMood(Mood),
    ResetWatches,
}

/// The actions that are still to come.
pub struct Schedule {
    rng: Rng,
    actions: Vec<(Micros, Action)>,
    /// What was done, for the report.
    pub done: Vec<(Micros, String)>,
}

impl Schedule {
    /// A schedule drawn from this seed.
    pub fn new(seed: u64) -> Schedule {
        Schedule { rng: Rng::with_seed(seed), actions: Vec::new(), done: Vec::new() }
    }

    /// Whether nothing is to come.
    pub fn is_empty(&self) -> bool {
        self.actions.is_empty()
    }

    /// Draws a number from 1 to `limit`.
    pub fn draw(&mut self, limit: i64) -> i64 {
        self.rng.i64(1..=limit)
    }

    fn after(&mut self, milliseconds: i64, action: Action) {
        self.actions.push((now() + milliseconds * MILLISECOND, action));
    }

    /// Carries out what is due, and follows up on routers that have ended.
    pub fn run_due(&mut self, cluster: &mut Cluster) {
        let at = now();
        let (due, later): (Vec<_>, Vec<_>) = self.actions.drain(..).partition(|(due, _)| *due <= at);
        self.actions = later;
        for (_, action) in due {
            self.done.push((now(), format!("{action:?}")));
            self.carry_out(cluster, action);
        }
        for router in 0..cluster.routers.len() {
            let was_terminated = cluster.routers[router].incidents.last().map(|last| last.1);
            let is_gone = !cluster.routers[router].check();
            if is_gone && was_terminated == Some(Incident::Terminated) {
                self.after(0, Action::StartRouter(router));
            }
        }
    }

    fn carry_out(&mut self, cluster: &mut Cluster, action: Action) {
        match action {
            Action::Terminate(router, generation) => {
                if cluster.routers[router].generation() == generation {
                    cluster.routers[router].terminate();
                }
            }
            Action::KillTerminated(router, generation) => {
                if cluster.routers[router].generation() == generation {
                    cluster.tell_clients(router, "closed");
                    cluster.routers[router].kill();
                }
            }
            Action::CloseFront(router) => cluster.tell_clients(router, "closed"),
            // A kill without notice is no kill after SIGTERM, which has its time.
            Action::KillRouter(router) if cluster.routers[router].is_terminated() => {}
            Action::KillRouter(router) => {
                cluster.tell_clients(router, "closed");
                cluster.routers[router].kill();
            }
            Action::StartRouter(router) => {
                if !cluster.routers[router].check() {
                    cluster.start_router(router);
                }
            }
            Action::Reload(router) => cluster.reload_router(router),
            Action::ReloadHalfConfig(router) => cluster.reload_half_config(router),
            Action::CompleteConfig(router) => cluster.complete_config(router),
            Action::PauseRouter(router) => cluster.pause_router(router, HOLD_UP_MS),
            Action::FailCalls(router) => fail_calls(cluster, router),
            Action::HoldUpCalls(router) => {
                cluster.set_router_held(router, true);
                let control = &cluster.routers[router].control;
                control.set_delay_ms(HOLD_UP_MS);
                control.set_rate(Call::Send, 5, &[Fault::Delay]);
            }
            Action::ClearFaults(router) => {
                cluster.routers[router].control.clear();
                cluster.set_router_held(router, false);
            }
            Action::StepClock(router, shift) => {
                cluster.routers[router].control.set_wall_clock_shift_ms(shift)
            }
            Action::SetBehaviour(node, behaviour) => cluster.set_behaviour(node, behaviour),
            Action::Drain(node) => cluster.publish(node, "draining"),
            Action::Remove(node) => cluster.publish(node, "gone"),
            Action::KillNode(node) => cluster.kill_node(node),
            Action::RestartNode(node) => cluster.restart_node(node),
            Action::PublishReady(node) => cluster.publish(node, "ready"),
            Action::PrintCounters(router) => cluster.routers[router].signal(Signal::USR1),
            Action::PauseNode(node) => {
                cluster.set_held(node, true);
                cluster.signal_node(node, Signal::STOP);
            }
            Action::ResumeNode(node) => {
                cluster.signal_node(node, Signal::CONT);
                cluster.set_held(node, false);
            }
            Action::SetPath(node, path) => {
                cluster.set_held(node, path != Path::Open);
                cluster.nodes[node].proxy.set_path(path);
            }
            Action::ResetPath(node) => cluster.nodes[node].proxy.reset_all(),
            Action::SetMood(mood) => cluster.set_mood(mood),
            Action::ResetWatches => cluster.discovery.reset_watches(),
        }
    }

    /// Draws a trouble and schedules its actions.
    pub fn add_trouble(&mut self, cluster: &Cluster) {
        let duration = self.rng.i64(800..3000);
        match self.rng.u32(0..10) {
            0..=2 => self.add_router_trouble(cluster, duration),
            3 => self.add_discovery_trouble(duration),
            4 => self.add_fault_trouble(cluster, duration),
            _ => self.add_node_trouble(cluster, duration),
        }
    }

    fn add_router_trouble(&mut self, cluster: &Cluster, duration: i64) {
        let router = self.rng.usize(..cluster.routers.len());
        let runs = matches!(
            cluster.routers[router].incidents.last(),
            Some((_, Incident::Ready | Incident::Paused(_)))
        );
        if !runs {
            return;
        }
        match self.rng.u32(0..6) {
            0 | 1 => {
                let generation = cluster.routers[router].generation();
                for delay in TERMINATE_DELAYS_MS {
                    self.after(delay, Action::Terminate(router, generation));
                }
                if self.rng.u32(0..3) == 0 {
                    self.hang_all_nodes(cluster, kill_delay_ms());
                }
                self.after(SIGNAL_SPACING_MS, Action::Reload(router));
                self.after(SIGNAL_SPACING_MS, Action::PrintCounters(router));
                self.after(FRONT_DELAY_MS, Action::CloseFront(router));
                self.after(kill_delay_ms(), Action::KillTerminated(router, generation));
                self.after(kill_delay_ms() + 50, Action::StartRouter(router));
            }
            2 => {
                self.after(0, Action::KillRouter(router));
                self.after(400, Action::StartRouter(router));
            }
            3 => {
                for reload in 0..3 {
                    self.after(reload * 120, Action::Reload(router));
                }
            }
            4 => {
                self.after(0, Action::ReloadHalfConfig(router));
                self.after(250, Action::CompleteConfig(router));
            }
            _ => {
                self.after(0, Action::PauseRouter(router));
                self.after(duration, Action::PauseRouter(router));
            }
        }
    }

    fn add_discovery_trouble(&mut self, duration: i64) {
        match self.rng.u32(0..4) {
            0 => self.after(0, Action::ResetWatches),
            mood => {
                let mood = [Mood::Down, Mood::Silent, Mood::Slow][mood as usize - 1];
                self.after(0, Action::SetMood(mood));
                self.after(2 * duration, Action::SetMood(Mood::Well));
            }
        }
    }

    fn add_fault_trouble(&mut self, cluster: &Cluster, duration: i64) {
        let router = self.rng.usize(..cluster.routers.len());
        match self.rng.u32(0..4) {
            0 | 1 => self.after(0, Action::FailCalls(router)),
            2 => self.after(0, Action::HoldUpCalls(router)),
            _ => {
                let shift = *self.rng.choice(&[3_600_000, -3_600_000, 5_000, -5_000]).unwrap_or(&0);
                self.after(0, Action::StepClock(router, shift));
                self.after(duration, Action::StepClock(router, 0));
            }
        }
        self.after(duration, Action::ClearFaults(router));
    }

    fn add_node_trouble(&mut self, cluster: &Cluster, duration: i64) {
        let sound = cluster.sound_nodes();
        if sound.len() <= MIN_SOUND_NODES {
            return;
        }
        let node = sound[self.rng.usize(..sound.len())];
        match self.rng.u32(0..8) {
            0 | 1 => {
                self.after(0, Action::Drain(node));
                self.after(duration, Action::Remove(node));
                self.after(duration + 50, Action::KillNode(node));
                self.restart_after(duration + 600, node);
            }
            2 => {
                self.after(0, Action::KillNode(node));
                self.restart_after(duration, node);
            }
            3 => {
                self.after(0, Action::PauseNode(node));
                self.after(duration, Action::ResumeNode(node));
            }
            4 => {
                let path = if self.rng.bool() { Path::Silent } else { Path::Late };
                self.after(0, Action::SetPath(node, path));
                self.after(duration, Action::SetPath(node, Path::Open));
            }
            5 => self.after(0, Action::ResetPath(node)),
            _ => {
                let behaviour = BEHAVIOURS[self.rng.usize(1..BEHAVIOURS.len())];
                self.after(0, Action::SetBehaviour(node, behaviour));
                self.after(duration, Action::SetBehaviour(node, Behaviour::Serve));
            }
        }
    }
}

impl Schedule {
    /// Has all nodes that behave well hang for a while.
    fn hang_all_nodes(&mut self, cluster: &Cluster, milliseconds: i64) {
        for node in cluster.sound_nodes() {
            self.after(0, Action::SetBehaviour(node, Behaviour::Hang));
            self.after(milliseconds, Action::SetBehaviour(node, Behaviour::Serve));
        }
    }

    /// Restarts a node, which is told at once or late.
    fn restart_after(&mut self, milliseconds: i64, node: usize) {
        let told_late = if self.rng.bool() { self.rng.i64(100..MAX_TOLD_LATE_MS) } else { 0 };
        self.after(milliseconds, Action::RestartNode(node));
        self.after(milliseconds + told_late, Action::PublishReady(node));
    }
}

/// Has system calls of a router fail in ways that pass.
fn fail_calls(cluster: &Cluster, router: usize) {
    let control = &cluster.routers[router].control;
    let transfers =
        [Fault::Short, Fault::Error(libc::EINTR), Fault::Error(libc::ENOBUFS), Fault::Error(libc::ENOMEM)];
    let openings = [libc::ENFILE, libc::ENOBUFS, libc::EADDRNOTAVAIL, libc::ENETUNREACH].map(Fault::Error);
    let accepts = [libc::ECONNABORTED, libc::ENFILE, libc::EINTR, libc::EPROTO].map(Fault::Error);
    control.set_rate(Call::Receive, 100, &transfers);
    control.set_rate(Call::Peek, 100, &transfers[1..]);
    control.set_rate(Call::Send, 100, &transfers);
    control.set_rate(Call::Socket, 200, &openings[..2]);
    control.set_rate(Call::Connect, 200, &openings[2..]);
    control.set_rate(Call::Accept, 200, &accepts);
    control.set_rate(Call::Wait, 50, &[Fault::Error(libc::EINTR)]);
    control.set_rate(Call::ReadSignal, 300, &[Fault::Error(libc::EINTR)]);
    control.set_rate(Call::Register, 100, &[Fault::Error(libc::ENOMEM)]);
    control.set_rate(Call::Open, 300, &[Fault::Error(libc::ENFILE)]);
}
