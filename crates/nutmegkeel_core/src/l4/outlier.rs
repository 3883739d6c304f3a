//! Detection of a backend server that breaks requests off although it reports that it is healthy.
//!
//! Such a server finishes each request at once, so it always looks idle and attracts more flows
//! than its healthy peers. Its heartbeats and health checks are good; only the broken requests show
//! the fault.

use crate::clock::Time;

/// Number of outcomes considered: those of about half a second, for three slots and requests of 60
/// ms.
const WINDOW: u32 = 16;

/// Number of broken requests among them that show a fault. One or two occur when the client and the
/// server close a flow at the same time.
const MIN_BROKEN: u32 = 3;

/// First pause, in milliseconds. It doubles each time the server fails again soon after its return.
const FIRST_PAUSE_MS: u64 = 2_000;

/// Longest pause, in milliseconds. A recovered server goes unused for no longer than this.
const MAX_PAUSE_MS: u64 = 16_000;

/// Number of consecutive answered requests after which earlier pauses no longer count.
const CLEAR_AFTER: u32 = 50;

/// Recent outcomes of one backend server, and whether it is spared.
#[derive(Debug, Default)]
pub struct Detector {
    /// One bit for each outcome, the newest in the lowest bit; set if the request was broken off.
    outcomes: u16,
    answered_in_a_row: u32,
    pauses: u32,
    spared_until: Option<Time>,
}

impl Detector {
    /// Records a request that was answered.
    pub fn record_answered(&mut self) {
        self.outcomes <<= 1;
        self.answered_in_a_row += 1;
        if self.answered_in_a_row >= CLEAR_AFTER {
            self.pauses = 0;
        }
    }

    /// Records a request that was broken off; returns whether the server is spared from now on
    /// because of it.
    pub fn record_broken(&mut self, now: Time) -> bool {
        const { assert!(WINDOW == u16::BITS, "each outcome in the window has one bit") };
        self.outcomes = self.outcomes << 1 | 1;
        self.answered_in_a_row = 0;
        self.outcomes.count_ones() >= MIN_BROKEN && self.spare(now)
    }

    /// Spares the server from now on; returns `false` if it is already spared.
    pub fn spare(&mut self, now: Time) -> bool {
        if self.is_failing(now) {
            return false;
        }
        let pause = FIRST_PAUSE_MS << self.pauses.min(3);
        self.spared_until = Some(now.after(pause.min(MAX_PAUSE_MS)));
        self.pauses += 1;
        self.outcomes = 0;
        true
    }

    /// Returns whether the server is spared.
    #[must_use]
    pub fn is_failing(&self, now: Time) -> bool {
        self.spared_until.is_some_and(|until| now < until)
    }

    /// Resets the state, for a new incarnation.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
