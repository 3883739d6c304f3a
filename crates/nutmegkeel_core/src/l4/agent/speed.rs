//! How long a slot of the backend server works on a request.

use super::Agent;
use super::request::AHEAD;
use crate::clock::Time;
use crate::l4::policy::Mechanism;

/// Time that the last of the requests ahead of the slots waits at most, in milliseconds: an eighth of the usual
/// objective.
const AHEAD_MS: u64 = 50;

impl Agent {
    /// Notes how many slots are at work from now on. What is beyond them waits in the server's own queue.
    pub(super) fn measure(&mut self, now: Time) {
        let slots = self.beside.server().map_or(0, |server| u64::from(server.slots));
        let at_server = u64::try_from(self.table.working()).unwrap_or(u64::MAX);
        self.meter.look(now, at_server.min(slots));
    }

    /// The time that balancers are told, in milliseconds; zero while it is not known.
    pub(super) fn service_ms(&self) -> u16 {
        if self.uses(Mechanism::UnevenServers) { self.meter.service_ms() } else { 0 }
    }

    /// Requests that may wait at the server itself: fewer at a server that works long on each.
    ///
    /// Guards against answers that are late only because of this wait. What waits at the server is answered in the
    /// order of its arrival, so that on a slow server nobody is in time, while here the newest can go first. What
    /// these requests are for, a slot that never idles, is worth a round trip beside the host and no more.
    pub(super) fn ahead(&self) -> u16 {
        let service_ms = u64::from(self.service_ms());
        let in_time = (self.slots() * AHEAD_MS).checked_div(service_ms);
        in_time.map_or(AHEAD, |ahead| u16::try_from(ahead).unwrap_or(AHEAD).min(AHEAD))
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
