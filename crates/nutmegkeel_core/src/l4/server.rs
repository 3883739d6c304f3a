//! The backend server on an agent's host, as its heartbeats describe it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::route::Service;
use crate::clock::Time;

/// Time without a heartbeat after which the backend server is overdue, in percent of the heartbeat
/// interval. Two and a half intervals, so that one late heartbeat has no effect.
const OVERDUE_PERCENT: u64 = 250;

/// Maximum number of earlier incarnations to remember. An address is rarely reused more often
/// within the minute in which a delayed heartbeat may still arrive.
const MAX_RETIRED: usize = 8;

/// Shortest interval between two heartbeats that were received in time, in percent of the
/// configured interval. A running server sends them at 90 to 110 percent of it. Heartbeats that a
/// partition delayed, or that nobody acknowledged, arrive closer together.
const MIN_INTERVAL_PERCENT: u64 = 75;

/// One start of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Identity of the server, which may stay the same across restarts.
    pub id: Arc<str>,
    /// When the server started, in Unix milliseconds by its own clock; `None` if it does not report
    /// this.
    pub started_ms: Option<u64>,
}

impl Incarnation {
    /// Returns whether both report when they started, and this one did so later.
    #[must_use]
    pub fn started_after(&self, other: &Self) -> bool {
        self.started_ms.zip(other.started_ms).is_some_and(|(own, other)| own > other)
    }
}

/// A heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The incarnation that sent the heartbeat.
    pub incarnation: Incarnation,
    /// The service that the server belongs to.
    pub service: Service,
    /// Number of requests that the server processes concurrently.
    pub slots: u16,
    /// Whether the server is draining.
    pub draining: bool,
    /// Remaining warm-up time, in milliseconds.
    pub warmup_ms: u64,
    /// Sequence number of the heartbeat within its incarnation.
    pub seq: u64,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// The first heartbeat that this process received. The server may already hold flows.
    First,
    /// A new incarnation runs; the flows of the earlier one are gone.
    Replaced,
    /// The server accepts no new flows from now on.
    Draining,
    /// Nothing changed.
    Unchanged,
    /// Either a new incarnation runs, or the heartbeat was delayed or comes from another sender.
    /// The next heartbeat decides.
    Contested,
    /// From an incarnation that has ended, or older than a heartbeat already received.
    Stale,
}

/// The current incarnation of a backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Identity and start time of the server.
    pub incarnation: Incarnation,
    /// The service that the server belongs to.
    pub service: Service,
    /// Number of requests that the server processes concurrently.
    pub slots: u16,
    /// Whether the server is draining.
    pub draining: bool,
    /// When the warm-up ends.
    pub warm_at: Time,
    /// Sequence number of the first heartbeat that this process received.
    pub first_seq: u64,
    /// Sequence number of the last heartbeat.
    pub seq: u64,
    /// When the first heartbeat of the incarnation arrived, even if it was not confirmed then.
    pub first_seen: Time,
    /// When the last heartbeat arrived.
    pub last_seen: Time,
    /// Whether no earlier process can have received a heartbeat of this incarnation, so that this
    /// process has seen every flow that the server accepted.
    pub seen_from_start: bool,
}

impl Server {
    fn new(now: Time, beat: &Heartbeat, first_seen: Time, is_first: bool) -> Self {
        Self {
            incarnation: beat.incarnation.clone(),
            service: beat.service,
            slots: beat.slots,
            draining: beat.draining,
            warm_at: now.after(beat.warmup_ms),
            first_seq: beat.seq,
            seq: beat.seq,
            first_seen,
            last_seen: now,
            seen_from_start: is_first,
        }
    }
}

/// An incarnation that may be the current one but is not confirmed yet.
#[derive(Debug)]
struct Unconfirmed {
    incarnation: Incarnation,
    seq: u64,
    received_at: Time,
}

/// Heartbeat history of a backend server: its current incarnation and earlier ones.
#[derive(Debug)]
pub struct History {
    heartbeat_ms: u64,
    server: Option<Server>,
    unconfirmed: Option<Unconfirmed>,
    /// Earlier incarnations, with the sequence number of the last heartbeat of each.
    retired: BTreeMap<Incarnation, u64>,
}

impl History {
    /// Creates a history without a known server. Heartbeats are expected about every
    /// `heartbeat_ms`.
    #[must_use]
    pub const fn open(heartbeat_ms: u64) -> Self {
        Self { heartbeat_ms, server: None, unconfirmed: None, retired: BTreeMap::new() }
    }

    /// Returns the current incarnation.
    #[must_use]
    pub const fn server(&self) -> Option<&Server> {
        self.server.as_ref()
    }

    /// Returns whether another incarnation may have replaced the current one.
    ///
    /// The agent accepts no new flows from the first heartbeat of such an incarnation on, because
    /// it may belong to another service. The incarnation becomes current only with its second
    /// heartbeat.
    #[must_use]
    pub const fn is_contested(&self) -> bool {
        self.unconfirmed.is_some()
    }

    /// Applies a heartbeat.
    pub fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> Update {
        if let Some(server) =
            self.server.as_mut().filter(|server| server.incarnation == beat.incarnation)
        {
            let update = refresh(server, now, beat);
            if update != Update::Stale {
                self.unconfirmed = None;
            }
            return update;
        }
        if let Some(last) = self.retired.get(&beat.incarnation) {
            return self.reinstate(now, beat, *last);
        }
        if self.needs_confirmation(beat) && !self.confirm(now, beat) {
            return Update::Contested;
        }
        self.replace(now, beat)
    }

    /// Applies a deregistration; returns whether it ended the current incarnation. A deregistration
    /// without a start time applies to the current incarnation with the same identity.
    pub fn deregistered(&mut self, leaving: &Incarnation) -> bool {
        let is_match = |server: &Server| {
            let known = &server.incarnation;
            known.id == leaving.id
                && (leaving.started_ms.is_none() || known.started_ms == leaving.started_ms)
        };
        let ends = self.server.as_ref().is_some_and(is_match);
        if ends {
            self.end();
        }
        ends
    }

    /// Ends the current incarnation, which has crashed.
    pub fn end(&mut self) {
        if let Some(old) = self.server.take() {
            self.retire(&old);
        }
    }

    /// Returns whether the last known server has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.server.is_none() && !self.retired.is_empty()
    }

    /// Returns whether the server's next heartbeat is overdue.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        let limit = self.heartbeat_ms * OVERDUE_PERCENT / 100;
        self.server.as_ref().is_some_and(|server| now.since(server.last_seen) > limit)
    }

    /// Applies a heartbeat of an ended incarnation. The incarnation becomes current again only if
    /// the heartbeat is newer than its last one, the current incarnation is overdue or absent, and a
    /// second heartbeat confirms it.
    ///
    /// Guards against a heartbeat that is delayed until its sender has crashed and another server
    /// has started at the same address: applying it would reset the flows of the new server, which
    /// may be overdue only because it is paused.
    fn reinstate(&mut self, now: Time, beat: &Heartbeat, last: u64) -> Update {
        if beat.seq <= last || (self.server.is_some() && !self.is_overdue(now)) {
            return Update::Stale;
        }
        if self.confirm(now, beat) { self.replace(now, beat) } else { Update::Contested }
    }

    /// Returns whether a heartbeat of an unknown incarnation needs confirmation.
    ///
    /// This is the case if the incarnation started before a known one, belongs to another service
    /// than the current server, or has no start time although a known one has. In the first case
    /// the heartbeat was delayed, or the host's clock was set back. In the others, the sender is a
    /// new server at a reused address, or an unrelated process.
    fn needs_confirmation(&self, beat: &Heartbeat) -> bool {
        let current = self.server.as_ref();
        let known = self.retired.keys().chain(current.map(|server| &server.incarnation));
        let latest = known.filter_map(|incarnation| incarnation.started_ms).max();
        let is_earlier = latest.is_some_and(|latest| beat.incarnation.started_ms < Some(latest));
        is_earlier || current.is_some_and(|server| server.service != beat.service)
    }

    /// Returns whether an unconfirmed incarnation has sent a second heartbeat at least the minimum
    /// interval after its first, while the current server sent none. Only a running server does so:
    /// delayed heartbeats arrive together, and a current server that is alive would have sent its
    /// own.
    fn confirm(&mut self, now: Time, beat: &Heartbeat) -> bool {
        let interval_ms = self.min_interval_ms();
        let (incarnation, seq) = (&beat.incarnation, beat.seq);
        if let Some(unconfirmed) =
            self.unconfirmed.as_ref().filter(|unconfirmed| unconfirmed.incarnation == *incarnation)
        {
            return seq > unconfirmed.seq && now.since(unconfirmed.received_at) >= interval_ms;
        }
        self.unconfirmed =
            Some(Unconfirmed { incarnation: incarnation.clone(), seq, received_at: now });
        false
    }

    fn replace(&mut self, now: Time, beat: &Heartbeat) -> Update {
        let is_first = self.retired.is_empty() && self.server.is_none();
        if let Some(old) = self.server.take() {
            self.retire(&old);
        }
        self.retired.remove(&beat.incarnation);
        let confirmed = self.unconfirmed.take().filter(|one| one.incarnation == beat.incarnation);
        let first_seen = confirmed.map_or(now, |confirmed| confirmed.received_at);
        let is_first_heartbeat = self.is_first_heartbeat(now, beat);
        self.server = Some(Server::new(now, beat, first_seen, is_first_heartbeat));
        if is_first { Update::First } else { Update::Replaced }
    }

    /// Returns whether no earlier process can have received a heartbeat of this incarnation, and so
    /// none forwarded an opening to it. This holds for its first heartbeat, and for one so soon
    /// after its start that the earlier ones cannot have been acknowledged.
    ///
    /// Guards against clients that wait for seconds after a power loss. A server may start shortly
    /// before its agent, so that the agent first receives its second or third heartbeat. An agent
    /// that is not certain which flows its server holds makes balancers query the server about
    /// every lost flow. The age is computed from the host's clock, which both processes read. If
    /// the clock was set back, the start lies in the future and proves nothing.
    fn is_first_heartbeat(&self, now: Time, beat: &Heartbeat) -> bool {
        let started = beat.incarnation.started_ms;
        let age_ms = started.and_then(|started| now.millis().checked_sub(started));
        beat.seq <= 1 || age_ms.is_some_and(|age_ms| age_ms < self.min_interval_ms())
    }

    const fn min_interval_ms(&self) -> u64 {
        self.heartbeat_ms * MIN_INTERVAL_PERCENT / 100
    }

    fn retire(&mut self, old: &Server) {
        if self.retired.len() >= MAX_RETIRED {
            self.retired.pop_first();
        }
        self.retired.insert(old.incarnation.clone(), old.seq);
    }
}

fn refresh(server: &mut Server, now: Time, beat: &Heartbeat) -> Update {
    if beat.seq <= server.seq {
        return Update::Stale;
    }
    let starts_draining = beat.draining && !server.draining;
    server.seq = beat.seq;
    server.last_seen = now;
    server.slots = beat.slots;
    server.draining = beat.draining;
    server.warm_at = now.after(beat.warmup_ms);
    if starts_draining { Update::Draining } else { Update::Unchanged }
}
