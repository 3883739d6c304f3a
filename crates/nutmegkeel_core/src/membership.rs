//! How processes find and watch each other: probes between random pairs, rumors on every message.
//!
//! The probing follows the idea of SWIM (Das, Gupta, Motivala 2002): a constant number of messages
//! per process and second whatever the size, suspicion before death, refutation by the owner.

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
use crate::life::Phase;
use crate::member::{Health, Instance, Record, Role, Rumor};
use beliefs::{Beliefs, fingerprint};
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
/// The same for a process that is young.
const YOUNG_PULL_EVERY_MS: u64 = 1_000;
/// A gap between two ticks above this means that this process was paused, in milliseconds.
const PAUSED_MS: u64 = 1_000;
/// Time between two probes while a probe of this process went unanswered shortly before.
const HASTE_MS: u64 = 50;
/// Probes sent together in haste: evidence must be there before callers' next retransmission.
const HASTY_PROBES: usize = 2;
/// Time between two attempts to join, in milliseconds.
const JOIN_EVERY_MS: u64 = 500;
/// A process is young for so long and meets a random balancer as often as it would join.
const YOUNG_MS: u64 = 5_000;
/// Time between two meetings with a random balancer of a process that is not young.
const MEET_EVERY_MS: u64 = 5_000;

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
    /// A part of the sender's view. Whoever lacks it pulls it too, so it is not passed on.
    View(Vec<Rumor>),
    /// News to pass on.
    News(Vec<Rumor>),
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

#[derive(Clone, Copy, Debug)]
struct Outcome {
    sent: Time,
    answered: bool,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    errand: Errand,
    sent: Time,
    until: Time,
    relayed: bool,
}

/// Whom a probe goes to, and why.
#[derive(Clone, Copy, Debug)]
struct Errand {
    target: SocketAddr,
    /// Whether it goes to whoever's turn it is, and so tells something of the whole fleet.
    in_turn: bool,
    /// Who asked for it, and under which number.
    asked_by: Option<(SocketAddr, u64)>,
}

/// The view of one process.
#[derive(Debug)]
pub struct Membership {
    me: Record,
    pace: Pace,
    beliefs: Beliefs,
    pending: BTreeMap<u64, Pending>,
    outcomes: VecDeque<Outcome>,
    order: Vec<SocketAddr>,
    rumors: Rumors,
    rng: SmallRng,
    next_number: u64,
    next_probe: Time,
    next_join: Time,
    next_meeting: Time,
    next_pull: Time,
    first_tick: Option<Time>,
    last_tick: Option<Time>,
}

impl Membership {
    /// A view that holds nobody but `me`.
    #[must_use]
    pub fn open(me: Record, pace: Pace, seed: u64) -> Self {
        Self {
            me,
            pace,
            beliefs: Beliefs::default(),
            pending: BTreeMap::new(),
            outcomes: VecDeque::new(),
            order: Vec::new(),
            rumors: Rumors::default(),
            rng: SmallRng::seed_from_u64(seed),
            next_number: 0,
            next_probe: Time::ZERO,
            next_join: Time::ZERO,
            next_meeting: Time::ZERO,
            next_pull: Time::ZERO,
            first_tick: None,
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
        self.beliefs.rumors()
    }

    /// Others that are not given up.
    pub fn living(&self) -> impl Iterator<Item = &Rumor> {
        self.beliefs().filter(|rumor| rumor.is_living())
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
        let told = self.some(TOLD);
        let me = self.rumor_of_self();
        told.into_iter().map(|peer| Action::Send(peer, Message::News(vec![me.clone()]))).collect()
    }

    /// Up to `count` living others, drawn at random.
    pub fn some(&mut self, count: usize) -> Vec<SocketAddr> {
        self.beliefs.some(&mut self.rng, count, None)
    }

    /// Time passes: probes, suspicions, deaths.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.first_tick.get_or_insert(now);
        self.notice_pause(now);
        let mut actions = Vec::new();
        self.join(now, &mut actions);
        self.meet(now, &mut actions);
        self.expire_probes(now, &mut actions);
        self.ask_suspects_again(now, &mut actions);
        self.give_up_suspects(now, &mut actions);
        self.beliefs.bury(now, BURY_AFTER_MS);
        if now >= self.next_probe {
            self.probe_in_turn(now, &mut actions);
        }
        actions
    }

    /// A message arrived from the process at `from`.
    pub fn receive(&mut self, now: Time, from: SocketAddr, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        match message {
            Message::Ping(probe) => {
                let (number, sender) = (probe.number, probe.sender.address);
                self.take_in(now, probe, &mut actions);
                let mut answer = self.probe(number);
                answer.news.extend(self.grave_belief(sender));
                actions.push(Action::Send(from, Message::Ack(answer)));
            }
            Message::Ack(probe) => self.acked(now, probe, &mut actions),
            Message::Relay(probe, target) => {
                let asked_by = Some((from, probe.number));
                self.take_in(now, probe, &mut actions);
                self.ping(now, Errand { target, in_turn: false, asked_by }, &mut actions);
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
                    self.learn_quietly(now, rumor, &mut actions);
                }
            }
            Message::News(rumors) => {
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

    /// The data path met silence: probe this process now instead of when its turn comes.
    pub fn doubt(&mut self, now: Time, address: SocketAddr) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_asked(address)
            && self.beliefs.get(address).is_some_and(|belief| belief.rumor.is_living())
        {
            let errand = Errand { target: address, in_turn: false, asked_by: None };
            self.ping(now, errand, &mut actions);
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
        self.outcomes.clear();
        self.beliefs.start_over(now);
    }

    fn is_young(&self, now: Time) -> bool {
        self.first_tick.is_none_or(|first| now.since(first) < YOUNG_MS)
    }

    fn join(&mut self, now: Time, actions: &mut Vec<Action>) {
        let alone = self.beliefs.living().is_empty();
        if alone && now >= self.next_join {
            self.next_join = now.after(JOIN_EVERY_MS);
            actions.push(Action::Join(Message::Join(self.me.clone())));
        }
    }

    /// Pings a random balancer by the fabric's address.
    ///
    /// Guards against groups that never hear of each other: processes that started at the same
    /// time, or were cut apart for long, know only their own group, and probes stay within it. The
    /// fabric knows no groups, so sooner or later it hands this ping to a balancer of another one,
    /// and the digests in ping and answer show that the views differ.
    fn meet(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_meeting {
            return;
        }
        let pause = if self.is_young(now) { JOIN_EVERY_MS } else { MEET_EVERY_MS };
        self.next_meeting = now.after(pause);
        self.next_number += 1;
        let number = self.next_number;
        let probe = self.probe(number);
        actions.push(Action::Join(Message::Ping(probe)));
    }

    fn probe_in_turn(&mut self, now: Time, actions: &mut Vec<Action>) {
        let hasty = self.is_hasty();
        let (count, pause) =
            if hasty { (HASTY_PROBES, HASTE_MS) } else { (1, self.pace.probe_every_ms) };
        self.next_probe = now.after(pause);
        for _ in 0..count {
            self.probe_next(now, actions);
        }
    }

    /// Probes each other process once per round, in an order drawn anew for each round.
    fn probe_next(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.order.is_empty() {
            self.order = self.beliefs.living().to_vec();
            self.order.shuffle(&mut self.rng);
        }
        while let Some(target) = self.order.pop() {
            if self.beliefs.get(target).is_some_and(|belief| belief.rumor.is_living()) {
                let errand = Errand { target, in_turn: true, asked_by: None };
                self.ping(now, errand, actions);
                return;
            }
        }
    }

    fn ping(&mut self, now: Time, errand: Errand, actions: &mut Vec<Action>) {
        self.next_number += 1;
        let number = self.next_number;
        let until = now.after(self.pace.answer_within_ms);
        let pending = Pending { errand, sent: now, until, relayed: false };
        self.pending.insert(number, pending);
        let target = errand.target;
        let mut probe = self.probe(number);
        probe.news.extend(self.grave_belief(target));
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

    /// What the process at `address` must refute, if it is believed dead or suspect.
    fn grave_belief(&self, address: SocketAddr) -> Option<Rumor> {
        let belief = self.beliefs.get(address)?;
        (belief.rumor.health > Health::Alive).then(|| belief.rumor.clone())
    }

    fn acked(&mut self, now: Time, probe: Probe, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&probe.number) else {
            return self.take_in(now, probe, actions);
        };
        self.note_outcome(now, &pending, true);
        if let Some((asker, number)) = pending.errand.asked_by {
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
            let pause = if self.is_young(now) { YOUNG_PULL_EVERY_MS } else { PULL_EVERY_MS };
            self.next_pull = now.after(pause);
            actions.push(Action::Send(sender, Message::Pull));
        }
    }

    /// Takes in what others say and passes it on if it is new.
    fn learn(&mut self, now: Time, rumor: Rumor, actions: &mut Vec<Action>) {
        let address = rumor.record.address;
        if self.learn_quietly(now, rumor, actions)
            && let Some(belief) = self.beliefs.get(address)
        {
            self.rumors.add(belief.rumor.clone());
        }
    }

    /// Takes in what others say; true when it was new.
    ///
    /// Guards against flows that are reset on hearsay: a process that was cut off or frozen is
    /// dead to some and well to others. Their word makes it suspect here, which gives it the time
    /// to refute; only this process's own unanswered waiting makes it dead.
    fn learn_quietly(&mut self, now: Time, rumor: Rumor, actions: &mut Vec<Action>) -> bool {
        if rumor.record.address == self.me.address {
            self.learn_of_self(&rumor, actions);
            return false;
        }
        let known = self.beliefs.get(rumor.record.address).map(|belief| belief.rumor.clone());
        if known.is_none() && !rumor.is_living() {
            return false;
        }
        let heard_dead = rumor.health == Health::Dead;
        let rumor = if heard_dead { Rumor { health: Health::Suspect, ..rumor } } else { rumor };
        let is_new = known.as_ref().is_none_or(|known| rumor.beats(known));
        if is_new {
            self.believe(now, rumor, actions);
        }
        is_new
    }

    fn believe(&mut self, now: Time, rumor: Rumor, actions: &mut Vec<Action>) {
        if let Some(known) = self.beliefs.get(rumor.record.address) {
            note_end(&known.rumor, &rumor, actions);
        }
        self.beliefs.set(now, rumor.clone());
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

    /// Digest of this view, the own record included.
    fn digest(&self) -> u64 {
        self.beliefs.digest().wrapping_add(fingerprint(&self.me))
    }
}

fn note_end(known: &Rumor, rumor: &Rumor, actions: &mut Vec<Action>) {
    let replaced = rumor.record.instance > known.record.instance;
    if known.is_living() && (replaced || !rumor.is_living()) {
        actions.push(Action::Gone(known.record.address, known.record.instance));
    }
}
