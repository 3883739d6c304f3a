//! Summaries of agents that balancers of different failure domains exchange.

use std::sync::Arc;

use super::candidate::Candidate;
use super::{Change, Pool};
use crate::clock::Time;
use crate::l4::health::{Health, SILENT_MS, SUMMARY_MS};
use crate::l4::message::{Report, Summary};

/// Time for which an agent is included in summaries after it was last seen, in milliseconds.
/// Other balancers have given it up by then too.
const TOLD_MS: u64 = 2 * SILENT_MS;

/// Time within which an unchanged report is a duplicate, in milliseconds. The two senders of one
/// summary slot report nearly the same, and the next slot is twice as far away.
const REPEATED_MS: u64 = SUMMARY_MS / 2;

impl Pool {
    /// Returns whether the same report on an agent has just been applied.
    #[must_use]
    pub fn is_repeated(&self, now: Time, report: &Report) -> bool {
        self.agents.get(&report.agent).is_some_and(|known| {
            let word = &known.announcement;
            let is_same = (word.incarnation, word.number) == (report.incarnation, report.number);
            is_same && now.since(known.seen) < REPEATED_MS
        })
    }

    /// Applies a report of a balancer in another failure domain on an agent there.
    pub fn reported(&mut self, now: Time, summary: &Summary, report: &Report) -> Change {
        let word = summary.announcement(report);
        let heard = now.before(u64::from(report.age_ms));
        if let Some(known) = self.agents.get_mut(&report.agent)
            && known.has_said(&word)
        {
            known.heard = known.heard.max(heard);
            known.seen = now;
            return Change::None;
        }
        let signs = self.agents.get(&report.agent).map(Candidate::signs);
        let change = self.announced(heard, report.agent, word);
        if change != Change::Stale
            && let Some(known) = self.agents.get_mut(&report.agent)
        {
            known.seen = now;
            // A load that the agent sent with an answer since then is newer.
            if let Some(signs) = signs.filter(|signs| signs.load_heard > heard) {
                known.keep(signs);
            }
        }
        change
    }

    /// Returns the last announcements and loads of the agents in the own failure domain, which
    /// announce themselves here.
    #[must_use]
    pub fn summary(&self, now: Time, domain: &Arc<str>) -> Summary {
        let is_meant = |candidate: &Candidate| {
            candidate.announcement.domain == *domain && now.since(candidate.heard) <= TOLD_MS
        };
        let mut summary = Summary::open(domain);
        for (agent, candidate) in self.agents.iter().filter(|(_, candidate)| is_meant(candidate)) {
            let report = candidate.report(now, *agent, &mut summary.services);
            summary.reports.push(report);
        }
        summary
    }

    /// Returns a summary of the agents in the own failure domain that became late since the last
    /// call.
    pub fn newly_late(&mut self, now: Time, domain: &Arc<str>) -> Summary {
        let is_new = |candidate: &Candidate| {
            !candidate.noticed_late
                && candidate.announcement.domain == *domain
                && self.health_of(now, candidate) == Health::Late
        };
        let late = self.find(is_new);
        if late.is_empty() {
            return Summary::open(domain);
        }
        self.mark(&late, |candidate| candidate.noticed_late = true);
        let mut summary = self.summary(now, domain);
        summary.reports.retain(|report| late.contains(&report.agent));
        summary
    }
}
