//! State that a balancer keeps for each agent.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use super::inheritance::Inheritance;
use super::reach::Reach;
use super::{Change, Choice, Slowness};
use crate::clock::Time;
use crate::l4::health::{CHECK_INTERVAL_MS, CHECK_MS, Health, LATE_MS, SILENT_MS, STOPPED_MS};
use crate::l4::message::{Announcement, Load, Report, State};
use crate::l4::room::Occupancy;
use crate::l4::roster::Sent;
use crate::l4::route::{Kind, Service};
use crate::port::Monitor;

/// Share of its slots that a cold backend server counts for, in percent, until its service time is
/// known.
const COLD_PERCENT: u64 = 60;

/// Cost of one more request or flow when an agent is chosen, in thousandths of a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weights {
    busy: u64,
    flow: u64,
    remote: u64,
}

impl Weights {
    /// Returns the weights for a kind of requests.
    ///
    /// Short flows are placed by the requests in progress. Long flows are placed by the number of
    /// flows: each causes requests for its whole life, whatever is in progress now. Leaving the
    /// failure domain costs traffic between domains, which is largest for downloads.
    pub(super) const fn of(kind: Kind) -> Self {
        match kind {
            Kind::Idempotent => Self { busy: 250, flow: 250, remote: 150 },
            Kind::Once => Self { busy: 1_000, flow: 50, remote: 150 },
            Kind::Download => Self { busy: 1_000, flow: 50, remote: 1_500 },
        }
    }
}

/// A process whose announcements carry an earlier start than those of the known process at its
/// address.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unconfirmed {
    incarnation: u64,
    number: u64,
}

/// State that a balancer keeps for one agent.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) announcement: Announcement,
    /// Time of the first announcement of its process.
    pub(super) appeared_at: Time,
    /// Time of the last announcement.
    pub(super) announced_at: Time,
    /// Last announcement at this address with an earlier start than that of the known process.
    pub(super) unconfirmed: Option<Unconfirmed>,
    /// Time of the last announcement or answer, also as reported by a summary.
    pub(super) last_seen: Time,
    /// Time of the last report on the agent, by a summary or by itself.
    pub(super) reported_at: Time,
    pub(super) load_received_at: Time,
    pub(super) load: Load,
    pub(super) placed_since: u16,
    /// Flows inherited from the previous process at this address.
    pub(super) inherited: Option<Inheritance>,
    /// Flows that the backend server holds and the agent does not know yet.
    pub(super) missing: u16,
    /// The states of health that were reported since it was last heard.
    pub(super) reported: BTreeSet<Health>,
    /// Checks of its port since it was last seen.
    pub(super) port: Monitor,
    /// Whether another balancer reaches it.
    pub(super) reach: Reach,
    /// What this balancer last sent to the agent about the balancers.
    pub(super) last_sent: Option<Sent>,
    /// Service times that make its server count as slow; `None` if it does not.
    pub(super) slowness: Option<Slowness>,
    /// Minimum number of open flows that the agent counts for.
    pub(super) min_flows: u64,
}

impl Candidate {
    pub(super) fn new(now: Time, announcement: Announcement, last_sent: Option<Sent>) -> Self {
        Self {
            appeared_at: now,
            announced_at: now,
            unconfirmed: None,
            last_seen: now,
            reported_at: now,
            load_received_at: now,
            load: announcement.load,
            announcement,
            placed_since: 0,
            inherited: None,
            missing: 0,
            reported: BTreeSet::new(),
            port: Monitor::open(CHECK_INTERVAL_MS),
            reach: Reach::default(),
            last_sent,
            slowness: None,
            min_flows: 0,
        }
    }

    /// Returns the effect of an announcement from this agent's address. One with an earlier start
    /// than the known process is stale, unless that process is silent and the sender has sent a
    /// later announcement since.
    ///
    /// The exception covers a host whose clock was set back before its agent restarted: the new
    /// process then has the smaller incarnation for good. Without the exception, its server would
    /// get no flows until the old process is forgotten. A delayed datagram does not qualify, since
    /// a dead process sends no later number.
    pub(super) fn change(&mut self, now: Time, announcement: &Announcement) -> Change {
        let known = &self.announcement;
        if announcement.incarnation >= known.incarnation {
            return change_by_newer(known, announcement);
        }
        let unconfirmed =
            Unconfirmed { incarnation: announcement.incarnation, number: announcement.number };
        let before = self.unconfirmed.replace(unconfirmed);
        let continues = before.is_some_and(|before| {
            before.incarnation == unconfirmed.incarnation && before.number < unconfirmed.number
        });
        let is_silent = now.since(self.announced_at) > LATE_MS;
        if continues && is_silent { Change::Appeared } else { Change::Stale }
    }

    /// Returns the health as seen by a process that received reports on the agent until then.
    pub(super) fn health(&self, visibility: Visibility) -> Health {
        let silence_ms = visibility.until.since(self.last_seen);
        let is_restarting = self.announcement.state == State::Restarting;
        match Health::of(silence_ms, is_restarting) {
            Health::Fresh | Health::Late | Health::Silent
                if self.detour(visibility.now).is_some() =>
            {
                Health::Unreachable
            }
            Health::Silent if !is_restarting && self.is_stopped(visibility.now) => Health::Stopped,
            health if visibility.is_interrupted => health.max(Health::Late),
            health => health,
        }
    }

    /// Returns whether the host of a silent agent answers, and its flows are still kept.
    fn is_stopped(&self, now: Time) -> bool {
        now.since(self.last_seen) <= STOPPED_MS && self.port.is_host_up(now)
    }

    /// Returns whether the port of the agent is to be checked now, and counts the check as
    /// requested: its silence may be that of a process that is suspended.
    pub(super) fn request_port_check(&mut self, now: Time, visibility: Visibility) -> bool {
        let silence_ms = visibility.until.since(self.last_seen);
        let is_silent = match self.health(visibility) {
            Health::Late => (CHECK_MS..SILENT_MS).contains(&silence_ms),
            Health::Stopped => true,
            Health::Fresh | Health::Restarting | Health::Unreachable | Health::Silent => false,
        };
        is_silent && self.announcement.service.is_some() && self.port.request(now)
    }

    /// Returns whether other balancers are to be asked now whether they hear the agent, and counts
    /// the inquiry as sent.
    pub(super) fn request_inquiry(&mut self, now: Time, visibility: Visibility) -> bool {
        let silence_ms = visibility.until.since(self.last_seen);
        let is_out_of_reach = match self.health(visibility) {
            Health::Late => (CHECK_MS..SILENT_MS).contains(&silence_ms),
            Health::Unreachable => true,
            Health::Fresh | Health::Restarting | Health::Stopped | Health::Silent => false,
        };
        let is_out_of_reach = is_out_of_reach || self.reach.is_unheard(now);
        is_out_of_reach && self.announcement.service.is_some() && self.reach.request_inquiry(now)
    }

    /// Returns the balancer by way of which the agent is reached, if this one does not reach it.
    pub(super) fn detour(&self, now: Time) -> Option<Ipv4Addr> {
        self.reach.detour(now, self.last_seen)
    }

    /// Records that the agent was heard now.
    pub(super) fn heard(&mut self, now: Time) {
        self.last_seen = now;
        self.reported.clear();
        self.port.clear();
    }

    /// Returns whether the agent may hold flows: it can be queried, or it restarts, or it is out of
    /// touch and has a backend server. One that restarts may not have learned of its server yet.
    pub(super) fn may_hold(&self, visibility: Visibility) -> bool {
        match self.health(visibility) {
            Health::Fresh | Health::Restarting => true,
            Health::Late | Health::Stopped | Health::Unreachable => {
                self.announcement.service.is_some()
            }
            Health::Silent => false,
        }
    }

    pub(super) fn is_fresh_in(
        &self,
        visibility: Visibility,
        service: Service,
        state: State,
    ) -> bool {
        self.announcement.service == Some(service)
            && self.announcement.state == state
            && self.health(visibility) == Health::Fresh
    }

    /// Returns whether this is the announcement that was applied last.
    pub(super) fn is_latest(&self, announcement: &Announcement) -> bool {
        let known = &self.announcement;
        (known.incarnation, known.number) == (announcement.incarnation, announcement.number)
    }

    /// Returns what the agent itself last reported.
    pub(super) const fn observation(&self) -> Observation {
        Observation {
            last_seen: self.last_seen,
            load_received_at: self.load_received_at,
            load: self.load,
            placed_since: self.placed_since,
        }
    }

    /// Restores what the agent itself reported, if that is later than a summary.
    pub(super) fn restore(&mut self, observation: Observation) {
        self.last_seen = self.last_seen.max(observation.last_seen);
        self.load_received_at = observation.load_received_at;
        self.load = observation.load;
        self.placed_since = observation.placed_since;
    }

    pub(super) fn report(&self, now: Time, agent: Ipv4Addr, services: &mut Vec<Service>) -> Report {
        let announcement = &self.announcement;
        let index = announcement.service.map(|service| index_of(service, services));
        Report {
            agent,
            age_ms: u32::try_from(now.since(self.last_seen)).unwrap_or(u32::MAX),
            incarnation: announcement.incarnation,
            number: announcement.number,
            service: index.and_then(|index| u8::try_from(index).ok()),
            slots: announcement.slots,
            cold: announcement.cold,
            room: announcement.room,
            state: announcement.state,
            sees_all_flows: announcement.sees_all_flows,
            load: self.load,
        }
    }

    /// Returns whether its cold backend server can accept no more openings for now.
    pub(super) fn is_room_exhausted(&self) -> bool {
        self.announcement.room == Some(0)
    }

    pub(super) const fn choice(&self, now: Time, agent: Ipv4Addr) -> Choice {
        Choice { agent, load: self.load, age_ms: now.since(self.load_received_at) }
    }

    /// Returns the figures that its room is computed from.
    ///
    /// The free slots of a slow server are bounded according to its speed. It has few flows and
    /// thus many free slots on purpose; under overload, openings would otherwise fill them.
    pub(super) fn occupancy(&self, now: Time) -> Occupancy {
        let slots = self.announcement.slots;
        let while_cold = u64::from(slots) * COLD_PERCENT / 100;
        let while_cold = u16::try_from(while_cold).unwrap_or(slots).max(1);
        Occupancy {
            slots: if self.announcement.cold { slots.min(while_cold) } else { slots },
            busy: self.load.busy,
            placed: self.placed_since,
            service_ms: self.load.service_ms,
            age_ms: now.since(self.load_received_at),
            bound: [self.announcement.room, self.slow_bound()].into_iter().flatten().min(),
        }
    }

    /// Returns how many openings it may get while it is slow; `None` if it is not slow.
    fn slow_bound(&self) -> Option<u32> {
        let percent = u32::try_from(self.slowness?.percent()).unwrap_or(u32::MAX);
        let slots = u32::from(self.announcement.slots).saturating_mul(percent) / 100;
        let taken = u32::from(self.load.busy) + u32::from(self.placed_since);
        Some(slots.max(1).saturating_sub(taken))
    }

    /// Counts an opening that was sent to the agent, also against the room of a cold server.
    pub(super) fn record_placed(&mut self) {
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
        let flows = flows.max(self.min_flows);
        let remote = if *self.announcement.domain == *domain { 0 } else { weights.remote };
        (busy * weights.busy + flows * weights.flow) * 100 / slots + remote
    }
}

/// Data received directly from an agent, which may be later than that in a summary.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    last_seen: Time,
    pub(super) load_received_at: Time,
    load: Load,
    placed_since: u16,
}

/// Period in which reports on an agent could be received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Visibility {
    pub(super) now: Time,
    pub(super) until: Time,
    /// Whether no report on the agent has arrived recently.
    pub(super) is_interrupted: bool,
}

/// Returns the index of a service in a list, after adding it if it is new.
fn index_of(service: Service, services: &mut Vec<Service>) -> usize {
    services.iter().position(|known| *known == service).unwrap_or_else(|| {
        services.push(service);
        services.len() - 1
    })
}

/// Returns the effect of an announcement of the known process or of one with a later start.
fn change_by_newer(known: &Announcement, announcement: &Announcement) -> Change {
    if announcement.incarnation != known.incarnation {
        return Change::Appeared;
    }
    if announcement.number < known.number {
        return Change::Stale;
    }
    let is_ready = |announcement: &Announcement| announcement.state == State::Ready;
    match (is_ready(known), is_ready(announcement)) {
        (false, true) => Change::Opened,
        (true, false) => Change::Closed,
        _ => Change::None,
    }
}
