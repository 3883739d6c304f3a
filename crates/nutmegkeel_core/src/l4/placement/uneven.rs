//! Detects backend servers that are far slower than their peers and reduces the number of slots
//! that they count for.
//!
//! Some servers of a service may become several times slower while they report that they are
//! healthy. Open flows cannot leave a server, so new flows must avoid it at once. Servers are
//! compared only within their service: if all are slow, the requests themselves take longer, and
//! there is no better server.

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

/// Service time from which a server counts as slow, in percent of its peers'. A server that takes
/// twice the usual time still answers within an objective, and a random run of long requests stays
/// below this bound.
const SLOW_PERCENT: u64 = 250;

/// Service time below which a slow server no longer counts as slow, in percent of its peers'. The
/// distance from [`SLOW_PERCENT`] keeps a time that varies about one bound from changing the result
/// with each report.
const RECOVERED_PERCENT: u64 = 140;

/// Difference to the peers' service time up to which a server is not slow, in milliseconds. A
/// multiple of a time of few milliseconds, reported in whole milliseconds, is not significant.
const TOLERANCE_MS: u64 = 5;

/// Minimum share of its slots that a slow server counts for, in percent. It needs some requests to
/// show that it has recovered.
const MIN_PERCENT: u64 = 12;

/// Minimum number of servers of a service for a comparison. With two, it is unknown which one is
/// slow.
const MIN_SERVERS: usize = 3;

/// One in this many servers may count as slow. The others must be able to take its load.
const SERVERS_PER_SLOW: usize = 3;

/// Age from which a load is too old for a comparison, in milliseconds.
const STALE_MS: u64 = UNREPORTED_MS;

/// Weight of a server that already counts as slow, in percent. It keeps two servers from
/// alternating in the last place that the limit on slow servers allows.
const HYSTERESIS_PERCENT: u64 = 150;

/// Service time of a server and that of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slowness {
    /// Time that a slot of the server works on a request, in milliseconds.
    pub service_ms: u16,
    /// Median service time of the servers of its service, in milliseconds.
    pub usual_ms: u16,
}

impl Slowness {
    /// Returns the share of its slots that the server counts for, in percent: the square of its
    /// relative speed. It handles proportionally fewer requests, and a request in progress leaves
    /// proportionally less time for waiting within an objective.
    pub(super) fn percent(self) -> u64 {
        let speed = 100 * u64::from(self.usual_ms) / u64::from(self.service_ms).max(1);
        (speed * speed / 100).clamp(MIN_PERCENT, 100)
    }
}

/// A server that started or ceased to count as slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Agent of the server.
    pub agent: Ipv4Addr,
    /// Whether the server counts as slow now.
    pub is_slow: bool,
    /// Service times that the verdict is based on.
    pub times: Slowness,
}

impl Pool {
    /// Compares the agents of each service by their last reports. Returns those whose verdict
    /// changed.
    pub fn compare_speeds(&mut self, now: Time) -> Vec<Verdict> {
        let services: Vec<Service> = self.members.keys().copied().flatten().collect();
        let mut verdicts = Vec::new();
        for service in services {
            verdicts.extend(self.compare(now, service));
            self.set_min_flows(now, service);
        }
        verdicts
    }

    fn compare(&mut self, now: Time, service: Service) -> Vec<Verdict> {
        let usual_ms = self.usual_ms(now, service);
        let slow = match usual_ms {
            Some(usual_ms) => self.slowest(now, service, usual_ms),
            // Enough other servers are present but have no recent report: that clears none.
            None if self.present_members(now, service).count() >= MIN_SERVERS => return Vec::new(),
            None => Vec::new(),
        };
        let members: Vec<Ipv4Addr> = self.members(Some(service)).map(|(agent, _)| agent).collect();
        let mut verdicts = Vec::new();
        for agent in members {
            let Some(candidate) = self.agents.get_mut(&agent) else { continue };
            let (was_slow, is_slow) = (candidate.slowness.is_some(), slow.contains(&agent));
            let times = candidate.comparable_ms(now).zip(usual_ms);
            let times = times.map(|(service_ms, usual_ms)| Slowness { service_ms, usual_ms });
            let times = times.or(candidate.slowness);
            candidate.slowness = times.filter(|_| is_slow);
            if let Some(times) = times.filter(|_| is_slow != was_slow) {
                verdicts.push(Verdict { agent, is_slow, times });
            }
        }
        verdicts
    }

    /// Returns the median service time of a service's servers; `None` if there are too few.
    fn usual_ms(&self, now: Time, service: Service) -> Option<u16> {
        let members = self.members(Some(service));
        let mut times: Vec<u16> = members.filter_map(|(_, one)| one.comparable_ms(now)).collect();
        if times.len() < MIN_SERVERS {
            return None;
        }
        times.sort_unstable();
        times.get((times.len() - 1) / 2).copied()
    }

    /// Returns the agents of the servers that count as slow: the slowest first, limited to what the
    /// others can take over.
    fn slowest(&self, now: Time, service: Service, usual_ms: u16) -> Vec<Ipv4Addr> {
        let max_slow = self.present_members(now, service).count() / SERVERS_PER_SLOW;
        let mut slow: Vec<_> = self
            .present_members(now, service)
            .filter_map(|(agent, one)| Some((Reverse(one.slow_weight(now, usual_ms)?), agent)))
            .collect();
        slow.sort_unstable();
        slow.truncate(max_slow);
        slow.into_iter().map(|(_, agent)| agent).collect()
    }

    /// Returns the agents of a service that are not silent.
    fn present_members(
        &self,
        now: Time,
        service: Service,
    ) -> impl Iterator<Item = (Ipv4Addr, &Candidate)> {
        let members = self.members(Some(service));
        members.filter(move |(_, one)| self.health_of(now, one) < Health::Silent)
    }

    /// Returns the servers that count as slow, by agent.
    #[must_use]
    pub fn slow(&self) -> BTreeMap<Ipv4Addr, Slowness> {
        let slow = self.agents.iter();
        slow.filter_map(|(agent, one)| Some((*agent, one.slowness?))).collect()
    }
}

impl Candidate {
    /// Returns the service time to compare with that of its peers; `None` without a recent one, or
    /// while the server is cold, which does not count as slow. An implausible time is ignored, so
    /// that it neither attracts flows nor keeps them from a server.
    fn comparable_ms(&self, now: Time) -> Option<u16> {
        let is_fresh = now.since(self.load_received_at) <= STALE_MS;
        let service_ms = self.load.service_ms;
        let is_known = service_ms > 0 && u64::from(service_ms) <= MAX_WINDOW_MS;
        (is_fresh && is_known && !self.announcement.cold).then_some(service_ms)
    }

    /// Returns the weight of a server that is slow enough to count as such; a higher weight takes
    /// precedence. Without a recent report the server stays what it was.
    fn slow_weight(&self, now: Time, usual_ms: u16) -> Option<u64> {
        let Some(known) = self.slowness else {
            let service_ms = u64::from(self.comparable_ms(now)?);
            return exceeds(service_ms, usual_ms, SLOW_PERCENT).then_some(service_ms * 100);
        };
        let is_stale = now.since(self.load_received_at) > STALE_MS;
        let last_ms = if is_stale { Some(known.service_ms) } else { self.comparable_ms(now) };
        let service_ms = u64::from(last_ms?);
        let stays = is_stale || exceeds(service_ms, usual_ms, RECOVERED_PERCENT);
        stays.then_some(service_ms * HYSTERESIS_PERCENT)
    }
}

fn exceeds(service_ms: u64, usual_ms: u16, percent: u64) -> bool {
    let usual_ms = u64::from(usual_ms);
    service_ms * 100 >= usual_ms * percent && service_ms > usual_ms + TOLERANCE_MS
}
