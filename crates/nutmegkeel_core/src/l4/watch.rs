//! Timeouts of a watch of the store.
//!
//! A watch may stay unanswered because nothing has changed, because its connection has become
//! silent, or because the store was restored from an older copy and its revisions have already
//! passed the one that the watch continues from. The caller cannot distinguish these cases, so each
//! watch ends early enough for the next call to find the change in time.

use std::time::Duration;

/// Upper bound of [`Timeouts::wait`], in milliseconds. Limits how late a watch on a silent
/// connection ends.
const LONGEST_WAIT_MS: u64 = 8_000;

/// Upper bound of [`Timeouts::answer`], in milliseconds.
const LONGEST_ANSWER_MS: u64 = 1_000;

/// Lower bound of [`Timeouts::total`], in milliseconds. Prevents busy polling of the store.
const SHORTEST_TOTAL_MS: u64 = 400;

/// Timeouts of one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// How long the store waits for a change before it answers that there is none.
    pub wait: Duration,
    /// How long the client waits for the answer after that.
    pub answer: Duration,
}

impl Timeouts {
    /// Returns timeouts with which a change is in force within `apply_ms` even if the watch that
    /// should have reported it is never answered. The watch takes at most two thirds of `apply_ms`,
    /// but no less than a lower bound that prevents busy polling. The rest is for the next call and
    /// for the processes that fetch the change from this one.
    #[must_use]
    pub fn for_apply_time(apply_ms: u64) -> Self {
        let total_ms = (apply_ms / 3).saturating_mul(2).max(SHORTEST_TOTAL_MS);
        let answer_ms = LONGEST_ANSWER_MS.min(total_ms / 2);
        let wait_ms = LONGEST_WAIT_MS.min(total_ms - answer_ms);
        Self { wait: Duration::from_millis(wait_ms), answer: Duration::from_millis(answer_ms) }
    }

    /// Returns the same timeouts with `wait` limited to `longest`.
    #[must_use]
    pub fn with_wait_at_most(self, longest: Duration) -> Self {
        Self { wait: self.wait.min(longest), ..self }
    }

    /// Returns the timeout of the whole call.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.wait + self.answer
    }
}
