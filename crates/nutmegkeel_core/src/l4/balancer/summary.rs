//! What balancers of different failure domains tell each other of their agents.
//!
//! The load pattern: an agent that announces itself to every balancer costs as many datagrams as there are
//! pairs, most of them between failure domains. So agents speak to the balancers of their own domain, which take turns to tell one balancer of each other
//! domain of all, and that one passes it on at home. Nobody is elected: a balancer that dies misses its turns.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::health::SUMMARY_MS;
use crate::l4::message::{Message, Report, Summary};
use crate::l4::placement::Change;
use crate::l4::policy::Mechanism;

/// Agents told of in one datagram: at some 20 bytes each they fit beside the rest.
pub const REPORTS: usize = 48;

/// Balancers of a failure domain that tell of its agents in one slot, each to another listener: one of them, or
/// its listener, may have died.
const SPEAKERS: usize = 2;

impl Balancer {
    /// Tells one balancer of each other failure domain of the agents of this one, if it is this balancer's
    /// turn.
    pub(super) fn summarise(&mut self, now: Time) -> Vec<Action> {
        let slot = now.millis() / SUMMARY_MS;
        if slot == self.slot || !self.identity.policy.uses(Mechanism::Summaries) {
            return Vec::new();
        }
        self.slot = slot;
        let (near, far) = self.staying_peers(now);
        let rank = near.iter().filter(|peer| **peer < self.identity.address).count();
        let slot = usize::try_from(slot).unwrap_or(usize::MAX);
        let turns = near.len() + 1;
        if (slot + turns - rank) % turns >= SPEAKERS {
            return Vec::new();
        }
        let summaries = messages(&self.pool.summary(now, &self.identity.domain));
        let targets = far.values().filter_map(|peers| peers.get((slot + rank) % peers.len()));
        targets.flat_map(|to| summaries.iter().map(|one| Action::Send(*to, one.clone()))).collect()
    }

    /// Tells all balancers of the other failure domains of agents here that became late.
    ///
    /// Guards against openings that go to a dead host elsewhere until the next summary: with their last copy,
    /// 600 ms after the first, their clients would have lost the try.
    pub(super) fn tell_late(&mut self, now: Time) -> Vec<Action> {
        let late = self.pool.newly_late(now, &self.identity.domain);
        if late.reports.is_empty()
            || !self.identity.policy.uses(Mechanism::Summaries)
            || !self.watches(now)
        {
            return Vec::new();
        }
        let messages = messages(&Summary { passed_on: true, ..late });
        let far = self.words.recent(now).filter(|(_, word)| word.domain != self.identity.domain);
        far.flat_map(|(to, _)| messages.iter().map(move |one| Action::Send(to, one.clone())))
            .collect()
    }

    /// The other balancers that were heard of lately and stay: those of this failure domain, and those of
    /// each other one.
    fn staying_peers(&self, now: Time) -> (Vec<Ipv4Addr>, BTreeMap<Arc<str>, Vec<Ipv4Addr>>) {
        let mut domains: BTreeMap<Arc<str>, Vec<Ipv4Addr>> = BTreeMap::new();
        for (peer, word) in self.words.staying(now) {
            domains.entry(Arc::clone(&word.domain)).or_default().push(peer);
        }
        (domains.remove(&self.identity.domain).unwrap_or_default(), domains)
    }

    /// Takes in what was heard of the agents of another failure domain, and passes it on at home, but for what
    /// somebody has just told: two speakers tell of all agents in each slot, and to pass both on would fill the
    /// links of a large domain with repetitions.
    pub(super) fn summary(&mut self, now: Time, summary: &Summary) -> Vec<Action> {
        if summary.domain == self.identity.domain {
            return Vec::new();
        }
        let mut news = Vec::new();
        for report in &summary.reports {
            if !self.pool.is_repeated(now, report) {
                news.push(report.clone());
            }
            let change = self.pool.reported(now, summary, report);
            self.changed(now, report.agent, change);
        }
        if summary.passed_on || news.is_empty() {
            return Vec::new();
        }
        let (domain, services) = (Arc::clone(&summary.domain), summary.services.clone());
        let passed_on = Summary { domain, services, reports: news, passed_on: true };
        let message = Message::Summary(passed_on);
        let near = self.words.of_domain(now, &self.identity.domain);
        near.map(|(peer, _)| Action::Send(peer, message.clone())).collect()
    }

    /// Takes in what a word of an agent changed.
    pub(super) fn changed(&mut self, now: Time, agent: Ipv4Addr, change: Change) {
        if change == Change::Appeared {
            self.note_growth(now);
        }
        self.agent_came |= matches!(change, Change::Appeared | Change::Opened);
        self.agents_changed.note(agent, change);
    }
}

/// A summary in datagrams of bounded length.
fn messages(summary: &Summary) -> Vec<Message> {
    let message = |reports: &[Report]| {
        let (domain, services) = (Arc::clone(&summary.domain), summary.services.clone());
        let (reports, passed_on) = (reports.to_vec(), summary.passed_on);
        Message::Summary(Summary { domain, services, reports, passed_on })
    };
    summary.reports.chunks(REPORTS).map(message).collect()
}
