//! Compares backend servers to find slow ones.

use std::collections::BTreeMap;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::Decision;
use crate::l4::placement::Evenness;
use crate::l4::policy::Mechanism;
use crate::l4::route::Service;

impl Balancer {
    /// Compares the speeds of the backend servers of each service.
    pub(super) fn compare_speeds(&mut self, now: Time) -> Vec<Action> {
        if !self.identity.policy.uses(Mechanism::UnevenServers) {
            return Vec::new();
        }
        let verdicts = self.pool.compare_speeds(now);
        verdicts.into_iter().map(|verdict| Action::Log(Decision::Speed(verdict))).collect()
    }

    /// Returns how evenly the backend servers of each service are used.
    #[must_use]
    pub fn evenness(&self, now: Time) -> BTreeMap<Service, Evenness> {
        self.pool.evenness(now)
    }
}
