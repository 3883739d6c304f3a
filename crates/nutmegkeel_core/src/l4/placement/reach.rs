//! Whether another balancer reaches an agent that this one does not reach.

use std::net::Ipv4Addr;

use crate::clock::Time;
use crate::l4::health::{INQUIRY_INTERVAL_MS, LATE_MS, SILENT_MS};

/// Another balancer that hears the agent.
#[derive(Clone, Copy, Debug)]
struct Detour {
    by: Ipv4Addr,
    /// When it last heard the agent.
    heard_at: Time,
}

/// What is known of the path to an agent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reach {
    /// When other balancers were last asked for the agent.
    inquired_at: Option<Time>,
    /// The balancer that was last known to hear it.
    detour: Option<Detour>,
    /// When the agent last reported that it does not hear this balancer.
    unheard_at: Option<Time>,
}

impl Reach {
    /// Returns whether other balancers are to be asked now, and counts the inquiry as sent.
    pub(super) fn request_inquiry(&mut self, now: Time) -> bool {
        let is_due = self.inquired_at.is_none_or(|at| now.since(at) >= INQUIRY_INTERVAL_MS);
        if is_due {
            self.inquired_at = Some(now);
        }
        is_due
    }

    /// Records that another balancer heard the agent at this time.
    pub(super) fn heard_elsewhere(&mut self, by: Ipv4Addr, heard_at: Time) {
        if self.detour.is_none_or(|known| known.heard_at <= heard_at) {
            self.detour = Some(Detour { by, heard_at });
        }
    }

    /// Records that the agent does not hear this balancer.
    pub(super) const fn record_unheard(&mut self, now: Time) {
        self.unheard_at = Some(now);
    }

    /// Returns whether the agent does not hear this balancer.
    pub(super) fn is_unheard(&self, now: Time) -> bool {
        self.unheard_at.is_some_and(|at| now.since(at) <= LATE_MS)
    }

    /// Returns the balancer that hears the agent although this one, which last heard it at
    /// `last_seen`, has not for some time or is not heard by it.
    pub(super) fn detour(&self, now: Time, last_seen: Time) -> Option<Ipv4Addr> {
        let is_needed =
            |detour: &Detour| self.is_unheard(now) || detour.heard_at.since(last_seen) > LATE_MS;
        let is_recent = |detour: &Detour| now.since(detour.heard_at) <= SILENT_MS;
        let detour = self.detour.filter(is_needed).filter(is_recent)?;
        Some(detour.by)
    }
}
