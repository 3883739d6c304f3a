//! Limit on the rate of openings that a backend server takes while it is cold.
//!
//! The limit matters when a failure domain is taken back, or when servers restart at full load.
//! They are idle, so all balancers send them all new flows at once, while they can serve only a
//! fraction. The agent counts the openings of its server, because only the agent sees those of all
//! balancers.

use std::collections::VecDeque;

use crate::clock::Time;

/// Length of the sliding window in which the rate holds, in milliseconds. The rate is given per
/// second.
const WINDOW_MS: u64 = 1_000;

/// Counts the openings that were sent to a server within the last second.
#[derive(Debug, Default)]
pub struct Budget {
    /// Maximum rate of openings while the server is cold, per second; zero if no rate is
    /// configured.
    per_s: u32,
    recent: VecDeque<Time>,
}

impl Budget {
    /// Sets the rate that the operator configured.
    pub const fn set_rate(&mut self, per_s: u32) {
        self.per_s = per_s;
    }

    /// Records an opening that was sent to the server. This includes openings to a warm server,
    /// which may become cold within the same second, and openings without a rate, because a change
    /// of the rate reaches balancers at different times.
    pub fn record(&mut self, now: Time) {
        self.expire(now);
        self.recent.push_back(now);
    }

    /// Returns how many openings the server may get now; `None` if no rate is configured.
    #[must_use]
    pub fn room(&self, now: Time) -> Option<u32> {
        if self.per_s == 0 {
            return None;
        }
        let recent = self.recent.iter().rev().take_while(|at| now.since(**at) <= WINDOW_MS).count();
        Some(self.per_s.saturating_sub(u32::try_from(recent).unwrap_or(u32::MAX)))
    }

    fn expire(&mut self, now: Time) {
        while self.recent.front().is_some_and(|at| now.since(*at) > WINDOW_MS) {
            self.recent.pop_front();
        }
    }
}
