//! Which agent a new flow goes to, and in which order agents are asked for a flow.
//!
//! Every balancer of a failure domain computes the same order for a flow, so that a packet which
//! reaches another balancer than the opening did finds its agent among the first ones asked.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::health::{FORGET_MS, Health, LATE_MS, LOST_MS, OUT_OF_SIGHT_MS, SUMMARY_MS};
use super::message::{Announcement, Load, Report, State, Summary};
use super::roster::Told;
use super::route::{Kind, Service};
use crate::clock::Time;
use crate::placement::{Key, mix};

/// Agents of the client's own failure domain that a new flow chooses from. Two would leave one bad
/// choice in four at 80% load; with more, a search asks more agents before it meets the right one.
const NEAR: usize = 3;

/// Agents of other failure domains that a new flow chooses from besides.
const FAR: usize = 2;

/// Part of its slots that a cold backend server is worth, in percent: it works 1.6 times as long.
const COLD_PERCENT: u64 = 60;

/// An agent that has announced itself no more often than this has started within one to three seconds:
/// each of its ticks counts while a balancer has not answered it.
const YOUNG: u64 = 10;

/// How one more request or flow weighs at a choice, in thousandths of a slot.
#[derive(Clone, Copy, Debug)]
struct Weights {
    busy: u64,
    flow: u64,
    far: u64,
}

impl Weights {
    /// Short flows follow what is in progress now. Long ones follow the number of flows: each brings
    /// about one request of 50 ms a second for as long as it lives, whatever is in progress now.
    /// Crossing a failure domain costs bytes: a download is 20 times as large as other answers.
    const fn of(kind: Kind) -> Self {
        match kind {
            Kind::Idempotent => Self { busy: 250, flow: 250, far: 150 },
            Kind::Once => Self { busy: 1_000, flow: 50, far: 150 },
            Kind::Download => Self { busy: 1_000, flow: 50, far: 1_500 },
        }
    }
}

/// A process that may have taken the place of another at its address.
#[derive(Clone, Copy, Debug)]
struct Rival {
    incarnation: u64,
    number: u64,
}

/// What a balancer knows of one agent.
#[derive(Clone, Debug)]
pub struct Candidate {
    announcement: Announcement,
    /// When that came.
    announced: Time,
    /// A process at the same address whose number says that it is older, as last heard of.
    rival: Option<Rival>,
    /// Last sign of any kind.
    heard: Time,
    /// Whether that came in a summary.
    reported: bool,
    load_heard: Time,
    load: Load,
    placed_since: u16,
    /// Whether its silence was noticed.
    noticed: bool,
    /// What this balancer last told it of the balancers.
    told: Option<Told>,
}

/// What an agent must be told of the balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Telling {
    /// Nothing: it was told lately, and nothing has changed since.
    Nothing,
    /// That this balancer lives.
    Sign,
    /// Who the balancers are.
    Addresses,
}

impl Candidate {
    fn new(now: Time, word: Announcement, told: Option<Told>) -> Self {
        Self {
            announced: now,
            rival: None,
            heard: now,
            reported: false,
            load_heard: now,
            load: word.load,
            announcement: word,
            placed_since: 0,
            noticed: false,
            told,
        }
    }

    /// What an announcement from this agent's address changes. One with an earlier start than the
    /// known process's is old, unless that process fell silent and this one goes on counting.
    ///
    /// Guards against a host whose time of day was set back before its agent started again: its number
    /// is the smaller one for good, and its server would get no flow until the old process is
    /// forgotten. A datagram that was held up cannot pass for it, since a dead process counts no more.
    fn change(&mut self, now: Time, word: &Announcement) -> Change {
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

    /// Its health for a process that could see its signs until `seen`, and that hears of it by summaries or
    /// by itself.
    fn health(&self, seen: Sight) -> Health {
        let delay_ms = if self.reported { SUMMARY_MS } else { 0 };
        let silence_ms = seen.until.since(self.heard).saturating_sub(delay_ms);
        let health = Health::of(silence_ms, self.announcement.state == State::Restarting);
        if seen.is_blind { health.max(Health::Late) } else { health }
    }

    /// Whether it may hold flows: it can be asked, or is away for a moment beside a backend server.
    fn may_hold(&self, seen: Sight) -> bool {
        match self.health(seen) {
            Health::Fresh => true,
            Health::Late | Health::Restarting => self.announcement.service.is_some(),
            Health::Silent => false,
        }
    }

    fn is_in(&self, seen: Sight, service: Service, state: State) -> bool {
        self.announcement.service == Some(service)
            && self.announcement.state == state
            && self.health(seen) == Health::Fresh
    }

    /// Takes over the later signs of what was known before.
    fn keep_signs(&mut self, before: &Self) {
        self.heard = self.heard.max(before.heard);
        self.load_heard = before.load_heard;
        self.load = before.load;
        self.placed_since = before.placed_since;
    }

    fn report(&self, now: Time, agent: Ipv4Addr, services: &mut Vec<Service>) -> Report {
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
            state: word.state,
            load: self.load,
        }
    }

    /// Expected load with one more flow, in thousandths of its slots. What was placed since the last
    /// report counts as if it were in progress, or all flows between two reports would go one way.
    fn pressure(&self, weights: Weights, domain: &str) -> u64 {
        let percent = if self.announcement.cold { COLD_PERCENT } else { 100 };
        let slots = (u64::from(self.announcement.slots) * percent).max(100);
        let busy = u64::from(self.load.busy) + u64::from(self.placed_since) + 1;
        let flows = u64::from(self.load.flows) + u64::from(self.placed_since);
        let far = if *self.announcement.domain == *domain { 0 } else { weights.far };
        (busy * weights.busy + flows * weights.flow) * 100 / slots + far
    }
}

/// Until when the signs of an agent could be seen.
#[derive(Clone, Copy, Debug)]
struct Sight {
    until: Time,
    /// Whether nothing is seen of its failure domain now.
    is_blind: bool,
}

/// An agent chosen for a new flow, with what the choice rested on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The agent.
    pub agent: Ipv4Addr,
    /// Its load as last heard.
    pub load: Load,
    /// Age of that load, in milliseconds.
    pub age_ms: u64,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that decisions rest on.
    None,
    /// A new agent, or a new process at its address.
    Appeared,
    /// The agent takes new flows now.
    Opened,
    /// The agent takes no new flows any more.
    Closed,
    /// The announcement is older than what is known.
    Stale,
}

/// The agents that a balancer knows, by address.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    agents: BTreeMap<Ipv4Addr, Candidate>,
    /// When a summary of a failure domain's agents last came.
    summaries: BTreeMap<Arc<str>, Time>,
}

impl Pool {
    /// Takes in an agent's word about itself.
    pub fn announced(&mut self, now: Time, from: Ipv4Addr, word: Announcement) -> Change {
        let known = self.agents.get_mut(&from);
        let told = known.as_ref().and_then(|known| known.told);
        let change = known.map_or(Change::Appeared, |known| known.change(now, &word));
        if change == Change::Stale {
            return change;
        }
        if word.state == State::Gone {
            self.agents.remove(&from);
            return Change::Closed;
        }
        // A new process knows nothing of what the one before it was told.
        let told = told.filter(|_| change != Change::Appeared);
        self.agents.insert(from, Candidate::new(now, word, told));
        change
    }

    /// Takes in what a balancer of another failure domain heard of an agent there.
    pub fn reported(&mut self, now: Time, summary: &Summary, report: &Report) -> Change {
        let word = summary.announcement(report);
        let heard = now.before(u64::from(report.age_ms));
        let before = self.agents.get(&report.agent).cloned();
        let is_known = before.as_ref().is_some_and(|known| {
            known.announcement.incarnation == word.incarnation
                && known.announcement.number == word.number
        });
        let change =
            if is_known { Change::None } else { self.announced(heard, report.agent, word) };
        if change != Change::Stale
            && let Some(known) = self.agents.get_mut(&report.agent)
        {
            known.reported = true;
            known.heard = known.heard.max(heard);
            // What the agent itself said since, with an answer, is newer.
            if let Some(before) = before.filter(|before| before.load_heard > heard) {
                known.keep_signs(&before);
            }
        }
        change
    }

    /// Notes that a summary of a failure domain's agents came.
    pub fn summarised(&mut self, now: Time, domain: &Arc<str>) {
        self.summaries.insert(Arc::clone(domain), now);
    }

    /// What the agents of a failure domain last said, of those that speak to this process.
    #[must_use]
    pub fn summary(&self, now: Time, domain: &Arc<str>) -> Summary {
        let is_meant = |candidate: &Candidate| {
            candidate.announcement.domain == *domain
                && !candidate.reported
                && candidate.health(self.sight(now, candidate)) != Health::Silent
        };
        let (domain, services, passed_on) = (Arc::clone(domain), Vec::new(), false);
        let mut summary = Summary { domain, services, reports: Vec::new(), passed_on };
        for (agent, candidate) in self.agents.iter().filter(|(_, candidate)| is_meant(candidate)) {
            let report = candidate.report(now, *agent, &mut summary.services);
            summary.reports.push(report);
        }
        summary
    }

    /// Until when signs of an agent could be seen.
    ///
    /// Guards against taking the agents of a whole failure domain for dead, and resetting their flows, when
    /// only the balancers that tell of them are gone: an agent is judged by its own silence alone.
    fn sight(&self, now: Time, candidate: &Candidate) -> Sight {
        let clear = Sight { until: now, is_blind: false };
        if !candidate.reported {
            return clear;
        }
        let Some(last) = self.summaries.get(&candidate.announcement.domain) else {
            return clear;
        };
        match now.since(*last) {
            0..=OUT_OF_SIGHT_MS => Sight { until: *last, is_blind: false },
            blind_ms if blind_ms <= LOST_MS => Sight { until: *last, is_blind: true },
            _ => clear,
        }
    }

    fn health_of(&self, now: Time, candidate: &Candidate) -> Health {
        candidate.health(self.sight(now, candidate))
    }

    /// Takes in the load that an agent sent with an answer.
    pub fn heard(&mut self, now: Time, from: Ipv4Addr, load: Load) {
        if let Some(candidate) = self.agents.get_mut(&from) {
            candidate.heard = now;
            candidate.noticed = false;
            candidate.load_heard = now;
            candidate.load = load;
            candidate.placed_since = 0;
        }
    }

    /// Agents that fell silent without notice since the last call.
    pub fn newly_silent(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let is_new = |candidate: &Candidate| {
            !candidate.noticed && self.health_of(now, candidate) == Health::Silent
        };
        let silent = self.agents.iter().filter(|(_, candidate)| is_new(candidate));
        let silent: Vec<Ipv4Addr> = silent.map(|(agent, _)| *agent).collect();
        for agent in &silent {
            if let Some(candidate) = self.agents.get_mut(agent) {
                candidate.noticed = true;
            }
        }
        silent
    }

    /// Notes a flow that was sent there.
    pub fn placed(&mut self, agent: Ipv4Addr) {
        if let Some(candidate) = self.agents.get_mut(&agent) {
            candidate.placed_since = candidate.placed_since.saturating_add(1);
        }
    }

    /// An agent that refused because its backend server leaves gets no more openings until it
    /// announces itself again.
    pub fn closed(&mut self, agent: Ipv4Addr) {
        if let Some(candidate) = self.agents.get_mut(&agent)
            && candidate.announcement.state == State::Ready
        {
            candidate.announcement.state = State::Closed;
        }
    }

    /// The health of an agent; none if it is not known.
    #[must_use]
    pub fn health(&self, now: Time, agent: Ipv4Addr) -> Option<Health> {
        self.agents.get(&agent).map(|candidate| self.health_of(now, candidate))
    }

    /// Service of an agent's backend server, as last announced.
    #[must_use]
    pub fn service(&self, agent: Ipv4Addr) -> Option<Service> {
        self.agents.get(&agent)?.announcement.service
    }

    /// Agents that take new flows of a service now.
    #[must_use]
    pub fn open_agents(&self, now: Time, service: Service) -> usize {
        let state = self.takers(now, service);
        self.count(now, service, state)
    }

    fn is_in(&self, now: Time, candidate: &Candidate, service: Service, state: State) -> bool {
        candidate.is_in(self.sight(now, candidate), service, state)
    }

    fn count(&self, now: Time, service: Service, state: State) -> usize {
        self.agents.values().filter(|candidate| self.is_in(now, candidate, service, state)).count()
    }

    /// Which agents of a service get its new flows: the healthy ones, unless most are failing. Guards
    /// against sparing a whole service, whose few healthy servers would drown in its load.
    fn takers(&self, now: Time, service: Service) -> State {
        let healthy = self.count(now, service, State::Ready);
        let failing = self.count(now, service, State::Failing);
        if failing > healthy { State::Failing } else { State::Ready }
    }

    /// Number of agents heard of lately.
    #[must_use]
    pub fn heard_of(&self, now: Time) -> usize {
        self.agents.values().filter(|one| self.health_of(now, one) <= Health::Late).count()
    }

    /// What an agent must be told of the balancers, whose addresses have this digest; notes that it is.
    ///
    /// Guards against answering every announcement with all addresses: after the death of one balancer
    /// the views differ for seconds, and with 59 balancers and 136 agents that would be 26,000 lists a
    /// second. A list is sent once when it is new, and again only with the next sign of life.
    pub fn tell(&mut self, now: Time, agent: Ipv4Addr, digest: u64, pause_ms: u64) -> Telling {
        let Some(candidate) = self.agents.get_mut(&agent) else {
            return Telling::Addresses;
        };
        let next = Told { at: now, digest };
        let telling = match candidate.told {
            Some(told) if told.covers(&next, pause_ms) => return Telling::Nothing,
            Some(_) if candidate.announcement.balancers == digest => Telling::Sign,
            _ => Telling::Addresses,
        };
        candidate.told = Some(next);
        telling
    }

    /// Whether less than half of the agents heard of within a minute are heard of now. Then it is
    /// likelier that this process is cut off than that they all died at once.
    #[must_use]
    pub fn is_cut_off(&self, now: Time) -> bool {
        self.heard_of(now) * 2 < self.agents.len() || self.agents.is_empty()
    }

    /// Whether what no agent holds does not exist. An agent that is late or restarting may hold it,
    /// if it ever spoke of a backend server. One that fell silent without notice is dead or cut off, and its flows are lost either way;
    /// unless it is this process that is cut off.
    #[must_use]
    pub fn is_conclusive(&self, now: Time) -> bool {
        let undecided = |candidate: &Candidate| {
            let seen = self.sight(now, candidate);
            candidate.may_hold(seen) && candidate.health(seen) != Health::Fresh
        };
        !self.is_cut_off(now) && !self.agents.values().any(undecided)
    }

    /// Whether every agent known has started only lately, as after a loss of power.
    #[must_use]
    pub fn is_young(&self) -> bool {
        self.agents.values().all(|candidate| candidate.announcement.number <= YOUNG)
    }

    /// Whether an agent may hold flows.
    #[must_use]
    pub fn may_hold(&self, now: Time, agent: Ipv4Addr) -> bool {
        self.agents.get(&agent).is_some_and(|one| one.may_hold(self.sight(now, one)))
    }

    /// Number of agents known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Whether no agent is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// Forgets agents that are gone for longer than any flow lives.
    pub fn forget(&mut self, now: Time) {
        self.agents.retain(|_, candidate| now.since(candidate.heard) < FORGET_MS);
    }

    /// Shifts all waiting by a span in which this process stood still: it could not have heard.
    pub fn forgive(&mut self, span_ms: u64) {
        for candidate in self.agents.values_mut() {
            candidate.heard = candidate.heard.after(span_ms);
        }
        for last in self.summaries.values_mut() {
            *last = last.after(span_ms);
        }
    }

    /// The best agent for a new flow among the first of its order, without those in `tried`; when
    /// all of these were tried, the best of all others.
    #[must_use]
    pub fn choose(
        &self,
        now: Time,
        key: Key,
        service: Service,
        kind: Kind,
        domain: &str,
        tried: &[Ipv4Addr],
    ) -> Option<Choice> {
        let takers = self.takers(now, service);
        let order = self.order(key, domain, |candidate| {
            self.is_in(now, candidate, service, State::Ready)
                || self.is_in(now, candidate, service, takers)
        });
        let near = order.iter().filter(|ranked| ranked.0.near).take(NEAR);
        let far = order.iter().filter(|ranked| !ranked.0.near).take(FAR);
        let untried = |ranked: &&(Rank, Ipv4Addr)| !tried.contains(&ranked.1);
        let first = self.least(near.chain(far).filter(untried), kind, domain);
        let agent = first.or_else(|| self.least(order.iter().filter(untried), kind, domain))?;
        self.choice(now, agent)
    }

    /// All agents in the order in which they are asked for a flow: those of the given services
    /// first, then the others, because a route may have moved since the flow was opened.
    #[must_use]
    pub fn search(&self, key: Key, services: &[Service], domain: &str) -> Vec<Ipv4Addr> {
        let likely = |candidate: &Candidate| {
            candidate.announcement.service.is_some_and(|service| services.contains(&service))
        };
        let mut order = self.search_among(key, domain, likely);
        order.extend(self.search_among(key, domain, |candidate| !likely(candidate)));
        order
    }

    /// Agents in the order of a search: first those that the opening was offered to before all others, in
    /// each service, then the rest.
    ///
    /// Guards against searches that ask a whole failure domain before the two agents of other domains
    /// that openings go to: with 22 agents in each of five domains that is 20 questions for two flows in
    /// five, each a round trip while the client waits.
    fn search_among(
        &self,
        key: Key,
        domain: &str,
        keep: impl Fn(&Candidate) -> bool,
    ) -> Vec<Ipv4Addr> {
        let mut seen: BTreeMap<(Option<Service>, bool), usize> = BTreeMap::new();
        let (first, rest): (Vec<_>, Vec<_>) =
            self.order(key, domain, keep).into_iter().partition(|(rank, agent)| {
                let place = seen.entry((self.service(*agent), rank.near)).or_default();
                *place += 1;
                *place <= if rank.near { NEAR } else { FAR }
            });
        first.into_iter().chain(rest).map(|ranked| ranked.1).collect()
    }

    fn choice(&self, now: Time, agent: Ipv4Addr) -> Option<Choice> {
        let candidate = self.agents.get(&agent)?;
        Some(Choice { agent, load: candidate.load, age_ms: now.since(candidate.load_heard) })
    }

    fn least<'a>(
        &self,
        order: impl Iterator<Item = &'a (Rank, Ipv4Addr)>,
        kind: Kind,
        domain: &str,
    ) -> Option<Ipv4Addr> {
        let weights = Weights::of(kind);
        order
            .filter_map(|(_, agent)| {
                Some((self.agents.get(agent)?.pressure(weights, domain), agent))
            })
            .min_by_key(|(pressure, _)| *pressure)
            .map(|(_, agent)| *agent)
    }

    fn order(
        &self,
        key: Key,
        domain: &str,
        keep: impl Fn(&Candidate) -> bool,
    ) -> Vec<(Rank, Ipv4Addr)> {
        let mut order: Vec<(Rank, Ipv4Addr)> = self
            .agents
            .iter()
            .filter(|(_, candidate)| keep(candidate))
            .map(|(agent, candidate)| (Rank::of(key, *agent, candidate, domain), *agent))
            .collect();
        order.sort_unstable_by(|one, two| two.cmp(one));
        order
    }
}

/// Order of an agent for one key: the client's own failure domain first, then the higher hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    near: bool,
    weight: u64,
}

impl Rank {
    fn of(key: Key, agent: Ipv4Addr, candidate: &Candidate, domain: &str) -> Self {
        let near = *candidate.announcement.domain == *domain;
        Self { near, weight: mix(key.number() ^ mix(u64::from(agent.to_bits()))) }
    }
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
