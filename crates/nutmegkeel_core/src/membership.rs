//! Membership and failure detection: processes probe each other and gossip rumors on every message.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala 2002): each process sends a constant number of
//! messages per second whatever the size of the fleet, a process is suspect before it is declared
//! dead, and it can refute the suspicion.

mod beliefs;
mod rumors;
mod suspicion;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::lifecycle::Phase;
use crate::member::{Health, Instance, Record, Role, Rumor};
use beliefs::{Beliefs, fingerprint};
use rumors::Rumors;

/// Timing of the failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// Interval between two probes that a process sends, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time until an unanswered probe is repeated through other processes, in milliseconds. Twice
    /// this time later its target becomes suspect.
    pub answer_timeout_ms: u64,
    /// Time until a suspect is declared dead, in milliseconds.
    pub suspicion_timeout_ms: u64,
    /// Time after which a suspect is declared dead even if many processes are suspect at once or
    /// there is too little evidence that the connection of this process works, in milliseconds.
    pub max_suspicion_ms: u64,
    /// Number of other processes asked to repeat a probe.
    pub indirect_probes: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            answer_timeout_ms: 250,
            suspicion_timeout_ms: 1_500,
            max_suspicion_ms: 10_000,
            indirect_probes: 2,
        }
    }
}

/// Maximum number of rumors in one message, so that it fits into a datagram.
pub const MAX_RUMORS: usize = 8;
/// How long a dead process is remembered, in milliseconds, so that a late rumor does not add it
/// again.
const DEAD_RETENTION_MS: u64 = 60_000;
/// Minimum interval between two pulls of a peer's view, in milliseconds.
const PULL_INTERVAL_MS: u64 = 5_000;
/// Minimum interval between two pulls of a recently started process, in milliseconds.
const STARTUP_PULL_INTERVAL_MS: u64 = 1_000;
/// A longer gap between two ticks means that this process was paused, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 1_000;
/// Interval between probes while evidence about a suspect is needed quickly, in milliseconds.
const FAST_PROBE_INTERVAL_MS: u64 = 50;
/// Number of probes sent at each such interval. It is large enough to collect the evidence before
/// the next retransmission of callers.
const FAST_PROBES: usize = 2;
/// Interval between two attempts to join, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 500;
/// How long a process counts as recently started, in milliseconds. During this time it pings a
/// random balancer at the interval of attempts to join.
const STARTUP_MS: u64 = 5_000;
/// Interval between two pings of a random balancer after that time, in milliseconds.
const RANDOM_PING_INTERVAL_MS: u64 = 5_000;

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver to answer with an `Ack`.
    Ping(Probe),
    /// Answers a `Ping`.
    Ack(Probe),
    /// Asks the receiver to ping the process at this address and to forward its `Ack`.
    IndirectPing(Probe, SocketAddr),
    /// Announces a new process and asks for the receiver's view.
    Join(Record),
    /// Asks for the receiver's view because its digest differs.
    Pull,
    /// A part of the sender's view. The receiver does not spread it, since every process that lacks
    /// it pulls it too.
    View(Vec<Rumor>),
    /// Rumors that the receiver applies and spreads.
    Rumors(Vec<Rumor>),
}

/// Content of probes and their answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Number of the probe, which its answer repeats.
    pub number: u64,
    /// Record of the sender.
    pub sender: Record,
    /// Rumors that the sender spreads.
    pub rumors: Vec<Rumor>,
    /// Digest of the sender's view.
    pub digest: u64,
}

/// Output of the membership, carried out by its driver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send to a peer.
    Send(SocketAddr, Message),
    /// Send to the address of the fabric, which delivers to any balancer.
    Join(Message),
    /// The record or health of a process changed.
    Changed(Rumor),
    /// An instance of a process ended.
    Gone(SocketAddr, Instance),
    /// A later instance runs at the address of this process, so this process must stop.
    Superseded,
}

/// Outcome of a scheduled probe.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    sent: Time,
    answered: bool,
}

/// A probe without an answer so far.
#[derive(Clone, Copy, Debug)]
struct Pending {
    request: Request,
    sent: Time,
    deadline: Time,
    is_indirect: bool,
}

/// Target and purpose of a probe.
#[derive(Clone, Copy, Debug)]
struct Request {
    target: SocketAddr,
    /// Whether the target was chosen in turn and not because it is suspect. Only outcomes of these
    /// probes count as evidence, because they are an unbiased sample of the fleet.
    is_scheduled: bool,
    /// The process that asked for this probe, and the number of its own probe.
    requested_by: Option<(SocketAddr, u64)>,
}

/// The membership view of one process.
#[derive(Debug)]
pub struct Membership {
    me: Record,
    timing: Timing,
    beliefs: Beliefs,
    pending: BTreeMap<u64, Pending>,
    outcomes: VecDeque<Outcome>,
    order: Vec<SocketAddr>,
    rumors: Rumors,
    rng: SmallRng,
    next_number: u64,
    next_probe: Time,
    next_join: Time,
    next_random_ping: Time,
    next_pull: Time,
    first_tick: Option<Time>,
    last_tick: Option<Time>,
}

impl Membership {
    /// Creates a view that holds only the process itself.
    #[must_use]
    pub fn open(me: Record, timing: Timing, seed: u64) -> Self {
        Self {
            me,
            timing,
            beliefs: Beliefs::default(),
            pending: BTreeMap::new(),
            outcomes: VecDeque::new(),
            order: Vec::new(),
            rumors: Rumors::default(),
            rng: SmallRng::seed_from_u64(seed),
            next_number: 0,
            next_probe: Time::ZERO,
            next_join: Time::ZERO,
            next_random_ping: Time::ZERO,
            next_pull: Time::ZERO,
            first_tick: None,
            last_tick: None,
        }
    }

    /// Returns the record of this process.
    #[must_use]
    pub const fn me(&self) -> &Record {
        &self.me
    }

    /// Returns the rumors about all other processes, including dead ones.
    pub fn beliefs(&self) -> impl Iterator<Item = &Rumor> {
        self.beliefs.rumors()
    }

    /// Returns the rumors about all other processes that are neither dead nor gone.
    pub fn living(&self) -> impl Iterator<Item = &Rumor> {
        self.beliefs().filter(|rumor| rumor.is_living())
    }

    /// Changes the record of this process and spreads it.
    pub fn update(&mut self, role: Role, phase: Phase) {
        if self.me.role == role && self.me.phase == phase {
            return;
        }
        self.me.role = role;
        self.me.phase = phase;
        self.me.version += 1;
        self.spread_self();
    }

    /// Sends the record of this process to a few peers at once, so that they learn of a planned
    /// stop or another phase without a suspicion.
    pub fn push_record(&mut self) -> Vec<Action> {
        const FANOUT: usize = 4;
        let peers = self.sample(FANOUT);
        let me = self.rumor_of_self();
        peers
            .into_iter()
            .map(|peer| Action::Send(peer, Message::Rumors(vec![me.clone()])))
            .collect()
    }

    /// Returns up to `count` living other processes, chosen at random.
    pub fn sample(&mut self, count: usize) -> Vec<SocketAddr> {
        self.beliefs.sample(&mut self.rng, count, None)
    }

    /// Sends the probes that are due and declares processes suspect or dead whose timeouts have
    /// passed.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.first_tick.get_or_insert(now);
        self.detect_pause(now);
        let mut actions = Vec::new();
        self.join(now, &mut actions);
        self.ping_random_balancer(now, &mut actions);
        self.expire_probes(now, &mut actions);
        self.probe_suspects_again(now, &mut actions);
        self.declare_dead(now, &mut actions);
        self.beliefs.purge_dead(now, DEAD_RETENTION_MS);
        if now >= self.next_probe {
            self.probe_in_turn(now, &mut actions);
        }
        actions
    }

    /// Handles a message from the process at `from`.
    pub fn receive(&mut self, now: Time, from: SocketAddr, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        match message {
            Message::Ping(probe) => {
                let (number, sender) = (probe.number, probe.sender.address);
                self.apply_probe(now, probe, &mut actions);
                let mut answer = self.probe(number);
                answer.rumors.extend(self.unhealthy_belief(sender));
                actions.push(Action::Send(from, Message::Ack(answer)));
            }
            Message::Ack(probe) => self.receive_ack(now, probe, &mut actions),
            Message::IndirectPing(probe, target) => {
                let requested_by = Some((from, probe.number));
                self.apply_probe(now, probe, &mut actions);
                self.ping(now, Request { target, is_scheduled: false, requested_by }, &mut actions);
            }
            Message::Join(record) => {
                let sender = record.address;
                let rumor = Rumor { record, health: Health::Alive };
                self.apply_and_spread(now, rumor, &mut actions);
                self.send_view(sender, &mut actions);
            }
            Message::Pull => self.send_view(from, &mut actions),
            Message::View(rumors) => {
                for rumor in rumors {
                    self.apply(now, rumor, &mut actions);
                }
            }
            Message::Rumors(rumors) => {
                for rumor in rumors {
                    self.apply_and_spread(now, rumor, &mut actions);
                }
            }
        }
        actions
    }

    /// Handles a packet on the data path from a process, which proves that it is alive.
    pub fn confirm_alive(
        &mut self,
        now: Time,
        address: SocketAddr,
        instance: Instance,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let refuted = self.beliefs.get(address).filter(|belief| {
            belief.rumor.record.instance == instance && belief.rumor.health == Health::Suspect
        });
        if let Some(belief) = refuted {
            let rumor = Rumor { health: Health::Alive, ..belief.rumor.clone() };
            self.beliefs.set(now, rumor.clone());
            actions.push(Action::Changed(rumor));
        }
        actions
    }

    /// Probes a process now instead of at its turn, unless a probe of it is pending.
    pub fn probe_now(&mut self, now: Time, address: SocketAddr) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_probed(address)
            && self.beliefs.get(address).is_some_and(|belief| belief.rumor.is_living())
        {
            let request = Request { target: address, is_scheduled: false, requested_by: None };
            self.ping(now, request, &mut actions);
        }
        actions
    }

    /// Drops all pending probes and restarts all suspicions if this process was paused.
    ///
    /// Guards against healthy peers being declared dead after a pause: all probes of this process
    /// would look unanswered, and all its suspicions would have timed out.
    fn detect_pause(&mut self, now: Time) {
        let paused = self.last_tick.is_some_and(|last| now.since(last) > PAUSE_THRESHOLD_MS);
        self.last_tick = Some(now);
        if !paused {
            return;
        }
        self.pending.clear();
        self.outcomes.clear();
        self.beliefs.restart_suspicions(now);
    }

    fn is_starting(&self, now: Time) -> bool {
        self.first_tick.is_none_or(|first| now.since(first) < STARTUP_MS)
    }

    fn join(&mut self, now: Time, actions: &mut Vec<Action>) {
        let alone = self.beliefs.living().is_empty();
        if alone && now >= self.next_join {
            self.next_join = now.after(JOIN_INTERVAL_MS);
            actions.push(Action::Join(Message::Join(self.me.clone())));
        }
    }

    /// Pings a random balancer through the address of the fabric.
    ///
    /// Guards against groups of processes that never find each other: processes that started at the
    /// same time, or were partitioned for long, know only their own group and probe only its
    /// members. The fabric delivers to any balancer, so eventually this ping reaches one of another
    /// group, and the digests in ping and answer show that the views differ.
    fn ping_random_balancer(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_random_ping {
            return;
        }
        let pause = if self.is_starting(now) { JOIN_INTERVAL_MS } else { RANDOM_PING_INTERVAL_MS };
        self.next_random_ping = now.after(pause);
        self.next_number += 1;
        let number = self.next_number;
        let probe = self.probe(number);
        actions.push(Action::Join(Message::Ping(probe)));
    }

    fn probe_in_turn(&mut self, now: Time, actions: &mut Vec<Action>) {
        let fast = self.probes_fast();
        let (count, pause) = if fast {
            (FAST_PROBES, FAST_PROBE_INTERVAL_MS)
        } else {
            (1, self.timing.probe_interval_ms)
        };
        self.next_probe = now.after(pause);
        for _ in 0..count {
            self.probe_next(now, actions);
        }
    }

    /// Probes the next process. Each round visits all other processes once, in a new random order.
    fn probe_next(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.order.is_empty() {
            self.order = self.beliefs.living().to_vec();
            self.order.shuffle(&mut self.rng);
        }
        while let Some(target) = self.order.pop() {
            if self.beliefs.get(target).is_some_and(|belief| belief.rumor.is_living()) {
                let request = Request { target, is_scheduled: true, requested_by: None };
                self.ping(now, request, actions);
                return;
            }
        }
    }

    fn ping(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        self.next_number += 1;
        let number = self.next_number;
        let deadline = now.after(self.timing.answer_timeout_ms);
        let pending = Pending { request, sent: now, deadline, is_indirect: false };
        self.pending.insert(number, pending);
        let target = request.target;
        let mut probe = self.probe(number);
        probe.rumors.extend(self.unhealthy_belief(target));
        actions.push(Action::Send(target, Message::Ping(probe)));
    }

    fn probe(&mut self, number: u64) -> Probe {
        let known = self.beliefs.len() + 1;
        Probe {
            number,
            sender: self.me.clone(),
            rumors: self.rumors.take(MAX_RUMORS, known),
            digest: self.digest(),
        }
    }

    /// Returns the rumor that the process at `address` must refute if it is suspect or dead in this
    /// view.
    fn unhealthy_belief(&self, address: SocketAddr) -> Option<Rumor> {
        let belief = self.beliefs.get(address)?;
        (belief.rumor.health > Health::Alive).then(|| belief.rumor.clone())
    }

    fn receive_ack(&mut self, now: Time, probe: Probe, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&probe.number) else {
            return self.apply_probe(now, probe, actions);
        };
        self.record_outcome(now, &pending, true);
        if let Some((requester, number)) = pending.request.requested_by {
            let passed_on = Probe { number, ..probe.clone() };
            actions.push(Action::Send(requester, Message::Ack(passed_on)));
        }
        self.apply_probe(now, probe, actions);
    }

    fn apply_probe(&mut self, now: Time, probe: Probe, actions: &mut Vec<Action>) {
        let sender = probe.sender.address;
        let instance = probe.sender.instance;
        let alive = Rumor { record: probe.sender, health: Health::Alive };
        self.apply_and_spread(now, alive, actions);
        actions.extend(self.confirm_alive(now, sender, instance));
        for rumor in probe.rumors {
            self.apply_and_spread(now, rumor, actions);
        }
        if probe.digest != self.digest() && now >= self.next_pull {
            let pause =
                if self.is_starting(now) { STARTUP_PULL_INTERVAL_MS } else { PULL_INTERVAL_MS };
            self.next_pull = now.after(pause);
            actions.push(Action::Send(sender, Message::Pull));
        }
    }

    /// Applies a rumor and spreads it if it is new.
    fn apply_and_spread(&mut self, now: Time, rumor: Rumor, actions: &mut Vec<Action>) {
        let address = rumor.record.address;
        if self.apply(now, rumor, actions)
            && let Some(belief) = self.beliefs.get(address)
        {
            self.rumors.add(belief.rumor.clone());
        }
    }

    /// Applies a rumor and returns true if it is new.
    ///
    /// Guards against resetting the flows of a healthy process that was partitioned or paused,
    /// which some peers declare dead while others reach it. A rumor of its death only makes it
    /// suspect here, so it has time to refute. It is declared dead only after this process's own
    /// probes have gone unanswered.
    fn apply(&mut self, now: Time, rumor: Rumor, actions: &mut Vec<Action>) -> bool {
        if rumor.record.address == self.me.address {
            self.apply_about_self(&rumor, actions);
            return false;
        }
        let known = self.beliefs.get(rumor.record.address).map(|belief| belief.rumor.clone());
        if known.is_none() && !rumor.is_living() {
            return false;
        }
        let is_dead = rumor.health == Health::Dead;
        let rumor = if is_dead { Rumor { health: Health::Suspect, ..rumor } } else { rumor };
        let is_new = known.as_ref().is_none_or(|known| rumor.supersedes(known));
        if is_new {
            self.believe(now, rumor, actions);
        }
        is_new
    }

    fn believe(&mut self, now: Time, rumor: Rumor, actions: &mut Vec<Action>) {
        if let Some(known) = self.beliefs.get(rumor.record.address) {
            push_gone(&known.rumor, &rumor, actions);
        }
        self.beliefs.set(now, rumor.clone());
        actions.push(Action::Changed(rumor));
    }

    /// Applies a rumor about this process.
    ///
    /// The process refutes a rumor that it is suspect or dead by raising its version. A later
    /// instance at its address means that it was replaced, for instance while it was paused.
    fn apply_about_self(&mut self, rumor: &Rumor, actions: &mut Vec<Action>) {
        if rumor.record.instance > self.me.instance {
            actions.push(Action::Superseded);
            return;
        }
        let is_same_instance = rumor.record.instance == self.me.instance;
        let is_unhealthy = rumor.health > Health::Alive && rumor.record.version >= self.me.version;
        if is_same_instance && is_unhealthy {
            self.me.version = rumor.record.version + 1;
            self.spread_self();
        } else if !is_same_instance {
            self.spread_self();
        }
    }

    fn rumor_of_self(&self) -> Rumor {
        Rumor { record: self.me.clone(), health: Health::Alive }
    }

    fn spread_self(&mut self) {
        let rumor = self.rumor_of_self();
        self.rumors.add(rumor);
    }

    fn send_view(&mut self, to: SocketAddr, actions: &mut Vec<Action>) {
        let mut view: Vec<Rumor> = self.beliefs().cloned().collect();
        view.push(self.rumor_of_self());
        for part in view.chunks(MAX_RUMORS) {
            actions.push(Action::Send(to, Message::View(part.to_vec())));
        }
    }

    /// Returns the digest of this view including the record of this process.
    fn digest(&self) -> u64 {
        self.beliefs.digest().wrapping_add(fingerprint(&self.me))
    }
}

fn push_gone(known: &Rumor, rumor: &Rumor, actions: &mut Vec<Action>) {
    let replaced = rumor.record.instance > known.record.instance;
    if known.is_living() && (replaced || !rumor.is_living()) {
        actions.push(Action::Gone(known.record.address, known.record.instance));
    }
}
