//! How processes find and watch each other: probes between random pairs, rumors on every message.
//!
//! The probing follows the idea of SWIM (Das, Gupta, Motivala 2002): a constant number of messages
//! per process and second whatever the size, suspicion before death, refutation by the owner.

mod rumors;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::life::Phase;
use crate::member::{Health, Instance, Record, Role, Rumor};
use rumors::Rumors;

/// Pace of the probes. All in milliseconds but the counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// Between two probes of one process.
    pub probe_every_ms: u64,
    /// Until an unanswered probe is repeated through others, and again until suspicion.
    pub answer_within_ms: u64,
    /// Until a suspect is given up.
    pub suspect_for_ms: u64,
    /// Until a suspect is given up although very many went silent at once.
    pub hold_for_ms: u64,
    /// Others asked to repeat a probe.
    pub relays: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            probe_every_ms: 500,
            answer_within_ms: 250,
            suspect_for_ms: 1_500,
            hold_for_ms: 10_000,
            relays: 2,
        }
    }
}

/// Rumors on one message at most, so that it fits a datagram.
pub const NEWS: usize = 8;
/// The dead are remembered so long, in milliseconds, lest a late rumor revive them.
const BURY_AFTER_MS: u64 = 60_000;
/// Least time between two pulls of a peer's whole view, in milliseconds.
const PULL_EVERY_MS: u64 = 5_000;
/// A gap between two ticks above this means that this process was paused, in milliseconds.
const PAUSED_MS: u64 = 1_000;
/// Time between two attempts to join, in milliseconds.
const JOIN_EVERY_MS: u64 = 500;

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Are you there? Answer to the sender.
    Ping(Probe),
    /// I am there.
    Ack(Probe),
    /// Ping `target` for me and pass its answer on.
    Relay(Probe, SocketAddr),
    /// I am new: send me your view.
    Join(Record),
    /// My view differs: send me yours.
    Pull,
    /// A part of the sender's view.
    View(Vec<Rumor>),
}

/// What probes and their answers carry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Number that the answer repeats.
    pub number: u64,
    /// The sender's word about itself.
    pub sender: Record,
    /// Rumors.
    pub news: Vec<Rumor>,
    /// Digest of the sender's view.
    pub digest: u64,
}

/// What the driver does for the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send to a peer.
    Send(SocketAddr, Message),
    /// Send to any balancer, by the fabric's address.
    Join(Message),
    /// The belief about a process changed.
    Changed(Rumor),
    /// A run of a process is over.
    Gone(SocketAddr, Instance),
    /// A later run has this process's address: it must stop.
    Superseded,
}

#[derive(Clone, Debug)]
struct Belief {
    rumor: Rumor,
    since: Time,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    target: SocketAddr,
    until: Time,
    relayed: bool,
    asked_by: Option<(SocketAddr, u64)>,
}

/// The view of one process.
#[derive(Debug)]
pub struct Membership {
    me: Record,
    pace: Pace,
    beliefs: BTreeMap<SocketAddr, Belief>,
    pending: BTreeMap<u64, Pending>,
    order: Vec<SocketAddr>,
    rumors: Rumors,
    rng: SmallRng,
    next_number: u64,
    next_probe: Time,
    next_join: Time,
    next_pull: Time,
    last_tick: Option<Time>,
}

impl Membership {
    /// A view that holds nobody but `me`.
    #[must_use]
    pub fn open(me: Record, pace: Pace, seed: u64) -> Self {
        Self {
            me,
            pace,
            beliefs: BTreeMap::new(),
            pending: BTreeMap::new(),
            order: Vec::new(),
            rumors: Rumors::default(),
            rng: SmallRng::seed_from_u64(seed),
            next_number: 0,
            next_probe: Time::ZERO,
            next_join: Time::ZERO,
            next_pull: Time::ZERO,
            last_tick: None,
        }
    }

    /// This process's word about itself.
    #[must_use]
    pub const fn me(&self) -> &Record {
        &self.me
    }

    /// All beliefs about others, the dead included.
    pub fn beliefs(&self) -> impl Iterator<Item = &Rumor> {
        self.beliefs.values().map(|belief| &belief.rumor)
    }

    /// Others that are not given up.
    pub fn living(&self) -> impl Iterator<Item = &Rumor> {
        self.beliefs().filter(|rumor| is_living(rumor))
    }

    /// Changes this process's word about itself.
    pub fn update(&mut self, role: Role, phase: Phase) {
        if self.me.role == role && self.me.phase == phase {
            return;
        }
        self.me.role = role;
        self.me.phase = phase;
        self.me.version += 1;
        self.spread_self();
    }

    /// Word of a stop, sent to a few peers at once so that they need no suspicion.
    pub fn farewell(&mut self) -> Vec<Action> {
        const TOLD: usize = 4;
        let peers: Vec<_> = self.living().map(|rumor| rumor.record.address).collect();
        let told = peers.into_iter().choose_multiple(&mut self.rng, TOLD);
        let me = self.rumor_of_self();
        told.into_iter().map(|peer| Action::Send(peer, Message::View(vec![me.clone()]))).collect()
    }

    /// Time passes: probes, suspicions, deaths.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.notice_pause(now);
        let mut actions = Vec::new();
        self.join(now, &mut actions);
        self.expire_probes(now, &mut actions);
        self.give_up_suspects(now, &mut actions);
        self.bury(now);
        if now >= self.next_probe {
            self.next_probe = now.after(self.pace.probe_every_ms);
            self.probe_next(now, &mut actions);
        }
        actions
    }

    /// A message arrived from the process at `from`.
    pub fn receive(&mut self, now: Time, from: SocketAddr, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        match message {
            Message::Ping(probe) => {
                let number = probe.number;
                self.take_in(now, probe, &mut actions);
                let ack = Message::Ack(self.probe(number));
                actions.push(Action::Send(from, ack));
            }
            Message::Ack(probe) => self.acked(now, probe, &mut actions),
            Message::Relay(probe, target) => {
                let asked_by = Some((from, probe.number));
                self.take_in(now, probe, &mut actions);
                self.ping(now, target, asked_by, &mut actions);
            }
            Message::Join(record) => {
                let newcomer = record.address;
                let rumor = Rumor { record, health: Health::Alive };
                self.learn(now, rumor, &mut actions);
                self.send_view(newcomer, &mut actions);
            }
            Message::Pull => self.send_view(from, &mut actions),
            Message::View(rumors) => {
                for rumor in rumors {
                    self.learn(now, rumor, &mut actions);
                }
            }
        }
        actions
    }

    /// A process proved on the data path that it lives.
    pub fn heard(&mut self, now: Time, address: SocketAddr, instance: Instance) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(belief) = self.beliefs.get_mut(&address)
            && belief.rumor.record.instance == instance
            && belief.rumor.health == Health::Suspect
        {
            belief.rumor.health = Health::Alive;
            belief.since = now;
            actions.push(Action::Changed(belief.rumor.clone()));
        }
        actions
    }

    /// The data path met silence: probe this process now instead of when its turn comes.
    pub fn doubt(&mut self, now: Time, address: SocketAddr) -> Vec<Action> {
        let mut actions = Vec::new();
        let asked = self.pending.values().any(|pending| pending.target == address);
        if !asked && self.beliefs.get(&address).is_some_and(|belief| is_living(&belief.rumor)) {
            self.ping(now, address, None, &mut actions);
        }
        actions
    }

    /// Guards against a process that was frozen and wakes: to it every probe looks unanswered and
    /// every suspicion run out, so it would give up healthy peers. After a pause it starts the
    /// waiting over.
    fn notice_pause(&mut self, now: Time) {
        let paused = self.last_tick.is_some_and(|last| now.since(last) > PAUSED_MS);
        self.last_tick = Some(now);
        if !paused {
            return;
        }
        self.pending.clear();
        for belief in self.beliefs.values_mut() {
            belief.since = now;
        }
    }

    fn join(&mut self, now: Time, actions: &mut Vec<Action>) {
        let alone = self.living().next().is_none();
        if alone && now >= self.next_join {
            self.next_join = now.after(JOIN_EVERY_MS);
            actions.push(Action::Join(Message::Join(self.me.clone())));
        }
    }

    fn expire_probes(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired: Vec<(u64, Pending)> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.until)
            .map(|(number, pending)| (*number, *pending))
            .collect();
        for (number, pending) in expired {
            if pending.asked_by.is_some() {
                self.pending.remove(&number);
            } else if pending.relayed {
                self.pending.remove(&number);
                self.suspect(now, pending.target, actions);
            } else {
                self.relay(now, number, pending.target, actions);
            }
        }
    }

    fn relay(&mut self, now: Time, number: u64, target: SocketAddr, actions: &mut Vec<Action>) {
        let others: Vec<SocketAddr> = self
            .living()
            .map(|rumor| rumor.record.address)
            .filter(|address| *address != target)
            .collect();
        let relays = others.into_iter().choose_multiple(&mut self.rng, self.pace.relays);
        for relay in relays {
            let probe = self.probe(number);
            actions.push(Action::Send(relay, Message::Relay(probe, target)));
        }
        if let Some(pending) = self.pending.get_mut(&number) {
            pending.relayed = true;
            pending.until = now.after(2 * self.pace.answer_within_ms);
        }
    }

    fn suspect(&mut self, now: Time, target: SocketAddr, actions: &mut Vec<Action>) {
        let Some(belief) = self.beliefs.get(&target) else {
            return;
        };
        if belief.rumor.health == Health::Alive {
            let rumor = Rumor { health: Health::Suspect, ..belief.rumor.clone() };
            self.learn(now, rumor, actions);
        }
    }

    /// Gives up suspects whose time is over.
    ///
    /// Guards against a mass removal when the observer or its failure domain is cut off: then very
    /// many go silent at once and the last good view is the better one. While more than a third
    /// are silent nobody is given up before `hold_for_ms`, and nobody at all while this process
    /// hears from fewer than half of the others.
    fn give_up_suspects(&mut self, now: Time, actions: &mut Vec<Action>) {
        const FEW: usize = 3;
        let silent = self.living().filter(|rumor| rumor.health == Health::Suspect).count();
        let known = self.living().count();
        if silent == 0 || (silent >= FEW && silent * 2 > known) {
            return;
        }
        let many = silent >= FEW && silent * 3 > known;
        let wait = if many { self.pace.hold_for_ms } else { self.pace.suspect_for_ms };
        let over: Vec<Rumor> = self
            .beliefs
            .values()
            .filter(|belief| belief.rumor.health == Health::Suspect)
            .filter(|belief| now.since(belief.since) >= wait)
            .map(|belief| Rumor { health: Health::Dead, ..belief.rumor.clone() })
            .collect();
        for rumor in over {
            self.learn(now, rumor, actions);
        }
    }

    fn bury(&mut self, now: Time) {
        self.beliefs.retain(|_, belief| {
            is_living(&belief.rumor) || now.since(belief.since) < BURY_AFTER_MS
        });
    }

    /// Probes each other process once per round, in an order drawn anew for each round.
    fn probe_next(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.order.is_empty() {
            self.order = self.living().map(|rumor| rumor.record.address).collect();
            self.order.shuffle(&mut self.rng);
        }
        while let Some(target) = self.order.pop() {
            if self.beliefs.get(&target).is_some_and(|belief| is_living(&belief.rumor)) {
                self.ping(now, target, None, actions);
                return;
            }
        }
    }

    fn ping(
        &mut self,
        now: Time,
        target: SocketAddr,
        asked_by: Option<(SocketAddr, u64)>,
        actions: &mut Vec<Action>,
    ) {
        self.next_number += 1;
        let number = self.next_number;
        let until = now.after(self.pace.answer_within_ms);
        self.pending.insert(number, Pending { target, until, relayed: false, asked_by });
        let probe = self.probe(number);
        actions.push(Action::Send(target, Message::Ping(probe)));
    }

    fn probe(&mut self, number: u64) -> Probe {
        let known = self.beliefs.len() + 1;
        Probe {
            number,
            sender: self.me.clone(),
            news: self.rumors.take(NEWS, known),
            digest: self.digest(),
        }
    }

    fn acked(&mut self, now: Time, probe: Probe, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&probe.number) else {
            return self.take_in(now, probe, actions);
        };
        if let Some((asker, number)) = pending.asked_by {
            let passed_on = Probe { number, ..probe.clone() };
            actions.push(Action::Send(asker, Message::Ack(passed_on)));
        }
        self.take_in(now, probe, actions);
    }

    fn take_in(&mut self, now: Time, probe: Probe, actions: &mut Vec<Action>) {
        let sender = probe.sender.address;
        let instance = probe.sender.instance;
        let alive = Rumor { record: probe.sender, health: Health::Alive };
        self.learn(now, alive, actions);
        actions.extend(self.heard(now, sender, instance));
        for rumor in probe.news {
            self.learn(now, rumor, actions);
        }
        if probe.digest != self.digest() && now >= self.next_pull {
            self.next_pull = now.after(PULL_EVERY_MS);
            actions.push(Action::Send(sender, Message::Pull));
        }
    }

    fn learn(&mut self, now: Time, rumor: Rumor, actions: &mut Vec<Action>) {
        if rumor.record.address == self.me.address {
            return self.learn_of_self(&rumor, actions);
        }
        let known = self.beliefs.get(&rumor.record.address).map(|belief| belief.rumor.clone());
        let is_new = known.as_ref().is_none_or(|known| rumor.beats(known));
        if !is_new || (known.is_none() && !is_living(&rumor)) {
            return;
        }
        if let Some(known) = &known {
            note_end(known, &rumor, actions);
        }
        let belief = Belief { rumor: rumor.clone(), since: now };
        self.beliefs.insert(rumor.record.address, belief);
        self.rumors.add(rumor.clone());
        actions.push(Action::Changed(rumor));
    }

    /// Others speak of this process. A grave belief is refuted by a greater version; word of a
    /// later run at the same address means that this one was replaced while it was away.
    fn learn_of_self(&mut self, rumor: &Rumor, actions: &mut Vec<Action>) {
        if rumor.record.instance > self.me.instance {
            actions.push(Action::Superseded);
            return;
        }
        let of_this_run = rumor.record.instance == self.me.instance;
        let grave = rumor.health > Health::Alive && rumor.record.version >= self.me.version;
        if of_this_run && grave {
            self.me.version = rumor.record.version + 1;
            self.spread_self();
        } else if !of_this_run {
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
        for part in view.chunks(NEWS) {
            actions.push(Action::Send(to, Message::View(part.to_vec())));
        }
    }

    /// Equal views have equal digests: the sum of one number per living record.
    fn digest(&self) -> u64 {
        let others = self.living().map(|rumor| fingerprint(&rumor.record));
        others.fold(fingerprint(&self.me), u64::wrapping_add)
    }
}

fn is_living(rumor: &Rumor) -> bool {
    rumor.health != Health::Dead && rumor.record.phase != Phase::Gone
}

fn note_end(known: &Rumor, rumor: &Rumor, actions: &mut Vec<Action>) {
    let replaced = rumor.record.instance > known.record.instance;
    if is_living(known) && (replaced || !is_living(rumor)) {
        actions.push(Action::Gone(known.record.address, known.record.instance));
    }
}

fn fingerprint(record: &Record) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.address.to_string().as_bytes());
    hasher.update(&record.instance.number().to_be_bytes());
    hasher.update(&record.version.to_be_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(first)
}
