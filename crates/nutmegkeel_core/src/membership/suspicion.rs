//! From an unanswered probe to a death: repeats through others, suspicion, evidence, giving up.

use std::net::SocketAddr;

use super::beliefs::Belief;
use super::{Action, Membership, Message, Outcome, Pending};
use crate::clock::Time;
use crate::member::{Health, Rumor};

/// Outcomes of probes are kept so long as evidence of being cut off, in milliseconds.
const EVIDENCE_MS: u64 = 10_000;
/// So many probes are enough evidence to be sure of one's own connection ...
const ENOUGH: usize = 16;
/// ... if at most one in so many of them went unanswered.
const SURE_PARTS: usize = 4;
/// Suspects probed out of turn in one tick at most; bounds the traffic of a mass failure.
const PER_TICK: usize = 2;
/// In a fleet of at most so many everybody asks a suspect at once. In a larger one that would be a
/// flood upon a process that may only be slow, so word of a suspicion is checked when it runs out.
const SMALL: usize = 500;
/// With fewer others than this there is no evidence to be had.
const FEW: usize = 3;

/// How a number of probes went.
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
        let relays = self.beliefs.some(&mut self.rng, self.pace.relays, Some(target));
        for relay in relays {
            let probe = self.probe(number);
            actions.push(Action::Send(relay, Message::Relay(probe, target)));
        }
        if let Some(pending) = self.pending.get_mut(&number) {
            pending.relayed = true;
            pending.until = now.after(2 * self.pace.answer_within_ms);
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

    /// Time from sending a probe until it has surely been answered or judged unanswered.
    const fn judged_after_ms(&self) -> u64 {
        3 * self.pace.answer_within_ms
    }

    /// Whether a probe of the process at `address` is on its way.
    pub(super) fn is_asked(&self, address: SocketAddr) -> bool {
        self.pending.values().any(|pending| pending.errand.target == address)
    }

    /// Whether more evidence is wanted quickly: an own probe went unanswered or, in a small fleet,
    /// somebody is suspect at all.
    pub(super) fn is_hasty(&self) -> bool {
        let small = self.beliefs.living().len() <= SMALL;
        self.beliefs.suspects().any(|belief| small || belief.failed.is_some())
    }

    /// How the probes went that were sent since `since` and are old enough to have been judged.
    ///
    /// Answers come at once and silence shows late, so counting younger ones would make a process
    /// that was just cut off look well.
    fn evidence(&self, now: Time, since: Time) -> Evidence {
        let youngest = self.judged_after_ms();
        let judged = self
            .outcomes
            .iter()
            .filter(|outcome| outcome.sent >= since && now.since(outcome.sent) >= youngest);
        let all = judged.clone().count();
        Evidence { all, failed: judged.filter(|outcome| !outcome.answered).count() }
    }

    /// Whether this process met the silence of a suspect itself and is surely well connected.
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

    /// Whether most probes over a long time went unanswered.
    fn is_cut_off(&self, now: Time) -> bool {
        let evidence = self.evidence(now, Time::ZERO);
        self.beliefs.living().len() >= FEW && 2 * evidence.failed > evidence.all
    }

    /// Asks suspects again while they have time left, so that one lost answer condemns nobody and,
    /// in a small fleet, so that word of a suspicion is checked while the time runs.
    pub(super) fn ask_suspects_again(&mut self, now: Time, actions: &mut Vec<Action>) {
        let small = self.beliefs.living().len() <= SMALL;
        let suspects: Vec<SocketAddr> = self
            .beliefs
            .suspects()
            .filter(|belief| belief.failed.is_some() || small)
            .filter(|belief| now.since(belief.since) < self.pace.hold_for_ms)
            .map(|belief| belief.rumor.record.address)
            .filter(|address| !self.is_asked(*address))
            .take(PER_TICK)
            .collect();
        for address in suspects {
            actions.extend(self.doubt(now, address));
        }
    }

    /// Gives up suspects whose time is over and whose silence this process met itself.
    ///
    /// Guards against a mass removal when the observer or its failure domain is cut off: then very
    /// many go silent at once and the last good view is the better one. A suspect is given up soon
    /// only if enough other probes sent since its own went unanswered were answered and at most a
    /// third of all are silent; otherwise after `hold_for_ms`; and nobody while most probes fail.
    pub(super) fn give_up_suspects(&mut self, now: Time, actions: &mut Vec<Action>) {
        let silent = self.beliefs.suspect_count();
        if silent == 0 {
            return;
        }
        if self.is_cut_off(now) {
            // What went unanswered while this process was cut off proves nothing once it is not.
            return self.beliefs.start_over(now);
        }
        let many = silent >= FEW && silent * 3 > self.beliefs.living().len();
        let waited = |belief: &&Belief, millis| now.since(belief.since) >= millis;
        let over: Vec<Rumor> = self
            .beliefs
            .suspects()
            .filter(|belief| waited(belief, self.pace.suspect_for_ms) && belief.failed.is_some())
            .filter(|belief| {
                waited(belief, self.pace.hold_for_ms) || (!many && self.is_sure(now, belief))
            })
            .map(|belief| Rumor { health: Health::Dead, ..belief.rumor.clone() })
            .collect();
        let hearsay = self.beliefs.suspects().filter(|belief| belief.failed.is_none());
        let hearsay = hearsay.filter(|belief| waited(belief, self.pace.suspect_for_ms));
        let unsure: Vec<SocketAddr> = hearsay
            .map(|belief| belief.rumor.record.address)
            .filter(|address| !self.is_asked(*address))
            .take(PER_TICK)
            .collect();
        for address in unsure {
            actions.extend(self.doubt(now, address));
        }
        for rumor in over {
            self.rumors.add(rumor.clone());
            self.believe(now, rumor, actions);
        }
    }
}
