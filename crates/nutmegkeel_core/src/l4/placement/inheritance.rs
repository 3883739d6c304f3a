//! The open flows that a new process of an agent inherits and does not know yet.
//!
//! The load pattern: agents restart in turn while their backend servers go on. A new process learns of a flow
//! with the first packet that passes, so for seconds it reports a third of what its server holds. Taken at its
//! word, it gets the new flows of all balancers, and its server ends up with twice the load of its peers.

use super::Change;
use super::candidate::Candidate;
use crate::clock::Time;
use crate::l4::health::RESTART_MS;
use crate::l4::message::{Announcement, State};
use crate::l4::route::Service;

/// After so long a new process knows the flows that matter, in milliseconds: a long flow asks every few
/// seconds, and most of the others have ended.
const KNOWN_AFTER_MS: u64 = 8_000;

/// What a process left to the one after it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inheritance {
    service: Service,
    flows: u16,
    since: Time,
}

impl Inheritance {
    /// What the sender of an announcement inherits, if its address is known and this is what it changed there.
    /// Only a process that said that it restarts leaves something: after any other end the backend server may
    /// be gone too.
    pub(super) fn next(
        now: Time,
        known: &Candidate,
        word: &Announcement,
        change: Change,
    ) -> Option<Self> {
        let inherited = if change == Change::Appeared {
            Self::left_by(now, known)
        } else {
            known.inherited.filter(|inherited| now.since(inherited.since) < KNOWN_AFTER_MS)
        };
        let goes_on = |service| word.service.is_none_or(|present| present == service);
        inherited.filter(|inherited| goes_on(inherited.service))
    }

    fn left_by(now: Time, known: &Candidate) -> Option<Self> {
        let restarts =
            known.announcement.state == State::Restarting && now.since(known.heard) <= RESTART_MS;
        let service = known.announcement.service.filter(|_| restarts)?;
        Some(Self { service, flows: known.flows(), since: now })
    }

    /// Flows that the new process does not know yet when it reports so many: what is missing to those before,
    /// and with time ever less, as flows end.
    pub(super) fn missing(self, now: Time, reported: u16) -> u16 {
        let left_ms = KNOWN_AFTER_MS.saturating_sub(now.since(self.since));
        let left = u64::from(self.flows) * left_ms / KNOWN_AFTER_MS;
        let left = u16::try_from(left).unwrap_or(u16::MAX);
        self.flows.saturating_sub(reported).min(left)
    }
}
