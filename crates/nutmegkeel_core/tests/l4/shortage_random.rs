//! Random fleets in which openings are refused: never while a server is known to have room.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use nutmegkeel_core::l4::balancer::{Balancer, Event};
use nutmegkeel_core::l4::decision::Cause;
use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::message::{Announcement, Insistence, Load, Reason};
use nutmegkeel_core::l4::room::BELIEVED_MS;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fixture::{PORT, at, forwarded, host, service_address};
use crate::room::{LATER_PORT, SLOTS, all, balancer_with, called_for, number, offered, open, said};
use crate::shortage::{HOPELESS, declines, refused_for};

/// What one agent of a random fleet last said, when, and how it answers an opening.
#[derive(Clone, Copy, Debug)]
struct Drawn {
    load: Load,
    slots: u16,
    heard: u64,
    declines: Reason,
    /// Whether it has said since that it is cold and has been given what it bears.
    is_cold: bool,
}

impl Drawn {
    /// In two fleets of three nearly all servers are full, and so slow that openings may be refused.
    fn draw(random: &mut StdRng, now: u64, fleet: u64) -> Self {
        let is_full = !fleet.is_multiple_of(3) && random.random_range(0..60) > 0;
        let busy = if is_full { 40 } else { random.random_range(0..8) };
        let service_ms = [0, 100, 2_400, 3_000][random.random_range(0..4)];
        let service_ms = if is_full { 3_000 } else { service_ms };
        let reasons = [Reason::Busy, Reason::Late, Reason::Full, Reason::Cold];
        let declines = reasons[random.random_range(0..4)];
        let slots = random.random_range(0..=SLOTS);
        Self {
            load: Load { busy, flows: busy, service_ms },
            slots,
            heard: now,
            declines,
            is_cold: false,
        }
    }

    fn has_room(&self, now: u64) -> bool {
        !self.is_cold && now - self.heard <= BELIEVED_MS && self.load.busy < self.slots
    }
}

/// An opening is refused while a server that it may use, and that has not declined it, is known to have a
/// free slot: whatever the reports and their ages are, in which order agents decline, and how long it takes.
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

/// Plays a random fleet for four seconds, and checks that each refusal is right.
fn refusals_of_fleet(fleet: u64) -> Vec<Cause> {
    let mut random = StdRng::seed_from_u64(fleet);
    let mut balancer = balancer_with(called_for(), 3_000, |_| HOPELESS);
    let mut known: BTreeMap<u8, Drawn> = BTreeMap::new();
    let mut refusals = Vec::new();
    for (port, now) in (1..).zip((3_300..7_500).step_by(300)) {
        for agent in all() {
            if !known.contains_key(&agent) || random.random_range(0..8) > 0 {
                let drawn = Drawn::draw(&mut random, now, fleet);
                known.insert(agent, drawn);
                let word = Announcement { slots: drawn.slots, ..said(agent, now, drawn.load) };
                balancer.handle(at(now), Event::Announced(host(agent), word));
            }
        }
        let pause_ms = [0, 1, 3, 7][random.random_range(0..4)];
        let route = if random.random_bool(0.5) { PORT } else { LATER_PORT };
        let caller = Ipv4Addr::from_bits(0x6441_0000 + u32::from(port));
        let client = SocketAddrV4::new(caller, port);
        let flow = Flow { client, service: service_address(route) };
        refusals.extend(open_and_decline(&mut balancer, now, pause_ms, flow, &mut known));
    }
    refusals
}

/// Opens a flow that every agent declines after a pause, and checks what it is refused for.
fn open_and_decline(
    balancer: &mut Balancer,
    began: u64,
    pause_ms: u64,
    flow: Flow,
    known: &mut BTreeMap<u8, Drawn>,
) -> Option<Cause> {
    let (mut now, mut declined) = (began, BTreeSet::new());
    let mut actions = open(balancer, now, flow);
    while let Some(agent) = forwarded(&actions) {
        now += pause_ms;
        let only_if_idle = offered(&actions)?.insistence == Insistence::IfIdle;
        let drawn = known.get_mut(&number(agent))?;
        drawn.heard = now;
        // Who may let the opening wait does not decline it as busy.
        let reason = match drawn.declines {
            Reason::Busy if !only_if_idle => Reason::Late,
            reason => reason,
        };
        drawn.is_cold |= reason == Reason::Cold;
        if reason == Reason::Busy {
            drawn.load.busy = SLOTS;
        } else {
            declined.insert(number(agent));
        }
        let load = drawn.load;
        actions = declines(balancer, now, agent, flow, reason, load);
    }
    let cause = refused_for(&actions)?;
    let free = known.iter().filter(|(agent, one)| one.has_room(now) && !declined.contains(agent));
    assert_eq!(free.count(), 0, "{cause:?} after {} ms: {known:?}", now - began);
    Some(cause)
}
