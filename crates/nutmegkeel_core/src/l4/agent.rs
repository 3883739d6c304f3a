//! Decisions of an agent for flows without a routing token.
//!
//! The agent sees every packet to and from its backend server, so it knows which flows the server
//! holds. After its own restart it learns this from the server: the server returns a packet of a
//! flow that it does not hold.

mod answer;
mod balancers;
mod carry;
mod contended;
mod crash;
mod evacuation;
mod event;
mod flow_list;
mod missing_route;
mod refused;
mod replica;
mod request;
mod server;
mod speed;
mod warmup;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use evacuation::View;
use refused::Refused;
use replica::Replica;
use request::Opening;

use super::changes::Changes;
use super::checkpoint::Recorder;
use super::decision::{Cause, Decision, Observed};
use super::flow::Flow;
use super::handover::Handover;
use super::health::ANNOUNCE_MS;
use super::message::{Load, Message, Reason, State};
use super::mute;
use super::outlier;
use super::peer_state::States;
use super::policy::{Mechanism, Policy};
use super::probe::Probes;
use super::roster::{Roster, SEND_INTERVAL_MS};
use super::server::History;
use super::share::Shares;
use super::speed::Meter;
use super::table::{Held, Table};
use super::waiting::Queue;
use super::warmup::Budget;
use crate::admission::Estimate;
use crate::clock::Time;
use crate::port::Monitor;

pub use event::{Action, Event};

/// Interval between two ticks, in milliseconds.
pub const TICK_MS: u64 = 100;

/// Properties of the agent that are fixed at start.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Address of the agent.
    pub address: Ipv4Addr,
    /// When the process started, in Unix milliseconds.
    pub incarnation: u64,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Interval between two heartbeats of the backend server, in milliseconds.
    pub heartbeat_ms: u64,
    /// Number of checkpoints that all agents together may write to the store per second.
    pub checkpoints_per_s: u64,
    /// The mechanisms in use.
    pub policy: Policy,
}

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    identity: Identity,
    started: Time,
    history: History,
    balancers: Roster,
    /// Balancers that changed since the last tick.
    balancers_changed: Changes,
    /// Balancers that have sent their state to this process, and so know it; each with the time of
    /// the last one.
    introduced: BTreeMap<Ipv4Addr, Time>,
    table: Table,
    probes: Probes,
    waiting: Queue,
    /// Recent demand of the callers and their shares of the server's work, used where callers
    /// compete for room.
    shares: Shares,
    refused: Refused,
    /// Service time of requests that found a free slot.
    service_time: Estimate,
    /// Measures how long a slot works on a request.
    meter: Meter,
    /// Whether the server was cold at the last tick.
    was_cold: bool,
    outliers: outlier::Detector,
    mute: mute::Detector,
    unanswered_since: Option<Time>,
    unresponsive: bool,
    /// When the server last sent a packet, or reported that it ends.
    last_sent_at: Time,
    /// When the server last sent a packet or a heartbeat.
    heard_at: Time,
    /// Since when the server owes an answer to a packet.
    awaiting_since: Option<Time>,
    /// Checks of the server's port while it is silent.
    port: Monitor,
    /// Whether the port of the current server was seen open.
    was_port_open: bool,
    leaving: bool,
    recorder: Recorder,
    handover: Handover,
    /// Last reported state of each balancer.
    balancer_states: States,
    /// Number of agents that a balancer last reported.
    agent_count: u64,
    /// What is known of the evacuation of the own failure domain.
    evacuation: View,
    replica: Replica,
    /// When the evacuation of the own failure domain last ended.
    taken_back: Option<Time>,
    /// Limits the openings that a cold server gets.
    budget: Budget,
    announcement_number: u64,
    announced_at: Time,
}

impl Agent {
    /// Creates an agent that knows nothing but its seeds.
    #[must_use]
    pub fn open(now: Time, identity: Identity, seeds: &[Ipv4Addr]) -> Self {
        let mut balancers = Roster::default();
        for seed in seeds {
            balancers.refresh(now, *seed);
        }
        let mut balancer_states = States::default();
        balancer_states.set_round(SEND_INTERVAL_MS);
        Self {
            history: History::open(identity.heartbeat_ms),
            handover: Handover::default(),
            balancer_states,
            recorder: Recorder::open(now, identity.checkpoints_per_s),
            agent_count: 0,
            evacuation: View::default(),
            replica: Replica::default(),
            taken_back: None,
            budget: Budget::default(),
            waiting: Queue::open(&identity.policy),
            shares: Shares::default(),
            refused: Refused::default(),
            identity,
            started: now,
            balancers,
            balancers_changed: Changes::default(),
            introduced: BTreeMap::new(),
            table: Table::default(),
            probes: Probes::default(),
            service_time: Estimate::default(),
            meter: Meter::open(now),
            was_cold: false,
            outliers: outlier::Detector::default(),
            mute: mute::Detector::open(now),
            unanswered_since: None,
            unresponsive: false,
            last_sent_at: now,
            heard_at: now,
            awaiting_since: None,
            port: Monitor::open(crash::CHECK_INTERVAL_MS),
            was_port_open: false,
            leaving: false,
            announcement_number: 0,
            announced_at: Time::ZERO,
        }
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> Load {
        let load = self.table.load();
        let saturate = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        let waiting = saturate(self.waiting.len());
        // After a restart most requests arrive on flows that this process does not know yet. If
        // they were not counted, balancers would consider a server free that is full of them.
        let unknown =
            if self.uses(Mechanism::DomainBalance) { self.probes.unanswered_requests() } else { 0 };
        let busy = load.busy.saturating_add(waiting).saturating_add(saturate(unknown));
        Load { busy, service_ms: self.service_ms(), ..load }
    }

    /// Returns the state that is announced to balancers.
    #[must_use]
    pub fn state(&self, now: Time) -> State {
        match self.history.server() {
            None if self.leaving && self.sees_all_flows(now) => State::Gone,
            _ if self.leaving => State::Restarting,
            Some(server) if server.draining || self.unresponsive => State::Closed,
            Some(_) if self.history.is_contested() => State::Closed,
            Some(_) if self.outliers.is_failing(now) => State::Failing,
            Some(_) => State::Ready,
            None => State::Closed,
        }
    }

    fn uses(&self, mechanism: Mechanism) -> bool {
        self.identity.policy.uses(mechanism)
    }

    /// Returns whether the backend server accepts new flows. For a failing server, the balancers
    /// decide whether it gets any.
    fn is_open(&self, now: Time) -> bool {
        matches!(self.state(now), State::Ready | State::Failing)
    }

    /// Returns the number of known balancers.
    #[must_use]
    pub fn balancers(&self) -> usize {
        self.balancers.len()
    }

    /// Returns whether any balancer is in contact with this process.
    #[must_use]
    pub fn has_balancer_contact(&self) -> bool {
        !self.introduced.is_empty()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let owes_answer = event.client_head().is_some_and(|head| head.len > 0 || head.opens());
        let mut actions = self.dispatch(now, event);
        let is_passed_on = actions.iter().any(|action| matches!(action, Action::ToServer(_)));
        actions.extend(self.release(now));
        let is_released = actions.iter().any(|action| matches!(action, Action::Release(_)));
        if is_released || (owes_answer && is_passed_on) {
            self.record_awaiting(now);
        }
        self.measure(now);
        actions
    }

    fn dispatch(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Open { from, head, offer } => {
                let since = now.before(u64::from(offer.waited_ms));
                self.open_flow(now, &Opening { from, head, offer, since })
            }
            Event::Carry { from, head, known } => self.carry(now, from, &head, known),
            Event::CarryWithoutRoute { from, head, missing } => {
                self.carry_without_route(now, from, &head, missing)
            }
            Event::Locate(from, flow) => self.locate(now, from, flow),
            Event::FromServer(head) => self.handle_server_packet(now, &head),
            Event::Bounced(head) => self.bounced(now, &head),
            Event::Heartbeat(beat) => self.heartbeat(now, &beat),
            Event::ServerPortChecked(finding) => self.server_port_checked(now, finding),
            Event::Deregistered(leaving) => self.deregistered(now, &leaving),
            Event::Gossip(from, gossip) => self.apply_gossip(now, from, &gossip),
            Event::FlowsSaved(number) => {
                self.recorder.record_number(number);
                self.handover.record_saved(number);
                Vec::new()
            }
            Event::Listed(balancers) => self.add_balancers(now, &balancers),
            Event::Fetched(version) => {
                self.replica.set_version(version);
                Vec::new()
            }
            Event::Recovered(checkpoint) => {
                self.recorder.apply_predecessor(checkpoint);
                self.reset_lost_flows(now)
            }
            Event::Leave => self.leave(now),
            Event::Tick => self.tick(now),
        }
    }

    fn forward_opening(&mut self, now: Time, flow: Flow, from: Ipv4Addr) -> Action {
        self.unanswered_since.get_or_insert(now);
        Action::ToServer(self.probes.insert(now, flow, from))
    }

    fn log_accepted(&self, flow: Flow) -> Action {
        Action::Log(Decision::Accepted { flow, load: self.load() })
    }

    fn leave(&mut self, now: Time) -> Vec<Action> {
        self.leaving = true;
        self.announce(now)
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.check_responsiveness(now);
        actions.extend(self.check_silent_server(now));
        actions.extend(self.check_mute(now));
        actions.extend(self.save(now));
        actions.extend(self.fetch_replica(now));
        self.restart_meter_when_warm(now);
        self.table.expire(now);
        self.refused.expire(now);
        self.probes.expire(now);
        self.balancers.expire(now);
        self.balancer_states.expire(now);
        self.introduced.retain(|balancer, _| self.balancers.contains(*balancer));
        actions.extend(self.log_balancer_changes());
        if self.leaving {
            // Balancers that miss the announcement would take the restart for the end of the host.
            actions.extend(self.announce(now));
        } else if now.since(self.announced_at) >= ANNOUNCE_MS {
            actions.extend(self.announce_periodically(now));
        } else if self.uses(Mechanism::Introductions) {
            actions.extend(self.introduce(now));
        }
        actions
    }

    fn decline(&self, to: Ipv4Addr, reason: Reason) -> Action {
        Action::Return(to, Message::Declined { reason, load: self.load() })
    }
}

/// Resets a flow that the agent knows.
fn reset(now: Time, flow: Flow, held: &Held, cause: Cause) -> [Action; 2] {
    reset_observed(flow, held.client_ack, cause, Some(held.observed(now)))
}

/// Resets a flow that the agent does not know.
fn reset_unknown(flow: Flow, client_ack: u32, cause: Cause) -> [Action; 2] {
    reset_observed(flow, client_ack, cause, None)
}

fn reset_observed(
    flow: Flow,
    client_ack: u32,
    cause: Cause,
    observed: Option<Observed>,
) -> [Action; 2] {
    let decision = Decision::Reset { flow, cause, asked: 0, version: 0, observed };
    [Action::Reset { flow, seq: client_ack }, Action::Log(decision)]
}
