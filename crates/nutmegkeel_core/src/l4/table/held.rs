//! One flow that a backend server holds, as far as the packets that pass tell.

use crate::clock::Time;
use crate::l4::flow::{DATA_WINDOW, Head, follows};
use crate::l4::health::FORGET_MS;
use crate::l4::message::Demand;

/// An opening that is not followed up within this time came to nothing: clients give an opening up
/// after 1.4 s.
const OPENING_MS: u64 = 1_500;

/// A flow that has ended is remembered for so long, because its last packets may come again: both
/// ends send them again for at most this time.
const ENDED_MS: u64 = 5_000;

/// A request counts as in progress no longer than this: clients give up sooner.
pub(super) const REQUEST_MS: u64 = 10_000;

/// How far a flow has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The opening went to the server; the number that the server answered with, if it did.
    Opening(Option<u32>),
    /// The client's packets reached the server, or the server sent data.
    Open,
}

/// One flow.
#[derive(Clone, Debug)]
pub struct Held {
    /// How far it has come.
    pub stage: Stage,
    /// Sequence number of the client's opening.
    pub opened_with: u32,
    /// The client's last acknowledgement number.
    pub client_ack: u32,
    /// What the requests on this flow ask for; none if it is not known.
    pub(super) demand: Option<Demand>,
    /// Whether a request waits here for a slot, or will when it comes.
    pub(super) waits: bool,
    pub(super) client_next: Option<u32>,
    pub(super) used: Time,
    pub(super) server_heard: Time,
    pub(super) request_since: Option<Time>,
    /// Requests that were in progress when this one came.
    pub(super) request_behind: usize,
    pub(super) client_fin: bool,
    pub(super) server_fin: bool,
    ended: Option<Time>,
}

impl Held {
    pub(super) const fn new(now: Time, stage: Stage) -> Self {
        Self {
            stage,
            opened_with: 0,
            client_ack: 0,
            demand: None,
            waits: false,
            client_next: None,
            used: now,
            server_heard: now,
            request_since: None,
            request_behind: 0,
            client_fin: false,
            server_fin: false,
            ended: None,
        }
    }

    /// A flow whose opening goes to the server, and what its requests ask for.
    pub(super) const fn opening(now: Time, seq: u32, demand: Demand) -> Self {
        Self { opened_with: seq, demand: Some(demand), ..Self::new(now, Stage::Opening(None)) }
    }

    /// Whether both ends, or a reset, ended it.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        self.ended.is_some()
    }

    pub(super) const fn weight(&self) -> Weight {
        if self.is_over() {
            return Weight { busy: 0, open: 0, working: 0 };
        }
        let busy = self.request_since.is_some() as usize;
        Weight { busy, open: 1, working: self.is_at_work() as usize }
    }

    /// The request that is at the server: since when, and what it asks for if that is known.
    pub(super) fn in_progress(&self) -> Option<(Time, Option<Demand>)> {
        let is_there = self.stage == Stage::Open && !self.is_over() && !self.waits;
        Some((self.request_since.filter(|_| is_there)?, self.demand))
    }

    /// Whether a request has come to the server and is not answered.
    const fn is_at_work(&self) -> bool {
        let has_come = self.request_since.is_some() && self.client_next.is_some();
        has_come && !self.waits && matches!(self.stage, Stage::Open)
    }

    /// Whether a client's packet brings data that did not come before.
    pub(super) fn brings_data(&self, head: &Head) -> bool {
        let is_new = |next| follows(head.next_seq(), next, DATA_WINDOW);
        head.len > 0 && self.client_next.is_none_or(is_new)
    }

    pub(super) fn note_end(&mut self, now: Time, reset: bool) {
        if reset || (self.client_fin && self.server_fin) {
            self.ended.get_or_insert(now);
            self.request_since = None;
        }
    }

    pub(super) fn is_expired(&self, now: Time) -> bool {
        let idle = now.since(self.used);
        match (self.stage, self.ended) {
            (_, Some(ended)) => now.since(ended) > ENDED_MS,
            (Stage::Opening(_), None) if !self.waits => idle > OPENING_MS,
            (Stage::Opening(_), None) => idle > REQUEST_MS,
            (Stage::Open, None) => idle > FORGET_MS,
        }
    }
}

/// What flows add to the load.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Weight {
    pub(super) busy: usize,
    pub(super) open: usize,
    /// Requests that have come to the server.
    pub(super) working: usize,
}

impl Weight {
    pub(super) const fn plus(self, other: Self) -> Self {
        Self {
            busy: self.busy + other.busy,
            open: self.open + other.open,
            working: self.working + other.working,
        }
    }

    pub(super) const fn minus(self, other: Self) -> Self {
        Self {
            busy: self.busy - other.busy,
            open: self.open - other.open,
            working: self.working - other.working,
        }
    }
}
