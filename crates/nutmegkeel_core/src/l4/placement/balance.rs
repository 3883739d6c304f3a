//! Measures the utilization of each failure domain and keeps new flows from a domain whose
//! utilization is far above that of the others.
//!
//! When the demand of one failure domain doubles, the additional requests arrive on open flows,
//! which cannot move, and the servers of the domain queue. These servers hold no more flows than
//! others, so placement by number of flows would continue to send them long flows from all domains.
//! Each balancer computes the utilization locally, from the load reports that it receives anyway.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Pool;
use super::candidate::Candidate;
use crate::clock::Time;
use crate::l4::health::Health;
use crate::l4::message::State;
use crate::l4::route::Service;

/// Interval between two steps, in milliseconds. A step visits all agents.
const STEP_MS: u64 = 100;

/// Time over which a utilization is smoothed, in milliseconds. It spans several reports, so that
/// random variation has little effect.
const SMOOTHING_MS: u64 = 1_000;

/// Difference in utilization that causes no surcharge, in thousandths of the slots of a failure
/// domain. Smaller differences occur at random between small groups of servers.
const TOLERANCE: u64 = 300;

/// Upper bound of a surcharge, in thousandths of a slot. With three more requests per slot, a new
/// request waits for three others.
const MAX_SURCHARGE: u64 = 3_000;

/// Utilization of the other domains up to which a surcharge has its full effect, in thousandths of
/// their slots. Below it, a new request usually finds a free slot there.
const FULL_EFFECT_BELOW: u64 = 1_000;

/// Utilization of the other domains from which there is no surcharge, in thousandths of their
/// slots. Requests queue there too, so moving a flow gains nothing and costs traffic between
/// domains.
const NO_EFFECT_ABOVE: u64 = 2_000;

/// Maximum change of a surcharge per second, in thousandths of a slot. It is slow compared with the
/// interval of reports, so that balancers see the effect of a change before the next one.
const SURCHARGE_CHANGE_PER_S: u64 = 2_000;

/// Maximum number of requests per slot that a report counts for. It bounds the effect of a single
/// wrong report.
const MAX_REQUESTS_PER_SLOT: u64 = 16;

/// Surcharge from which a domain is reported to operators as spared, in thousandths of a slot. It
/// equals the cost of leaving the domain for small answers.
const REPORTED_SURCHARGE: u64 = 150;

/// Utilization of one failure domain for one service, as seen by one balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Level {
    /// Service that this level is about.
    pub service: Service,
    /// Failure domain that this level is about.
    pub domain: Arc<str>,
    /// Requests per slot, in thousandths; `None` if too few of the domain's agents have reported
    /// recently.
    pub utilization: Option<u64>,
    /// Utilization of all other domains together; `None` if it is not known for any.
    pub elsewhere: Option<u64>,
    /// Load added to each server of the domain when a new flow is placed, in thousandths of a slot.
    pub surcharge: u64,
    /// Whether operators were last notified that the domain is spared.
    pub is_spared: bool,
}

/// Levels computed by one balancer, and the destinations of its recent openings.
#[derive(Clone, Debug)]
pub(super) struct Balance {
    own_domain: Arc<str>,
    stepped_at: Time,
    services: BTreeMap<Service, BTreeMap<Arc<str>, Level>>,
    openings: Openings,
}

/// Recent openings. Each counts for 1,000 at first and decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct Openings {
    local: u64,
    remote: u64,
}

/// Sum of the latest loads of the agents of one service and failure domain that accept new flows.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    /// Requests in progress and waiting.
    busy: u64,
    /// Slots, in hundredths.
    capacity: u64,
    fresh: usize,
    late: usize,
}

type Samples = BTreeMap<Arc<str>, Sample>;

impl Balance {
    /// Creates a balance without any level, for a balancer in this failure domain.
    pub(super) fn open(own_domain: Arc<str>) -> Self {
        let (services, openings) = (BTreeMap::new(), Openings::default());
        Self { own_domain, stepped_at: Time::ZERO, services, openings }
    }

    /// Returns the load added to each server of a failure domain, in thousandths of a slot.
    pub(super) fn surcharge(&self, service: Service, domain: &str) -> u64 {
        let level = self.services.get(&service).and_then(|levels| levels.get(domain));
        level.map_or(0, |level| level.surcharge)
    }

    /// Counts an opening that is sent to this failure domain.
    pub(super) fn record_opening(&mut self, domain: &str) {
        let count = if *domain == *self.own_domain {
            &mut self.openings.local
        } else {
            &mut self.openings.remote
        };
        *count += 1_000;
    }

    /// Advances by `elapsed_ms` with the current samples. Returns the levels to report to
    /// operators.
    fn step(&mut self, elapsed_ms: u64, samples: &BTreeMap<Service, Samples>) -> Vec<Level> {
        self.openings.decay(elapsed_ms);
        self.services.retain(|service, _| samples.contains_key(service));
        let mut reported = Vec::new();
        for (service, samples) in samples {
            let levels = self.services.entry(*service).or_default();
            for domain in samples.keys() {
                levels.entry(Arc::clone(domain)).or_insert_with(|| Level::new(*service, domain));
            }
            reported.extend(step_service(elapsed_ms, levels, samples));
        }
        reported
    }
}

/// Returns the surcharge for the utilization of a domain and that of the other domains.
fn target_surcharge(here: u64, elsewhere: u64) -> u64 {
    let excess = here.saturating_sub(elsewhere).saturating_sub(TOLERANCE).min(MAX_SURCHARGE);
    let room = NO_EFFECT_ABOVE.saturating_sub(elsewhere).min(NO_EFFECT_ABOVE - FULL_EFFECT_BELOW);
    excess * room / (NO_EFFECT_ABOVE - FULL_EFFECT_BELOW)
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
    let mut reported = Vec::new();
    for (domain, level) in levels.iter_mut() {
        let others = known.iter().filter(|(other, ..)| other != domain);
        let (busy, capacity) =
            others.fold((0, 0), |(all, slots), (_, busy, capacity)| (all + busy, slots + capacity));
        level.elsewhere = (capacity > 0).then(|| busy / capacity);
        level.adapt(elapsed_ms);
        if level.is_spared_changed() {
            level.is_spared = !level.is_spared;
            reported.push(level.clone());
        }
    }
    reported
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

    /// Updates the utilization. It is unknown while at least half of the domain's agents are late.
    /// The few that still report would otherwise decide for the domain, which could be flooded with
    /// flows or get none because of loads that are seconds old.
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

    /// Moves the surcharge towards its target. The change is limited to prevent oscillation: all
    /// balancers of all domains see the same reports and react at the same time.
    fn adapt(&mut self, elapsed_ms: u64) {
        let target = match (self.utilization, self.elsewhere) {
            (Some(here), Some(elsewhere)) => target_surcharge(here, elsewhere),
            _ => 0,
        };
        let change = (SURCHARGE_CHANGE_PER_S * elapsed_ms / 1_000).max(1);
        let least = self.surcharge.saturating_sub(change);
        self.surcharge = target.clamp(least, self.surcharge + change);
    }

    /// Returns whether a surcharge worth reporting began, or a reported one ended.
    const fn is_spared_changed(&self) -> bool {
        if self.is_spared { self.surcharge == 0 } else { self.surcharge >= REPORTED_SURCHARGE }
    }
}

impl Openings {
    fn decay(&mut self, elapsed_ms: u64) {
        let left_ms = SMOOTHING_MS.saturating_sub(elapsed_ms);
        for count in [&mut self.local, &mut self.remote] {
            *count = *count * left_ms / SMOOTHING_MS;
        }
    }
}

impl Pool {
    /// Enables the surcharge on failure domains with a high utilization and the tracking of
    /// inherited flows, for a balancer in this domain.
    pub fn balance_domains(&mut self, own_domain: Arc<str>) {
        self.balance = Some(Balance::open(own_domain));
    }

    /// Updates the utilization of the failure domains if a step is due. Returns the levels of
    /// domains that start or stop being spared.
    pub fn rebalance(&mut self, now: Time) -> Vec<Level> {
        let Some(mut balance) = self.balance.take() else {
            return Vec::new();
        };
        let elapsed_ms = now.since(balance.stepped_at);
        let mut reported = Vec::new();
        if elapsed_ms >= STEP_MS {
            balance.stepped_at = now;
            reported = balance.step(elapsed_ms.min(SMOOTHING_MS), &self.samples(now));
        }
        self.balance = Some(balance);
        reported
    }

    /// Returns the levels of all services and failure domains.
    pub fn levels(&self) -> impl Iterator<Item = &Level> {
        let services = self.balance.iter().flat_map(|balance| balance.services.values());
        services.flat_map(BTreeMap::values)
    }

    /// Returns the share of recent openings that went to other failure domains, in thousandths;
    /// `None` if there was no recent opening.
    #[must_use]
    pub fn sent_remote(&self) -> Option<u64> {
        let Openings { local, remote } = self.balance.as_ref()?.openings;
        (local + remote > 0).then(|| remote * 1_000 / (local + remote))
    }

    /// Returns the load added to a candidate for its failure domain, in thousandths of a slot.
    pub(super) fn surcharge(&self, service: Service, candidate: &Candidate) -> u64 {
        let domain = &candidate.announcement.domain;
        self.balance.as_ref().map_or(0, |balance| balance.surcharge(service, domain))
    }

    fn samples(&self, now: Time) -> BTreeMap<Service, Samples> {
        let services = self.members.keys().flatten();
        services.map(|service| (*service, self.samples_of(now, *service))).collect()
    }

    fn samples_of(&self, now: Time, service: Service) -> Samples {
        let eligible_state = self.eligible_state(now, service);
        let accepts = |one: &Candidate| {
            let state = one.announcement.state;
            (state == State::Ready || state == eligible_state) && !self.is_in_evacuated_domain(one)
        };
        let mut samples = Samples::new();
        for (_, one) in self.members(Some(service)).filter(|(_, one)| accepts(one)) {
            let sample = samples.entry(Arc::clone(&one.announcement.domain)).or_default();
            match self.health_of(now, one) {
                Health::Fresh => sample.add(one),
                Health::Late => sample.late += 1,
                Health::Restarting | Health::Stopped | Health::Unreachable | Health::Silent => {}
            }
        }
        samples
    }
}

impl Sample {
    fn add(&mut self, one: &Candidate) {
        let capacity = one.capacity();
        let busy = u64::from(one.load.busy) + u64::from(one.placed_since);
        self.busy += busy.min(capacity * MAX_REQUESTS_PER_SLOT / 100);
        self.capacity += capacity;
        self.fresh += 1;
    }
}
