//! State machine of an agent: accepts or forwards new flows, admits requests to its backend
//! server, and takes part in membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::admission::{Decision, Gate, Id, Reason};
use crate::claim::{Claim, Ledger, Name, Outcome, Settled};
use crate::clock::Time;
use crate::lifecycle::{Lifecycle, Phase, Stage};
use crate::load::Report;
use crate::member::{Capacity, Record, Role};
use crate::membership::Timing;
use crate::peer::{self, Message, Peer};
use crate::placement::{Choice, Hop, Key};
use crate::retry::Budget;
use crate::return_path::Paths;

/// How long the decision about an opening is kept for its retransmissions, in milliseconds.
const OPENING_RETENTION_MS: u64 = 10_000;
/// Maximum number of openings whose decision is kept.
const MAX_OPENINGS: usize = 8_192;
/// Minimum time that a leaving agent goes on running so that its peers learn that it leaves, in
/// milliseconds.
pub const LINGER_MS: u64 = 500;
/// Maximum number of times that one opening is passed on from agent to agent.
pub const MAX_PASSES: u8 = 2;

/// The first packet of a flow as it reaches an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    /// Key of the flow.
    pub key: Key,
    /// The second choice of the balancer.
    pub next: Option<Hop>,
    /// Number of times that it was passed on from agent to agent.
    pub passes: u8,
    /// Whether the balancer prefers the second choice because this agent is more loaded.
    pub prefers_next: bool,
}

impl Opening {
    /// Creates the opening that a balancer sends to the first agent of `choice`.
    #[must_use]
    pub const fn open(key: Key, choice: &Choice) -> Self {
        Self { key, next: choice.next, passes: 0, prefers_next: choice.prefers_next }
    }

    /// Returns the opening as it is passed on to another agent; `by` is the agent that passes it
    /// on and becomes the second choice.
    #[must_use]
    pub const fn forward_to(self, by: Hop) -> Self {
        Self { next: Some(by), passes: self.passes + 1, prefers_next: false, ..self }
    }
}

/// Input of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The backend server announced its capacity.
    Announced(Capacity),
    /// The backend server is draining, or an operator drains it.
    Leave,
    /// The first packet of a flow arrived.
    Opening(Opening),
    /// A flow was accepted.
    FlowOpened,
    /// A flow was closed.
    FlowClosed,
    /// A request with this deadline arrived on a flow.
    Request(Id, Time),
    /// A connection to the backend server is available for this request, which needs a claim
    /// before it is sent.
    Claim(Id, Name),
    /// The outcomes of the claims in flight, in their order.
    Written(Vec<Outcome>),
    /// A request ended; true if the backend server shed it.
    Finished(Id, bool),
    /// The caller cancelled a request.
    Cancelled(Id),
    /// A peer sent a message.
    Message(SocketAddr, Message),
    /// The clock advanced; sent about every 50 ms.
    Tick,
}

/// Output of an agent, carried out by its driver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Deliver the opening packet to the local transport.
    Deliver,
    /// Pass the opening packet on to another agent.
    PassOn(Hop),
    /// Start or refuse a request.
    Decided(Decision),
    /// Write these claims to the platform.
    Write(Vec<Claim>),
    /// Run or refuse a request that needed a claim.
    Settled(Settled),
    /// The agent entered another phase.
    Entered(Phase),
    /// See [`peer::Action`].
    Peer(peer::Action),
}

/// Decision about an opening, kept for its retransmissions.
#[derive(Clone, Copy, Debug)]
struct Disposition {
    since: Time,
    /// The agent that it was passed on to; `None` if this agent accepted it.
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
    openings: BTreeMap<Key, Disposition>,
    flows: u32,
    requests: BTreeMap<Id, Time>,
    seed: u64,
}

impl Agent {
    /// Creates an agent whose backend server has not announced itself yet.
    #[must_use]
    pub fn open(me: Record, capacity: Capacity, timing: Timing, seed: u64) -> Self {
        Self {
            peer: Peer::open(me, timing, seed),
            stage: Stage::Announced(Lifecycle::begin()),
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

    /// Returns the view of the peers and the configuration.
    #[must_use]
    pub const fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Returns the current phase.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.stage.phase()
    }

    /// Returns the load of the backend server as counted by the agent.
    #[must_use]
    pub fn report(&self) -> Report {
        Report { connections: self.flows, busy: self.gate.busy(), queued: self.gate.queued() }
    }

    /// Returns the address and instance of this agent.
    #[must_use]
    pub const fn hop(&self) -> Hop {
        let me = self.peer.membership().me();
        Hop { address: me.address, instance: me.instance }
    }

    /// Records that a packet of `caller` arrived through the balancer `via`.
    pub fn record_caller(&mut self, now: Time, caller: SocketAddr, via: SocketAddr) {
        self.paths.record(now, caller, via);
    }

    /// Returns the balancer through which to answer a caller.
    pub fn return_path(&mut self, now: Time, caller: SocketAddr) -> Option<SocketAddr> {
        self.paths.choose(now, caller, self.peer.balancers())
    }

    /// Spends one retry of an idempotent request from the budget; returns false if none is left.
    pub fn spend_retry(&mut self) -> bool {
        self.retries.spend()
    }

    /// Handles one event.
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
        self.transition(now, |stage| stage.warm(now))
    }

    fn leave(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.transition(now, |stage| stage.leave(now));
        actions.extend(wrap(self.peer.push_record()));
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

    /// Accepts an opening or passes it on to the second choice.
    ///
    /// The agent decides because balancers may not know yet that it is leaving or full. An opening
    /// that it accepted stays here. One that it cannot accept, or for which the balancer prefers
    /// the second choice, is passed on, and so are its retransmissions. Otherwise a flow would be
    /// opened at two agents when two balancers see different loads.
    fn opening(&mut self, now: Time, opening: Opening) -> Action {
        match self.openings.get(&opening.key).map(|disposition| disposition.passed_to) {
            Some(None) => return Action::Deliver,
            // If the balancer names another second choice, the earlier one is gone.
            Some(Some(hop)) if opening.passes == 0 && opening.next == Some(hop) => {
                return Action::PassOn(hop);
            }
            Some(Some(_)) | None => {}
        }
        let may_pass = opening.passes < MAX_PASSES;
        let wants_to = opening.prefers_next || !self.takes_new();
        let passed_to = opening.next.filter(|_| wants_to && may_pass);
        if self.openings.len() < MAX_OPENINGS {
            self.openings.insert(opening.key, Disposition { since: now, passed_to });
        }
        passed_to.map_or(Action::Deliver, Action::PassOn)
    }

    /// Returns whether a new flow may be accepted.
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
        const RETRY_AFTER_MS: u64 = 1_000;
        if matches!(self.phase(), Phase::Announced | Phase::Gone) {
            let refused = Decision::Refuse(id, Reason::Unavailable, RETRY_AFTER_MS);
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
        // A request that has already ended must not run: the default deadline is in the past.
        let deadline = self.requests.get(&id).copied().unwrap_or_default();
        self.ledger.request(claim, deadline);
        self.write_batch()
    }

    fn written(&mut self, now: Time, outcomes: &[Outcome]) -> Vec<Action> {
        let mut actions: Vec<Action> =
            self.ledger.written(now, outcomes).into_iter().map(Action::Settled).collect();
        actions.extend(self.write_batch());
        actions
    }

    fn write_batch(&mut self) -> Vec<Action> {
        self.ledger.next_batch().into_iter().map(Action::Write).collect()
    }

    fn finished(&mut self, now: Time, id: Id, shed: bool) -> Vec<Action> {
        self.requests.remove(&id);
        let decisions = self.gate.finish(now, id, shed);
        self.decided(decisions)
    }

    fn cancelled(&mut self, now: Time, id: Id) -> Vec<Action> {
        self.requests.remove(&id);
        self.ledger.cancel(id);
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
        if let Stage::Warming(lifecycle) = &self.stage {
            self.gate.ramp(lifecycle.percent(now));
        } else {
            self.gate.ramp(100);
        }
        let decisions = self.gate.tick(now);
        actions.extend(self.decided(decisions));
        self.paths.tick(now);
        self.openings.retain(|_, disposition| now.since(disposition.since) < OPENING_RETENTION_MS);
        let open = self.open_work(now);
        actions.extend(self.transition(now, |stage| stage.advance(now, open)));
        actions
    }

    /// Returns the number of flows and requests that a leaving agent must wait for, plus one until
    /// [`LINGER_MS`] have passed.
    fn open_work(&self, now: Time) -> usize {
        let is_lingering = match &self.stage {
            Stage::Leaving(lifecycle) => now.since(lifecycle.since()) < LINGER_MS,
            _ => false,
        };
        self.flows as usize + self.requests.len() + usize::from(is_lingering)
    }

    fn transition(&mut self, now: Time, step: impl FnOnce(Stage) -> Stage) -> Vec<Action> {
        let before = self.phase();
        let stage = std::mem::replace(&mut self.stage, Stage::Announced(Lifecycle::begin()));
        self.stage = step(stage);
        let after = self.phase();
        assert!(after >= before, "agent: phase went back from {before:?} to {after:?} at {now:?}");
        let role = Role::Agent(self.capacity.clone());
        self.peer.membership_mut().update(role, after);
        if after == before {
            return Vec::new();
        }
        let mut actions = vec![Action::Entered(after)];
        actions.extend(wrap(self.peer.push_record()));
        actions
    }
}

fn wrap(actions: Vec<peer::Action>) -> Vec<Action> {
    actions.into_iter().map(Action::Peer).collect()
}
