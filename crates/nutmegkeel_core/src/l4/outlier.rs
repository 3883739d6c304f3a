//! Notices a backend server that breaks requests off although it says that it is well.
//!
//! The load pattern: such a server is rid of each request at once, so it always looks idle and draws
//! more flows than its healthy peers. Its heartbeats and health checks are good; only the broken
//! requests show it.

use crate::clock::Time;

/// Outcomes looked at: about half a second of work at three slots of 60 ms each.
const WINDOW: u32 = 16;

/// Broken requests among them that are no accident. One or two happen when clients and servers close
/// a flow at the same moment.
const BROKEN: u32 = 3;

/// First pause, in milliseconds; it doubles each time the server fails again soon after its return.
const FIRST_PAUSE_MS: u64 = 2_000;

/// Longest pause, in milliseconds: a server that has recovered is missed no longer than this.
const LONGEST_PAUSE_MS: u64 = 16_000;

/// Requests answered in a row after which earlier failures count no more.
const CLEARED: u32 = 50;

/// The last outcomes of one backend server.
#[derive(Debug, Default)]
pub struct Record {
    /// One bit for each outcome, the newest lowest; set if the request was broken off.
    outcomes: u16,
    answered_in_a_row: u32,
    pauses: u32,
    until: Option<Time>,
}

impl Record {
    /// Notes a request that was answered.
    pub fn answered(&mut self) {
        self.outcomes <<= 1;
        self.answered_in_a_row += 1;
        if self.answered_in_a_row >= CLEARED {
            self.pauses = 0;
        }
    }

    /// Notes a request that was broken off; true if the server is to be spared from now on.
    pub fn broken(&mut self, now: Time) -> bool {
        const { assert!(WINDOW == u16::BITS, "the outcomes fill their bits") };
        self.outcomes = self.outcomes << 1 | 1;
        self.answered_in_a_row = 0;
        self.outcomes.count_ones() >= BROKEN && self.spare(now)
    }

    /// Spares the server from now on; false if it is spared already.
    pub fn spare(&mut self, now: Time) -> bool {
        if self.is_failing(now) {
            return false;
        }
        let pause = FIRST_PAUSE_MS << self.pauses.min(3);
        self.until = Some(now.after(pause.min(LONGEST_PAUSE_MS)));
        self.pauses += 1;
        self.outcomes = 0;
        true
    }

    /// Whether the server is spared now.
    #[must_use]
    pub fn is_failing(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Forgets all, for a new incarnation.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
