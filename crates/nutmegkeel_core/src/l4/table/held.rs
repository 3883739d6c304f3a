//! A flow that a backend server holds, as far as its packets show.

use crate::clock::Time;
use crate::l4::decision::Observed;
use crate::l4::flow::{DATA_WINDOW, Head, follows};
use crate::l4::health::FORGET_MS;
use crate::l4::message::Demand;

/// Time after which an opening without a following packet has failed, in milliseconds. Clients give
/// an opening up after 1.4 s.
const OPENING_MS: u64 = 1_500;

/// Time for which an ended flow is remembered, in milliseconds. Both ends may retransmit its last
/// packets for at most this time.
const ENDED_MS: u64 = 5_000;

/// Longest time for which a request counts as in progress, in milliseconds. Clients give up sooner.
pub(super) const REQUEST_MS: u64 = 10_000;

/// Stage of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The opening went to the server. Holds the initial sequence number of the server's answer, if
    /// it came.
    Opening(Option<u32>),
    /// A packet of the client reached the server, or the server sent data.
    Open,
}

/// When a request arrived at the system, and whether its client retries. For a request that ends the
/// handshake, both are those of the opening, since its client has waited from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it first reached a balancer.
    pub since: Time,
    /// Whether its client was refused before for lack of room, and now retries.
    pub is_retry: bool,
}

/// State of one flow.
#[derive(Clone, Debug)]
pub struct Held {
    /// Its stage.
    pub stage: Stage,
    /// Initial sequence number of the client.
    pub opened_with: u32,
    /// Last acknowledgement number of the client.
    pub client_ack: u32,
    /// Version of the configuration under which it was opened; `None` if this process has not seen
    /// the opening.
    pub opened_under: Option<u64>,
    /// What the requests on this flow demand; `None` if this is not known.
    pub(super) demand: Option<Demand>,
    /// The opening, until a packet of the client goes to the server.
    pub(super) arrival: Option<Arrival>,
    /// Whether the flow's request waits at the agent for a slot, or will when it arrives.
    pub(super) waits: bool,
    pub(super) client_next: Option<u32>,
    pub(super) last_used: Time,
    pub(super) server_last_seen: Time,
    pub(super) request_since: Option<Time>,
    /// Number of requests that were in progress when this one arrived.
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
            opened_under: None,
            demand: None,
            arrival: None,
            waits: false,
            client_next: None,
            last_used: now,
            server_last_seen: now,
            request_since: None,
            request_behind: 0,
            client_fin: false,
            server_fin: false,
            ended: None,
        }
    }

    /// Creates a flow whose opening, with this sequence number, goes to the server. `version` is that
    /// of the configuration that has its route.
    pub(super) const fn opening(
        now: Time,
        seq: u32,
        version: u64,
        demand: Demand,
        arrival: Arrival,
    ) -> Self {
        let (opened_under, demand, arrival) = (Some(version), Some(demand), Some(arrival));
        let opening = Self::new(now, Stage::Opening(None));
        Self { opened_with: seq, opened_under, demand, arrival, ..opening }
    }

    /// Returns whether the flow was ended by both ends or by a reset.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        self.ended.is_some()
    }

    /// Returns the sequence number of a reset of the flow: the client's last acknowledgement, or the
    /// one that it would send next.
    #[must_use]
    pub const fn reset_seq(&self) -> u32 {
        match self.stage {
            Stage::Opening(Some(number)) => number.wrapping_add(1),
            Stage::Opening(None) | Stage::Open => self.client_ack,
        }
    }

    /// Returns what the packets of the flow show of its state.
    #[must_use]
    pub fn observed(&self, now: Time) -> Observed {
        Observed {
            is_open: self.stage == Stage::Open,
            server_silent_ms: now.since(self.server_last_seen),
        }
    }

    pub(super) const fn weight(&self) -> Weight {
        if self.is_over() {
            return Weight { busy: 0, open: 0, working: 0 };
        }
        let busy = self.request_since.is_some() as usize;
        Weight { busy, open: 1, working: self.is_at_work() as usize }
    }

    /// Returns the request at the server: since when, and its demand if this is known.
    pub(super) fn in_progress(&self) -> Option<(Time, Option<Demand>)> {
        let is_there = self.stage == Stage::Open && !self.is_over() && !self.waits;
        Some((self.request_since.filter(|_| is_there)?, self.demand))
    }

    /// Returns whether a request has reached the server and is not answered.
    const fn is_at_work(&self) -> bool {
        let has_come = self.request_since.is_some() && self.client_next.is_some();
        has_come && !self.waits && matches!(self.stage, Stage::Open)
    }

    /// Returns whether a client's packet has data that did not arrive before.
    pub(super) fn brings_data(&self, head: &Head) -> bool {
        let is_new = |next| follows(head.next_seq(), next, DATA_WINDOW);
        head.len > 0 && self.client_next.is_none_or(is_new)
    }

    pub(super) fn record_end(&mut self, now: Time, reset: bool) {
        if reset || (self.client_fin && self.server_fin) {
            self.ended.get_or_insert(now);
            self.request_since = None;
        }
    }

    pub(super) fn is_expired(&self, now: Time) -> bool {
        let idle = now.since(self.last_used);
        match (self.stage, self.ended) {
            (_, Some(ended)) => now.since(ended) > ENDED_MS,
            (Stage::Opening(_), None) if !self.waits => idle > OPENING_MS,
            (Stage::Opening(_), None) => idle > REQUEST_MS,
            (Stage::Open, None) => idle > FORGET_MS,
        }
    }
}

/// Contribution of one or more flows to the load.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Weight {
    pub(super) busy: usize,
    pub(super) open: usize,
    /// Number of requests that have reached the server.
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
