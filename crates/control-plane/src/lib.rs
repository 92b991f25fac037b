//! The control service: hands the module's decisions to other proxies through xDS v3, and takes what they report
//! as evidence. Its life:
//!
//! 1. It watches discovery (`watch`) and tells the module each list (`fleet`), as a router does.
//! 2. The module is asked how each node stands; that makes the plan (`plan`): who holds which shards, how much may
//!    be in flight where, what would be deferred.
//! 3. The plan becomes resources (`catalog`), each encoded once for all proxies that get the same.
//! 4. A proxy opens a stream and asks (`session`); it is sent what it has not, in the order that leaves no gap.
//! 5. Who may have how much in flight at a cold node is kept in a ledger (`ledger`): less goes out before more.
//! 6. A node that is to get no new work is followed until each proxy has accepted that (`departures`).
//! 7. What proxies report is checked, pooled (`loads`) and told to the module as evidence.
//!
//! Read `control` (the reducer that holds all of it) after `plan` and `session`; `codec` and `serve` are the way to
//! the sockets, `tls` the certificates, `dump` a look from outside. `docs/control.md` says what was weighed.

mod catalog;
mod codec;
mod control;
mod departures;
mod dump;
mod fleet;
mod kinds;
mod ledger;
mod loads;
mod metrics;
mod options;
mod plan;
mod serve;
mod session;
mod tls;
mod watch;

pub use control::{Control, Effect, Fault, Service, Stream, TICK};
pub use dump::dump;
pub use kinds::{ByName, Kind, Outline, Resource};
pub use options::Options;
pub use serve::{run, runtime, serve};
pub use session::{Heard, Mode, Response, Session};
