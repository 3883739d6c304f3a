//! The flows that an agent's backend server holds, and packets sent to it to find out.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::flow::{Flow, Head, follows};
use super::health::FORGET_MS;
use super::message::{Demand, Load};
use super::mute::Outstanding;
use crate::clock::Time;

/// An opening that is not followed up within this time came to nothing: clients give an opening up
/// after 1.4 s.
const OPENING_MS: u64 = 1_500;

/// An accepted opening counts as a request in progress for so long: the request follows within a
/// round trip, or the client has gone.
const FOLLOW_UP_MS: u64 = 250;

/// A flow that has ended is remembered for so long, because its last packets may come again: both
/// ends send them again for at most this time.
const ENDED_MS: u64 = 5_000;

/// A request counts as in progress no longer than this: clients give up sooner.
const REQUEST_MS: u64 = 10_000;

/// A client's first acknowledgement lies at most this far behind the server's opening number.
const FIRST_ACK_REACH: u32 = 1 << 17;

/// A packet whose data ends at most this far behind what came before brings something new.
const DATA_REACH: u32 = 1 << 30;

/// A probe is over after this: the server answers within a millisecond.
const PROBE_MS: u64 = 1_000;

/// A question that is open for so long gets no answer any more: a server answers within a
/// millisecond, and the way to it does not leave the host.
const UNANSWERED_MS: u64 = 150;

/// How long the server's word that it does not hold a flow is remembered. Guards against handing
/// it the packets of a flow whose own agent is away for a moment, again and again.
const DENIED_MS: u64 = 10_000;

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
    demand: Option<Demand>,
    /// Whether a request waits here for a slot, or will when it comes.
    waits: bool,
    client_next: Option<u32>,
    used: Time,
    server_heard: Time,
    request_since: Option<Time>,
    /// Requests that were in progress when this one came.
    request_behind: usize,
    client_fin: bool,
    server_fin: bool,
    ended: Option<Time>,
}

impl Held {
    const fn new(now: Time, stage: Stage) -> Self {
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

    /// Whether both ends, or a reset, ended it.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        self.ended.is_some()
    }

    const fn weight(&self) -> Weight {
        if self.is_over() {
            return Weight { busy: 0, open: 0 };
        }
        Weight { busy: self.request_since.is_some() as usize, open: 1 }
    }

    /// The request that is at the server: since when, and what it asks for if that is known.
    fn in_progress(&self) -> Option<(Time, Option<Demand>)> {
        let is_there = self.stage == Stage::Open && !self.is_over() && !self.waits;
        Some((self.request_since.filter(|_| is_there)?, self.demand))
    }

    /// Whether a client's packet brings data that did not come before.
    fn brings_data(&self, head: &Head) -> bool {
        let is_new = |next| follows(head.next_seq(), next, DATA_REACH);
        head.len > 0 && self.client_next.is_none_or(is_new)
    }

    fn note_end(&mut self, now: Time, reset: bool) {
        if reset || (self.client_fin && self.server_fin) {
            self.ended.get_or_insert(now);
            self.request_since = None;
        }
    }

    fn is_expired(&self, now: Time) -> bool {
        let idle = now.since(self.used);
        match (self.stage, self.ended) {
            (_, Some(ended)) => now.since(ended) > ENDED_MS,
            (Stage::Opening(_), None) if !self.waits => idle > OPENING_MS,
            (Stage::Opening(_), None) => idle > REQUEST_MS,
            (Stage::Open, None) => idle > FORGET_MS,
        }
    }
}

/// The flows by their ends.
#[derive(Debug, Default)]
pub struct Table {
    flows: BTreeMap<Flow, Held>,
    load: Weight,
}

impl Table {
    /// Requests in progress and open flows.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            busy: u16::try_from(self.load.busy).unwrap_or(u16::MAX),
            flows: u16::try_from(self.load.open).unwrap_or(u16::MAX),
        }
    }

    /// A flow, if it is known.
    #[must_use]
    pub fn get(&self, flow: &Flow) -> Option<&Held> {
        self.flows.get(flow)
    }

    /// Notes an opening that goes to the server, and what its requests ask for.
    pub fn open(&mut self, now: Time, flow: Flow, seq: u32, demand: Demand) {
        let mut held = Held::new(now, Stage::Opening(None));
        held.opened_with = seq;
        self.insert(flow, Held { demand: Some(demand), ..held });
    }

    /// Lets the next request of a flow go to the server. It counts as in progress from now on: after
    /// an opening it follows within a round trip, and until then nothing else would show it.
    pub fn admit(&mut self, now: Time, flow: Flow) {
        let behind = self.load.busy;
        self.update(flow, |held| {
            held.waits = false;
            held.request_since = Some(now);
            held.request_behind = behind;
        });
    }

    /// Lets the next request of a flow wait, or no longer.
    pub fn set_waiting(&mut self, flow: Flow, waits: bool) {
        self.update(flow, |held| held.waits = waits);
    }

    /// Whether the request of a flow waits for a slot.
    #[must_use]
    pub fn is_waiting(&self, flow: &Flow) -> bool {
        self.flows.get(flow).is_some_and(|held| held.waits)
    }

    /// If a client's packet begins a request that may wait here: what it asks for.
    #[must_use]
    pub fn begins(&self, head: &Head) -> Option<Demand> {
        let held = self.flows.get(&head.flow)?;
        let begins = held.request_since.is_none() && held.brings_data(head) && !head.flags.fin;
        held.demand.filter(|demand| begins && !demand.once)
    }

    /// Whether a client's packet belongs to another server: it does not acknowledge the number with
    /// which this one answered a copy of the opening.
    #[must_use]
    pub fn is_elsewhere(&self, head: &Head) -> bool {
        match self.flows.get(&head.flow).map(|held| held.stage) {
            Some(Stage::Opening(Some(number))) => !follows(head.ack, number, FIRST_ACK_REACH),
            Some(Stage::Opening(None) | Stage::Open) | None => false,
        }
    }

    /// Whether the server has the end of the flow's handshake.
    #[must_use]
    pub fn is_open(&self, flow: &Flow) -> bool {
        self.flows.get(flow).is_some_and(|held| held.stage == Stage::Open)
    }

    /// Notes a client's packet that does not go to the server yet.
    pub fn note_waiting(&mut self, now: Time, head: &Head) {
        self.update(head.flow, |held| {
            held.used = now;
            held.client_ack = head.ack;
        });
    }

    /// Notes a flow that this process learns of by a packet of the server.
    pub fn adopt(&mut self, now: Time, head: &Head) {
        let stage = if head.flags.syn { Stage::Opening(Some(head.seq)) } else { Stage::Open };
        self.insert(head.flow, Held::new(now, stage));
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &Flow) -> Option<Held> {
        let held = self.flows.remove(flow)?;
        self.count(held.weight(), Weight::default());
        Some(held)
    }

    /// Whether a client's packet belongs to a flow that the server holds. Of two servers that both
    /// accepted an opening, the flow is at the one whose number the client acknowledges.
    #[must_use]
    pub fn takes(&self, now: Time, head: &Head) -> bool {
        let Some(held) = self.flows.get(&head.flow) else {
            return false;
        };
        match held.stage {
            Stage::Open => !held.is_expired(now),
            Stage::Opening(Some(number)) => follows(head.ack, number, FIRST_ACK_REACH),
            Stage::Opening(None) => false,
        }
    }

    /// Notes a client's packet that goes to the server.
    pub fn note_client(&mut self, now: Time, head: &Head) {
        let behind = self.load.busy;
        self.update(head.flow, |held| {
            held.stage = Stage::Open;
            held.used = now;
            held.client_ack = head.ack;
            if held.brings_data(head) {
                held.client_next = Some(head.next_seq());
                if held.request_since.is_none() {
                    held.request_since = Some(now);
                    held.request_behind = behind;
                }
            }
            held.client_fin |= head.flags.fin;
            held.note_end(now, head.flags.rst);
        });
    }

    /// Notes a server's packet; if it decides a request, says how.
    pub fn note_server(&mut self, now: Time, head: &Head) -> Option<Outcome> {
        let mut outcome = None;
        self.update(head.flow, |held| {
            held.used = now;
            held.server_heard = now;
            if head.flags.syn && matches!(held.stage, Stage::Opening(_)) {
                held.stage = Stage::Opening(Some(head.seq));
            }
            if head.len > 0 {
                let behind = held.request_behind;
                let since = held.request_since.take();
                outcome =
                    since.map(|since| Outcome::Answered { after_ms: now.since(since), behind });
            }
            if head.flags.rst && held.stage == Stage::Open && held.request_since.is_some() {
                outcome = Some(Outcome::Broken);
            }
            held.server_fin |= head.flags.fin;
            held.note_end(now, head.flags.rst);
        });
        outcome
    }

    /// Open flows, with their clients' last acknowledgement numbers.
    pub fn open_flows(&self) -> impl Iterator<Item = (Flow, u32)> + '_ {
        let is_open = |held: &Held| held.stage == Stage::Open && !held.is_over();
        let open = self.flows.iter().filter(move |(_, held)| is_open(held));
        open.map(|(flow, held)| (*flow, held.client_ack))
    }

    /// What waits for the server's answer.
    #[must_use]
    pub fn outstanding(&self) -> Outstanding {
        let mut outstanding = Outstanding::default();
        for (since, demand) in self.flows.values().filter_map(Held::in_progress) {
            outstanding.requests += 1;
            outstanding.since = Some(outstanding.since.map_or(since, |oldest| oldest.min(since)));
            let objective_ms = demand.map_or(0, |demand| u64::from(demand.objective_ms));
            outstanding.objective_ms = outstanding.objective_ms.max(objective_ms);
        }
        outstanding
    }

    /// Takes out the flows whose request has been with the server since before `limit` and may run again.
    pub fn take_stuck(&mut self, limit: Time) -> Vec<(Flow, Held)> {
        let is_stuck = |held: &Held| {
            let request = held.in_progress();
            request.is_some_and(|(since, demand)| {
                since < limit && demand.is_some_and(|demand| !demand.once)
            })
        };
        self.take_if(is_stuck)
    }

    /// Takes out the open flows whose server has sent nothing for `silent_ms`.
    pub fn take_silent(&mut self, now: Time, silent_ms: u64) -> Vec<(Flow, Held)> {
        let is_silent = |held: &Held| {
            held.stage == Stage::Open && !held.is_over() && now.since(held.server_heard) > silent_ms
        };
        self.take_if(is_silent)
    }

    fn take_if(&mut self, is_meant: impl Fn(&Held) -> bool) -> Vec<(Flow, Held)> {
        let meant = self.flows.iter().filter(|(_, held)| is_meant(held));
        let meant: Vec<Flow> = meant.map(|(flow, _)| *flow).collect();
        meant.into_iter().filter_map(|flow| Some((flow, self.remove(&flow)?))).collect()
    }

    /// Drops what is over, and requests that no client waits for any more.
    pub fn expire(&mut self, now: Time) {
        let limit = |held: &Held| if held.stage == Stage::Open { REQUEST_MS } else { FOLLOW_UP_MS };
        let mut load = Weight::default();
        self.flows.retain(|_, held| {
            let limit_ms = limit(held);
            held.request_since = held.request_since.filter(|since| now.since(*since) <= limit_ms);
            let kept = !held.is_expired(now);
            if kept {
                load = load.plus(held.weight());
            }
            kept
        });
        self.load = load;
    }

    fn insert(&mut self, flow: Flow, held: Held) {
        let after = held.weight();
        let before = self.flows.insert(flow, held).map(|old| old.weight()).unwrap_or_default();
        self.count(before, after);
    }

    fn update(&mut self, flow: Flow, change: impl FnOnce(&mut Held)) {
        let Some(held) = self.flows.get_mut(&flow) else {
            return;
        };
        let before = held.weight();
        change(held);
        let after = held.weight();
        self.count(before, after);
    }

    fn count(&mut self, before: Weight, after: Weight) {
        self.load = self.load.plus(after).minus(before);
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its answer begins.
    Answered {
        /// Time since the request, in milliseconds.
        after_ms: u64,
        /// Requests that were in progress when it came.
        behind: usize,
    },
    /// The server broke the flow off without an answer.
    Broken,
}

/// What flows add to the load.
#[derive(Clone, Copy, Debug, Default)]
struct Weight {
    busy: usize,
    open: usize,
}

impl Weight {
    const fn plus(self, other: Self) -> Self {
        Self { busy: self.busy + other.busy, open: self.open + other.open }
    }

    const fn minus(self, other: Self) -> Self {
        Self { busy: self.busy - other.busy, open: self.open - other.open }
    }
}

/// Packets on their way to the server, by the number written into them.
#[derive(Debug, Default)]
pub struct Probes {
    sent: BTreeMap<u32, Probe>,
    asked: BTreeMap<Flow, Ipv4Addr>,
    last: u32,
    denied: BTreeMap<Flow, Time>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    flow: Flow,
    from: Ipv4Addr,
    at: Time,
}

impl Probes {
    /// Notes a packet of a balancer; returns the number to write into it, which is never zero.
    pub fn insert(&mut self, now: Time, flow: Flow, from: Ipv4Addr) -> u32 {
        self.last = self.last.wrapping_add(1).max(1);
        self.sent.insert(self.last, Probe { flow, from, at: now });
        self.last
    }

    /// Like [`Self::insert`], for a balancer that wants to know whether the server holds the flow.
    pub fn ask(&mut self, now: Time, flow: Flow, from: Ipv4Addr) -> u32 {
        self.asked.insert(flow, from);
        self.insert(now, flow, from)
    }

    /// The balancer that sent the packet with this number.
    pub fn take(&mut self, number: u32) -> Option<Ipv4Addr> {
        let probe = self.sent.remove(&number)?;
        self.asked.remove(&probe.flow);
        Some(probe.from)
    }

    /// The balancer that asked for a flow which the server has shown to hold.
    pub fn answered(&mut self, flow: &Flow) -> Option<Ipv4Addr> {
        self.asked.remove(flow)
    }

    /// Takes out the questions that the server has left unanswered for longer than it ever takes.
    pub fn take_unanswered(&mut self, now: Time) -> Vec<(Flow, Ipv4Addr)> {
        let is_old = |probe: &Probe| now.since(probe.at) > UNANSWERED_MS;
        let old: Vec<Flow> =
            self.sent.values().filter(|probe| is_old(probe)).map(|probe| probe.flow).collect();
        old.into_iter().filter_map(|flow| Some((flow, self.asked.remove(&flow)?))).collect()
    }

    /// Notes that the server does not hold a flow.
    pub fn deny(&mut self, now: Time, flow: Flow) {
        self.denied.insert(flow, now);
    }

    /// Whether the server said lately that it does not hold the flow.
    #[must_use]
    pub fn denied(&self, now: Time, flow: &Flow) -> bool {
        self.denied.get(flow).is_some_and(|at| now.since(*at) <= DENIED_MS)
    }

    /// Drops what is over.
    pub fn expire(&mut self, now: Time) {
        let asked = &mut self.asked;
        self.sent.retain(|_, probe| {
            let kept = now.since(probe.at) <= PROBE_MS;
            if !kept {
                asked.remove(&probe.flow);
            }
            kept
        });
        self.denied.retain(|_, at| now.since(*at) <= DENIED_MS);
    }
}
