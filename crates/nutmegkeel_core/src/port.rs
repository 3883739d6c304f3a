//! Whether a silent process still exists, as attempts to connect to its port show.
//!
//! Silence alone does not tell a process that is suspended from one that has ended, or from a host
//! that is down. The kernel of the host does: it answers whether or not the process runs.

use serde::{Deserialize, Serialize};

use crate::clock::Time;

/// Pause before a check that was not answered is repeated, in milliseconds. Its packet may have been
/// lost.
const RETRY_MS: u64 = 500;

/// Time after which a check without a result is given up, in milliseconds. Results arrive within
/// 400 ms.
const RESULT_TIMEOUT_MS: u64 = 1_000;

/// Time for which the answer of a host counts beyond the pause between two checks, in milliseconds:
/// two attempts, so that one lost packet changes nothing.
const GRACE_MS: u64 = 2 * RETRY_MS;

/// Maximum number of checks in one period of silence, beyond those allowed for somebody who waits.
const MAX_CHECKS: u32 = 12;

/// State of a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The connection was established: a process has the port open, even if it is suspended.
    Open,
    /// The connection was refused: the host runs, and no process has the port open.
    Closed,
    /// Nothing was received in time: the host is down, suspended as a whole or out of reach, or the
    /// queue of new connections is full.
    Unanswered,
}

impl State {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Closed => "closed",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// State of the port.
    pub state: State,
    /// When the check was requested. The port was in that state at some time since.
    pub asked_at: Time,
}

/// Checks of the port of one process, during one period of its silence.
#[derive(Clone, Copy, Debug)]
pub struct Monitor {
    /// Pause between two checks that the host answers, in milliseconds.
    interval_ms: u64,
    asked_at: Option<Time>,
    latest: Option<Finding>,
    /// The last finding of a host that answered.
    answer: Option<Finding>,
    /// Number of further checks.
    left: u32,
}

impl Monitor {
    /// Creates a monitor that repeats answered checks after `interval_ms`.
    #[must_use]
    pub const fn open(interval_ms: u64) -> Self {
        Self { interval_ms, asked_at: None, latest: None, answer: None, left: MAX_CHECKS }
    }

    /// Records that the process was heard: its silence is over.
    pub const fn clear(&mut self) {
        *self = Self::open(self.interval_ms);
    }

    /// Extends the time for which the host's answer counts by a period in which this process did not
    /// run and could repeat no check.
    pub fn extend(&mut self, span_ms: u64) {
        if let Some(answer) = &mut self.answer {
            answer.asked_at = answer.asked_at.after(span_ms);
        }
    }

    /// Allows another check although the maximum is reached: somebody waits for the process.
    pub fn allow(&mut self) {
        self.left = self.left.max(1);
    }

    /// Returns whether a check is due, and counts it as requested.
    pub fn request(&mut self, now: Time) -> bool {
        let pause_ms = match self.latest {
            _ if self.is_pending(now) => RESULT_TIMEOUT_MS,
            Some(Finding { state: State::Open | State::Closed, .. }) => self.interval_ms,
            Some(Finding { state: State::Unanswered, .. }) | None => RETRY_MS,
        };
        let is_due = self.asked_at.is_none_or(|asked_at| now.since(asked_at) >= pause_ms);
        if !is_due || self.left == 0 {
            return false;
        }
        self.left -= 1;
        self.asked_at = Some(now);
        true
    }

    /// Records a result. One of an earlier request is ignored.
    pub fn record(&mut self, finding: Finding) {
        if self.asked_at != Some(finding.asked_at) {
            return;
        }
        self.latest = Some(finding);
        if finding.state != State::Unanswered {
            self.answer = Some(finding);
        }
    }

    /// Returns whether a check was requested and may still have a result.
    #[must_use]
    pub fn is_pending(&self, now: Time) -> bool {
        let has_result = self.latest.map(|latest| latest.asked_at) == self.asked_at;
        let is_recent = |asked_at| now.since(asked_at) < RESULT_TIMEOUT_MS;
        !has_result && self.asked_at.is_some_and(is_recent)
    }

    /// Returns the state that the last check found, unless that is too long ago.
    #[must_use]
    pub fn state(&self, now: Time) -> Option<State> {
        self.latest.filter(|latest| self.is_valid(now, latest)).map(|latest| latest.state)
    }

    /// Returns whether the host has answered, and not too long ago. One check without an answer
    /// changes nothing.
    #[must_use]
    pub fn is_host_up(&self, now: Time) -> bool {
        self.answer.is_some_and(|answer| self.is_valid(now, &answer))
    }

    const fn is_valid(&self, now: Time, finding: &Finding) -> bool {
        now.since(finding.asked_at) <= self.interval_ms + GRACE_MS
    }
}
