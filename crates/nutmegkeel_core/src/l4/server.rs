//! The backend server beside an agent, as its heartbeats describe it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::route::Service;
use crate::clock::Time;

/// Heartbeats that may be missing before the backend server counts as gone, in percent of the pause
/// between two: two and a half, so that one late heartbeat is no sign.
const MISSING_PERCENT: u64 = 250;

/// Earlier incarnations remembered at most: an address is rarely used more often within the minute
/// in which a late heartbeat may arrive.
const RETIRED: usize = 8;

/// Least pause between two heartbeats that were heard, in percent of the usual pause. A living server's come
/// 90 to 110 percent apart; those that were held up by a cut, or that nobody acknowledged, come closer.
const PAUSE_PERCENT: u64 = 75;

/// One start of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Its identity, which a server may keep when it starts again.
    pub id: Arc<str>,
    /// When it started, Unix milliseconds by its own clock; none if it does not say.
    pub started_ms: Option<u64>,
}

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Which start of the backend server speaks.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: Service,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is slow after its start, in milliseconds.
    pub warmup_ms: u64,
    /// Count of heartbeats of this incarnation.
    pub seq: u64,
}

/// What a heartbeat told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The first heartbeat that this process hears. The server may hold flows since before.
    First,
    /// A new incarnation; flows of the one before are gone.
    Replaced,
    /// It takes no more flows from now on.
    Draining,
    /// Nothing new.
    Same,
    /// Perhaps from a new incarnation, perhaps held up or from another writer: the next heartbeat
    /// decides.
    Contested,
    /// From an incarnation that has ended, or older than one heard before.
    Stale,
}

/// The incarnation that runs now.
#[derive(Clone, Debug)]
pub struct Server {
    /// Which start of the server it is.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: Service,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Whether it is leaving.
    pub draining: bool,
    /// When it is warm.
    pub warm_at: Time,
    /// Number of the first of its heartbeats that this process heard.
    pub first_seq: u64,
    /// Number of its last heartbeat.
    pub seq: u64,
    /// When that came.
    pub heard: Time,
    /// Whether no process heard of it before this one, which so saw every flow that it accepted.
    pub seen_from_start: bool,
}

impl Server {
    fn new(now: Time, beat: &Heartbeat, is_first: bool) -> Self {
        Self {
            incarnation: beat.incarnation.clone(),
            service: beat.service,
            slots: beat.slots,
            draining: beat.draining,
            warm_at: now.after(beat.warmup_ms),
            first_seq: beat.seq,
            seq: beat.seq,
            heard: now,
            seen_from_start: is_first,
        }
    }
}

/// An incarnation that may be the present one, but has not shown it yet.
#[derive(Debug)]
struct Rival {
    incarnation: Incarnation,
    seq: u64,
    heard: Time,
}

/// The backend server and its earlier incarnations.
#[derive(Debug)]
pub struct Beside {
    heartbeat_ms: u64,
    server: Option<Server>,
    rival: Option<Rival>,
    /// Earlier incarnations, with the number of the last heartbeat of each.
    retired: BTreeMap<Incarnation, u64>,
}

impl Beside {
    /// Nothing is known yet; heartbeats come about every `heartbeat_ms`.
    #[must_use]
    pub const fn open(heartbeat_ms: u64) -> Self {
        Self { heartbeat_ms, server: None, rival: None, retired: BTreeMap::new() }
    }

    /// The incarnation that runs now.
    #[must_use]
    pub const fn server(&self) -> Option<&Server> {
        self.server.as_ref()
    }

    /// Whether another incarnation may have taken the server's place. A server of another service gets
    /// no new flows from its first heartbeat on, though it is believed only with its second.
    #[must_use]
    pub const fn is_contested(&self) -> bool {
        self.rival.is_some()
    }

    /// Takes in a heartbeat.
    pub fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> Heard {
        if let Some(server) =
            self.server.as_mut().filter(|server| server.incarnation == beat.incarnation)
        {
            let heard = repeat(server, now, beat);
            if heard != Heard::Stale {
                self.rival = None;
            }
            return heard;
        }
        if let Some(last) = self.retired.get(&beat.incarnation) {
            return self.reconsider(now, beat, *last);
        }
        if self.is_doubtful(beat) && !self.shows_life(now, beat) {
            return Heard::Contested;
        }
        self.replace(now, beat)
    }

    /// The incarnation said that it ends; true if it was the one that runs. One that does not say when
    /// it started is taken for the present one of that identity.
    pub fn deregistered(&mut self, leaving: &Incarnation) -> bool {
        let is_meant = |server: &Server| {
            let known = &server.incarnation;
            known.id == leaving.id
                && (leaving.started_ms.is_none() || known.started_ms == leaving.started_ms)
        };
        let ends = self.server.as_ref().is_some_and(is_meant);
        if ends && let Some(old) = self.server.take() {
            self.retire(&old);
        }
        ends
    }

    /// Whether the last server said that it ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.server.is_none() && !self.retired.is_empty()
    }

    /// Whether heartbeats are missing.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        let limit = self.heartbeat_ms * MISSING_PERCENT / 100;
        self.server.as_ref().is_some_and(|server| now.since(server.heard) > limit)
    }

    /// Guards against a heartbeat that was held up until its sender had crashed and another had
    /// started at the same address: it would close the new one's flows. An ended incarnation counts
    /// again only with a later heartbeat than its last one, and when the present one is silent.
    fn reconsider(&mut self, now: Time, beat: &Heartbeat, last: u64) -> Heard {
        if beat.seq > last && (self.server.is_none() || self.is_overdue(now)) {
            self.replace(now, beat)
        } else {
            Heard::Stale
        }
    }

    /// Whether a heartbeat of an unknown incarnation may be no word of a server that runs: it started
    /// before one that is known, it is of another service than the present server, or lacks the time of
    /// its start, which the present server tells. The first is held up, or its host's clock went back;
    /// the others are a new server at an address that is used again, or the word of another writer.
    fn is_doubtful(&self, beat: &Heartbeat) -> bool {
        let present = self.server.as_ref();
        let known = self.retired.keys().chain(present.map(|server| &server.incarnation));
        let latest = known.filter_map(|incarnation| incarnation.started_ms).max();
        let is_earlier = latest.is_some_and(|latest| beat.incarnation.started_ms < Some(latest));
        is_earlier || present.is_some_and(|server| server.service != beat.service)
    }

    /// Whether a doubtful incarnation has sent a second heartbeat a pause after its first, and the
    /// present one was silent meanwhile. Only a server that runs does so: held up heartbeats come
    /// together, and a present server that lives would have sent its own.
    fn shows_life(&mut self, now: Time, beat: &Heartbeat) -> bool {
        let pause_ms = self.least_pause_ms();
        let (incarnation, seq) = (&beat.incarnation, beat.seq);
        if let Some(rival) = self.rival.as_ref().filter(|rival| rival.incarnation == *incarnation) {
            return seq > rival.seq && now.since(rival.heard) >= pause_ms;
        }
        self.rival = Some(Rival { incarnation: incarnation.clone(), seq, heard: now });
        false
    }

    fn replace(&mut self, now: Time, beat: &Heartbeat) -> Heard {
        let is_first = self.retired.is_empty() && self.server.is_none();
        if let Some(old) = self.server.take() {
            self.retire(&old);
        }
        self.retired.remove(&beat.incarnation);
        self.rival = None;
        self.server = Some(Server::new(now, beat, self.is_first_heard(now, beat)));
        if is_first { Heard::First } else { Heard::Replaced }
    }

    /// Whether no process heard of the server before, so that none passed an opening on to it: this is its
    /// first heartbeat, or comes so soon after its start that those before it were not acknowledged.
    ///
    /// Guards against clients that wait for seconds after a loss of power: a server starts a moment before its
    /// agent, whose first heartbeat is then the second or third, and an agent that is not sure what its server
    /// holds makes balancers ask the server itself about every flow that is gone. The time is that of the
    /// host's clock, as both sides read it; one that was set back shows a start in the future and proves nothing.
    fn is_first_heard(&self, now: Time, beat: &Heartbeat) -> bool {
        let started = beat.incarnation.started_ms;
        let age_ms = started.and_then(|started| now.millis().checked_sub(started));
        beat.seq <= 1 || age_ms.is_some_and(|age_ms| age_ms < self.least_pause_ms())
    }

    const fn least_pause_ms(&self) -> u64 {
        self.heartbeat_ms * PAUSE_PERCENT / 100
    }

    fn retire(&mut self, old: &Server) {
        if self.retired.len() >= RETIRED {
            self.retired.pop_first();
        }
        self.retired.insert(old.incarnation.clone(), old.seq);
    }
}

fn repeat(server: &mut Server, now: Time, beat: &Heartbeat) -> Heard {
    if beat.seq <= server.seq {
        return Heard::Stale;
    }
    let starts_draining = beat.draining && !server.draining;
    server.seq = beat.seq;
    server.heard = now;
    server.slots = beat.slots;
    server.draining = beat.draining;
    server.warm_at = now.after(beat.warmup_ms);
    if starts_draining { Heard::Draining } else { Heard::Same }
}
