//! How evenly the backend servers of a service are utilized, and how a new one is filled.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::Pool;
use super::candidate::Candidate;
use crate::clock::Time;
use crate::l4::message::State;
use crate::l4::route::Service;

/// How evenly the servers of a service are utilized.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evenness {
    /// Mean utilization of all servers, in thousandths of their slots.
    pub mean: u64,
    /// Utilization of the busiest server, in thousandths of its slots.
    pub busiest: u64,
    /// Number of servers that count as slow.
    pub slow: usize,
}

impl Pool {
    /// Returns how evenly the servers of each service are utilized, based on agents with a recent
    /// report.
    #[must_use]
    pub fn evenness(&self, now: Time) -> BTreeMap<Service, Evenness> {
        let services = self.members.keys().copied().flatten();
        services.map(|service| (service, self.evenness_of(now, service))).collect()
    }

    fn evenness_of(&self, now: Time, service: Service) -> Evenness {
        let mut evenness = Evenness::default();
        let mut servers = 0;
        for (_, candidate) in self.ready_members(now, service) {
            let utilization = candidate.utilization();
            servers += 1;
            evenness.mean += utilization;
            evenness.busiest = evenness.busiest.max(utilization);
            evenness.slow += usize::from(candidate.slowness.is_some());
        }
        evenness.mean /= servers.max(1);
        evenness
    }

    /// Sets the minimum number of flows that each server of a service counts for: the mean of its
    /// peers, less one flow per slot.
    ///
    /// Without it, a server that has just started or recovered would attract the new flows of all
    /// balancers at once: it has no flows, each balancer learns of the others' flows only with the
    /// next report, and the first requests of these flows would queue there. With it, the server is
    /// preferred by that margin only, until it is busier than its peers by as much. Slow servers
    /// are exempt, because they are meant to have few flows.
    pub(super) fn set_min_flows(&mut self, now: Time, service: Service) {
        let (mut flows, mut slots) = (0, 0);
        for (_, candidate) in self.ready_members(now, service) {
            flows += u64::from(candidate.flows());
            slots += u64::from(candidate.announcement.slots);
        }
        let members: Vec<Ipv4Addr> = self.members(Some(service)).map(|(agent, _)| agent).collect();
        self.update(&members, |candidate| {
            let own_slots = u64::from(candidate.announcement.slots);
            let peer_flows = flows * own_slots / slots.max(1);
            let minimum = peer_flows.saturating_sub(own_slots);
            candidate.min_flows = if candidate.slowness.is_some() { 0 } else { minimum };
        });
    }

    fn ready_members(
        &self,
        now: Time,
        service: Service,
    ) -> impl Iterator<Item = (Ipv4Addr, &Candidate)> {
        let members = self.members(Some(service));
        members.filter(move |(_, one)| self.is_eligible(now, one, service, State::Ready))
    }
}

impl Candidate {
    /// Returns the requests in progress and waiting, in thousandths of its slots.
    fn utilization(&self) -> u64 {
        u64::from(self.load.busy) * 1_000 / u64::from(self.announcement.slots).max(1)
    }
}
