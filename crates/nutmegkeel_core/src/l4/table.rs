//! The flows that an agent's backend server holds.

mod held;

use std::collections::BTreeMap;

use held::{REQUEST_MS, Weight};

use super::flow::{Flow, Head, follows};
use super::message::{Demand, Load};
use super::mute::Outstanding;
use crate::clock::Time;

pub use held::{Arrival, Held, Stage};

/// Time for which an accepted opening counts as a request in progress, in milliseconds. The request
/// follows within a round trip, or the client has gone.
const FOLLOW_UP_MS: u64 = 250;

/// Maximum distance of a client's first acknowledgement from the server's initial sequence number.
const FIRST_ACK_REACH: u32 = 1 << 17;

/// The flows that a backend server holds, and the load that they make.
#[derive(Debug, Default)]
pub struct Table {
    flows: BTreeMap<Flow, Held>,
    load: Weight,
}

impl Table {
    /// Returns the number of requests in progress and of open flows.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            busy: u16::try_from(self.load.busy).unwrap_or(u16::MAX),
            flows: u16::try_from(self.load.open).unwrap_or(u16::MAX),
            service_ms: 0,
        }
    }

    /// Returns the number of requests that have reached the server and are not answered yet.
    #[must_use]
    pub const fn working(&self) -> usize {
        self.load.working
    }

    /// Returns a flow, if it is known.
    #[must_use]
    pub fn get(&self, flow: &Flow) -> Option<&Held> {
        self.flows.get(flow)
    }

    /// Records an opening that goes to the server, with its sequence number, the version of the
    /// configuration that has the flow's route, and what the flow's requests demand.
    pub fn open(
        &mut self,
        now: Time,
        flow: Flow,
        seq: u32,
        version: u64,
        demand: Demand,
        arrival: Arrival,
    ) {
        self.insert(flow, Held::opening(now, seq, version, demand, arrival));
    }

    /// Passes the next request of a flow to the server. It counts as in progress from now on: after
    /// an opening the request follows within a round trip, and until then no packet shows it.
    pub fn admit(&mut self, now: Time, flow: Flow) {
        let behind = self.load.busy;
        self.update(flow, |held| {
            held.waits = false;
            held.request_since = Some(now);
            held.request_behind = behind;
        });
    }

    /// Sets whether the next request of a flow waits for a slot.
    pub fn set_waiting(&mut self, flow: Flow, waits: bool) {
        self.update(flow, |held| held.waits = waits);
    }

    /// Returns whether the request of a flow waits for a slot.
    #[must_use]
    pub fn is_waiting(&self, flow: &Flow) -> bool {
        self.flows.get(flow).is_some_and(|held| held.waits)
    }

    /// Returns what the requests on a flow demand, if this is known.
    #[must_use]
    pub fn demand(&self, flow: &Flow) -> Option<Demand> {
        self.flows.get(flow)?.demand
    }

    /// Returns the arrival of a request whose first packet is received now. A flow on which the client
    /// has ended the handshake before was opened in advance, so that its opening does not count.
    #[must_use]
    pub fn arrival(&self, now: Time, flow: &Flow) -> Arrival {
        let opening = self.flows.get(flow).and_then(|held| held.arrival);
        opening.unwrap_or(Arrival { since: now, is_retry: false })
    }

    /// Returns what a request demands if a client's packet starts one and its demand is known.
    #[must_use]
    pub fn begins(&self, head: &Head) -> Option<Demand> {
        let held = self.flows.get(&head.flow)?;
        let begins = held.request_since.is_none() && held.brings_data(head) && !head.flags.fin;
        held.demand.filter(|_| begins)
    }

    /// Returns whether a client's packet belongs to another server, because it does not acknowledge
    /// the sequence number with which this server answered a copy of the opening.
    #[must_use]
    pub fn is_elsewhere(&self, head: &Head) -> bool {
        match self.flows.get(&head.flow).map(|held| held.stage) {
            Some(Stage::Opening(Some(number))) => !follows(head.ack, number, FIRST_ACK_REACH),
            Some(Stage::Opening(None) | Stage::Open) | None => false,
        }
    }

    /// Returns whether the server has received the end of the flow's handshake.
    #[must_use]
    pub fn is_open(&self, flow: &Flow) -> bool {
        self.flows.get(flow).is_some_and(|held| held.stage == Stage::Open)
    }

    /// Records a client's packet that does not go to the server yet.
    pub fn record_waiting(&mut self, now: Time, head: &Head) {
        self.update(head.flow, |held| {
            held.last_used = now;
            held.client_ack = head.ack;
        });
    }

    /// Records a flow that this process discovers by a packet of the server.
    pub fn adopt(&mut self, now: Time, head: &Head) {
        let stage = if head.flags.syn { Stage::Opening(Some(head.seq)) } else { Stage::Open };
        self.insert(head.flow, Held::new(now, stage));
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: &Flow) -> Option<Held> {
        let held = self.flows.remove(flow)?;
        self.count(held.weight(), Weight::default());
        Some(held)
    }

    /// Returns whether a client's packet belongs to a flow that the server holds. If two servers
    /// accepted the opening, the flow is at the one whose sequence number the client acknowledges.
    #[must_use]
    pub fn holds(&self, now: Time, head: &Head) -> bool {
        let Some(held) = self.flows.get(&head.flow) else {
            return false;
        };
        match held.stage {
            Stage::Open => !held.is_expired(now),
            Stage::Opening(Some(number)) => follows(head.ack, number, FIRST_ACK_REACH),
            Stage::Opening(None) => false,
        }
    }

    /// Records a client's packet that goes to the server.
    pub fn record_client(&mut self, now: Time, head: &Head) {
        let behind = self.load.busy;
        self.update(head.flow, |held| {
            held.stage = Stage::Open;
            held.arrival = None;
            held.last_used = now;
            held.client_ack = head.ack;
            if held.brings_data(head) {
                held.client_next = Some(head.next_seq());
                if held.request_since.is_none() {
                    held.request_since = Some(now);
                    held.request_behind = behind;
                }
            }
            held.client_fin |= head.flags.fin;
            held.record_end(now, head.flags.rst);
        });
    }

    /// Records a server's packet; returns the outcome of a request that it answers or breaks off.
    pub fn record_server(&mut self, now: Time, head: &Head) -> Option<Outcome> {
        let mut outcome = None;
        self.update(head.flow, |held| {
            held.last_used = now;
            held.server_last_seen = now;
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
                outcome = Some(Outcome::Broken { behind: held.request_behind });
            }
            held.server_fin |= head.flags.fin;
            held.record_end(now, head.flags.rst);
        });
        outcome
    }

    /// Returns the open flows with the last acknowledgement numbers of their clients.
    pub fn open_flows(&self) -> impl Iterator<Item = (Flow, u32)> + '_ {
        let is_open = |held: &Held| held.stage == Stage::Open && !held.is_over();
        let open = self.flows.iter().filter(move |(_, held)| is_open(held));
        open.map(|(flow, held)| (*flow, held.client_ack))
    }

    /// Returns the requests that wait for the server's answer.
    #[must_use]
    pub fn outstanding(&self) -> Outstanding {
        let mut outstanding = Outstanding::default();
        for (since, demand) in self.flows.values().filter_map(Held::in_progress) {
            outstanding.requests += 1;
            outstanding.since = Some(outstanding.since.map_or(since, |oldest| oldest.min(since)));
            if let Some(demand) = demand {
                let Outstanding { objective_ms, deadline_ms, .. } = &mut outstanding;
                *objective_ms = u64::from(demand.objective_ms).max(*objective_ms);
                *deadline_ms = u64::from(demand.deadline_ms).max(*deadline_ms);
            }
        }
        outstanding
    }

    /// Removes and returns the open flows on which the server has sent nothing from this time on.
    pub fn take_silent_since(&mut self, time: Time) -> Vec<(Flow, Held)> {
        let is_silent = |held: &Held| {
            held.stage == Stage::Open && !held.is_over() && held.server_last_seen < time
        };
        self.take(is_silent)
    }

    /// Removes and returns the flows whose openings the server has answered.
    pub fn take_answered(&mut self) -> Vec<(Flow, Held)> {
        self.take(|held| held.stage != Stage::Opening(None) && !held.is_over())
    }

    fn take(&mut self, matches: impl Fn(&Held) -> bool) -> Vec<(Flow, Held)> {
        let taken = self.flows.iter().filter(|(_, held)| matches(held));
        let taken: Vec<Flow> = taken.map(|(flow, _)| *flow).collect();
        taken.into_iter().filter_map(|flow| Some((flow, self.remove(&flow)?))).collect()
    }

    /// Removes expired flows, and requests that no client waits for any more.
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

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer started.
    Answered {
        /// Time since the request, in milliseconds.
        after_ms: u64,
        /// Number of requests that were in progress when it arrived.
        behind: usize,
    },
    /// The server reset the flow without an answer.
    Broken {
        /// Number of requests that were in progress when it arrived.
        behind: usize,
    },
}
