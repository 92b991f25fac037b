//! When nodes started, by the clock of this process. Discovery states starts by its own wall clock, and the wall clock of
//! this machine may be wrong, so the two are reconciled by what is known for certain: no start lies in the future, and a
//! start that discovery names for the first time came after the list before.

#[cfg(test)]
mod tests;

use balancer::Micros;

/// How long after a change discovery may tell it at the latest, as the operators state it.
const MAX_NOTICE_DELAY: Micros = 6_000_000;

/// How far a time that discovery states may differ from this process's clock without showing that they differ: its
/// resolution of a second, and the way of the response.
const CLOCK_TOLERANCE: Micros = 3_000_000;
/// Half of the resolution of a time that discovery states.
const HALF_RESOLUTION: Micros = 500_000;

/// The start of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeStart {
    /// As discovery states it, 0 for long ago.
    reported: Micros,
    /// By the clock of this process, 0 for long ago.
    started_at: Micros,
    /// Whether the clocks had been compared when it was converted.
    is_verified: bool,
}

impl NodeStart {
    /// The start by the clock of this process, 0 for long ago.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }
}

/// Converts starts to the clock of this process.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// When discovery last sent a list.
    last_list_at: Option<Micros>,
    /// The least age of any node when it was named, by both clocks: how far the clock of this process may be ahead.
    least_age: Option<Micros>,
    /// How far the clock of this process is ahead of discovery's, once discovery has stated its time.
    clock_ahead: Option<Micros>,
}

impl StartTimes {
    /// Notes the time that discovery states, in whole seconds.
    pub fn time_stated(&mut self, now: Micros, stated: Micros) {
        let ahead = now - stated - HALF_RESOLUTION;
        self.clock_ahead = Some(if ahead.abs() > CLOCK_TOLERANCE { ahead } else { 0 });
    }

    /// Notes that discovery has sent a list, all entries of which were converted.
    pub fn list_received(&mut self, now: Micros) {
        self.last_list_at = Some(now);
    }

    /// The start of a node that discovery names with this start; `previous` is what was known of it.
    pub fn convert(&mut self, now: Micros, reported: Micros, previous: Option<NodeStart>) -> NodeStart {
        let age = now - self.clock_ahead.unwrap_or(0) - reported;
        let is_verified = self.clock_ahead.is_some();
        let started_at = match previous {
            Some(previous) if previous.reported == reported => {
                if previous.is_verified || !is_verified || reported == 0 || self.clock_ahead == Some(0) {
                    return previous;
                }
                now - age.max(0)
            }
            _ if reported == 0 => previous.map_or(0, |previous| previous.started_at),
            _ => self.started_at(now, age, previous),
        };
        NodeStart { reported, started_at, is_verified }
    }

    fn started_at(&mut self, now: Micros, age: Micros, previous: Option<NodeStart>) -> Micros {
        let least_age = self.least_age.map_or(age, |least| least.min(age));
        self.least_age = Some(least_age);
        let longest_credible = self.last_list_at.map_or(Micros::MAX, |at| now - at + MAX_NOTICE_DELAY);
        if (0..=longest_credible).contains(&age) {
            return now - age;
        }
        // The clocks differ, or a node is named long after its start. A process that replaced another one is new; any
        // other is as old as stated if the clocks were compared, or else older than the youngest, which may have started
        // just now.
        let is_restart = previous.is_some_and(|previous| previous.reported != 0 || previous.started_at == 0);
        match self.clock_ahead {
            _ if is_restart || age < 0 => now,
            Some(_) => now - age,
            None => now - (age - least_age),
        }
    }
}
