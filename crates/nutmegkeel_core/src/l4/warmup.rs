//! How many openings a backend server takes while it is cold.
//!
//! The load pattern: a failure domain is taken back, or servers start again at full load. They are empty,
//! so everybody sends them all that is new, in one moment, while they bear a fraction of it. The agent
//! counts what its server was given, because it alone sees what all balancers send.

use std::collections::VecDeque;

use crate::clock::Time;

/// A cold server's rate holds in any span of this length, in milliseconds: it is stated per second.
const SPAN_MS: u64 = 1_000;

/// Counts the openings that a server was given within the last second.
#[derive(Debug, Default)]
pub struct Budget {
    /// Openings a second that the server bears while it is cold; zero where no rate is given.
    per_s: u32,
    given: VecDeque<Time>,
}

impl Budget {
    /// Takes in the rate that the operator states.
    pub const fn set_rate(&mut self, per_s: u32) {
        self.per_s = per_s;
    }

    /// Notes an opening that went to the server. A warm server's count too, and those without a rate: it
    /// may turn cold within the same second, and a change of the rate reaches balancers unevenly.
    pub fn give(&mut self, now: Time) {
        self.expire(now);
        self.given.push_back(now);
    }

    /// Openings that the server may be given now; none where no rate is given.
    #[must_use]
    pub fn room(&self, now: Time) -> Option<u32> {
        if self.per_s == 0 {
            return None;
        }
        let recent = self.given.iter().rev().take_while(|at| now.since(**at) <= SPAN_MS).count();
        Some(self.per_s.saturating_sub(u32::try_from(recent).unwrap_or(u32::MAX)))
    }

    fn expire(&mut self, now: Time) {
        while self.given.front().is_some_and(|at| now.since(*at) > SPAN_MS) {
            self.given.pop_front();
        }
    }
}
