//! Random fleets under overload: no opening is refused while a server is known to have room.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use nutmegkeel_core::l4::balancer::{Balancer, Event};
use nutmegkeel_core::l4::decision::Cause;
use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::message::{Admission, Announcement, Load, Reason};
use nutmegkeel_core::l4::room::MAX_REPORT_AGE_MS;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fixture::{PORT, at, forwarded, host, service_address};
use crate::room::{
    LESS_URGENT_PORT, SLOTS, agents, announcement_of, balancer_with, contention_policy, number,
    offered, open,
};
use crate::shortage::{UNSERVABLE, decline, refusal_cause};

/// Last report of a random agent, its time, and the agent's answer to an opening.
#[derive(Clone, Copy, Debug)]
struct RandomAgent {
    load: Load,
    slots: u16,
    reported_at: u64,
    decline_reason: Reason,
    /// Whether it has declined an opening as cold since the report.
    is_cold: bool,
}

impl RandomAgent {
    /// In two fleets of three, nearly all servers are full and slow enough for refusals.
    fn draw(random: &mut StdRng, now: u64, fleet: u64) -> Self {
        let is_full = !fleet.is_multiple_of(3) && random.random_range(0..60) > 0;
        let busy = if is_full { 40 } else { random.random_range(0..8) };
        let service_ms = [0, 100, 2_400, 3_000][random.random_range(0..4)];
        let service_ms = if is_full { 3_000 } else { service_ms };
        let reasons = [Reason::Busy, Reason::Late, Reason::Full, Reason::Cold];
        let decline_reason = reasons[random.random_range(0..4)];
        let slots = random.random_range(0..=SLOTS);
        Self {
            load: Load { busy, flows: busy, service_ms },
            slots,
            reported_at: now,
            decline_reason,
            is_cold: false,
        }
    }

    fn has_room(&self, now: u64) -> bool {
        !self.is_cold && now - self.reported_at <= MAX_REPORT_AGE_MS && self.load.busy < self.slots
    }
}

/// No opening is refused while a server that it may use, and that has not declined it, is known to
/// have a free slot. This holds for any reports, ages of reports and order and duration of
/// declines.
#[test]
fn nothing_is_refused_while_a_fresh_report_shows_a_free_slot() {
    let mut refused: BTreeMap<&str, usize> = BTreeMap::new();
    for fleet in 0..150 {
        for cause in refusals_of_fleet(fleet) {
            *refused.entry(cause.name()).or_default() += 1;
        }
    }
    assert!(refused["no_room"] > 20 && refused["all_declined"] > 20, "{refused:?}");
}

/// Simulates a random fleet for four seconds and checks each refusal.
fn refusals_of_fleet(fleet: u64) -> Vec<Cause> {
    let mut random = StdRng::seed_from_u64(fleet);
    let mut balancer = balancer_with(contention_policy(), 3_000, |_| UNSERVABLE);
    let mut known: BTreeMap<u8, RandomAgent> = BTreeMap::new();
    let mut refusals = Vec::new();
    for (port, now) in (1..).zip((3_300..7_500).step_by(300)) {
        for agent in agents() {
            if !known.contains_key(&agent) || random.random_range(0..8) > 0 {
                let random_agent = RandomAgent::draw(&mut random, now, fleet);
                known.insert(agent, random_agent);
                let announcement = Announcement {
                    slots: random_agent.slots,
                    ..announcement_of(agent, now, random_agent.load)
                };
                balancer.handle(at(now), Event::Announced(host(agent), announcement));
            }
        }
        let pause_ms = [0, 1, 3, 7][random.random_range(0..4)];
        let route = if random.random_bool(0.5) { PORT } else { LESS_URGENT_PORT };
        let caller = Ipv4Addr::from_bits(0x6441_0000 + u32::from(port));
        let client = SocketAddrV4::new(caller, port);
        let flow = Flow { client, service: service_address(route) };
        refusals.extend(open_and_decline(&mut balancer, now, pause_ms, flow, &mut known));
    }
    refusals
}

/// Opens a flow that every agent declines after a pause, and checks the reason of its refusal.
fn open_and_decline(
    balancer: &mut Balancer,
    started_at: u64,
    pause_ms: u64,
    flow: Flow,
    known: &mut BTreeMap<u8, RandomAgent>,
) -> Option<Cause> {
    let (mut now, mut declined) = (started_at, BTreeSet::new());
    let mut actions = open(balancer, now, flow);
    while let Some(agent) = forwarded(&actions) {
        now += pause_ms;
        let only_if_idle = offered(&actions)?.admission == Admission::IfIdle;
        let random_agent = known.get_mut(&number(agent))?;
        random_agent.reported_at = now;
        // An agent that may let the opening wait does not decline it as busy.
        let reason = match random_agent.decline_reason {
            Reason::Busy if !only_if_idle => Reason::Late,
            reason => reason,
        };
        random_agent.is_cold |= reason == Reason::Cold;
        if reason == Reason::Busy {
            random_agent.load.busy = SLOTS;
        } else {
            declined.insert(number(agent));
        }
        let load = random_agent.load;
        actions = decline(balancer, now, agent, flow, reason, load);
    }
    let cause = refusal_cause(&actions)?;
    let free = known.iter().filter(|(agent, one)| one.has_room(now) && !declined.contains(agent));
    assert_eq!(free.count(), 0, "{cause:?} after {} ms: {known:?}", now - started_at);
    Some(cause)
}
