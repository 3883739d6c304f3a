//! Whether the backend server is cold, and how many openings it may get.

use super::Agent;
use crate::clock::Time;
use crate::l4::server::Server;

impl Agent {
    /// Returns whether the backend server is cold: by its own report, or because the evacuation of
    /// its failure domain has ended and no heartbeat has arrived since.
    ///
    /// Guards against full load on servers that became cold during the evacuation: their last
    /// heartbeat is from before and reports them as warm.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        let is_outdated = |server: &Server| {
            self.taken_back.is_some_and(|taken_back| server.last_seen <= taken_back)
        };
        let is_cold = |server: &Server| now < server.warm_at || is_outdated(server);
        self.history.server().is_some_and(is_cold)
    }

    /// Returns the number of openings that the server may get now; `None` if there is no limit.
    pub(super) fn room(&self, now: Time) -> Option<u32> {
        self.budget.room(now).filter(|_| self.is_cold(now))
    }
}
