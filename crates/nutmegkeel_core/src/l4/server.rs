//! The backend server beside an agent, as its heartbeats describe it.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::route::Service;
use crate::clock::Time;

/// Heartbeats that may be missing before the backend server counts as gone, in percent of the pause
/// between two: two and a half, so that one late heartbeat is no sign.
const MISSING_PERCENT: u64 = 250;

/// Earlier incarnations remembered at most: an address is rarely used more often within the minute
/// in which a late heartbeat may arrive.
const RETIRED: usize = 8;

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation: a new one for each start of the backend server.
    pub id: Arc<str>,
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
    /// From an incarnation that has ended, or older than one heard before.
    Stale,
}

/// The incarnation that runs now.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its identity.
    pub id: Arc<str>,
    /// Its service.
    pub service: Service,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Whether it is leaving.
    pub draining: bool,
    /// When it is warm.
    pub warm_at: Time,
    /// Number of its last heartbeat.
    pub seq: u64,
    /// When that came.
    pub heard: Time,
    /// Whether this process saw its first heartbeat, and so every flow that it accepted.
    pub seen_from_start: bool,
}

/// The backend server and its earlier incarnations.
#[derive(Debug)]
pub struct Beside {
    heartbeat_ms: u64,
    server: Option<Server>,
    retired: BTreeMap<Arc<str>, u64>,
}

impl Beside {
    /// Nothing is known yet; heartbeats come about every `heartbeat_ms`.
    #[must_use]
    pub const fn open(heartbeat_ms: u64) -> Self {
        Self { heartbeat_ms, server: None, retired: BTreeMap::new() }
    }

    /// The incarnation that runs now.
    #[must_use]
    pub const fn server(&self) -> Option<&Server> {
        self.server.as_ref()
    }

    /// Takes in a heartbeat.
    pub fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> Heard {
        if let Some(server) = self.server.as_mut().filter(|server| server.id == beat.id) {
            return repeat(server, now, beat);
        }
        if !self.may_replace(now, beat) {
            return Heard::Stale;
        }
        let heard = if self.retired.is_empty() && self.server.is_none() {
            Heard::First
        } else {
            Heard::Replaced
        };
        if let Some(old) = self.server.take() {
            self.retire(&old);
        }
        self.retired.remove(&beat.id);
        self.server = Some(Server {
            id: Arc::clone(&beat.id),
            service: beat.service,
            slots: beat.slots,
            draining: beat.draining,
            warm_at: now.after(beat.warmup_ms),
            seq: beat.seq,
            heard: now,
            seen_from_start: beat.seq <= 1,
        });
        heard
    }

    /// The incarnation said that it ends; true if it was the one that runs.
    pub fn deregistered(&mut self, id: &str) -> bool {
        let ends = self.server.as_ref().is_some_and(|server| &*server.id == id);
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
    fn may_replace(&self, now: Time, beat: &Heartbeat) -> bool {
        match self.retired.get(&beat.id) {
            None => true,
            Some(last) => beat.seq > *last && (self.server.is_none() || self.is_overdue(now)),
        }
    }

    fn retire(&mut self, old: &Server) {
        if self.retired.len() >= RETIRED {
            self.retired.pop_first();
        }
        self.retired.insert(Arc::clone(&old.id), old.seq);
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
