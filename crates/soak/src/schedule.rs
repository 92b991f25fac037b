//! The schedule of disruptions, which are drawn from a seed. Each consists of a few actions at given times, and several
//! may overlap.

use crate::clock::{MILLISECOND, Micros, now};
use crate::cluster::Cluster;
use crate::config::longest_deadline_ms;
use crate::discovery::DiscoveryMode;
use crate::floods::kind::{FloodKind, NAMES as FLOOD_KINDS};
use crate::node::{BEHAVIOURS, Behaviour};
use crate::proxy::Forwarding;
use crate::router_process::RouterEvent;
use fastrand::Rng;
use fault_control::{Call, Fault};
use rustix::process::Signal;

/// How long after SIGTERM clients still connect to a router.
const CONNECT_PERIOD_AFTER_SIGTERM_MS: i64 = 300;
/// A router is killed this long after SIGTERM plus the longest deadline, counted up to [`MAX_COUNTED_DEADLINE_MS`].
const KILL_DELAY_MS: i64 = 700;
/// Upper bound of the longest deadline in the time from SIGTERM to the kill.
const MAX_COUNTED_DEADLINE_MS: i64 = 3000;
/// Delays after which SIGTERM is sent. Routers have to handle repeated signals.
const TERMINATE_DELAYS_MS: [i64; 3] = [0, 60, 250];
/// How long after the first SIGTERM a reload and the output of the counters are requested.
const SIGNAL_SPACING_MS: i64 = 120;
/// Upper bound of the time from the restart of a node until discovery publishes it.
const MAX_PUBLISH_DELAY_MS: i64 = 1500;
/// No disruption of a node begins if this number of nodes or fewer serve normally.
const MIN_SERVING_NODES: usize = 2;
/// Mean time from one flood to the next.
const FLOOD_INTERVAL_MS: i64 = 2000;
/// Distinguishes the random numbers of floods from those of other disruptions.
const FLOOD_SEED: u64 = 0x000f_100d;
/// In the run of every seed with this remainder of division by [`CROWD_SEEDS`], watches end and a node drains while
/// clients with half a request hold the descriptors of a router.
const CROWD_SEED: u64 = 1;
const CROWD_SEEDS: u64 = 4;
/// Distinguishes the random numbers of crowds from those of other disruptions.
const CROWD_RANDOM_SEED: u64 = 0x00c4_0da1;
/// Times after the start of a crowd: its clients hold all descriptors, the watches have ended, the drained node is
/// removed, and the removal is known to all routers for some time.
const CROWD_RESET_MS: i64 = 1500;
const CROWD_DRAIN_MS: i64 = 2500;
const CROWD_REMOVE_MS: i64 = 3500;
const CROWD_END_MS: i64 = 12_000;
/// In the run of every seed with this remainder of division by [`CROWD_SEEDS`], a router is killed, two nodes drain and
/// are removed while it is away, and discovery is overloaded when it comes back. Its seeds are even: lists are pushed.
const RESTART_SEED: u64 = 2;
/// Distinguishes the random numbers of these restarts from those of other disruptions.
const RESTART_RANDOM_SEED: u64 = 0x0005_7a27;
/// Times after the start of the run: the router is killed, the nodes drain and are removed, discovery is overloaded, the
/// router is started, and its clients, some of which come before it is ready, are let in; discovery has recovered, and
/// the nodes are back.
const RESTART_KILL_MS: i64 = 1500;
const RESTART_DRAIN_MS: i64 = 2000;
const RESTART_REMOVE_MS: i64 = 2400;
const RESTART_OVERLOAD_MS: i64 = 2800;
const RESTART_START_MS: i64 = 3000;
const RESTART_OPEN_MS: i64 = 3100;
const RESTART_RECOVERY_MS: i64 = 7000;
const RESTART_READY_MS: i64 = 9000;
/// How long a system call or a router's process is delayed.
const DELAY_MS: u64 = 80;

/// Returns how long after SIGTERM a router is killed: the shortest shutdown period that routers have to cope with.
fn kill_delay_ms() -> i64 {
    KILL_DELAY_MS + longest_deadline_ms().min(MAX_COUNTED_DEADLINE_MS)
}

/// An action on the cluster. The first number is the index of a router or of a node. Runs print the names.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Sends SIGTERM to the process of a router with this generation, if it is the current one.
    Terminate(usize, usize),
    /// Kills the process of a router with this generation if it still runs after SIGTERM.
    KillTerminated(usize, usize),
    /// Makes the clients of a router open no more connections.
    StopNewConnections(usize),
    KillRouter(usize),
    StartRouter(usize),
    /// Lets the clients of a router connect although it may not be ready.
    OpenClients(usize),
    Reload(usize),
    ReloadHalfConfig(usize),
    CompleteConfig(usize),
    PauseRouter(usize),
    FailCalls(usize),
    /// Delays some of the calls by which a router sends data.
    DelayCalls(usize),
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
    /// Changes how the proxy of a node forwards bytes.
    SetForwarding(usize, Forwarding),
    /// Resets the open connections through the proxy of a node.
    ResetProxyConnections(usize),
    /// Changes how discovery responds.
    SetDiscoveryMode(DiscoveryMode),
    ResetWatches,
    /// Lets clients with half a request use up the descriptors of a router.
    StartCrowd(usize),
    EndCrowd,
    /// Starts clients that flood a router with requests of a kind for this number of milliseconds.
    Flood(usize, FloodKind, u64),
}

/// The actions that are due in the future, and those that were carried out.
pub struct Schedule {
    rng: Rng,
    /// Draws the floods, so that the other disruptions of a seed do not depend on them.
    flood_rng: Rng,
    /// The number of floods so far; the kinds come in turn.
    floods: usize,
    /// Time before which no disruption of discovery is drawn, since a planned one is in progress.
    discovery_planned_until: Micros,
    actions: Vec<(Micros, Action)>,
    /// Actions that were carried out, with their times.
    pub history: Vec<(Micros, String)>,
}

impl Schedule {
    /// Returns an empty schedule whose disruptions are drawn from this seed.
    pub fn new(seed: u64) -> Schedule {
        let flood_rng = Rng::with_seed(seed ^ FLOOD_SEED);
        Schedule {
            rng: Rng::with_seed(seed),
            flood_rng,
            floods: seed as usize,
            discovery_planned_until: 0,
            actions: Vec::new(),
            history: Vec::new(),
        }
    }

    /// Returns whether no action is due in the future.
    pub fn is_empty(&self) -> bool {
        self.actions.is_empty()
    }

    /// Draws a number from 1 to `limit`.
    pub fn draw(&mut self, limit: i64) -> i64 {
        self.rng.i64(1..=limit)
    }

    fn schedule_after(&mut self, milliseconds: i64, action: Action) {
        self.actions.push((now() + milliseconds * MILLISECOND, action));
    }

    /// Carries out the actions that are due, and restarts routers that have ended after SIGTERM.
    pub fn run_due(&mut self, cluster: &mut Cluster) {
        let at = now();
        let (due, later): (Vec<_>, Vec<_>) = self.actions.drain(..).partition(|(due, _)| *due <= at);
        self.actions = later;
        for (_, action) in due {
            self.history.push((now(), format!("{action:?}")));
            self.apply(cluster, action);
        }
        cluster.admit_clients_of_ready_routers();
        for router in 0..cluster.routers.len() {
            let last_event = cluster.routers[router].events.last().map(|last| last.1);
            let is_gone = !cluster.routers[router].check_running();
            if is_gone && last_event == Some(RouterEvent::Terminated) {
                self.schedule_after(0, Action::StartRouter(router));
            }
        }
    }

    fn apply(&mut self, cluster: &mut Cluster, action: Action) {
        match action {
            Action::Terminate(router, generation) => {
                if cluster.routers[router].generation() == generation {
                    cluster.routers[router].terminate();
                }
            }
            Action::KillTerminated(router, generation) => {
                if cluster.routers[router].generation() == generation {
                    cluster.send_to_clients(router, "closed");
                    cluster.routers[router].kill();
                }
            }
            Action::StopNewConnections(router) => cluster.send_to_clients(router, "closed"),
            // A router that was sent SIGTERM is killed by `KillTerminated` only, after its shutdown period.
            Action::KillRouter(router) if cluster.routers[router].is_terminated() => {}
            Action::KillRouter(router) => {
                cluster.send_to_clients(router, "closed");
                cluster.routers[router].kill();
            }
            Action::StartRouter(router) => {
                if !cluster.routers[router].check_running() {
                    cluster.start_router(router);
                }
            }
            Action::OpenClients(router) => cluster.send_to_clients(router, "open"),
            Action::Reload(router) => cluster.reload_router(router),
            Action::ReloadHalfConfig(router) => cluster.reload_half_config(router),
            Action::CompleteConfig(router) => cluster.complete_config(router),
            Action::PauseRouter(router) => cluster.pause_router(router, DELAY_MS),
            Action::FailCalls(router) => inject_call_errors(cluster, router),
            Action::DelayCalls(router) => {
                cluster.set_router_delayed(router, true);
                let control = &cluster.routers[router].control;
                control.set_delay_ms(DELAY_MS);
                control.set_rate(Call::Send, 5, &[Fault::Delay]);
            }
            Action::ClearFaults(router) => {
                cluster.routers[router].control.clear();
                cluster.set_router_delayed(router, false);
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
                cluster.set_node_delayed(node, true);
                cluster.signal_node(node, Signal::STOP);
            }
            Action::ResumeNode(node) => {
                cluster.signal_node(node, Signal::CONT);
                cluster.set_node_delayed(node, false);
            }
            Action::SetForwarding(node, forwarding) => {
                cluster.set_node_delayed(node, forwarding != Forwarding::Open);
                cluster.nodes[node].proxy.set_forwarding(forwarding);
            }
            Action::ResetProxyConnections(node) => cluster.nodes[node].proxy.reset_all(),
            Action::SetDiscoveryMode(mode) => cluster.set_discovery_mode(mode),
            Action::ResetWatches => cluster.discovery.reset_watches(),
            Action::StartCrowd(router) => cluster.start_crowd(router),
            Action::EndCrowd => cluster.end_crowd(),
            Action::Flood(router, kind, milliseconds) => cluster.start_flood(router, kind, milliseconds),
        }
    }

    /// Schedules a flood of the next kind at a router, and returns the time until the next one.
    pub fn add_flood(&mut self, cluster: &Cluster) -> Micros {
        let router = self.flood_rng.usize(..cluster.routers.len());
        let (_, kind) = FLOOD_KINDS[self.floods % (FLOOD_KINDS.len() - 1)];
        self.floods += 1;
        let milliseconds = self.flood_rng.u64(500..1500);
        self.schedule_after(0, Action::Flood(router, kind, milliseconds));
        self.flood_rng.i64(FLOOD_INTERVAL_MS / 2..FLOOD_INTERVAL_MS * 3 / 2) * MILLISECOND
    }

    /// Schedules the crowd of the run with this seed, if it has one.
    pub fn add_crowd(&mut self, cluster: &Cluster, seed: u64) {
        if seed % CROWD_SEEDS != CROWD_SEED {
            return;
        }
        let mut rng = Rng::with_seed(seed ^ CROWD_RANDOM_SEED);
        let router = rng.usize(..cluster.routers.len());
        let node = rng.usize(..cluster.nodes.len());
        self.schedule_after(0, Action::StartCrowd(router));
        self.schedule_after(CROWD_RESET_MS, Action::ResetWatches);
        self.schedule_after(CROWD_DRAIN_MS, Action::Drain(node));
        self.schedule_after(CROWD_REMOVE_MS, Action::Remove(node));
        self.schedule_after(CROWD_END_MS, Action::EndCrowd);
        self.schedule_after(CROWD_END_MS, Action::PublishReady(node));
    }

    /// Schedules the restart beside an overloaded discovery of the run with this seed, if it has one.
    pub fn add_restart(&mut self, cluster: &Cluster, seed: u64) {
        if seed % CROWD_SEEDS != RESTART_SEED {
            return;
        }
        let mut rng = Rng::with_seed(seed ^ RESTART_RANDOM_SEED);
        let router = rng.usize(..cluster.routers.len());
        let first = rng.usize(..cluster.nodes.len());
        let nodes = [first, (first + 1) % cluster.nodes.len()];
        self.schedule_after(RESTART_KILL_MS, Action::KillRouter(router));
        for node in nodes {
            self.schedule_after(RESTART_DRAIN_MS, Action::Drain(node));
            self.schedule_after(RESTART_REMOVE_MS, Action::Remove(node));
            self.schedule_after(RESTART_READY_MS, Action::PublishReady(node));
        }
        self.schedule_after(RESTART_OVERLOAD_MS, Action::SetDiscoveryMode(DiscoveryMode::Overloaded));
        self.schedule_after(RESTART_START_MS, Action::StartRouter(router));
        self.schedule_after(RESTART_OPEN_MS, Action::OpenClients(router));
        self.schedule_after(RESTART_RECOVERY_MS, Action::SetDiscoveryMode(DiscoveryMode::Normal));
        self.discovery_planned_until = now() + RESTART_RECOVERY_MS * MILLISECOND;
    }

    /// Draws a disruption and schedules its actions.
    pub fn add_disruption(&mut self, cluster: &Cluster) {
        let duration = self.rng.i64(800..3000);
        match self.rng.u32(0..10) {
            0..=2 => self.add_router_disruption(cluster, duration),
            3 => self.add_discovery_disruption(duration),
            4 => self.add_fault_disruption(cluster, duration),
            _ => self.add_node_disruption(cluster, duration),
        }
    }

    fn add_router_disruption(&mut self, cluster: &Cluster, duration: i64) {
        let router = self.rng.usize(..cluster.routers.len());
        let is_running = matches!(
            cluster.routers[router].events.last(),
            Some((_, RouterEvent::Ready | RouterEvent::Paused(_)))
        );
        if !is_running {
            return;
        }
        match self.rng.u32(0..6) {
            0 | 1 => {
                let generation = cluster.routers[router].generation();
                for delay in TERMINATE_DELAYS_MS {
                    self.schedule_after(delay, Action::Terminate(router, generation));
                }
                if self.rng.u32(0..3) == 0 {
                    self.hang_all_nodes(cluster, kill_delay_ms());
                }
                self.schedule_after(SIGNAL_SPACING_MS, Action::Reload(router));
                self.schedule_after(SIGNAL_SPACING_MS, Action::PrintCounters(router));
                self.schedule_after(CONNECT_PERIOD_AFTER_SIGTERM_MS, Action::StopNewConnections(router));
                self.schedule_after(kill_delay_ms(), Action::KillTerminated(router, generation));
                self.schedule_after(kill_delay_ms() + 50, Action::StartRouter(router));
            }
            2 => {
                self.schedule_after(0, Action::KillRouter(router));
                self.schedule_after(400, Action::StartRouter(router));
            }
            3 => {
                for reload in 0..3 {
                    self.schedule_after(reload * 120, Action::Reload(router));
                }
            }
            4 => {
                self.schedule_after(0, Action::ReloadHalfConfig(router));
                self.schedule_after(250, Action::CompleteConfig(router));
            }
            _ => {
                self.schedule_after(0, Action::PauseRouter(router));
                self.schedule_after(duration, Action::PauseRouter(router));
            }
        }
    }

    fn add_discovery_disruption(&mut self, duration: i64) {
        let modes = [
            DiscoveryMode::Down,
            DiscoveryMode::Silent,
            DiscoveryMode::Slow,
            DiscoveryMode::Crowded,
            DiscoveryMode::Trickling,
        ];
        match self.rng.usize(0..=modes.len()) {
            0 => self.schedule_after(0, Action::ResetWatches),
            _ if now() < self.discovery_planned_until => {}
            mode => {
                let mode = modes[mode - 1];
                self.schedule_after(0, Action::SetDiscoveryMode(mode));
                self.schedule_after(2 * duration, Action::SetDiscoveryMode(DiscoveryMode::Normal));
            }
        }
    }

    fn add_fault_disruption(&mut self, cluster: &Cluster, duration: i64) {
        let router = self.rng.usize(..cluster.routers.len());
        match self.rng.u32(0..4) {
            0 | 1 => self.schedule_after(0, Action::FailCalls(router)),
            2 => self.schedule_after(0, Action::DelayCalls(router)),
            _ => {
                let shift = *self.rng.choice(&[3_600_000, -3_600_000, 5_000, -5_000]).unwrap_or(&0);
                self.schedule_after(0, Action::StepClock(router, shift));
                self.schedule_after(duration, Action::StepClock(router, 0));
            }
        }
        self.schedule_after(duration, Action::ClearFaults(router));
    }

    fn add_node_disruption(&mut self, cluster: &Cluster, duration: i64) {
        let serving = cluster.serving_nodes();
        if serving.len() <= MIN_SERVING_NODES {
            return;
        }
        let node = serving[self.rng.usize(..serving.len())];
        match self.rng.u32(0..8) {
            0 | 1 => {
                self.schedule_after(0, Action::Drain(node));
                self.schedule_after(duration, Action::Remove(node));
                self.schedule_after(duration + 50, Action::KillNode(node));
                self.restart_after(duration + 600, node);
            }
            2 => {
                self.schedule_after(0, Action::KillNode(node));
                self.restart_after(duration, node);
            }
            3 => {
                self.schedule_after(0, Action::PauseNode(node));
                self.schedule_after(duration, Action::ResumeNode(node));
            }
            4 => {
                let forwarding = if self.rng.bool() { Forwarding::Silent } else { Forwarding::Late };
                self.schedule_after(0, Action::SetForwarding(node, forwarding));
                self.schedule_after(duration, Action::SetForwarding(node, Forwarding::Open));
            }
            5 => self.schedule_after(0, Action::ResetProxyConnections(node)),
            _ => {
                let behaviour = BEHAVIOURS[self.rng.usize(1..BEHAVIOURS.len())];
                self.schedule_after(0, Action::SetBehaviour(node, behaviour));
                self.schedule_after(duration, Action::SetBehaviour(node, Behaviour::Serve));
            }
        }
    }
}

impl Schedule {
    /// Makes all nodes that serve normally hang for this time.
    fn hang_all_nodes(&mut self, cluster: &Cluster, milliseconds: i64) {
        for node in cluster.serving_nodes() {
            self.schedule_after(0, Action::SetBehaviour(node, Behaviour::Hang));
            self.schedule_after(milliseconds, Action::SetBehaviour(node, Behaviour::Serve));
        }
    }

    /// Restarts a node after this time; discovery publishes it at once or after a further delay.
    fn restart_after(&mut self, milliseconds: i64, node: usize) {
        let publish_delay = if self.rng.bool() { self.rng.i64(100..MAX_PUBLISH_DELAY_MS) } else { 0 };
        self.schedule_after(milliseconds, Action::RestartNode(node));
        self.schedule_after(milliseconds + publish_delay, Action::PublishReady(node));
    }
}

/// Makes system calls of a router fail with transient errors or transfer fewer bytes than requested.
fn inject_call_errors(cluster: &Cluster, router: usize) {
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
