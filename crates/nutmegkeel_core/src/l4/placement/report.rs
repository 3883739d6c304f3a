//! Summaries of agents that balancers of different failure domains exchange.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::candidate::Candidate;
use super::{Change, Pool};
use crate::clock::Time;
use crate::l4::health::{CHECK_MS, Health, RESTART_MS, SILENT_MS, SUMMARY_MS};
use crate::l4::message::{Report, State, Summary};

/// Time for which an agent is included in summaries after it was last seen, in milliseconds.
/// Other balancers have given it up by then too.
const SUMMARIZED_MS: u64 = 2 * SILENT_MS;

/// Time within which an unchanged report is a duplicate, in milliseconds. The two senders of one
/// summary slot report nearly the same, and the next slot is twice as far away.
const DUPLICATE_MS: u64 = SUMMARY_MS / 2;

impl Pool {
    /// Returns whether the same report on an agent has just been applied.
    #[must_use]
    pub fn is_repeated(&self, now: Time, report: &Report) -> bool {
        self.agents.get(&report.agent).is_some_and(|known| {
            let announcement = &known.announcement;
            let is_same = (announcement.incarnation, announcement.number)
                == (report.incarnation, report.number);
            is_same && now.since(known.reported_at) < DUPLICATE_MS
        })
    }

    /// Applies a report of a balancer in another failure domain on an agent there.
    pub fn reported(&mut self, now: Time, summary: &Summary, report: &Report) -> Change {
        let announcement = summary.announcement(report);
        let last_seen = now.before(u64::from(report.age_ms));
        if let Some(known) = self.agents.get_mut(&report.agent)
            && known.is_latest(&announcement)
        {
            known.last_seen = known.last_seen.max(last_seen);
            known.reported_at = now;
            return Change::None;
        }
        let observation = self.agents.get(&report.agent).map(Candidate::observation);
        let change = self.announced(last_seen, report.agent, announcement);
        if change != Change::Stale
            && let Some(known) = self.agents.get_mut(&report.agent)
        {
            known.reported_at = now;
            // A load that the agent sent with an answer since then is newer.
            if let Some(observation) =
                observation.filter(|observation| observation.load_received_at > last_seen)
            {
                known.restore(observation);
            }
        }
        change
    }

    /// Returns the last announcements and loads of the agents in the own failure domain, which
    /// announce themselves here.
    #[must_use]
    pub fn summary(&self, now: Time, domain: &Arc<str>) -> Summary {
        let is_included = |candidate: &Candidate| {
            candidate.announcement.domain == *domain
                && now.since(candidate.last_seen) <= SUMMARIZED_MS
        };
        let mut summary = Summary::open(domain);
        for (agent, candidate) in self.agents.iter().filter(|(_, candidate)| is_included(candidate))
        {
            let report = candidate.report(now, *agent, &mut summary.services);
            summary.reports.push(report);
        }
        summary
    }

    /// Returns all agents that may hold flows, in summaries of one failure domain with at most
    /// `most` reports each; at least one summary.
    #[must_use]
    pub fn holders(&self, now: Time, most: usize) -> Vec<Summary> {
        let mut summaries: Vec<Summary> = Vec::new();
        let mut open: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for (agent, candidate) in &self.agents {
            if !candidate.may_hold(self.visibility(now, candidate)) {
                continue;
            }
            let domain = &candidate.announcement.domain;
            let last = open.get(domain).filter(|at| summaries[**at].reports.len() < most);
            let at = last.copied().unwrap_or(summaries.len());
            if at == summaries.len() {
                summaries.push(Summary::open(domain));
                open.insert(domain, at);
            }
            let summary = &mut summaries[at];
            let report = candidate.report(now, *agent, &mut summary.services);
            summary.reports.push(report);
        }
        if summaries.is_empty() {
            summaries.push(Summary::open(&"".into()));
        }
        summaries
    }

    /// Applies a report of a balancer that lists all agents. An agent whose last announcement is
    /// known keeps its state: its own messages show whether it is reached from here.
    ///
    /// The silence of an agent that does not restart counts only up to the time after which its port
    /// is checked. Otherwise it would be taken for dead here without a check.
    pub fn listed(&mut self, now: Time, summary: &Summary, report: &Report) -> Change {
        let known = self.agents.get(&report.agent).map(|known| &known.announcement);
        if known.is_some_and(|known| {
            (known.incarnation, known.number) >= (report.incarnation, report.number)
        }) {
            return Change::None;
        }
        let longest_ms = if report.state == State::Restarting { RESTART_MS } else { CHECK_MS };
        let longest_ms = u32::try_from(longest_ms).unwrap_or(u32::MAX);
        let report = Report { age_ms: report.age_ms.min(longest_ms), ..report.clone() };
        self.reported(now, summary, &report)
    }

    /// Returns a summary of the agents in the own failure domain that became late since the last
    /// call.
    pub fn newly_late(&mut self, now: Time, domain: &Arc<str>) -> Summary {
        let late = self.newly(now, Health::Late);
        if late.is_empty() {
            return Summary::open(domain);
        }
        let mut summary = self.summary(now, domain);
        summary.reports.retain(|report| late.contains(&report.agent));
        summary
    }
}
