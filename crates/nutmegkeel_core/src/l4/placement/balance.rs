//! How full the backend servers of each failure domain are, and what keeps new flows from one that is far
//! fuller than the others.
//!
//! The load pattern: the demand of one failure domain doubles. Flows that were open before ask more, and cannot
//! move; their servers queue. As the servers hold no more flows than others, new long flows would go on coming,
//! from all domains. Each balancer reckons by itself, from the reports that it has anyway.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Pool;
use super::candidate::Candidate;
use crate::clock::Time;
use crate::l4::health::Health;
use crate::l4::message::State;
use crate::l4::route::Service;

/// Pause between two steps, in milliseconds: a step walks all agents.
const STEP_MS: u64 = 100;

/// Time over which a utilization is smoothed, in milliseconds: some reports, so that chance does not count.
const SMOOTHING_MS: u64 = 1_000;

/// How much fuller than the others a failure domain may be without a surcharge, in thousandths of its slots:
/// beyond what chance does to a few servers.
const BAND: u64 = 300;

/// The highest surcharge, in thousandths of a slot: with three more requests a slot a new one would wait for
/// three turns.
const MOST: u64 = 3_000;

/// Utilization of the others up to which a surcharge has its whole effect, in thousandths of their slots: a new
/// request mostly finds a slot free there.
const ROOMY: u64 = 1_000;

/// Utilization of the others from which there is no surcharge, in thousandths of their slots: they queue too, so
/// going there gains nothing and costs the way.
const FULL: u64 = 2_000;

/// By how much a surcharge changes in a second, in thousandths of a slot: slower than reports come in, so that
/// balancers see what they did before they go on.
const CHANGE_PER_S: u64 = 2_000;

/// Requests for each slot that a report counts for at most. Guards against a single absurd report.
const MOST_PER_SLOT: u64 = 16;

/// A surcharge that operators are told of, in thousandths of a slot: as much as going to another domain weighs
/// for small answers.
const NOTED: u64 = 150;

/// How full one failure domain is for one service, as one balancer sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Level {
    /// The service.
    pub service: Service,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Requests for each slot, in thousandths; none while most of its agents are not heard of.
    pub utilization: Option<u64>,
    /// The same of all other domains together, if any is known.
    pub elsewhere: Option<u64>,
    /// What each of its servers counts for in addition when a new flow is placed, in thousandths of a slot.
    pub surcharge: u64,
    /// Whether operators were told that it is spared.
    pub is_spared: bool,
}

/// The levels that one balancer reckons, and where it sends new flows.
#[derive(Clone, Debug)]
pub(super) struct Balance {
    own: Arc<str>,
    stepped: Time,
    services: BTreeMap<Service, BTreeMap<Arc<str>, Level>>,
    openings: Openings,
}

/// Openings sent lately: each counts a thousand at first, and less with time.
#[derive(Clone, Copy, Debug, Default)]
struct Openings {
    near: u64,
    far: u64,
}

/// What the agents of one failure domain last said, summed over those of one service that take new flows.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    /// Requests.
    busy: u64,
    /// Slots, in hundredths.
    capacity: u64,
    fresh: usize,
    late: usize,
}

type Samples = BTreeMap<Arc<str>, Sample>;

impl Balance {
    /// Nothing is known yet to a balancer of this failure domain.
    pub(super) fn open(own: Arc<str>) -> Self {
        let (services, openings) = (BTreeMap::new(), Openings::default());
        Self { own, stepped: Time::ZERO, services, openings }
    }

    /// What a server of this failure domain counts for in addition, in thousandths of a slot.
    pub(super) fn surcharge(&self, service: Service, domain: &str) -> u64 {
        let level = self.services.get(&service).and_then(|levels| levels.get(domain));
        level.map_or(0, |level| level.surcharge)
    }

    /// Counts an opening that goes to this failure domain.
    pub(super) fn sent_to(&mut self, domain: &str) {
        let count =
            if *domain == *self.own { &mut self.openings.near } else { &mut self.openings.far };
        *count += 1_000;
    }

    /// Goes on by `elapsed_ms` with what agents say now; returns the levels that operators are told of.
    fn step(&mut self, elapsed_ms: u64, samples: &BTreeMap<Service, Samples>) -> Vec<Level> {
        self.openings.fade(elapsed_ms);
        self.services.retain(|service, _| samples.contains_key(service));
        let mut told = Vec::new();
        for (service, samples) in samples {
            let levels = self.services.entry(*service).or_default();
            for domain in samples.keys() {
                levels.entry(Arc::clone(domain)).or_insert_with(|| Level::new(*service, domain));
            }
            told.extend(step_service(elapsed_ms, levels, samples));
        }
        told
    }
}

/// The surcharge that utilizations here and elsewhere call for.
fn wanted(here: u64, elsewhere: u64) -> u64 {
    let excess = here.saturating_sub(elsewhere).saturating_sub(BAND).min(MOST);
    let room = FULL.saturating_sub(elsewhere).min(FULL - ROOMY);
    excess * room / (FULL - ROOMY)
}

fn step_service(
    elapsed_ms: u64,
    levels: &mut BTreeMap<Arc<str>, Level>,
    samples: &Samples,
) -> Vec<Level> {
    let sample = |domain: &Arc<str>| samples.get(domain).copied().unwrap_or_default();
    for (domain, level) in levels.iter_mut() {
        level.observe(elapsed_ms, sample(domain));
    }
    let known = levels.iter().filter_map(|(domain, level)| {
        let capacity = sample(domain).capacity;
        Some((Arc::clone(domain), level.utilization? * capacity, capacity))
    });
    let known: Vec<_> = known.collect();
    let mut told = Vec::new();
    for (domain, level) in levels.iter_mut() {
        let others = known.iter().filter(|(other, ..)| other != domain);
        let (busy, capacity) =
            others.fold((0, 0), |(all, slots), (_, busy, capacity)| (all + busy, slots + capacity));
        level.elsewhere = (capacity > 0).then(|| busy / capacity);
        level.adapt(elapsed_ms);
        if level.is_news() {
            level.is_spared = !level.is_spared;
            told.push(level.clone());
        }
    }
    told
}

impl Level {
    fn new(service: Service, domain: &Arc<str>) -> Self {
        Self {
            service,
            domain: Arc::clone(domain),
            utilization: None,
            elsewhere: None,
            surcharge: 0,
            is_spared: false,
        }
    }

    /// Guards against judging a domain by the few agents that are still heard of while reports of it are late:
    /// it would be flooded or starved for what the others did seconds ago.
    fn observe(&mut self, elapsed_ms: u64, sample: Sample) {
        if sample.fresh <= sample.late {
            self.utilization = None;
            return;
        }
        let now = sample.busy * 100_000 / sample.capacity.max(1);
        let before = self.utilization.unwrap_or(now);
        let elapsed_ms = elapsed_ms.min(SMOOTHING_MS);
        let smoothed = before * (SMOOTHING_MS - elapsed_ms) + now * elapsed_ms;
        self.utilization = Some(smoothed / SMOOTHING_MS);
    }

    /// Moves the surcharge towards what the utilizations call for. Guards against swinging: all balancers of
    /// all domains see the same reports, and answer them at once.
    fn adapt(&mut self, elapsed_ms: u64) {
        let wanted = match (self.utilization, self.elsewhere) {
            (Some(here), Some(elsewhere)) => wanted(here, elsewhere),
            _ => 0,
        };
        let change = (CHANGE_PER_S * elapsed_ms / 1_000).max(1);
        let least = self.surcharge.saturating_sub(change);
        self.surcharge = wanted.clamp(least, self.surcharge + change);
    }

    /// Whether a surcharge that matters began, or ended.
    const fn is_news(&self) -> bool {
        if self.is_spared { self.surcharge == 0 } else { self.surcharge >= NOTED }
    }
}

impl Openings {
    fn fade(&mut self, elapsed_ms: u64) {
        let left_ms = SMOOTHING_MS.saturating_sub(elapsed_ms);
        for count in [&mut self.near, &mut self.far] {
            *count = *count * left_ms / SMOOTHING_MS;
        }
    }
}

impl Pool {
    /// Lets new flows leave failure domains that are far fuller than others, and counts what agents inherit,
    /// for a balancer in this domain.
    pub fn balance_domains(&mut self, own: Arc<str>) {
        self.balance = Some(Balance::open(own));
    }

    /// Reckons how full the failure domains are, if it is time; returns those that begin or cease to be spared.
    pub fn rebalance(&mut self, now: Time) -> Vec<Level> {
        let Some(mut balance) = self.balance.take() else {
            return Vec::new();
        };
        let elapsed_ms = now.since(balance.stepped);
        let mut told = Vec::new();
        if elapsed_ms >= STEP_MS {
            balance.stepped = now;
            told = balance.step(elapsed_ms.min(SMOOTHING_MS), &self.samples(now));
        }
        self.balance = Some(balance);
        told
    }

    /// How full the failure domains are, by service.
    pub fn levels(&self) -> impl Iterator<Item = &Level> {
        let services = self.balance.iter().flat_map(|balance| balance.services.values());
        services.flat_map(BTreeMap::values)
    }

    /// Openings that lately went to other failure domains, in thousandths of all; none if none went anywhere.
    #[must_use]
    pub fn sent_abroad(&self) -> Option<u64> {
        let Openings { near, far } = self.balance.as_ref()?.openings;
        (near + far > 0).then(|| far * 1_000 / (near + far))
    }

    /// What a candidate's failure domain adds to its load, in thousandths of a slot.
    pub(super) fn surcharge(&self, service: Service, candidate: &Candidate) -> u64 {
        let domain = &candidate.announcement.domain;
        self.balance.as_ref().map_or(0, |balance| balance.surcharge(service, domain))
    }

    fn samples(&self, now: Time) -> BTreeMap<Service, Samples> {
        let services = self.members.keys().flatten();
        services.map(|service| (*service, self.samples_of(now, *service))).collect()
    }

    fn samples_of(&self, now: Time, service: Service) -> Samples {
        let takers = self.takers(now, service);
        let takes = |one: &Candidate| {
            let state = one.announcement.state;
            (state == State::Ready || state == takers) && !self.is_spared(one)
        };
        let mut samples = Samples::new();
        for (_, one) in self.members(Some(service)).filter(|(_, one)| takes(one)) {
            let sample = samples.entry(Arc::clone(&one.announcement.domain)).or_default();
            match self.health_of(now, one) {
                Health::Fresh => sample.add(one),
                Health::Late => sample.late += 1,
                Health::Restarting | Health::Silent => {}
            }
        }
        samples
    }
}

impl Sample {
    fn add(&mut self, one: &Candidate) {
        let capacity = one.capacity();
        let busy = u64::from(one.load.busy) + u64::from(one.placed_since);
        self.busy += busy.min(capacity * MOST_PER_SLOT / 100);
        self.capacity += capacity;
        self.fresh += 1;
    }
}
