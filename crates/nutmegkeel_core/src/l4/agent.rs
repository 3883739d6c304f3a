//! Decisions of an agent for flows without a routing token.
//!
//! The agent sees every packet to and from its backend server. It knows which flows the server
//! holds, and after its own restart lets the server say so: a packet of a flow that the server does
//! not hold comes back.

mod answer;
mod balancers;
mod contended;
mod evacuation;
mod event;
mod refused;
mod replica;
mod request;
mod speed;
mod standing;
mod warmup;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;

use evacuation::Standing;
use refused::Refused;
use replica::Replica;
use request::Opening;

use super::checkpoint::Keeper;
use super::flow::{Flow, Head};
use super::handover::{Handover, Step};
use super::health::ANNOUNCE_MS;
use super::message::{Load, Message, Reason, State};
use super::mute;
use super::note::{Cause, Note};
use super::outlier::Record;
use super::policy::{Mechanism, Policy};
use super::probe::Probes;
use super::roster::{Book, TELL_MS};
use super::server::Beside;
use super::share::Shares;
use super::speed::Meter;
use super::table::Table;
use super::turnover::Turnover;
use super::waiting::Queue;
use super::warmup::Budget;
use super::word::Words;
use crate::admission::Estimate;
use crate::clock::Time;

pub use event::{Action, Event};

/// Pause between two ticks, in milliseconds.
pub const TICK_MS: u64 = 100;

/// What the agent tells of itself, fixed at start.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its address.
    pub address: Ipv4Addr,
    /// When the process started, Unix milliseconds.
    pub incarnation: u64,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Pause between two heartbeats of the backend server, in milliseconds.
    pub heartbeat_ms: u64,
    /// Lists of flows that all agents together may write to the store in a second.
    pub checkpoints_per_s: u64,
    /// The mechanisms that it uses.
    pub policy: Policy,
}

/// The agent.
#[derive(Debug)]
pub struct Agent {
    identity: Identity,
    started: Time,
    beside: Beside,
    balancers: Book,
    /// Balancers that changed since the last tick.
    balancers_changed: Turnover,
    /// Balancers that have spoken to this process, and so know it.
    acquainted: BTreeSet<Ipv4Addr>,
    table: Table,
    probes: Probes,
    waiting: Queue,
    /// What callers received lately, where they compete for room.
    shares: Shares,
    refused: Refused,
    pace: Estimate,
    /// How long a slot works on a request.
    meter: Meter,
    /// Whether the server was cold at the last tick.
    was_cold: bool,
    record: Record,
    mute: mute::Watch,
    unanswered_since: Option<Time>,
    unresponsive: bool,
    leaving: bool,
    keeper: Keeper,
    handover: Handover,
    /// What balancers last said of themselves.
    words: Words,
    /// Agents that a balancer last said it hears of.
    fleet: u64,
    /// Whether the own failure domain is evacuated.
    evacuation: Standing,
    replica: Replica,
    /// When the own failure domain was last taken back.
    taken_back: Option<Time>,
    /// What the server was given lately.
    budget: Budget,
    /// Whether a packet to the server got no answer while nothing was heard of a server.
    deserted: bool,
    number: u64,
    announced: Time,
}

impl Agent {
    /// An agent that knows nothing yet but its seeds.
    #[must_use]
    pub fn open(now: Time, identity: Identity, seeds: &[Ipv4Addr]) -> Self {
        let mut balancers = Book::default();
        for seed in seeds {
            balancers.heard(now, *seed);
        }
        let mut words = Words::default();
        words.set_round(TELL_MS);
        Self {
            beside: Beside::open(identity.heartbeat_ms),
            handover: Handover::default(),
            words,
            keeper: Keeper::open(now, identity.checkpoints_per_s),
            fleet: 0,
            evacuation: Standing::default(),
            replica: Replica::default(),
            taken_back: None,
            budget: Budget::default(),
            deserted: false,
            waiting: Queue::open(&identity.policy),
            shares: Shares::default(),
            refused: Refused::default(),
            identity,
            started: now,
            balancers,
            balancers_changed: Turnover::default(),
            acquainted: BTreeSet::new(),
            table: Table::default(),
            probes: Probes::default(),
            pace: Estimate::default(),
            meter: Meter::open(now),
            was_cold: false,
            record: Record::default(),
            mute: mute::Watch::open(now),
            unanswered_since: None,
            unresponsive: false,
            leaving: false,
            number: 0,
            announced: Time::ZERO,
        }
    }

    /// Its load now.
    #[must_use]
    pub fn load(&self) -> Load {
        let load = self.table.load();
        let counted = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        let waiting = counted(self.waiting.len());
        // After a restart most requests come on flows that this process does not know yet. Uncounted, they
        // fill the server while balancers take it for free.
        let unknown = if self.uses(Mechanism::DomainBalance) { self.probes.requests() } else { 0 };
        let busy = load.busy.saturating_add(waiting).saturating_add(counted(unknown));
        Load { busy, service_ms: self.service_ms(), ..load }
    }

    /// Whether it takes new flows.
    #[must_use]
    pub fn state(&self, now: Time) -> State {
        match self.beside.server() {
            None if self.leaving => State::Gone,
            _ if self.leaving => State::Restarting,
            Some(server) if server.draining || self.unresponsive => State::Closed,
            Some(_) if self.beside.is_contested() => State::Closed,
            Some(_) if self.record.is_failing(now) => State::Failing,
            Some(_) => State::Ready,
            None => State::Closed,
        }
    }

    fn uses(&self, mechanism: Mechanism) -> bool {
        self.identity.policy.uses(mechanism)
    }

    /// Whether its backend server may be given flows; balancers decide whether one that fails is.
    fn is_open(&self, now: Time) -> bool {
        matches!(self.state(now), State::Ready | State::Failing)
    }

    /// Number of balancers known.
    #[must_use]
    pub fn balancers(&self) -> usize {
        self.balancers.len()
    }

    /// Whether balancers speak to this process.
    #[must_use]
    pub fn hears_balancers(&self) -> bool {
        !self.acquainted.is_empty()
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = self.take_in(now, event);
        actions.extend(self.release(now));
        self.measure(now);
        actions
    }

    fn take_in(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Open { from, head, offer } => {
                let since = now.before(u64::from(offer.waited_ms));
                self.open_flow(now, &Opening { from, head, offer, since })
            }
            Event::Carry { from, head, known } => self.carry(now, from, &head, known),
            Event::Locate(from, flow) => self.locate(now, from, flow),
            Event::FromServer(head) => self.answered(now, &head),
            Event::Bounced(head) => self.bounced(now, &head),
            Event::Heartbeat(beat) => self.heartbeat(now, &beat),
            Event::Deregistered(leaving) => self.deregistered(now, &leaving),
            Event::Roster(from, roster) => self.roster(now, from, &roster),
            Event::Written(number) => {
                self.keeper.note_number(number);
                self.handover.written(number);
                Vec::new()
            }
            Event::Listed(balancers) => self.listed(now, &balancers),
            Event::Fetched(version) => {
                self.replica.hold(version);
                Vec::new()
            }
            Event::Recovered(checkpoint) => {
                self.keeper.read(checkpoint);
                self.tell_lost(now)
            }
            Event::Leave => self.leave(now),
            Event::Tick => self.tick(now),
        }
    }

    fn hand_over(&mut self, now: Time, flow: Flow, from: Ipv4Addr) -> Action {
        self.unanswered_since.get_or_insert(now);
        Action::ToServer(self.probes.insert(now, flow, from))
    }

    fn accepted(&self, flow: Flow) -> Action {
        Action::Note(Note::Accepted { flow, load: self.load() })
    }

    fn carry(&mut self, now: Time, from: Ipv4Addr, head: &Head, known: bool) -> Vec<Action> {
        let flow = head.flow;
        if self.table.takes(now, head) {
            let mut actions = self.take(now, head, from);
            if !known {
                actions.push(Action::Send(from, Message::Holds { flow, load: self.load() }));
            }
            return actions;
        }
        if self.refused.contains(now, head) {
            return reset(flow, head.ack, Cause::Overload).into();
        }
        // Guards against a server that takes a packet for its own because the two servers' numbers are
        // near each other: one that accepted a copy of the opening is never asked for the flow.
        if self.table.is_elsewhere(head) || self.is_certain(now) || self.probes.denied(now, &flow) {
            return vec![self.decline(from, Reason::NotHeld)];
        }
        vec![Action::ToServer(self.probes.ask(now, flow, from, head.len > 0))]
    }

    /// Says whether a flow is here, or that only its packet can show it: the backend server may know, or an
    /// opening is here, which another server may have accepted too. A balancer that took this agent for the
    /// flow's would reset the flow with its death; one that heard nothing would keep the packet from it.
    fn locate(&self, now: Time, from: Ipv4Addr, flow: Flow) -> Vec<Action> {
        let load = self.load();
        if self.table.is_open(&flow) {
            return vec![Action::Send(from, Message::Holds { flow, load })];
        }
        let is_opening = self.table.get(&flow).is_some();
        if !is_opening && (self.is_certain(now) || self.probes.denied(now, &flow)) {
            return vec![Action::Send(from, Message::Absent { flow, load })];
        }
        vec![Action::Send(from, Message::Unsure { flow, load })]
    }

    fn leave(&mut self, now: Time) -> Vec<Action> {
        self.leaving = true;
        self.announce(now)
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.judge_server(now);
        actions.extend(self.notice_mute(now));
        actions.extend(self.notice_absence(now));
        actions.extend(self.save(now));
        actions.extend(self.replicate(now));
        self.notice_warmth(now);
        self.table.expire(now);
        self.refused.expire(now);
        self.probes.expire(now);
        self.balancers.expire(now);
        self.words.expire(now);
        self.acquainted.retain(|balancer| self.balancers.knows(*balancer));
        actions.extend(self.note_turnover());
        if now.since(self.announced) >= ANNOUNCE_MS {
            actions.extend(self.announce_again(now));
        } else if self.uses(Mechanism::Introductions) {
            actions.extend(self.introduce(now));
        }
        actions
    }

    fn save(&mut self, now: Time) -> Option<Action> {
        if !self.uses(Mechanism::FlowLists) {
            return None;
        }
        let flows = self.table.open_flows();
        if let Some(server) = self.beside.server()
            && let Some(list) = self.keeper.due(now, self.fleet, server, flows)
        {
            if !self.uses(Mechanism::Collectors) {
                return Some(Action::Save(list));
            }
            self.handover.begin(list);
        }
        if !self.handover.is_pending() {
            return None;
        }
        let patience_ms = self.words.counted_ms();
        let delegates = self.words.delegates(now, &self.identity.domain, None, patience_ms);
        let agents = self.agents_at_home(now);
        match self.handover.step(now, &delegates, self.reaches_store(now), agents)? {
            Step::Deposit(balancer, list) => Some(Action::Send(balancer, Message::Deposit(list))),
            Step::Write(list) => Some(Action::Save(list)),
        }
    }

    /// Agents of the own failure domain, as far as balancers tell: they count those of all domains.
    fn agents_at_home(&self, now: Time) -> u64 {
        self.fleet.div_ceil(self.words.domains(now).max(1))
    }

    /// Whether a balancer of this failure domain said lately that the store answers it.
    #[must_use]
    pub fn reaches_store(&self, now: Time) -> bool {
        self.words.of_domain(now, &self.identity.domain).any(|(_, word)| word.reaches_store)
    }

    fn decline(&self, to: Ipv4Addr, reason: Reason) -> Action {
        Action::Return(to, Message::Declined { reason, load: self.load() })
    }
}

fn reset(flow: Flow, client_ack: u32, cause: Cause) -> [Action; 2] {
    let note = Note::Reset { flow, cause, asked: 0, version: 0 };
    [Action::Reset { flow, seq: client_ack }, Action::Note(note)]
}
