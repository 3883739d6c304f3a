//! What a balancer knows of one agent.

use std::net::Ipv4Addr;

use super::inheritance::Inheritance;
use super::{Change, Choice, Slowness};
use crate::clock::Time;
use crate::l4::health::{Health, LATE_MS};
use crate::l4::message::{Announcement, Load, Report, State};
use crate::l4::room::Known;
use crate::l4::roster::Sent;
use crate::l4::route::{Kind, Service};

/// Part of its slots that a cold backend server is worth, in percent, until its time of service is learnt.
const COLD_PERCENT: u64 = 60;

/// How one more request or flow weighs at a choice, in thousandths of a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weights {
    busy: u64,
    flow: u64,
    far: u64,
}

impl Weights {
    /// Short flows follow what is in progress now. Long ones follow the number of flows: each brings requests for
    /// as long as it lives, whatever is in progress now. Crossing a failure domain costs bytes, and a download has
    /// most of them.
    pub(super) const fn of(kind: Kind) -> Self {
        match kind {
            Kind::Idempotent => Self { busy: 250, flow: 250, far: 150 },
            Kind::Once => Self { busy: 1_000, flow: 50, far: 150 },
            Kind::Download => Self { busy: 1_000, flow: 50, far: 1_500 },
        }
    }
}

/// A process that may have taken the place of another at its address.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rival {
    incarnation: u64,
    number: u64,
}

/// What a balancer knows of one agent.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) announcement: Announcement,
    /// When that came.
    pub(super) announced: Time,
    /// A process at the same address whose number says that it is older, as last heard of.
    pub(super) rival: Option<Rival>,
    /// Last sign of any kind.
    pub(super) heard: Time,
    /// When a summary last told of it, or it spoke for itself.
    pub(super) seen: Time,
    pub(super) load_heard: Time,
    pub(super) load: Load,
    pub(super) placed_since: u16,
    /// What the process before it left to it.
    pub(super) inherited: Option<Inheritance>,
    /// Flows that its backend server holds and it does not know yet.
    pub(super) missing: u16,
    /// Whether its silence was noticed.
    pub(super) noticed: bool,
    /// Whether it was noticed that signs are missing.
    pub(super) noticed_late: bool,
    /// What this balancer last told it of the balancers.
    pub(super) told: Option<Sent>,
    /// What shows that its server is far slower than others; none if it is not.
    pub(super) slowness: Option<Slowness>,
    /// Open flows that it counts as having at least.
    pub(super) least_flows: u64,
}

impl Candidate {
    pub(super) fn new(now: Time, word: Announcement, told: Option<Sent>) -> Self {
        Self {
            announced: now,
            rival: None,
            heard: now,
            seen: now,
            load_heard: now,
            load: word.load,
            announcement: word,
            placed_since: 0,
            inherited: None,
            missing: 0,
            noticed: false,
            noticed_late: false,
            told,
            slowness: None,
            least_flows: 0,
        }
    }

    /// What an announcement from this agent's address changes. One with an earlier start than the
    /// known process's is old, unless that process fell silent and this one goes on counting.
    ///
    /// Guards against a host whose time of day was set back before its agent started again: its number
    /// is the smaller one for good, and its server would get no flow until the old process is
    /// forgotten. A datagram that was held up cannot pass for it, since a dead process counts no more.
    pub(super) fn change(&mut self, now: Time, word: &Announcement) -> Change {
        let known = &self.announcement;
        if word.incarnation >= known.incarnation {
            return change_by_later(known, word);
        }
        let rival = Rival { incarnation: word.incarnation, number: word.number };
        let before = self.rival.replace(rival);
        let goes_on = before.is_some_and(|before| {
            before.incarnation == rival.incarnation && before.number < rival.number
        });
        let is_silent = now.since(self.announced) > LATE_MS;
        if goes_on && is_silent { Change::Appeared } else { Change::Stale }
    }

    /// Its health for a process that could see its signs until `seen`.
    pub(super) fn health(&self, seen: Sight) -> Health {
        let silence_ms = seen.until.since(self.heard);
        let health = Health::of(silence_ms, self.announcement.state == State::Restarting);
        if seen.is_blind { health.max(Health::Late) } else { health }
    }

    /// Whether it may hold flows: it can be asked, or is away for a moment beside a backend server.
    pub(super) fn may_hold(&self, seen: Sight) -> bool {
        match self.health(seen) {
            Health::Fresh => true,
            Health::Late | Health::Restarting => self.announcement.service.is_some(),
            Health::Silent => false,
        }
    }

    pub(super) fn is_in(&self, seen: Sight, service: Service, state: State) -> bool {
        self.announcement.service == Some(service)
            && self.announcement.state == state
            && self.health(seen) == Health::Fresh
    }

    /// Whether this is its last word.
    pub(super) fn has_said(&self, word: &Announcement) -> bool {
        let known = &self.announcement;
        (known.incarnation, known.number) == (word.incarnation, word.number)
    }

    /// What its answers showed of it.
    pub(super) const fn signs(&self) -> Signs {
        Signs {
            heard: self.heard,
            load_heard: self.load_heard,
            load: self.load,
            placed_since: self.placed_since,
        }
    }

    /// Takes over later signs that were known before.
    pub(super) fn keep(&mut self, signs: Signs) {
        self.heard = self.heard.max(signs.heard);
        self.load_heard = signs.load_heard;
        self.load = signs.load;
        self.placed_since = signs.placed_since;
    }

    pub(super) fn report(&self, now: Time, agent: Ipv4Addr, services: &mut Vec<Service>) -> Report {
        let word = &self.announcement;
        let place = word.service.map(|service| place_of(service, services));
        Report {
            agent,
            age_ms: u32::try_from(now.since(self.heard)).unwrap_or(u32::MAX),
            incarnation: word.incarnation,
            number: word.number,
            service: place.and_then(|place| u8::try_from(place).ok()),
            slots: word.slots,
            cold: word.cold,
            room: word.room,
            state: word.state,
            load: self.load,
        }
    }

    /// Whether it may be given nothing more now, because its server is cold.
    pub(super) fn is_full(&self) -> bool {
        self.announcement.room == Some(0)
    }

    /// The choice of this agent.
    pub(super) const fn choice(&self, now: Time, agent: Ipv4Addr) -> Choice {
        Choice { agent, load: self.load, age_ms: now.since(self.load_heard) }
    }

    /// What its room is reckoned from.
    ///
    /// Guards against a crowd that fills the slots of a slow server, which it has free because it is to have
    /// little: what passes for room there is no more than its speed deserves.
    pub(super) fn known(&self, now: Time) -> Known {
        let slots = self.announcement.slots;
        let while_cold = u64::from(slots) * COLD_PERCENT / 100;
        let while_cold = u16::try_from(while_cold).unwrap_or(slots).max(1);
        Known {
            slots: if self.announcement.cold { slots.min(while_cold) } else { slots },
            busy: self.load.busy,
            placed: self.placed_since,
            service_ms: self.load.service_ms,
            age_ms: now.since(self.load_heard),
            bound: [self.announcement.room, self.room_while_slow()].into_iter().flatten().min(),
        }
    }

    /// Openings that it may be given because it is slow; none where that does not bound them.
    fn room_while_slow(&self) -> Option<u32> {
        let percent = u32::try_from(self.slowness?.percent()).unwrap_or(u32::MAX);
        let slots = u32::from(self.announcement.slots).saturating_mul(percent) / 100;
        let taken = u32::from(self.load.busy) + u32::from(self.placed_since);
        Some(slots.max(1).saturating_sub(taken))
    }

    /// Takes one opening of what a cold server may be given.
    pub(super) fn give(&mut self) {
        self.placed_since = self.placed_since.saturating_add(1);
        if let Some(room) = &mut self.announcement.room {
            *room = room.saturating_sub(1);
        }
    }

    /// Sets what the process before it left to it.
    pub(super) fn inherit(&mut self, now: Time, inherited: Option<Inheritance>) {
        self.inherited = inherited;
        self.count_missing(now);
    }

    /// Counts anew which flows it does not know yet, after it said how many it knows.
    pub(super) fn count_missing(&mut self, now: Time) {
        let reported = self.load.flows;
        self.missing = self.inherited.map_or(0, |inherited| inherited.missing(now, reported));
    }

    /// Flows that its backend server held when it was last heard of.
    pub(super) const fn flows(&self) -> u16 {
        self.load.flows.saturating_add(self.missing)
    }

    /// For how many slots its server counts, in hundredths: one slot at least, unless it is slow.
    pub(super) fn capacity(&self) -> u64 {
        let slots = u64::from(self.announcement.slots);
        match self.slowness {
            Some(slowness) => slots.max(1) * slowness.percent(),
            None if self.announcement.cold => (slots * COLD_PERCENT).max(100),
            None => (slots * 100).max(100),
        }
    }

    /// Expected load with one more flow, in thousandths of its slots. What was placed since the last
    /// report counts as if it were in progress, or all flows between two reports would go one way.
    pub(super) fn pressure(&self, weights: Weights, domain: &str) -> u64 {
        let slots = self.capacity();
        let busy = u64::from(self.load.busy) + u64::from(self.placed_since) + 1;
        let flows = u64::from(self.flows()) + u64::from(self.placed_since);
        let flows = flows.max(self.least_flows);
        let far = if *self.announcement.domain == *domain { 0 } else { weights.far };
        (busy * weights.busy + flows * weights.flow) * 100 / slots + far
    }
}

/// What an agent's answers showed of it, which may be later than what is told of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Signs {
    heard: Time,
    pub(super) load_heard: Time,
    load: Load,
    placed_since: u16,
}

/// Until when the signs of an agent could be seen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sight {
    pub(super) until: Time,
    /// Whether nothing was heard or told of it lately.
    pub(super) is_blind: bool,
}

/// The place of a service in a list, to which it is added if it is new.
fn place_of(service: Service, services: &mut Vec<Service>) -> usize {
    services.iter().position(|known| *known == service).unwrap_or_else(|| {
        services.push(service);
        services.len() - 1
    })
}

/// What a word changes that comes of the known process or of one with a later start.
fn change_by_later(known: &Announcement, word: &Announcement) -> Change {
    if word.incarnation != known.incarnation {
        return Change::Appeared;
    }
    if word.number < known.number {
        return Change::Stale;
    }
    let opens = |word: &Announcement| word.state == State::Ready;
    match (opens(known), opens(word)) {
        (false, true) => Change::Opened,
        (true, false) => Change::Closed,
        _ => Change::None,
    }
}
