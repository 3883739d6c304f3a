//! State that a balancer keeps for each agent.

use std::net::Ipv4Addr;

use super::inheritance::Inheritance;
use super::{Change, Choice, Slowness};
use crate::clock::Time;
use crate::l4::health::{Health, LATE_MS};
use crate::l4::message::{Announcement, Load, Report, State};
use crate::l4::room::Occupancy;
use crate::l4::roster::Told;
use crate::l4::route::{Kind, Service};

/// Share of its slots that a cold backend server counts for, in percent, until its service time is
/// known.
const COLD_PERCENT: u64 = 60;

/// Cost of one more request or flow when an agent is chosen, in thousandths of a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weights {
    busy: u64,
    flow: u64,
    far: u64,
}

impl Weights {
    /// Short flows are placed by the requests in progress. Long flows are placed by the number of
    /// flows: each causes requests for its whole life, whatever is in progress now. Leaving the
    /// failure domain costs traffic between domains, which is largest for downloads.
    pub(super) const fn of(kind: Kind) -> Self {
        match kind {
            Kind::Idempotent => Self { busy: 250, flow: 250, far: 150 },
            Kind::Once => Self { busy: 1_000, flow: 50, far: 150 },
            Kind::Download => Self { busy: 1_000, flow: 50, far: 1_500 },
        }
    }
}

/// A process whose announcements carry an earlier start than those of the known process at its
/// address.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rival {
    incarnation: u64,
    number: u64,
}

/// State that a balancer keeps for one agent.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) announcement: Announcement,
    /// Time of the last announcement.
    pub(super) announced: Time,
    /// Last announcement at this address with an earlier start than that of the known process.
    pub(super) rival: Option<Rival>,
    /// Time of the last announcement or answer, also as reported by a summary.
    pub(super) heard: Time,
    /// Time of the last report on the agent, by a summary or by itself.
    pub(super) seen: Time,
    pub(super) load_heard: Time,
    pub(super) load: Load,
    pub(super) placed_since: u16,
    /// Flows inherited from the previous process at this address.
    pub(super) inherited: Option<Inheritance>,
    /// Flows that the backend server holds and the agent does not know yet.
    pub(super) missing: u16,
    /// Whether the agent was returned as newly silent.
    pub(super) noticed: bool,
    /// Whether the agent was returned as newly late.
    pub(super) noticed_late: bool,
    /// What this balancer last sent to the agent about the balancers.
    pub(super) told: Option<Told>,
    /// Service times that make its server count as slow; `None` if it does not.
    pub(super) slowness: Option<Slowness>,
    /// Minimum number of open flows that the agent counts for.
    pub(super) least_flows: u64,
}

impl Candidate {
    pub(super) fn new(now: Time, word: Announcement, told: Option<Told>) -> Self {
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

    /// Returns the effect of an announcement from this agent's address. One with an earlier start
    /// than the known process is stale, unless that process is silent and the sender has sent a
    /// later announcement since.
    ///
    /// The exception covers a host whose clock was set back before its agent restarted: the new
    /// process has the smaller incarnation for good, and without it its server would get no flows
    /// until the old process is forgotten. A delayed datagram does not qualify, since a dead
    /// process sends no later number.
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

    /// Returns the health as seen by a process that received reports on the agent until then.
    pub(super) fn health(&self, seen: Sight) -> Health {
        let silence_ms = seen.until.since(self.heard);
        let health = Health::of(silence_ms, self.announcement.state == State::Restarting);
        if seen.is_blind { health.max(Health::Late) } else { health }
    }

    /// Returns whether the agent may hold flows: it can be queried, or it is late or restarting and
    /// has a backend server.
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

    /// Returns whether this is the announcement that was applied last.
    pub(super) fn has_said(&self, word: &Announcement) -> bool {
        let known = &self.announcement;
        (known.incarnation, known.number) == (word.incarnation, word.number)
    }

    /// Returns what the agent itself last reported.
    pub(super) const fn signs(&self) -> Signs {
        Signs {
            heard: self.heard,
            load_heard: self.load_heard,
            load: self.load,
            placed_since: self.placed_since,
        }
    }

    /// Restores what the agent itself reported, if that is later than a summary.
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

    /// Returns whether its cold backend server can accept no more openings for now.
    pub(super) fn is_full(&self) -> bool {
        self.announcement.room == Some(0)
    }

    pub(super) const fn choice(&self, now: Time, agent: Ipv4Addr) -> Choice {
        Choice { agent, load: self.load, age_ms: now.since(self.load_heard) }
    }

    /// Returns the figures that its room is computed from.
    ///
    /// The free slots of a slow server are bounded according to its speed. It has few flows and
    /// thus many free slots on purpose; under overload, openings would otherwise fill them.
    pub(super) fn known(&self, now: Time) -> Occupancy {
        let slots = self.announcement.slots;
        let while_cold = u64::from(slots) * COLD_PERCENT / 100;
        let while_cold = u16::try_from(while_cold).unwrap_or(slots).max(1);
        Occupancy {
            slots: if self.announcement.cold { slots.min(while_cold) } else { slots },
            busy: self.load.busy,
            placed: self.placed_since,
            service_ms: self.load.service_ms,
            age_ms: now.since(self.load_heard),
            bound: [self.announcement.room, self.room_while_slow()].into_iter().flatten().min(),
        }
    }

    /// Returns how many openings it may get while it is slow; `None` if it is not slow.
    fn room_while_slow(&self) -> Option<u32> {
        let percent = u32::try_from(self.slowness?.percent()).unwrap_or(u32::MAX);
        let slots = u32::from(self.announcement.slots).saturating_mul(percent) / 100;
        let taken = u32::from(self.load.busy) + u32::from(self.placed_since);
        Some(slots.max(1).saturating_sub(taken))
    }

    /// Counts an opening that was sent to the agent, also against the room of a cold server.
    pub(super) fn give(&mut self) {
        self.placed_since = self.placed_since.saturating_add(1);
        if let Some(room) = &mut self.announcement.room {
            *room = room.saturating_sub(1);
        }
    }

    /// Sets the flows inherited from the previous process.
    pub(super) fn inherit(&mut self, now: Time, inherited: Option<Inheritance>) {
        self.inherited = inherited;
        self.count_missing(now);
    }

    /// Recomputes the number of flows that the agent does not know yet, after a report of its
    /// flows.
    pub(super) fn count_missing(&mut self, now: Time) {
        let reported = self.load.flows;
        self.missing = self.inherited.map_or(0, |inherited| inherited.missing(now, reported));
    }

    /// Returns the number of flows that its backend server held according to the last report.
    pub(super) const fn flows(&self) -> u16 {
        self.load.flows.saturating_add(self.missing)
    }

    /// Returns the number of slots that its server counts for, in hundredths: at least one slot,
    /// unless it is slow.
    pub(super) fn capacity(&self) -> u64 {
        let slots = u64::from(self.announcement.slots);
        match self.slowness {
            Some(slowness) => slots.max(1) * slowness.percent(),
            None if self.announcement.cold => (slots * COLD_PERCENT).max(100),
            None => (slots * 100).max(100),
        }
    }

    /// Returns the expected load with one more flow, in thousandths of its slots. Openings sent
    /// since the last report count as requests in progress; otherwise all flows between two reports
    /// would go to the same agent.
    pub(super) fn pressure(&self, weights: Weights, domain: &str) -> u64 {
        let slots = self.capacity();
        let busy = u64::from(self.load.busy) + u64::from(self.placed_since) + 1;
        let flows = u64::from(self.flows()) + u64::from(self.placed_since);
        let flows = flows.max(self.least_flows);
        let far = if *self.announcement.domain == *domain { 0 } else { weights.far };
        (busy * weights.busy + flows * weights.flow) * 100 / slots + far
    }
}

/// Data received directly from an agent, which may be later than that in a summary.
#[derive(Clone, Copy, Debug)]
pub(super) struct Signs {
    heard: Time,
    pub(super) load_heard: Time,
    load: Load,
    placed_since: u16,
}

/// Period in which reports on an agent could be received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sight {
    pub(super) until: Time,
    /// Whether no report on the agent has arrived recently.
    pub(super) is_blind: bool,
}

/// Returns the index of a service in a list, after adding it if it is new.
fn place_of(service: Service, services: &mut Vec<Service>) -> usize {
    services.iter().position(|known| *known == service).unwrap_or_else(|| {
        services.push(service);
        services.len() - 1
    })
}

/// Returns the effect of an announcement of the known process or of one with a later start.
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
