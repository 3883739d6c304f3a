//! Open flows that a restarted agent inherits and does not know yet.
//!
//! Agents restart one after another while their backend servers continue to run. A new process
//! learns of a flow with the first packet that passes, so for seconds it reports only about a third
//! of the flows that its server holds. If that number were used unchanged, all balancers would send
//! it their new flows, and its server would end up with twice the load of its peers.

use super::Change;
use super::candidate::Candidate;
use crate::clock::Time;
use crate::l4::health::RESTART_MS;
use crate::l4::message::{Announcement, State};
use crate::l4::route::Service;

/// Time after which a new process knows all flows that matter, in milliseconds. A long flow sends a
/// request every few seconds, and most of the others have ended by then.
const LEARNING_MS: u64 = 8_000;

/// Flows left by a process to its successor.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inheritance {
    service: Service,
    flows: u16,
    since: Time,
}

impl Inheritance {
    /// Returns what the sender of an announcement inherits, given the previous state of its address
    /// and the effect of the announcement. Only a process that announced its restart leaves flows:
    /// after any other end, the backend server may be gone too.
    pub(super) fn next(
        now: Time,
        known: &Candidate,
        announcement: &Announcement,
        change: Change,
    ) -> Option<Self> {
        let inherited = if change == Change::Appeared {
            Self::from_restarting(now, known)
        } else {
            known.inherited.filter(|inherited| now.since(inherited.since) < LEARNING_MS)
        };
        let is_unchanged = |service| announcement.service.is_none_or(|present| present == service);
        inherited.filter(|inherited| is_unchanged(inherited.service))
    }

    fn from_restarting(now: Time, known: &Candidate) -> Option<Self> {
        let restarts = known.announcement.state == State::Restarting
            && now.since(known.last_seen) <= RESTART_MS;
        let service = known.announcement.service.filter(|_| restarts)?;
        Some(Self { service, flows: known.flows(), since: now })
    }

    /// Returns the number of flows that the new process does not know yet when it reports this
    /// many. The number is bounded by a limit that falls to zero with time, because flows end.
    pub(super) fn missing(self, now: Time, reported: u16) -> u16 {
        let left_ms = LEARNING_MS.saturating_sub(now.since(self.since));
        let left = u64::from(self.flows) * left_ms / LEARNING_MS;
        let left = u16::try_from(left).unwrap_or(u16::MAX);
        self.flows.saturating_sub(reported).min(left)
    }
}
