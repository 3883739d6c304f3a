//! How long a slot of the backend server works on a request.

use super::Agent;
use crate::clock::Time;
use crate::l4::policy::Mechanism;

/// A server that has no room for a request says so within this, in milliseconds.
const TURNED_AWAY_MS: u64 = 3;

impl Agent {
    /// Notes how many slots are at work from now on. What is beyond them waits in the server's own queue.
    pub(super) fn measure(&mut self, now: Time) {
        let slots = self.beside.server().map_or(0, |server| u64::from(server.slots));
        let at_server = u64::try_from(self.table.working()).unwrap_or(u64::MAX);
        self.meter.look(now, at_server.min(slots));
    }

    /// Notes an answer that came after so long to a request that found a slot free, or none.
    ///
    /// Guards against a full server that passes for a fast one: it turns away what its short queue does not hold,
    /// and each such answer would count as work done in no time.
    pub(super) fn note_answer(&mut self, now: Time, after_ms: u64, found_slot: bool) {
        if found_slot || after_ms > TURNED_AWAY_MS {
            self.meter.answered(now);
        }
    }

    /// The time that balancers are told, in milliseconds; zero while it is not known.
    pub(super) fn service_ms(&self) -> u16 {
        let is_asked_for = self.uses(Mechanism::UnevenServers) || self.uses(Mechanism::Room);
        if is_asked_for { self.meter.service_ms() } else { 0 }
    }

    /// Begins to measure anew once the server has become warm. Guards against a server that passes for slow
    /// because it was cold: its time would be compared with those of warm ones.
    pub(super) fn notice_warmth(&mut self, now: Time) {
        let is_cold = self.is_cold(now);
        if self.was_cold && !is_cold {
            self.meter.clear();
        }
        self.was_cold = is_cold;
    }
}
