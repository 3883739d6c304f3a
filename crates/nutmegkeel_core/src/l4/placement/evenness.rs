//! How evenly the backend servers of a service are used, and how one that has just come fills up.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::Pool;
use super::candidate::Candidate;
use crate::clock::Time;
use crate::l4::message::State;
use crate::l4::route::Service;

/// How evenly the servers of a service are used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evenness {
    /// Part of its slots that are taken, on the mean of all servers, in thousandths.
    pub mean: u64,
    /// The same of the busiest server.
    pub busiest: u64,
    /// Servers that count as slow.
    pub slow: usize,
}

impl Pool {
    /// How evenly each service's servers are used, as far as agents heard of lately tell.
    #[must_use]
    pub fn evenness(&self, now: Time) -> BTreeMap<Service, Evenness> {
        let services = self.members.keys().copied().flatten();
        services.map(|service| (service, self.evenness_of(now, service))).collect()
    }

    fn evenness_of(&self, now: Time, service: Service) -> Evenness {
        let mut evenness = Evenness::default();
        let mut servers = 0;
        for (_, candidate) in self.takers_of(now, service) {
            let utilization = candidate.utilization();
            servers += 1;
            evenness.mean += utilization;
            evenness.busiest = evenness.busiest.max(utilization);
            evenness.slow += usize::from(candidate.slowness.is_some());
        }
        evenness.mean /= servers.max(1);
        evenness
    }

    /// Sets as how full each server of a service counts at least: as its peers are, but for one flow a slot.
    ///
    /// Guards against a server that has just come, or has recovered, and draws the new flows of all balancers at
    /// once: it has no flows, each balancer learns only with the next report what the others sent there, and the
    /// first requests of all these flows meet in its queue. So it is preferred for as long as it is no busier
    /// than the others by as much. A slow one is left out: it has few flows because it is to have few.
    pub(super) fn set_least_flows(&mut self, now: Time, service: Service) {
        let (mut flows, mut slots) = (0, 0);
        for (_, candidate) in self.takers_of(now, service) {
            flows += u64::from(candidate.flows());
            slots += u64::from(candidate.announcement.slots);
        }
        let members: Vec<Ipv4Addr> = self.members(Some(service)).map(|(agent, _)| agent).collect();
        self.mark(&members, |candidate| {
            let own_slots = u64::from(candidate.announcement.slots);
            let as_peers = flows * own_slots / slots.max(1);
            let least = as_peers.saturating_sub(own_slots);
            candidate.least_flows = if candidate.slowness.is_some() { 0 } else { least };
        });
    }

    fn takers_of(
        &self,
        now: Time,
        service: Service,
    ) -> impl Iterator<Item = (Ipv4Addr, &Candidate)> {
        let members = self.members(Some(service));
        members.filter(move |(_, one)| self.is_in(now, one, service, State::Ready))
    }
}

impl Candidate {
    /// Part of its slots that are taken, in thousandths.
    fn utilization(&self) -> u64 {
        u64::from(self.load.busy) * 1_000 / u64::from(self.announcement.slots).max(1)
    }
}
