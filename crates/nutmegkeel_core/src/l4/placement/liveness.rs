//! Liveness of agents: which ones are alive, which are lost, and what follows from that.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::Pool;
use super::candidate::{Candidate, Visibility};
use crate::clock::Time;
use crate::l4::health::{CHECK_MS, FORGET_MS, Health, LATE_MS, LINGER_MS, LOST_MS, UNREPORTED_MS};
use crate::l4::message::Load;
use crate::port::Finding;

/// Number of announcements up to which an agent counts as recently started. It corresponds to one
/// to three seconds, because the number also advances with each tick while a balancer has not
/// answered.
const RECENT_START_TICKS: u64 = 10;

impl Pool {
    /// Returns until when reports on an agent could be received. An agent in another failure domain
    /// announces itself here only at times; otherwise summaries report how long ago it was seen.
    ///
    /// An agent is thus judged by its own silence only. It is not declared dead, and its flows are
    /// not reset, because the balancers that report on it are gone, or have just restarted and omit
    /// some agents.
    pub(super) fn visibility(&self, now: Time, candidate: &Candidate) -> Visibility {
        let own = self.domain.as_ref();
        if own.is_none_or(|own| *own == candidate.announcement.domain) {
            return Visibility { now, until: now, is_interrupted: false };
        }
        let until = candidate.last_seen.max(candidate.reported_at);
        match now.since(until) {
            0..=UNREPORTED_MS => Visibility { now, until, is_interrupted: false },
            interrupted_ms if interrupted_ms <= LOST_MS => {
                Visibility { now, until, is_interrupted: true }
            }
            _ => Visibility { now, until: now, is_interrupted: false },
        }
    }

    pub(super) fn health_of(&self, now: Time, candidate: &Candidate) -> Health {
        candidate.health(self.visibility(now, candidate))
    }

    /// Applies the load that an agent sent with an answer.
    pub fn load_received(&mut self, now: Time, from: Ipv4Addr, load: Load) {
        if let Some(candidate) = self.agents.get_mut(&from) {
            candidate.heard(now);
            candidate.load_received_at = now;
            candidate.load = load;
            candidate.placed_since = 0;
            candidate.count_missing(now);
        }
    }

    /// Returns the agents that became silent without notice since the last call.
    pub fn newly_silent(&mut self, now: Time) -> Vec<Ipv4Addr> {
        self.newly(now, Health::Silent)
    }

    /// Returns the agents that stopped since the last call: they are silent, and their hosts answer.
    pub fn newly_stopped(&mut self, now: Time) -> Vec<Ipv4Addr> {
        self.newly(now, Health::Stopped)
    }

    /// Returns the agents that have this health now and were not returned with it since they were
    /// last heard.
    pub(super) fn newly(&mut self, now: Time, health: Health) -> Vec<Ipv4Addr> {
        let is_new = |candidate: &Candidate| {
            !candidate.reported.contains(&health) && self.health_of(now, candidate) == health
        };
        let agents = self.find_agents(is_new);
        self.update(&agents, |candidate| {
            candidate.reported.insert(health);
        });
        agents
    }

    /// Returns the agents that are stopped now.
    #[must_use]
    pub fn stopped(&self, now: Time) -> BTreeSet<Ipv4Addr> {
        let is_stopped = |candidate: &Candidate| self.health_of(now, candidate) == Health::Stopped;
        self.find_agents(is_stopped).into_iter().collect()
    }

    /// Returns whether an agent is stopped. It may hold flows: only the ports of agents with a backend
    /// server are checked.
    #[must_use]
    pub fn has_stopped(&self, now: Time) -> bool {
        let is_stopped = |candidate: &Candidate| self.health_of(now, candidate) == Health::Stopped;
        self.agents.values().any(is_stopped)
    }

    /// Returns the agents whose port is to be checked now. They are counted as requested.
    pub fn request_port_checks(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let is_silent = |candidate: &Candidate| now.since(candidate.last_seen) >= CHECK_MS;
        let due = self.find_agents(is_silent);
        self.request(now, due, Candidate::request_port_check)
    }

    /// Records the result of a port check.
    pub fn port_checked(&mut self, agent: Ipv4Addr, finding: Finding) {
        if let Some(candidate) = self.agents.get_mut(&agent) {
            candidate.port.record(finding);
        }
    }

    /// Returns the agents that other balancers are to be asked for now. They are counted as asked
    /// for.
    pub fn request_inquiries(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let due = self.find_agents(|candidate| {
            now.since(candidate.last_seen) >= CHECK_MS || candidate.reach.is_unheard(now)
        });
        self.request(now, due, Candidate::request_inquiry)
    }

    /// Returns those of these agents for which a request is due, and counts it as sent.
    fn request(
        &mut self,
        now: Time,
        mut agents: Vec<Ipv4Addr>,
        request: fn(&mut Candidate, Time, Visibility) -> bool,
    ) -> Vec<Ipv4Addr> {
        agents.retain(|agent| {
            let Some(candidate) = self.agents.get(agent) else { return false };
            let visibility = self.visibility(now, candidate);
            self.agents.get_mut(agent).is_some_and(|known| request(known, now, visibility))
        });
        agents
    }

    /// Records that an agent of the own failure domain does not hear this balancer. Others are sent
    /// messages too rarely to expect more.
    pub fn unheard(&mut self, now: Time, agent: Ipv4Addr) {
        let own = self.domain.as_ref();
        if let Some(candidate) = self.agents.get_mut(&agent)
            && own.is_none_or(|own| *own == candidate.announcement.domain)
        {
            candidate.reach.record_unheard(now);
        }
    }

    /// Records that another balancer heard an agent at this time.
    pub fn heard_elsewhere(&mut self, agent: Ipv4Addr, by: Ipv4Addr, heard_at: Time) {
        if let Some(candidate) = self.agents.get_mut(&agent) {
            candidate.reach.heard_elsewhere(by, heard_at);
        }
    }

    /// Returns how long ago an agent sent its last message to this balancer; `None` for one that is
    /// late or does not hear this balancer, and for one that announces itself only in another failure
    /// domain.
    #[must_use]
    pub fn heard_ms_ago(&self, now: Time, agent: Ipv4Addr) -> Option<u64> {
        let candidate = self.agents.get(&agent)?;
        let own = self.domain.as_ref();
        let is_remote = own.is_some_and(|own| *own != candidate.announcement.domain);
        if is_remote || candidate.reach.is_unheard(now) {
            return None;
        }
        Some(now.since(candidate.last_seen)).filter(|age_ms| *age_ms <= LATE_MS)
    }

    /// Returns the failure domain of an agent.
    #[must_use]
    pub fn domain_of(&self, agent: Ipv4Addr) -> Option<&Arc<str>> {
        self.agents.get(&agent).map(|candidate| &candidate.announcement.domain)
    }

    /// Returns the balancer by way of which an agent is reached; `None` if this balancer reaches the
    /// agent itself, or none does.
    #[must_use]
    pub fn detour(&self, now: Time, agent: Ipv4Addr) -> Option<Ipv4Addr> {
        let candidate = self.agents.get(&agent)?;
        if self.health_of(now, candidate) != Health::Unreachable {
            return None;
        }
        candidate.detour(now)
    }

    /// Returns whether an agent announced its restart and has ended since, so that nothing reaches it
    /// until its successor runs.
    #[must_use]
    pub fn is_being_replaced(&self, now: Time, agent: Ipv4Addr) -> bool {
        self.agents.get(&agent).is_some_and(|one| {
            let is_restarting = self.health_of(now, one) == Health::Restarting;
            is_restarting && now.since(one.last_seen) > LINGER_MS
        })
    }

    /// Returns whether the process of an agent was first heard at this time or later.
    #[must_use]
    pub fn has_appeared(&self, agent: Ipv4Addr, since: Time) -> bool {
        self.agents.get(&agent).is_some_and(|one| one.appeared_at >= since)
    }

    /// Returns the health of an agent; `None` if it is not known.
    #[must_use]
    pub fn health(&self, now: Time, agent: Ipv4Addr) -> Option<Health> {
        self.agents.get(&agent).map(|candidate| self.health_of(now, candidate))
    }

    pub(super) fn recently_seen(&self, now: Time) -> impl Iterator<Item = &Candidate> {
        self.agents.values().filter(move |one| self.health_of(now, one) <= Health::Late)
    }

    /// Returns the number of agents seen recently.
    #[must_use]
    pub fn recently_seen_count(&self, now: Time) -> usize {
        self.recently_seen(now).count()
    }

    /// Returns the number of agents seen recently, by failure domain.
    #[must_use]
    pub fn domains(&self, now: Time) -> BTreeMap<Arc<str>, usize> {
        let mut domains = BTreeMap::new();
        for one in self.recently_seen(now) {
            *domains.entry(Arc::clone(&one.announcement.domain)).or_default() += 1;
        }
        domains
    }

    /// Returns whether less than half of the agents seen within a minute are seen now. It is then
    /// more likely that this process is cut off than that all of them died at once.
    #[must_use]
    pub fn is_cut_off(&self, now: Time) -> bool {
        self.recently_seen_count(now) * 2 < self.agents.len() || self.agents.is_empty()
    }

    /// Returns whether a flow that no agent holds does not exist. An agent that is late or
    /// restarting may hold it if it has announced a backend server. One that became silent without
    /// notice is dead or cut off, and its flows are lost either way, unless it is this process that
    /// is cut off.
    ///
    /// Stopped agents are left out: they accept no new flows, and may hold an open one
    /// ([`Self::has_stopped`]). So are those that only other balancers reach: a packet that they may
    /// hold is relayed ([`Self::detour`]).
    #[must_use]
    pub fn is_conclusive(&self, now: Time) -> bool {
        let undecided = |candidate: &Candidate| {
            let visibility = self.visibility(now, candidate);
            let health = candidate.health(visibility);
            let is_left_out = matches!(health, Health::Stopped | Health::Unreachable);
            health != Health::Fresh && !is_left_out && candidate.may_hold(visibility)
        };
        !self.is_cut_off(now) && !self.agents.values().any(undecided)
    }

    /// Returns whether all known agents have started recently, as after a power failure.
    #[must_use]
    pub fn is_recently_started(&self) -> bool {
        self.agents.values().all(|candidate| candidate.announcement.number <= RECENT_START_TICKS)
    }

    /// Returns whether all known agents have started recently and have seen every flow of their
    /// backend servers, as after a power failure. Not so if processes were replaced beside servers
    /// that kept running.
    #[must_use]
    pub fn has_started_anew(&self) -> bool {
        let sees_all = |one: &Candidate| one.announcement.sees_all_flows;
        self.is_recently_started() && self.agents.values().all(sees_all)
    }

    /// Returns the number of agents that may hold flows.
    #[must_use]
    pub fn holder_count(&self, now: Time) -> usize {
        let may_hold = |one: &&Candidate| one.may_hold(self.visibility(now, one));
        self.agents.values().filter(may_hold).count()
    }

    /// Returns whether an agent may hold flows.
    #[must_use]
    pub fn may_hold(&self, now: Time, agent: Ipv4Addr) -> bool {
        self.agents.get(&agent).is_some_and(|one| one.may_hold(self.visibility(now, one)))
    }

    /// Forgets agents that have been silent for longer than any flow lives.
    pub fn forget(&mut self, now: Time) {
        let gone = self.find_agents(|candidate| {
            now.since(candidate.last_seen) >= FORGET_MS && candidate.detour(now).is_none()
        });
        gone.into_iter().for_each(|agent| self.remove(agent));
    }

    /// Extends all timeouts by a period in which this process did not run and could receive
    /// nothing.
    pub fn extend_timeouts(&mut self, span_ms: u64) {
        for candidate in self.agents.values_mut() {
            candidate.last_seen = candidate.last_seen.after(span_ms);
            candidate.reported_at = candidate.reported_at.after(span_ms);
            candidate.port.extend(span_ms);
        }
    }
}
