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
const ENOUGH: usize = 16;
/// It does so if at most one in this number of probes went unanswered.
const SURE_PARTS: usize = 4;
/// Maximum number of suspects probed out of turn per tick. It bounds the traffic of a mass failure.
const PER_TICK: usize = 2;
/// Maximum size of a fleet in which every process probes a suspect at once. In a larger fleet these
/// probes would overload a process that may only be slow, so a suspicion that came as a rumor is
/// checked only when it times out.
const SMALL: usize = 500;
/// Minimum number of other processes for which outcomes of probes count as evidence.
const FEW: usize = 3;

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
            .filter(|(_, pending)| now >= pending.until)
            .map(|(number, pending)| (*number, *pending))
            .collect();
        for (number, pending) in expired {
            if pending.errand.asked_by.is_some() {
                self.pending.remove(&number);
            } else if pending.relayed {
                self.pending.remove(&number);
                self.note_outcome(now, &pending, false);
                self.suspect(now, &pending, actions);
            } else {
                self.relay(now, number, pending.errand.target, actions);
            }
        }
    }

    fn relay(&mut self, now: Time, number: u64, target: SocketAddr, actions: &mut Vec<Action>) {
        let relays = self.beliefs.sample(&mut self.rng, self.timing.indirect_probes, Some(target));
        for relay in relays {
            let probe = self.probe(number);
            actions.push(Action::Send(relay, Message::IndirectPing(probe, target)));
        }
        if let Some(pending) = self.pending.get_mut(&number) {
            pending.relayed = true;
            pending.until = now.after(2 * self.timing.answer_timeout_ms);
        }
    }

    fn suspect(&mut self, now: Time, pending: &Pending, actions: &mut Vec<Action>) {
        let target = pending.errand.target;
        let Some(belief) = self.beliefs.get(target) else {
            return;
        };
        if belief.rumor.health == Health::Alive {
            let rumor = Rumor { health: Health::Suspect, ..belief.rumor.clone() };
            self.learn(now, rumor, actions);
        }
        self.beliefs.note_failed(target, pending.sent);
    }

    pub(super) fn note_outcome(&mut self, now: Time, pending: &Pending, answered: bool) {
        if pending.errand.in_turn {
            self.outcomes.push_back(Outcome { sent: pending.sent, answered });
        }
        let oldest = EVIDENCE_MS + self.judged_after_ms();
        while self.outcomes.front().is_some_and(|first| now.since(first.sent) > oldest) {
            self.outcomes.pop_front();
        }
    }

    /// Returns the time after which a probe has been answered or counted as unanswered.
    const fn judged_after_ms(&self) -> u64 {
        3 * self.timing.answer_timeout_ms
    }

    /// Returns whether a probe of the process at `address` is pending.
    pub(super) fn is_asked(&self, address: SocketAddr) -> bool {
        self.pending.values().any(|pending| pending.errand.target == address)
    }

    /// Returns whether evidence is needed quickly: a suspect left a probe of this process
    /// unanswered or, in a small fleet, any process is suspect.
    pub(super) fn is_hasty(&self) -> bool {
        let small = self.beliefs.living().len() <= SMALL;
        self.beliefs.suspects().any(|belief| small || belief.failed.is_some())
    }

    /// Returns the outcomes of the probes that were sent since `since` and have timed out or could
    /// have.
    ///
    /// Answers arrive at once and missing ones show only after the timeout. Counting later probes
    /// would make the connection of a process that was just isolated look healthy.
    fn evidence(&self, now: Time, since: Time) -> Evidence {
        let youngest = self.judged_after_ms();
        let judged = self
            .outcomes
            .iter()
            .filter(|outcome| outcome.sent >= since && now.since(outcome.sent) >= youngest);
        let all = judged.clone().count();
        Evidence { all, failed: judged.filter(|outcome| !outcome.answered).count() }
    }

    /// Returns whether a suspect left a probe of this process unanswered while this process's own
    /// connection works.
    fn is_sure(&self, now: Time, belief: &Belief) -> bool {
        let Some(failed) = belief.failed else {
            return false;
        };
        if self.beliefs.living().len() < FEW {
            return true;
        }
        let evidence = self.evidence(now, failed);
        evidence.all >= ENOUGH && evidence.failed * SURE_PARTS <= evidence.all
    }

    /// Returns whether most probes of the last [`EVIDENCE_MS`] went unanswered.
    fn is_cut_off(&self, now: Time) -> bool {
        let evidence = self.evidence(now, Time::ZERO);
        self.beliefs.living().len() >= FEW && 2 * evidence.failed > evidence.all
    }

    /// Probes suspects again before their timeout, so that one lost answer does not cause a
    /// declared death. In a small fleet this also checks suspicions that came as rumors.
    pub(super) fn ask_suspects_again(&mut self, now: Time, actions: &mut Vec<Action>) {
        let small = self.beliefs.living().len() <= SMALL;
        let suspects: Vec<SocketAddr> = self
            .beliefs
            .suspects()
            .filter(|belief| belief.failed.is_some() || small)
            .filter(|belief| now.since(belief.since) < self.timing.max_suspicion_ms)
            .map(|belief| belief.rumor.record.address)
            .filter(|address| !self.is_asked(*address))
            .take(PER_TICK)
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
    /// is declared dead after `suspicion_timeout_ms` only if at most a third of all processes are suspect
    /// and enough other probes that were sent since the unanswered one were answered. Otherwise it
    /// is declared dead after `max_suspicion_ms`, and no suspect is while most probes go unanswered.
    pub(super) fn give_up_suspects(&mut self, now: Time, actions: &mut Vec<Action>) {
        let silent = self.beliefs.suspect_count();
        if silent == 0 {
            return;
        }
        if self.is_cut_off(now) {
            // Probes that went unanswered during the isolation are no evidence after it.
            return self.beliefs.start_over(now);
        }
        let many = silent >= FEW && silent * 3 > self.beliefs.living().len();
        let waited = |belief: &&Belief, millis| now.since(belief.since) >= millis;
        let over: Vec<Rumor> = self
            .beliefs
            .suspects()
            .filter(|belief| {
                waited(belief, self.timing.suspicion_timeout_ms) && belief.failed.is_some()
            })
            .filter(|belief| {
                waited(belief, self.timing.max_suspicion_ms) || (!many && self.is_sure(now, belief))
            })
            .map(|belief| Rumor { health: Health::Dead, ..belief.rumor.clone() })
            .collect();
        let hearsay = self.beliefs.suspects().filter(|belief| belief.failed.is_none());
        let hearsay = hearsay.filter(|belief| waited(belief, self.timing.suspicion_timeout_ms));
        let unsure: Vec<SocketAddr> = hearsay
            .map(|belief| belief.rumor.record.address)
            .filter(|address| !self.is_asked(*address))
            .take(PER_TICK)
            .collect();
        for address in unsure {
            actions.extend(self.probe_now(now, address));
        }
        for rumor in over {
            self.rumors.add(rumor.clone());
            self.believe(now, rumor, actions);
        }
    }
}
