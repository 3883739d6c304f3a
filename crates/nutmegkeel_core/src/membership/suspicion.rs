//! Failure detection after an unanswered probe: indirect probes, suspicion, evidence and the
//! declaration of death.

use std::net::SocketAddr;

use super::beliefs::Belief;
use super::{Action, Membership, Message, Outcome, Pending};
use crate::clock::Time;
use crate::member::{Health, Rumor};

/// How long outcomes of probes are kept to decide whether this process is isolated, in
/// milliseconds.
const EVIDENCE_MS: u64 = 10_000;
/// Minimum number of probes from which this process concludes that its own connection works.
const MIN_PROBES: usize = 16;
/// It does so if at most one in this number of probes went unanswered.
const MAX_FAILED_ONE_IN: usize = 4;
/// Maximum number of suspects probed out of turn per tick. It bounds the traffic of a mass failure.
const PROBES_PER_TICK: usize = 2;
/// Maximum size of a fleet in which every process probes a suspect at once. In a larger fleet these
/// probes would overload a process that may only be slow, so a suspicion that came as a rumor is
/// checked only when it times out.
const SMALL_FLEET: usize = 500;
/// Minimum number of other processes for which outcomes of probes count as evidence.
const MIN_OTHERS: usize = 3;

/// Number of probes and of those that went unanswered.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    all: usize,
    failed: usize,
}

impl Membership {
    pub(super) fn expire_probes(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired: Vec<(u64, Pending)> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.deadline)
            .map(|(number, pending)| (*number, *pending))
            .collect();
        for (number, pending) in expired {
            if pending.request.requested_by.is_some() {
                self.pending.remove(&number);
            } else if pending.is_indirect {
                self.pending.remove(&number);
                self.record_outcome(now, &pending, false);
                self.suspect(now, &pending, actions);
            } else {
                self.probe_indirectly(now, number, pending.request.target, actions);
            }
        }
    }

    fn probe_indirectly(
        &mut self,
        now: Time,
        number: u64,
        target: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let peers = self.beliefs.sample(&mut self.rng, self.timing.indirect_probes, Some(target));
        for peer in peers {
            let probe = self.probe(number);
            actions.push(Action::Send(peer, Message::IndirectPing(probe, target)));
        }
        if let Some(pending) = self.pending.get_mut(&number) {
            pending.is_indirect = true;
            pending.deadline = now.after(2 * self.timing.answer_timeout_ms);
        }
    }

    fn suspect(&mut self, now: Time, pending: &Pending, actions: &mut Vec<Action>) {
        let target = pending.request.target;
        let Some(belief) = self.beliefs.get(target) else {
            return;
        };
        if belief.rumor.health == Health::Alive {
            let rumor = Rumor { health: Health::Suspect, ..belief.rumor.clone() };
            self.apply_and_spread(now, rumor, actions);
        }
        self.beliefs.record_failure(target, pending.sent);
    }

    pub(super) fn record_outcome(&mut self, now: Time, pending: &Pending, answered: bool) {
        if pending.request.is_scheduled {
            self.outcomes.push_back(Outcome { sent: pending.sent, answered });
        }
        let oldest = EVIDENCE_MS + self.settled_after_ms();
        while self.outcomes.front().is_some_and(|first| now.since(first.sent) > oldest) {
            self.outcomes.pop_front();
        }
    }

    /// Returns the time after which a probe has been answered or counted as unanswered.
    const fn settled_after_ms(&self) -> u64 {
        3 * self.timing.answer_timeout_ms
    }

    /// Returns whether a probe of the process at `address` is pending.
    pub(super) fn is_probed(&self, address: SocketAddr) -> bool {
        self.pending.values().any(|pending| pending.request.target == address)
    }

    /// Returns whether evidence is needed quickly: a suspect left a probe of this process
    /// unanswered or, in a small fleet, any process is suspect.
    pub(super) fn probes_fast(&self) -> bool {
        let small = self.beliefs.living().len() <= SMALL_FLEET;
        self.beliefs.suspects().any(|belief| small || belief.failed_at.is_some())
    }

    /// Returns the outcomes of the probes that were sent since `since` and so long ago that each
    /// has been answered or has timed out.
    ///
    /// Answers arrive at once and missing ones show only after the timeout. Counting later probes
    /// would make the connection of a process that was just isolated look healthy.
    fn evidence(&self, now: Time, since: Time) -> Evidence {
        let settled_after = self.settled_after_ms();
        let settled = self
            .outcomes
            .iter()
            .filter(|outcome| outcome.sent >= since && now.since(outcome.sent) >= settled_after);
        let all = settled.clone().count();
        Evidence { all, failed: settled.filter(|outcome| !outcome.answered).count() }
    }

    /// Returns whether a suspect left a probe of this process unanswered while this process's own
    /// connection works.
    fn is_confirmed(&self, now: Time, belief: &Belief) -> bool {
        let Some(failed_at) = belief.failed_at else {
            return false;
        };
        if self.beliefs.living().len() < MIN_OTHERS {
            return true;
        }
        let evidence = self.evidence(now, failed_at);
        evidence.all >= MIN_PROBES && evidence.failed * MAX_FAILED_ONE_IN <= evidence.all
    }

    /// Returns whether most probes of the last [`EVIDENCE_MS`] went unanswered.
    fn is_isolated(&self, now: Time) -> bool {
        let evidence = self.evidence(now, Time::ZERO);
        self.beliefs.living().len() >= MIN_OTHERS && 2 * evidence.failed > evidence.all
    }

    /// Probes suspects again before their timeout, so that one lost answer does not cause a
    /// declared death. In a small fleet this also checks suspicions that came as rumors.
    pub(super) fn probe_suspects_again(&mut self, now: Time, actions: &mut Vec<Action>) {
        let small = self.beliefs.living().len() <= SMALL_FLEET;
        let suspects: Vec<SocketAddr> = self
            .beliefs
            .suspects()
            .filter(|belief| belief.failed_at.is_some() || small)
            .filter(|belief| now.since(belief.since) < self.timing.max_suspicion_ms)
            .map(|belief| belief.rumor.record.address)
            .filter(|address| !self.is_probed(*address))
            .take(PROBES_PER_TICK)
            .collect();
        for address in suspects {
            actions.extend(self.probe_now(now, address));
        }
    }

    /// Declares suspects dead whose suspicion has timed out and that left a probe of this process
    /// unanswered.
    ///
    /// Guards against a mass removal when this process or its failure domain is isolated: then very
    /// many processes become suspect at once, and keeping the last good view is better. A suspect
    /// is declared dead after `suspicion_timeout_ms` only if at most a third of all processes are
    /// suspect and enough other probes that were sent since the unanswered one were answered.
    /// Otherwise it is declared dead after `max_suspicion_ms`, and no suspect is while most probes
    /// go unanswered.
    pub(super) fn declare_dead(&mut self, now: Time, actions: &mut Vec<Action>) {
        let suspects = self.beliefs.suspect_count();
        if suspects == 0 {
            return;
        }
        if self.is_isolated(now) {
            // Probes that went unanswered during the isolation are no evidence after it.
            return self.beliefs.restart_suspicions(now);
        }
        let is_mass_failure = suspects >= MIN_OTHERS && suspects * 3 > self.beliefs.living().len();
        let waited = |belief: &&Belief, millis| now.since(belief.since) >= millis;
        let dead: Vec<Rumor> = self
            .beliefs
            .suspects()
            .filter(|belief| {
                waited(belief, self.timing.suspicion_timeout_ms) && belief.failed_at.is_some()
            })
            .filter(|belief| {
                waited(belief, self.timing.max_suspicion_ms)
                    || (!is_mass_failure && self.is_confirmed(now, belief))
            })
            .map(|belief| Rumor { health: Health::Dead, ..belief.rumor.clone() })
            .collect();
        let reported = self.beliefs.suspects().filter(|belief| belief.failed_at.is_none());
        let reported = reported.filter(|belief| waited(belief, self.timing.suspicion_timeout_ms));
        let unverified: Vec<SocketAddr> = reported
            .map(|belief| belief.rumor.record.address)
            .filter(|address| !self.is_probed(*address))
            .take(PROBES_PER_TICK)
            .collect();
        for address in unverified {
            actions.extend(self.probe_now(now, address));
        }
        for rumor in dead {
            self.rumors.add(rumor.clone());
            self.believe(now, rumor, actions);
        }
    }
}
