//! Notices a backend server that takes requests and never answers them.
//!
//! The load pattern: such a server accepts flows, acknowledges requests and sends heartbeats, so nothing but
//! the missing answers shows it. Its clients wait in silence until their deadline, on flows that are open, and
//! new flows come whenever somebody gives up. What is normal is learnt from the server itself: a service may
//! take 5 ms or 5 s.

use crate::clock::Time;

/// Turns of a slot, each as long as nearly every request takes, without a single answer. Eight, because a
/// server that became several times slower still answers now and then, and a server with two slots and an
/// exponential spread of service times is silent for so long less than once in ten million requests.
const TURNS: u64 = 8;

/// Objectives, and part of the deadline in percent, without a single answer that are no sign yet, whatever is
/// usual. Guards against a server that is taken for mute, and open flows that are reset, because it pauses once or
/// two requests of a rare, long kind meet among many short ones, from which the usual time is learnt. A request past
/// its objective is late either way, and three quarters of the deadline are left for its client's other tries.
const OBJECTIVES: u64 = 2;
const DEADLINE_PERCENT: u64 = 25;

/// Requests that wait at least: one alone may lack a packet that its client is still sending again.
const REQUESTS: usize = 2;

/// Answers from which the usual time is learnt before a server is judged: a guess would take a cold server for
/// mute, and reset flows that live.
const ANSWERS: u32 = 16;

/// A gap between two looks longer than this means that this process stood still, in milliseconds: answers may
/// have come that it has not read yet.
const STANDSTILL_MS: u64 = 400;

/// What waits at the server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outstanding {
    /// Requests in progress.
    pub requests: usize,
    /// When the oldest of them went to the server.
    pub since: Option<Time>,
    /// Longest objective of them, in milliseconds.
    pub objective_ms: u64,
    /// Longest deadline of them, in milliseconds.
    pub deadline_ms: u64,
}

/// Watches for a server that is mute.
#[derive(Debug)]
pub struct Watch {
    answered: Time,
    answers: u32,
    looked: Time,
}

impl Watch {
    /// A watch that begins now.
    #[must_use]
    pub const fn open(now: Time) -> Self {
        Self { answered: now, answers: 0, looked: now }
    }

    /// Notes that the server answered a request.
    pub const fn answered(&mut self, now: Time) {
        self.answered = now;
        self.answers = self.answers.saturating_add(1);
    }

    /// If the server is mute: since when a request has waited for too long, so that those that came before
    /// are to be given up. `most_us` is the time that nearly every request takes.
    pub fn look(&mut self, now: Time, outstanding: Outstanding, most_us: u64) -> Option<Time> {
        let stood_still = now.since(self.looked) > STANDSTILL_MS;
        self.looked = now;
        if stood_still {
            self.answered = now;
        }
        let of_deadline_ms = outstanding.deadline_ms * DEADLINE_PERCENT / 100;
        let least_ms = (OBJECTIVES * outstanding.objective_ms).max(of_deadline_ms);
        let limit_ms = least_ms.max(TURNS * most_us / 1_000);
        let silent_since = self.answered.max(outstanding.since?);
        let is_known = self.answers >= ANSWERS && outstanding.requests >= REQUESTS;
        let is_mute = is_known && now.since(silent_since) > limit_ms;
        is_mute.then(|| now.before(limit_ms))
    }
}
