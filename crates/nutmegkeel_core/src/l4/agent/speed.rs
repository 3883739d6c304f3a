//! Measurement of the backend server's service time.

use super::Agent;
use crate::clock::Time;
use crate::l4::policy::Mechanism;

/// Time within which a server without room rejects a request, in milliseconds.
const REJECTION_MS: u64 = 3;

impl Agent {
    /// Records how many slots are busy from now on. Requests beyond the slots wait in the server's
    /// own queue.
    pub(super) fn measure(&mut self, now: Time) {
        let slots = self.history.server().map_or(0, |server| u64::from(server.slots));
        let at_server = u64::try_from(self.table.working()).unwrap_or(u64::MAX);
        self.meter.record_working(now, at_server.min(slots));
    }

    /// Records an answer to a request that did or did not find a free slot.
    ///
    /// Guards against a full server that looks fast, or one that never answers and looks as if it
    /// did: it rejects what does not fit into its short queue, and each rejection would count as a
    /// request served in no time.
    pub(super) fn record_answer(&mut self, now: Time, after_ms: u64, found_slot: bool) {
        if found_slot || after_ms > REJECTION_MS {
            self.meter.record_answer(now);
            self.mute.record_answer(now);
        }
    }

    /// Returns the service time that is announced to balancers, in milliseconds; zero if it is not
    /// known.
    pub(super) fn service_ms(&self) -> u16 {
        let is_asked_for = self.uses(Mechanism::UnevenServers) || self.uses(Mechanism::Room);
        if is_asked_for { self.meter.service_ms() } else { 0 }
    }

    /// Restarts the measurement when the server's warm-up ends. Guards against a server that is
    /// considered slow because it was cold: its service time would be compared with that of warm
    /// servers.
    pub(super) fn restart_meter_when_warm(&mut self, now: Time) {
        let is_cold = self.is_cold(now);
        if self.was_cold && !is_cold {
            self.meter.clear();
        }
        self.was_cold = is_cold;
    }
}
