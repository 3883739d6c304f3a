//! The agent's decisions: which packets are its own, what its backend server is given, when to go.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::admission::{Decision, Gate, Id, Reason};
use crate::claim::{Claim, Ledger, Name, Outcome, Settled};
use crate::clock::Time;
use crate::life::{Life, Phase, Stage};
use crate::load::Report;
use crate::member::{Capacity, Record, Role};
use crate::membership::Pace;
use crate::peer::{self, Message, Peer};
use crate::placement::{Choice, Hop, Key};
use crate::reply::Paths;
use crate::retry::Budget;

/// How long the key of an opened flow is remembered for repeats of its opening, in milliseconds.
const OPENING_MS: u64 = 10_000;
/// Openings remembered at most.
const MOST_OPENINGS: usize = 8_192;
/// A leaving agent stays at least so long, so that its peers hear of it, in milliseconds.
pub const LINGER_MS: u64 = 500;
/// Passes of one opening from agent to agent at most.
pub const MOST_PASSES: u8 = 2;

/// An opening packet as it reached the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    /// Key of the flow.
    pub key: Key,
    /// The next choice that the balancer named.
    pub next: Option<Hop>,
    /// How often it was passed on already.
    pub passes: u8,
    /// Whether the balancer wants this agent spared.
    pub spares: bool,
}

impl Opening {
    /// The opening of a flow as a balancer sends it to the choice's first agent.
    #[must_use]
    pub const fn open(key: Key, choice: &Choice) -> Self {
        Self { key, next: choice.next, passes: 0, spares: choice.spares_first }
    }

    /// The opening as `by` passes it on.
    #[must_use]
    pub const fn passed_on(self, by: Hop) -> Self {
        Self { next: Some(by), passes: self.passes + 1, spares: false, ..self }
    }
}

/// What happens to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The backend server announced what it can take.
    Announced(Capacity),
    /// The backend server is draining, or the operator wants it to leave.
    Leave,
    /// A packet that opens a flow.
    Opening(Opening),
    /// A flow was accepted.
    FlowOpened,
    /// A flow is over.
    FlowClosed,
    /// A request arrived on a flow; its deadline is a point in time.
    Request(Id, Time),
    /// The backend server can be reached for this request, which needs a claim first.
    Claim(Id, Name),
    /// The group of claims in flight was answered.
    Written(Vec<Outcome>),
    /// A request is over; true when the backend server shed it.
    Finished(Id, bool),
    /// The caller gave up on a request.
    Cancelled(Id),
    /// A message of a peer.
    Message(SocketAddr, Message),
    /// Time passes; about every 50 ms.
    Tick,
}

/// What an agent's driver does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Hand the opening packet to the transport.
    Deliver,
    /// Send the opening packet on to another agent.
    PassOn(Hop),
    /// Start or refuse a request.
    Decided(Decision),
    /// Write these claims to the platform.
    Write(Vec<Claim>),
    /// Run or refuse a request that needed a claim.
    Settled(Settled),
    /// The life cycle moved on.
    Entered(Phase),
    /// See [`peer::Action`].
    Peer(peer::Action),
}

/// What became of an opening, for its copies.
#[derive(Clone, Copy, Debug)]
struct Way {
    since: Time,
    /// The agent it was passed on to; none if it was taken.
    passed_to: Option<Hop>,
}

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    peer: Peer,
    stage: Stage,
    capacity: Capacity,
    gate: Gate,
    ledger: Ledger,
    retries: Budget,
    paths: Paths,
    openings: BTreeMap<Key, Way>,
    flows: u32,
    requests: BTreeMap<Id, Time>,
    seed: u64,
}

impl Agent {
    /// An agent whose backend server has not announced itself yet.
    #[must_use]
    pub fn open(me: Record, capacity: Capacity, pace: Pace, seed: u64) -> Self {
        Self {
            peer: Peer::open(me, pace, seed),
            stage: Stage::Announced(Life::begin()),
            gate: Gate::open(capacity.slots, seed),
            capacity,
            ledger: Ledger::default(),
            retries: Budget::open(),
            paths: Paths::default(),
            openings: BTreeMap::new(),
            flows: 0,
            requests: BTreeMap::new(),
            seed,
        }
    }

    /// The peers and the configuration.
    #[must_use]
    pub const fn peer(&self) -> &Peer {
        &self.peer
    }

    /// The stage as peers see it.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.stage.phase()
    }

    /// What the agent counts of its backend server.
    #[must_use]
    pub fn report(&self) -> Report {
        Report { connections: self.flows, busy: self.gate.busy(), queued: self.gate.queued() }
    }

    /// Where and as which run this agent is reached.
    #[must_use]
    pub const fn hop(&self) -> Hop {
        let me = self.peer.membership().me();
        Hop { address: me.address, instance: me.instance }
    }

    /// A caller's packet came by a balancer.
    pub fn heard_caller(&mut self, now: Time, caller: SocketAddr, via: SocketAddr) {
        self.paths.heard(now, caller, via);
    }

    /// The balancer to answer a caller through.
    pub fn way(&mut self, now: Time, caller: SocketAddr) -> Option<SocketAddr> {
        self.paths.way(now, caller, self.peer.balancers())
    }

    /// Takes one retry of an idempotent request out of the budget; false when none is left.
    pub fn spend_retry(&mut self) -> bool {
        self.retries.spend()
    }

    /// Takes in one event.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Announced(capacity) => self.announced(now, capacity),
            Event::Leave => self.leave(now),
            Event::Opening(opening) => vec![self.opening(now, opening)],
            Event::FlowOpened => self.count_flow(1),
            Event::FlowClosed => self.count_flow(-1),
            Event::Request(id, deadline) => self.request(now, id, deadline),
            Event::Claim(id, name) => self.claim(id, name),
            Event::Written(outcomes) => self.written(now, &outcomes),
            Event::Finished(id, shed) => self.finished(now, id, shed),
            Event::Cancelled(id) => self.cancelled(now, id),
            Event::Message(from, message) => self.receive(now, from, message),
            Event::Tick => self.tick(now),
        }
    }

    fn announced(&mut self, now: Time, capacity: Capacity) -> Vec<Action> {
        if capacity != self.capacity {
            self.gate = Gate::open(capacity.slots, self.seed);
            self.capacity = capacity;
        }
        self.move_on(now, |stage| stage.warm(now))
    }

    fn leave(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.move_on(now, |stage| stage.leave(now));
        actions.extend(wrap(self.peer.farewell()));
        actions
    }

    fn receive(&mut self, now: Time, from: SocketAddr, message: Message) -> Vec<Action> {
        let received = self.peer.receive(now, from, message);
        let drains = received.contains(&peer::Action::Drain);
        let mut actions = wrap(received);
        if drains {
            actions.extend(self.leave(now));
        }
        actions
    }

    /// Decides at the last hop, whatever the balancers have heard.
    ///
    /// Guards against new work at a leaving backend server, and against a flow that is opened
    /// twice when two balancers see different loads: an opening that this agent holds stays; one
    /// that it cannot take, or is to be spared, goes on to the next choice, and its copies follow.
    fn opening(&mut self, now: Time, opening: Opening) -> Action {
        match self.openings.get(&opening.key).map(|way| way.passed_to) {
            Some(None) => return Action::Deliver,
            // A balancer that names another agent knows that the earlier one has gone.
            Some(Some(hop)) if opening.passes == 0 && opening.next == Some(hop) => {
                return Action::PassOn(hop);
            }
            Some(Some(_)) | None => {}
        }
        let may_pass = opening.passes < MOST_PASSES;
        let wants_to = opening.spares || !self.takes_new();
        let passed_to = opening.next.filter(|_| wants_to && may_pass);
        if self.openings.len() < MOST_OPENINGS {
            self.openings.insert(opening.key, Way { since: now, passed_to });
        }
        passed_to.map_or(Action::Deliver, Action::PassOn)
    }

    /// Whether a new flow may be accepted.
    #[must_use]
    pub fn takes_new(&self) -> bool {
        self.phase().takes_new() && self.flows < self.capacity.connections
    }

    fn count_flow(&mut self, change: i32) -> Vec<Action> {
        let flows = self.flows.checked_add_signed(change);
        assert!(flows.is_some(), "agent: a flow was closed that was never opened");
        self.flows = flows.unwrap_or_default();
        Vec::new()
    }

    fn request(&mut self, now: Time, id: Id, deadline: Time) -> Vec<Action> {
        const COME_BACK_MS: u64 = 1_000;
        if matches!(self.phase(), Phase::Announced | Phase::Gone) {
            let refused = Decision::Refuse(id, Reason::Unavailable, COME_BACK_MS);
            return vec![Action::Decided(refused)];
        }
        self.retries.earn();
        let decision = self.gate.arrive(now, id, deadline);
        if !matches!(decision, Some(Decision::Refuse(..))) {
            self.requests.insert(id, deadline);
        }
        decision.into_iter().map(Action::Decided).collect()
    }

    fn claim(&mut self, id: Id, name: Name) -> Vec<Action> {
        let claim = Claim { name, owner: self.hop(), id };
        // A request that is over already must not run: its deadline lies at the origin.
        let deadline = self.requests.get(&id).copied().unwrap_or_default();
        self.ledger.ask(claim, deadline);
        self.write_group()
    }

    fn written(&mut self, now: Time, outcomes: &[Outcome]) -> Vec<Action> {
        let mut actions: Vec<Action> =
            self.ledger.written(now, outcomes).into_iter().map(Action::Settled).collect();
        actions.extend(self.write_group());
        actions
    }

    fn write_group(&mut self) -> Vec<Action> {
        self.ledger.group().into_iter().map(Action::Write).collect()
    }

    fn finished(&mut self, now: Time, id: Id, shed: bool) -> Vec<Action> {
        self.requests.remove(&id);
        let decisions = self.gate.finish(now, id, shed);
        self.decided(decisions)
    }

    fn cancelled(&mut self, now: Time, id: Id) -> Vec<Action> {
        self.requests.remove(&id);
        self.ledger.forget(id);
        let decisions = self.gate.cancel(now, id);
        self.decided(decisions)
    }

    fn decided(&mut self, decisions: Vec<Decision>) -> Vec<Action> {
        for decision in &decisions {
            if let Decision::Refuse(id, ..) = decision {
                self.requests.remove(id);
            }
        }
        decisions.into_iter().map(Action::Decided).collect()
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = wrap(self.peer.tick(now));
        if let Stage::Warming(life) = &self.stage {
            self.gate.ramp(life.percent(now));
        } else {
            self.gate.ramp(100);
        }
        let decisions = self.gate.tick(now);
        actions.extend(self.decided(decisions));
        self.paths.tick(now);
        self.openings.retain(|_, way| now.since(way.since) < OPENING_MS);
        let open = self.open_work(now);
        actions.extend(self.move_on(now, |stage| stage.advance(now, open)));
        actions
    }

    /// Flows and requests that keep a leaving agent from ending.
    fn open_work(&self, now: Time) -> usize {
        let lingers = match &self.stage {
            Stage::Leaving(life) => now.since(life.since()) < LINGER_MS,
            _ => false,
        };
        self.flows as usize + self.requests.len() + usize::from(lingers)
    }

    fn move_on(&mut self, now: Time, step: impl FnOnce(Stage) -> Stage) -> Vec<Action> {
        let before = self.phase();
        let stage = std::mem::replace(&mut self.stage, Stage::Announced(Life::begin()));
        self.stage = step(stage);
        let after = self.phase();
        assert!(after >= before, "agent: life went back from {before:?} to {after:?} at {now:?}");
        let role = Role::Agent(self.capacity.clone());
        self.peer.membership_mut().update(role, after);
        if after == before {
            return Vec::new();
        }
        let mut actions = vec![Action::Entered(after)];
        actions.extend(wrap(self.peer.farewell()));
        actions
    }
}

fn wrap(actions: Vec<peer::Action>) -> Vec<Action> {
    actions.into_iter().map(Action::Peer).collect()
}
