//! yewpier serves a retrieval from many shards: it sends each part to a data node that holds its shard and
//! answers when the parts are in. This crate holds the decisions; a front turns its protocol into the calls
//! of [`Events`] and carries out what comes back through [`Actions`].
//!
//! All times are whole microseconds; nodes, retrievals and parts are small indices that the front hands out.
//!
//! ```
//! use balancer::{Actions, Balance, End, Events, Listing, Micros, Node, Outcome, Phase, Settings, Value};
//!
//! #[derive(Default)]
//! struct Tape(Vec<String>);
//! impl Actions for Tape {
//!     fn send(&mut self, part: usize, node: Node, _allow: Micros) {
//!         self.0.push(format!("send {part} to {node}"));
//!     }
//!     fn finish(&mut self, retrieval: usize, end: End) {
//!         self.0.push(format!("{retrieval} ends {end:?}"));
//!     }
//! }
//!
//! let mut settings = Settings::default();
//! for (name, value) in [("shards.replica_sets", 1.0), ("shards.replica_sets_per_shard", 1.0), ("class.0.latency_objective_us", 1e6)] {
//!     settings.set(name, Value::Number(value));
//! }
//! let (mut router, mut tape) = (Balance::new(7, settings), Tape::default());
//! router.list_begins(0, Listing::Whole);
//! router.listed(0, 5, 0, 0, Phase::Ready, 1.0, 0);
//! router.list_ends(0, &mut tape);
//! router.retrieval(0, 1, 0, 0, 2_000_000, 0, 1, false);
//! router.part(0, 1, 2, 0, 1.0, 0);
//! router.settle(0, &mut tape);
//! router.outcome(90_000, 2, 0, 5, Outcome::Ok, 90_000, &[]);
//! router.settle(90_000, &mut tape);
//! assert_eq!(tape.0, ["send 2 to 5", "1 ends Whole"]);
//! ```

mod balance;
mod samples;
mod settings;
mod state;

pub use balance::Balance;
pub use settings::{Settings, Value};

/// A time or a span in whole microseconds.
pub type Micros = i64;
/// The index of a data node.
pub type Node = usize;

/// How a shot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    /// The node answered with an error; the part may have run.
    Error,
    /// Turned away unseen.
    Full,
    Overdue,
    /// No connection came about.
    Unreachable,
    /// The connection broke.
    Broken,
    /// Withdrawn by this router.
    Withdrawn,
    /// Never left this router.
    Unsent,
    /// What came back could not be read; the part may have run.
    Spoilt,
}

impl Outcome {
    /// Whether it proves that the part never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::Unsent)
    }
}

/// What a list of nodes is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    Changes,
    Whole,
    /// The list kept on disk from before the start; it may be old.
    Disk,
    /// A call to the registry failed or the subscription broke; nothing is listed.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

/// The answer to a retrieval. `Part` is an answer from fewer parts than make it whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Whole,
    Part,
    /// Not done and harmless to ask again, best after the stated time (0: no advice).
    Deferred(Micros),
    /// Not done, and nothing is promised.
    GivenUp,
}

/// What a node is good for at this instant, for fronts that hand decisions on. `parts` is how many parts all
/// routers together may have in flight there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    Open {
        parts: f64,
    },
    /// Something went wrong there and it owes an answer.
    Doubtful {
        parts: f64,
    },
    /// Started of late or out of reach: it bears this share of what a warm node does.
    Cold {
        parts: f64,
        share: f64,
    },
    BarredUntil(Micros),
    Draining,
    Gone,
}

/// What others met at a node since they last said so, in sums.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sums {
    pub answered: f64,
    /// Ended otherwise; they may have run.
    pub failed: f64,
    /// Never ran for want of a connection.
    pub unreachable: f64,
    /// In flight there now.
    pub held: f64,
    /// The mean lag of those answered.
    pub lag: Micros,
}

/// What a front tells the module. Events of one instant come in their order, then `settle` once.
pub trait Events {
    fn list_begins(&mut self, now: Micros, listing: Listing);
    /// One line of the list that has begun; `up_since` is 0 for long ago.
    #[allow(clippy::too_many_arguments)]
    fn listed(
        &mut self, now: Micros, node: Node, zone: usize, cell: usize, phase: Phase, scale: f64,
        up_since: Micros,
    );
    fn list_ends(&mut self, now: Micros, acts: &mut dyn Actions);
    /// A retrieval of a service class, to be ended before `until`; its parts follow before `settle`.
    /// `work` is a rough figure for all its parts, 0 where there is none.
    #[allow(clippy::too_many_arguments)]
    fn retrieval(
        &mut self, now: Micros, retrieval: usize, class: usize, tenant: usize, until: Micros, work: Micros,
        parts: usize, again: bool,
    );
    fn part(&mut self, now: Micros, retrieval: usize, part: usize, shard: usize, weight: f64, work: Micros);
    /// Shot number `trial` of a part is over, `lag` after it was sent; `load` is the node's report, if any.
    #[allow(clippy::too_many_arguments)]
    fn outcome(
        &mut self, now: Micros, part: usize, trial: usize, node: Node, outcome: Outcome, lag: Micros,
        load: &[(&str, f64)],
    );
    /// What others met at a node.
    fn summed(&mut self, _now: Micros, _node: Node, _sums: &Sums) {}
    /// The client has left.
    fn client_left(&mut self, now: Micros, retrieval: usize);
    fn probed(&mut self, _now: Micros, _node: Node, _outcome: Outcome, _lag: Micros, _load: &[(&str, f64)]) {}
    fn timer(&mut self, now: Micros, token: u64);
    /// The answer to a shot of a streamed class has begun: it is the client's from here on.
    fn started(&mut self, _now: Micros, _part: usize, _trial: usize, _node: Node, _lag: Micros) {}
    /// Another router sent a few bytes.
    fn told(&mut self, _now: Micros, _peer: usize, _data: &[u8]) {}
    /// All that came in at this instant has been told: decide.
    fn settle(&mut self, now: Micros, acts: &mut dyn Actions);
}

/// What the module asks of a front. What a front cannot do it may leave out.
#[allow(unused_variables)]
pub trait Actions {
    /// Sends a part's next shot; sends of one `settle` to one node share a call. `allow` 0: without limit.
    fn send(&mut self, part: usize, node: Node, allow: Micros);
    fn withdraw(&mut self, part: usize, trial: usize) {}
    /// The final answer; with a second step, its first `Whole` or `Part` brings further parts instead.
    fn finish(&mut self, retrieval: usize, end: End);
    /// No shot of the retrieval is out and it has ended: its indices are free.
    fn forget(&mut self, retrieval: usize) {}
    /// The node is gone and nothing refers to it: its index is free, and what was seen of it is forgotten.
    fn release(&mut self, node: Node) {}
    fn set_timer(&mut self, wait: Micros, token: u64) {}
    fn probe(&mut self, node: Node) {}
    fn let_go(&mut self, node: Node) {}
    fn subscribe(&mut self, on: bool) {}
    fn reload(&mut self) {}
    /// Sends a few bytes to one peer, or to all.
    fn tell(&mut self, peer: Option<usize>, data: &[u8]) {}
    fn log(&mut self, line: &str) {}
}
