//! Which flows an agent notes in the store, so that their clients learn at once that they are lost.
//!
//! The load pattern: a host loses power, or all do. Agent and backend server come back within seconds
//! and know nothing. A client that had sent a request waits for an answer and sends its packet again
//! ever more rarely, so the next copy often comes after its deadline, and until then nothing here
//! knows of it. Clients with idle flows find out one by one with their next request, each by a search
//! of all agents, just while the backlog is worked off. The list of open flows that the agent's
//! predecessor left in the store tells them all as soon as the new backend server is known.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::flow::Flow;
use super::server::{Incarnation, Server};
use crate::clock::Time;

/// Pause between two writes at least, in milliseconds: a list is a few seconds old on the mean when it is
/// needed, and a client of a flow that is not in it learns of the loss half a second later.
pub const PAUSE_MS: u64 = 3_000;

/// A list is written again once so many of the flows, in percent, are missing in it or have moved on
/// too far: less often would leave many clients untold, more often costs calls for few.
const MISSING_PERCENT: usize = 25;

/// A note is out of date once the client has acknowledged so many bytes more: half of what a reset's
/// number may be off, because the client goes on until the next write.
const DRIFT: u32 = 38_000;

/// Flows noted at most: 21 bytes each, in a value of at most a megabyte.
const MOST: usize = 10_000;

/// The predecessor's list helps no client after this, in milliseconds: none has so much time.
const USEFUL_MS: u64 = 10_000;

/// A new backend server has sent no more heartbeats than this when it is first heard of, if it does not tell
/// when it started. Guards against a heartbeat that was held up: one of an earlier incarnation would pass for
/// a new server, and flows of the present one would be reset.
const YOUNG: u64 = 3;

/// The open flows of one incarnation of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Orders the lists of one host, also of processes that follow each other there.
    pub number: u64,
    /// The incarnation.
    pub server: Incarnation,
    /// What each client had acknowledged last.
    pub flows: BTreeMap<Flow, u32>,
}

/// How far the predecessor's list is dealt with.
#[derive(Debug)]
enum Before {
    /// The store has not answered yet.
    Unread,
    /// Read, and the backend server is not known yet.
    Read(Checkpoint),
    /// Dealt with, or too old to matter.
    Done,
}

/// Decides what is written when, and what the predecessor's list means.
#[derive(Debug)]
pub struct Keeper {
    started: Time,
    before: Before,
    saved: Checkpoint,
    saved_at: Time,
    /// Highest number of a list known.
    number: u64,
    writes_per_s: u64,
}

impl Keeper {
    /// A keeper of a process that starts now; all agents together may write so often a second.
    #[must_use]
    pub fn open(now: Time, writes_per_s: u64) -> Self {
        Self {
            started: now,
            before: Before::Unread,
            saved: Checkpoint::default(),
            saved_at: now,
            number: 0,
            writes_per_s: writes_per_s.max(1),
        }
    }

    /// Takes in what the predecessor left; none if there is no list.
    pub fn read(&mut self, checkpoint: Option<Checkpoint>) {
        if let Some(checkpoint) = &checkpoint {
            self.note_number(checkpoint.number);
        }
        if matches!(self.before, Before::Unread) {
            self.before = checkpoint.map_or(Before::Done, Before::Read);
        }
    }

    /// The flows that went with the predecessor's backend server, once: if the present one is another
    /// incarnation. If it is the same, its flows live on.
    pub fn take_lost(&mut self, now: Time, server: &Server) -> Vec<(Flow, u32)> {
        let Before::Read(checkpoint) = &mut self.before else {
            return Vec::new();
        };
        let checkpoint = std::mem::take(checkpoint);
        self.before = Before::Done;
        if checkpoint.server == server.incarnation {
            self.saved = checkpoint;
            return Vec::new();
        }
        let was_new = server.seen_from_start || server.first_seq <= YOUNG;
        let is_new = was_new && now.since(self.started) <= USEFUL_MS;
        if is_new { checkpoint.flows.into_iter().collect() } else { Vec::new() }
    }

    /// The list to write now, if one is due: too many flows are missing in the last one. The pause grows
    /// with the number of agents, so that the store's rate holds.
    pub fn due(
        &mut self,
        now: Time,
        agents: u64,
        server: &Server,
        flows: impl Iterator<Item = (Flow, u32)>,
    ) -> Option<Checkpoint> {
        self.give_up_reading(now);
        let pause_ms = PAUSE_MS.max(agents * 1_000 / self.writes_per_s);
        if !matches!(self.before, Before::Done) || now.since(self.saved_at) < pause_ms {
            return None;
        }
        let flows: BTreeMap<Flow, u32> = flows.take(MOST).collect();
        let is_noted = |(flow, ack): (&Flow, &u32)| {
            self.saved.flows.get(flow).is_some_and(|noted| ack.wrapping_sub(*noted) <= DRIFT)
        };
        let missing = flows.len() - flows.iter().filter(|flow| is_noted(*flow)).count();
        if missing == 0 || missing * 100 < flows.len() * MISSING_PERCENT {
            return None;
        }
        // The time of day, or the next number where that was set back.
        self.number = now.millis().max(self.number + 1);
        let (number, server) = (self.number, server.incarnation.clone());
        self.saved = Checkpoint { number, server, flows };
        self.saved_at = now;
        Some(self.saved.clone())
    }

    /// Notes that what was written may be gone: the store came back from an older copy. The flows are noted again
    /// when the next list is due, which spreads the lists of all agents over its pause.
    pub fn forget_saved(&mut self) {
        self.saved = Checkpoint::default();
    }

    /// Notes the number of a list that is in the store; the next one gets a higher one.
    pub fn note_number(&mut self, number: u64) {
        self.number = self.number.max(number);
    }

    /// A store that does not answer must not keep this process from noting its own flows for long.
    fn give_up_reading(&mut self, now: Time) {
        if now.since(self.started) > USEFUL_MS {
            self.before = Before::Done;
        }
    }
}
