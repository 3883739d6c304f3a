//! Summaries of agents that balancers of different failure domains exchange.

use std::sync::Arc;

use super::candidate::Candidate;
use super::{Change, Pool};
use crate::clock::Time;
use crate::l4::health::{Health, SILENT_MS, SUMMARY_MS};
use crate::l4::message::{Report, Summary};

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
