//! Detection of a backend server that accepts requests and never answers them.
//!
//! Such a server accepts flows, acknowledges requests and sends heartbeats, so only the missing
//! answers show the fault. Its clients wait until their deadline on open flows, and new flows
//! arrive whenever one gives up. The normal response time is learned from the server itself,
//! because it may be 5 ms for one service and 5 s for another.

use crate::clock::Time;

/// Time without a single answer after which the server counts as mute, as a multiple of the time
/// that nearly every request takes. Eight, because a server that became several times slower still
/// answers occasionally. A server with two slots and exponentially distributed service times is
/// silent for so long less than once in ten million requests.
const SILENT_TURNS: u64 = 8;

/// Minimum time without a single answer, as a multiple of the objective and in percent of the
/// deadline, whatever the usual time is.
///
/// Guards against sparing a healthy server that pauses once, or that gets two requests of a rare,
/// long kind together while the usual time was learned from many short ones. A request past its
/// objective is late anyway.
const MIN_OBJECTIVES: u64 = 2;
const MIN_DEADLINE_PERCENT: u64 = 25;

/// Minimum number of waiting requests. A single one may lack a packet that its client is still
/// retransmitting.
const MIN_REQUESTS: usize = 2;

/// Number of answers from which the usual time is learned before the server is judged. With a
/// guessed time a cold server would count as mute, and its peers would get its share.
const MIN_ANSWERS: u32 = 16;

/// Longest gap between two checks, in milliseconds. After a longer one this process has stalled,
/// and may not have read answers that arrived in that time.
const STALL_MS: u64 = 400;

/// Requests that wait for the server's answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outstanding {
    /// Number of requests in progress.
    pub requests: usize,
    /// When the oldest of them was sent to the server.
    pub since: Option<Time>,
    /// Longest of their objectives, in milliseconds.
    pub objective_ms: u64,
    /// Longest of their deadlines, in milliseconds.
    pub deadline_ms: u64,
}

/// Silence of a mute server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Time without an answer while requests were in progress, in milliseconds.
    pub silent_ms: u64,
    /// Time from which on the server counts as mute, in milliseconds.
    pub limit_ms: u64,
    /// Number of requests that wait for an answer.
    pub requests: usize,
}

/// Detects a mute server.
#[derive(Debug)]
pub struct Detector {
    answered_at: Time,
    answers: u32,
    checked_at: Time,
}

impl Detector {
    /// Creates a detector that starts now.
    #[must_use]
    pub const fn open(now: Time) -> Self {
        Self { answered_at: now, answers: 0, checked_at: now }
    }

    /// Records that the server answered a request.
    pub const fn record_answer(&mut self, now: Time) {
        self.answered_at = now;
        self.answers = self.answers.saturating_add(1);
    }

    /// Returns the server's silence if it is mute. `most_us` is the time that nearly every request
    /// takes.
    pub fn check(&mut self, now: Time, outstanding: Outstanding, most_us: u64) -> Option<Silence> {
        let has_stalled = now.since(self.checked_at) > STALL_MS;
        self.checked_at = now;
        if has_stalled {
            self.answered_at = now;
        }
        let of_deadline_ms = outstanding.deadline_ms * MIN_DEADLINE_PERCENT / 100;
        let least_ms = (MIN_OBJECTIVES * outstanding.objective_ms).max(of_deadline_ms);
        let limit_ms = least_ms.max(SILENT_TURNS * most_us / 1_000);
        let silent_since = self.answered_at.max(outstanding.since?);
        let silent_ms = now.since(silent_since);
        let is_known = self.answers >= MIN_ANSWERS && outstanding.requests >= MIN_REQUESTS;
        let is_mute = is_known && silent_ms > limit_ms;
        is_mute.then_some(Silence { silent_ms, limit_ms, requests: outstanding.requests })
    }
}
