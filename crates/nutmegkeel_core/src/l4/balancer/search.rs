//! Finds the agent of a flow that this balancer does not know.

use std::net::Ipv4Addr;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::cache::{Entry, Place};
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::{Flow, Head};
use crate::l4::health::Health;
use crate::l4::message::{Load, Message, Reason};

impl Balancer {
    /// Continues a search while no packet of the flow is available.
    pub(super) fn continue_search(&mut self, now: Time, flow: Flow) -> Vec<Action> {
        if self.has_no_route(&flow) {
            self.cache.remove(&flow);
            return Vec::new();
        }
        let entry = self.cache.entry(now, flow);
        let is_asked = matches!(entry.place, Some(Place::Asked(_)));
        if entry.awaits_answers(now) || (is_asked && !entry.is_overdue(now)) {
            return Vec::new();
        }
        if entry.is_overdue(now) {
            self.skip_overdue(now, flow);
        }
        self.skip_unanswered(now, flow);
        if self.cache.entry(now, flow).is_stale(now) {
            self.cache.entry(now, flow).restart(now);
        }
        let asking = self.ask_next(now, flow);
        if !asking.is_empty() {
            return asking;
        }
        if !self.is_held_nowhere(now, flow) {
            return Vec::new();
        }
        let entry = self.cache.entry(now, flow);
        let (seq, asked) = (entry.client_ack, entry.declined.len());
        self.cache.mark_decided(&flow);
        self.reset_flow(flow, seq, self.cause_of_loss(now), asked)
    }

    /// Asks the remaining agents without a packet. Returns nothing if there are none.
    fn ask_next(&mut self, now: Time, flow: Flow) -> Vec<Action> {
        let many = self.ask_many(now, flow);
        if !many.is_empty() {
            return many;
        }
        if let Some(call) = self.recall_packet(now, flow) {
            return vec![call];
        }
        let next = self.next_to_ask(now, flow).or_else(|| self.next_to_retry(now, flow));
        let ask = |agent| match self.pool.detour(now, agent) {
            Some(_) => Action::RecallFlow(flow),
            None => Action::Send(agent, Message::Locate { flow }),
        };
        next.map(ask).into_iter().collect()
    }

    /// Returns whether every agent that may hold the flow has reported that it does not, or is
    /// stopped and the client has waited long enough for it. Always false without a configuration:
    /// nothing could be offered to the client in place of its flow, and this process started too
    /// recently to know all agents.
    fn is_held_nowhere(&mut self, now: Time, flow: Flow) -> bool {
        let is_impatient = self.is_impatient(now, &flow);
        if self.table.version == 0 || !self.knows_all_holders(now) {
            return false;
        }
        if self.pool.has_stopped(now) && !is_impatient {
            return false;
        }
        let entry = self.cache.entry(now, flow);
        let may_answer = |agent: &Ipv4Addr| match self.pool.health(now, *agent) {
            Some(Health::Stopped) => false,
            _ => self.pool.may_hold(now, *agent),
        };
        !entry.declined.is_empty() && !entry.unanswered.iter().any(may_answer)
    }

    /// Returns why a flow is reset that no agent which answered holds.
    fn cause_of_loss(&self, now: Time) -> Cause {
        if self.pool.has_stopped(now) { Cause::AgentStopped } else { Cause::NotHeld }
    }

    /// Returns an agent that was skipped and may answer now. Guards against a client that waits for
    /// the next whole search because a single agent could not decide when it was asked.
    fn next_to_retry(&mut self, now: Time, flow: Flow) -> Option<Ipv4Addr> {
        let entry = self.cache.entry(now, flow);
        if !entry.may_retry(now) {
            return None;
        }
        let fresh = |agent: &&Ipv4Addr| self.pool.health(now, **agent) == Some(Health::Fresh);
        let agent = *entry.unanswered.iter().find(fresh)?;
        entry.ask(now, agent);
        Some(agent)
    }

    pub(super) fn absent(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        flow: Flow,
        load: Load,
    ) -> Vec<Action> {
        self.pool.load_received(now, from, load);
        let entry = self.cache.entry(now, flow);
        entry.unanswered.retain(|agent| *agent != from);
        let was_queried = entry.queried.remove(&from);
        let was_asked = entry.place == Some(Place::Asked(from));
        if !was_queried && !was_asked {
            return Vec::new();
        }
        record_declined(entry, from, Reason::NotHeld);
        if was_asked {
            entry.place = None;
            let after_ms = now.since(entry.asked_at);
            self.learn_answer_time(after_ms);
        }
        if self.cache.entry(now, flow).queried.is_empty() {
            self.continue_search(now, flow)
        } else {
            Vec::new()
        }
    }

    pub(super) fn carry(&mut self, now: Time, head: &Head) -> Vec<Action> {
        self.cache.mark_decided(&head.flow);
        let entry = self.cache.entry(now, head.flow);
        entry.record_client(now, head);
        if entry.is_stale(now) {
            entry.restart(now);
        }
        if entry.is_overdue(now) {
            self.skip_overdue(now, head.flow);
        }
        match self.cache.entry(now, head.flow).place.clone() {
            Some(Place::Asked(agent)) => self.carry_to(now, head, agent, false),
            Some(Place::Placed(agent)) => self.carry_known(now, head, agent, false),
            Some(Place::Held(agent)) => self.carry_known(now, head, agent, true),
            None => self.search(now, head),
        }
    }

    /// Forwards a packet to the agent that holds its flow, or that its opening was sent to. The
    /// latter must confirm that it holds the flow, because a copy of the opening may have opened it
    /// at another agent by way of another balancer.
    fn carry_known(
        &mut self,
        now: Time,
        head: &Head,
        agent: Ipv4Addr,
        is_held: bool,
    ) -> Vec<Action> {
        let goes_there = match self.pool.health(now, agent) {
            Some(Health::Fresh | Health::Late) => true,
            Some(Health::Silent) if is_held && !self.pool.is_cut_off(now) => {
                self.cache.remove(&head.flow);
                return self.reset(head, Cause::AgentDead, 0);
            }
            Some(Health::Restarting | Health::Stopped | Health::Unreachable | Health::Silent) => {
                is_held
            }
            None => false,
        };
        if goes_there {
            return self.carry_to(now, head, agent, is_held);
        }
        self.cache.entry(now, head.flow).restart(now);
        self.search(now, head)
    }

    pub(super) fn search(&mut self, now: Time, head: &Head) -> Vec<Action> {
        if self.cache.entry(now, head.flow).awaits_answers(now) {
            return self.wait_for_answers(now, head);
        }
        self.skip_unanswered(now, head.flow);
        if self.has_asked_likely(now, head.flow) {
            let mut many = self.ask_many(now, head.flow);
            if !many.is_empty() {
                many.extend(self.wait_for_answers(now, head));
                return many;
            }
        }
        match self.next_to_ask(now, head.flow) {
            Some(agent) => self.carry_to(now, head, agent, false),
            None => self.not_found(now, head),
        }
    }

    fn wait_for_answers(&mut self, now: Time, head: &Head) -> Vec<Action> {
        self.cache.mark_undecided(now, head.flow);
        self.keep(head, Cause::Undecided)
    }

    /// Returns whether the few agents that the flow's opening was probably offered to have been
    /// asked.
    fn has_asked_likely(&mut self, now: Time, flow: Flow) -> bool {
        let Some(services) = self.services(&flow) else {
            return false;
        };
        let first = self.pool.search_first(flow.key(), &services, &self.identity.domain);
        self.first_unasked(now, flow, first).is_none()
    }

    /// Returns the next agent to ask for a flow, usually one of the few that its opening was
    /// offered to. One that is away is asked last: if all others are ruled out first, it must be the
    /// one that holds the flow.
    fn next_to_ask(&mut self, now: Time, flow: Flow) -> Option<Ipv4Addr> {
        let services = self.services(&flow)?;
        let first = self.pool.search_first(flow.key(), &services, &self.identity.domain);
        let agent = match self.first_unasked(now, flow, first) {
            Some((health, agent)) if !health.is_away() => agent,
            _ => {
                let all = self.pool.search(flow.key(), &services, &self.identity.domain);
                self.first_unasked(now, flow, all)?.1
            }
        };
        self.cache.entry(now, flow).ask(now, agent);
        Some(agent)
    }

    /// Returns the first of these agents that may hold a flow and has not denied it.
    fn first_unasked(
        &mut self,
        now: Time,
        flow: Flow,
        agents: Vec<Ipv4Addr>,
    ) -> Option<(Health, Ipv4Addr)> {
        let entry = self.cache.entry(now, flow);
        // An agent that refused the opening may have accepted a later copy of it, so only an answer
        // to this query counts.
        let asked = |agent: &Ipv4Addr| entry.declined.contains(&(*agent, Reason::NotHeld));
        agents
            .into_iter()
            .filter(|agent| !asked(agent) && self.pool.may_hold(now, *agent))
            .filter_map(|agent| Some((self.pool.health(now, agent)?, agent)))
            .min_by_key(|(health, _)| health.is_away())
    }

    /// Skips an agent that has not answered: it may be dead, and another may hold the flow.
    fn skip_overdue(&mut self, now: Time, flow: Flow) {
        let entry = self.cache.entry(now, flow);
        if let Some(place) = entry.place.take() {
            record_unanswered(entry, place.agent());
        }
    }

    fn not_found(&mut self, now: Time, head: &Head) -> Vec<Action> {
        if self.is_held_nowhere(now, head.flow) {
            let asked = self.cache.entry(now, head.flow).declined.len();
            self.reset(head, self.cause_of_loss(now), asked)
        } else {
            self.wait_for_answers(now, head)
        }
    }

    pub(super) fn holds(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        flow: Flow,
        load: Load,
    ) -> Vec<Action> {
        self.pool.load_received(now, from, load);
        let entry = self.cache.entry(now, flow);
        let is_new = entry.place != Some(Place::Held(from));
        let asked = entry.declined.len();
        entry.place = Some(Place::Held(from));
        entry.declined.clear();
        entry.unanswered.clear();
        entry.queried.clear();
        entry.unsure.clear();
        self.cache.mark_decided(&flow);
        if !is_new {
            return Vec::new();
        }
        vec![Action::RecallFlow(flow), Action::Log(Decision::Found { flow, agent: from, asked })]
    }
}

/// Records that an agent was skipped: it may hold the flow.
pub(super) fn record_unanswered(entry: &mut Entry, agent: Ipv4Addr) {
    record_declined(entry, agent, Reason::NotHeld);
    if !entry.unanswered.contains(&agent) {
        entry.unanswered.push(agent);
    }
}

pub(super) fn record_declined(entry: &mut Entry, agent: Ipv4Addr, reason: Reason) {
    if let Some(known) = entry.declined.iter_mut().find(|(known, _)| *known == agent) {
        known.1 = reason;
    } else {
        entry.declined.push((agent, reason));
    }
}
