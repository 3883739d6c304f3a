//! Which backend servers are far slower than their peers, and for how much their slots count.
//!
//! The load pattern: some servers of a service become several times slower and say that they are well. Long
//! flows are bound for their lives, so what matters is that new ones go elsewhere at once. Servers are compared
//! with the others of their service only: where all are slow, the work is, and there is nowhere else to go.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::Pool;
use super::candidate::Candidate;
use crate::clock::Time;
use crate::l4::health::{Health, UNREPORTED_MS};
use crate::l4::route::Service;
use crate::l4::speed::MAX_WINDOW_MS;

/// A server counts as slow from this part of its peers' time on, in percent: one that takes twice the usual
/// time still answers within an objective, and a chance run of long requests stays below.
const SLOW_PERCENT: u64 = 250;

/// A slow server counts as such until it is below this part of its peers' time, in percent, so that one whose
/// time wavers about a bound is not judged anew with each report.
const USUAL_PERCENT: u64 = 140;

/// A server that takes no more than this longer than its peers is not slow, in milliseconds: a few times very
/// little, told in whole milliseconds, is nothing.
const SLACK_MS: u64 = 5;

/// For so much its slots count at least, in percent: some requests must go there to show that it recovered.
const LEAST_PERCENT: u64 = 12;

/// Servers that a service must have for any of them to be judged: of two nobody can say which is slow.
const FEWEST: usize = 3;

/// One server of so many may count as slow: the others must be able to take its load.
const ONE_IN: usize = 3;

/// A load older than this tells nothing of the present, in milliseconds.
const STALE_MS: u64 = UNREPORTED_MS;

/// By how much more a server counts as slow that did before, in percent. Guards against two servers that take
/// turns at the last place which the limit leaves.
const STAY_PERCENT: u64 = 150;

/// A server's time beside that of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slowness {
    /// Time that one of its slots works on a request, in milliseconds.
    pub service_ms: u16,
    /// The middle one of the times of its service's servers, in milliseconds.
    pub usual_ms: u16,
}

impl Slowness {
    /// For how much its slots count, in percent of its peers': by the square of its speed. It does so much less
    /// of the work, and so much less of an objective is left for waiting once it works on a request.
    pub(super) fn percent(self) -> u64 {
        let speed = 100 * u64::from(self.usual_ms) / u64::from(self.service_ms).max(1);
        (speed * speed / 100).clamp(LEAST_PERCENT, 100)
    }
}

/// That a server began or ceased to count as slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Its agent.
    pub agent: Ipv4Addr,
    /// Whether it counts as slow now.
    pub is_slow: bool,
    /// What that rests on.
    pub times: Slowness,
}

impl Pool {
    /// Compares the agents of each service by what they last told; says whose standing changed.
    pub fn compare_speeds(&mut self, now: Time) -> Vec<Verdict> {
        let services: Vec<Service> = self.members.keys().copied().flatten().collect();
        let mut verdicts = Vec::new();
        for service in services {
            verdicts.extend(self.compare(now, service));
            self.set_least_flows(now, service);
        }
        verdicts
    }

    fn compare(&mut self, now: Time, service: Service) -> Vec<Verdict> {
        let usual_ms = self.usual_ms(now, service);
        let slow = match usual_ms {
            Some(usual_ms) => self.slow_ones(now, service, usual_ms),
            // The others are there and have told nothing lately: that clears nobody.
            None if self.known(now, service).count() >= FEWEST => return Vec::new(),
            None => Vec::new(),
        };
        let members: Vec<Ipv4Addr> = self.members(Some(service)).map(|(agent, _)| agent).collect();
        let mut verdicts = Vec::new();
        for agent in members {
            let Some(candidate) = self.agents.get_mut(&agent) else { continue };
            let (was_slow, is_slow) = (candidate.slowness.is_some(), slow.contains(&agent));
            let times = candidate.compared(now).zip(usual_ms);
            let times = times.map(|(service_ms, usual_ms)| Slowness { service_ms, usual_ms });
            let times = times.or(candidate.slowness);
            candidate.slowness = times.filter(|_| is_slow);
            if let Some(times) = times.filter(|_| is_slow != was_slow) {
                verdicts.push(Verdict { agent, is_slow, times });
            }
        }
        verdicts
    }

    /// The middle one of the times of a service's servers; none with too few of them.
    fn usual_ms(&self, now: Time, service: Service) -> Option<u16> {
        let members = self.members(Some(service));
        let mut times: Vec<u16> = members.filter_map(|(_, one)| one.compared(now)).collect();
        if times.len() < FEWEST {
            return None;
        }
        times.sort_unstable();
        times.get((times.len() - 1) / 2).copied()
    }

    /// The servers that count as slow: the slowest first, and no more than the others can stand in for.
    fn slow_ones(&self, now: Time, service: Service, usual_ms: u16) -> Vec<Ipv4Addr> {
        let most = self.known(now, service).count() / ONE_IN;
        let mut slow: Vec<_> = self
            .known(now, service)
            .filter_map(|(agent, one)| Some((Reverse(one.weight_as_slow(now, usual_ms)?), agent)))
            .collect();
        slow.sort_unstable();
        slow.truncate(most);
        slow.into_iter().map(|(_, agent)| agent).collect()
    }

    /// The agents of a service that are not given up.
    fn known(&self, now: Time, service: Service) -> impl Iterator<Item = (Ipv4Addr, &Candidate)> {
        let members = self.members(Some(service));
        members.filter(move |(_, one)| self.health_of(now, one) < Health::Silent)
    }

    /// The servers that count as slow, by agent.
    #[must_use]
    pub fn slow(&self) -> BTreeMap<Ipv4Addr, Slowness> {
        let slow = self.agents.iter();
        slow.filter_map(|(agent, one)| Some((*agent, one.slowness?))).collect()
    }
}

impl Candidate {
    /// The time by which it is compared with its peers; none if it tells none, has told nothing lately, or is
    /// cold, which is no slowness. An absurd time counts as none: it must neither draw nor starve anybody.
    fn compared(&self, now: Time) -> Option<u16> {
        let is_fresh = now.since(self.load_heard) <= STALE_MS;
        let service_ms = self.load.service_ms;
        let is_known = service_ms > 0 && u64::from(service_ms) <= MAX_WINDOW_MS;
        (is_fresh && is_known && !self.announcement.cold).then_some(service_ms)
    }

    /// If it is slow enough to count so: its place among those, the slowest having the highest. One that has
    /// told nothing lately stays what it was.
    fn weight_as_slow(&self, now: Time, usual_ms: u16) -> Option<u64> {
        let Some(known) = self.slowness else {
            let service_ms = u64::from(self.compared(now)?);
            return is_beyond(service_ms, usual_ms, SLOW_PERCENT).then_some(service_ms * 100);
        };
        let is_stale = now.since(self.load_heard) > STALE_MS;
        let told = if is_stale { Some(known.service_ms) } else { self.compared(now) };
        let service_ms = u64::from(told?);
        let stays = is_stale || is_beyond(service_ms, usual_ms, USUAL_PERCENT);
        stays.then_some(service_ms * STAY_PERCENT)
    }
}

fn is_beyond(service_ms: u64, usual_ms: u16, percent: u64) -> bool {
    let usual_ms = u64::from(usual_ms);
    service_ms * 100 >= usual_ms * percent && service_ms > usual_ms + SLACK_MS
}
