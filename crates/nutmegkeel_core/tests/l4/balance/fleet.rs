//! A small fleet in virtual time: domains with five servers of three slots and six balancers each, and long flows
//! that ask every two seconds.

use std::net::Ipv4Addr;
use std::sync::Arc;

use nutmegkeel_core::l4::message::{Announcement, Load, State};
use nutmegkeel_core::l4::placement::{Need, Pool};
use nutmegkeel_core::l4::route::Kind;
use nutmegkeel_core::placement::Key;

use crate::fixture::{announcement, at, need};

const STEP_MS: u64 = 10;
const SERVERS: usize = 5;
const SLOTS: usize = 3;
const BALANCERS: usize = 6;
const WORK_MS: u64 = 40;
const LONG_MS: u64 = 300;
const LONG_PERCENT: u64 = 3;
const GAP_MS: u64 = 2_000;
const LIFE_MS: u64 = 8_000;
const OBJECTIVE_MS: u64 = 400;
/// Openings of a domain's clients in each step, in thousandths: 0.65 of the slots are busy.
const OPENINGS: u64 = 490;

/// Requests on a long flow, on the mean.
const REQUESTS: u64 = 4;
/// Address of the first server.
const FIRST: u32 = 0x0a00_0100;
/// What happens before this does not count.
const SETTLED_MS: u64 = 2_000;

/// A change of a surcharge that counts for a swing, in thousandths of a slot.
const SWING: u64 = 400;

/// What clients do, and how it changes for a while.
pub(super) struct Demand {
    pub(super) from_ms: u64,
    pub(super) until_ms: u64,
    /// How much more the clients of the first domain ask then on their flows, in thousandths.
    pub(super) times: u64,
    /// Openings of each domain's clients then, in thousandths of the usual ones.
    pub(super) openings: Vec<u64>,
}

impl Demand {
    pub(super) fn even(domains: usize) -> Self {
        Self { from_ms: 0, until_ms: 0, times: 1_000, openings: vec![1_000; domains] }
    }

    fn is_changed(&self, now: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&now)
    }

    /// Half of the clients of the last domain open their flows in the first one.
    pub(super) fn moved(domains: usize) -> Self {
        let mut moved = Self::even(domains);
        moved.openings[0] = 1_500;
        moved.openings[domains - 1] = 500;
        moved
    }
}

/// How a play went.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) asked: u64,
    pub(super) late: u64,
    /// How often the surcharge of the first domain fell and grew again.
    pub(super) swings: u64,
}

/// Counts how often a value falls by much and grows by much again.
#[derive(Default)]
struct Swing {
    count: u64,
    extreme: u64,
    falls: bool,
}

impl Swing {
    fn note(&mut self, value: u64) {
        let is_further = if self.falls { value < self.extreme } else { value > self.extreme };
        if is_further {
            self.extreme = value;
        } else if value.abs_diff(self.extreme) >= SWING {
            self.count += u64::from(self.falls);
            self.falls = !self.falls;
            self.extreme = value;
        }
    }
}

#[derive(Default)]
struct Server {
    ends: Vec<u64>,
    flows: u16,
}

struct Flow {
    server: usize,
    domain: usize,
    next_ms: u64,
    end_ms: u64,
}

pub(super) struct Fleet {
    domains: usize,
    servers: Vec<Server>,
    pools: Vec<Pool>,
    flows: Vec<Flow>,
    lost: Option<(usize, u64)>,
    /// Whether each flow carries one request only, and so many more are opened.
    is_short: bool,
    drawn: u64,
}

/// A number spread evenly over all.
pub(super) fn scatter(number: u64) -> u64 {
    Key::of(&[&number.to_be_bytes()]).number()
}

fn name(domain: usize) -> Arc<str> {
    format!("domain-{domain}").into()
}

fn address(server: usize) -> Ipv4Addr {
    Ipv4Addr::from(FIRST + u32::try_from(server).expect("few servers"))
}

impl Fleet {
    pub(super) fn open(domains: usize, is_balanced: bool) -> Self {
        let open = |pool: usize| {
            let mut opened = Pool::default();
            if is_balanced {
                opened.balance_domains(name(pool / BALANCERS));
            }
            opened
        };
        Self {
            domains,
            servers: (0..domains * SERVERS).map(|_| Server::default()).collect(),
            pools: (0..domains * BALANCERS).map(open).collect(),
            flows: Vec::new(),
            lost: None,
            is_short: false,
            drawn: 0,
        }
    }

    pub(super) fn of_short_flows(domains: usize, is_balanced: bool) -> Self {
        Self { is_short: true, ..Self::open(domains, is_balanced) }
    }

    pub(super) fn lose(&mut self, domain: usize, at_ms: u64) {
        self.lost = Some((domain, at_ms));
    }

    fn draw(&mut self, most: u64) -> u64 {
        self.drawn += 1;
        scatter(self.drawn) % most
    }

    fn draw_place(&mut self, places: usize) -> usize {
        let places = u64::try_from(places).expect("few places");
        usize::try_from(self.draw(places)).expect("few places")
    }

    fn is_lost(&self, domain: usize, now: u64) -> bool {
        self.lost.is_some_and(|(lost, at_ms)| lost == domain && now >= at_ms)
    }

    /// Plays until `end_ms`.
    pub(super) fn play(&mut self, end_ms: u64, demand: &Demand) -> Outcome {
        let mut outcome = Outcome::default();
        let mut swing = Swing::default();
        for now in (0..end_ms).step_by(usize::try_from(STEP_MS).expect("it is short")) {
            self.announce(now);
            self.open_flows(now, demand);
            self.ask(now, demand, &mut outcome);
            swing.note(self.surcharges_of(0).first().copied().unwrap_or(0));
        }
        outcome.swings = swing.count;
        outcome
    }

    /// Each pool hears of each server every 300 ms, at another moment than the others.
    fn announce(&mut self, now: u64) {
        let usize_of = |millis: u64| usize::try_from(millis / STEP_MS).expect("a short test");
        for pool in 0..self.pools.len() {
            for server in 0..self.servers.len() {
                let is_due = (usize_of(now) + pool * 7 + server * 11) % 30 == 0;
                if is_due && !self.is_lost(server / SERVERS, now) {
                    let word = self.word(now, server);
                    self.pools[pool].announced(at(now), address(server), word);
                }
            }
            if now.is_multiple_of(50) {
                self.pools[pool].rebalance(at(now));
            }
        }
    }

    fn word(&mut self, now: u64, server: usize) -> Announcement {
        let known = &mut self.servers[server];
        known.ends.retain(|end| *end > now);
        let busy = u16::try_from(known.ends.len()).unwrap_or(u16::MAX);
        let load = Load { busy, flows: known.flows, service_ms: 0 };
        let slots = u16::try_from(SLOTS).expect("few slots");
        let domain = name(server / SERVERS);
        Announcement { domain, slots, ..announcement(now + 1, State::Ready, load) }
    }

    fn open_flows(&mut self, now: u64, demand: &Demand) {
        let tries = if self.is_short { REQUESTS } else { 1 };
        for domain in 0..self.domains {
            let part = if demand.is_changed(now) { demand.openings[domain] } else { 1_000 };
            for _ in 0..tries {
                if self.draw(1_000_000) < OPENINGS * part && !self.is_lost(domain, now) {
                    self.open_flow(now, domain);
                }
            }
        }
    }

    fn open_flow(&mut self, now: u64, domain: usize) {
        let key = Key::new(self.draw(u64::MAX));
        let kind = if self.is_short { Kind::Once } else { Kind::Idempotent };
        let balancer = domain * BALANCERS + self.draw_place(BALANCERS);
        let (own, needs) = (name(domain), need(key, kind, &[]));
        let pool = &mut self.pools[balancer];
        let Some(choice) = pool.choose(at(now), &Need { domain: &own, ..needs }) else {
            return;
        };
        pool.placed(choice.agent);
        let server = usize::try_from(choice.agent.to_bits() - FIRST).expect("few servers");
        self.servers[server].flows += 1;
        let life_ms = if self.is_short { 0 } else { LIFE_MS / 2 + self.draw(LIFE_MS) };
        self.flows.push(Flow { server, domain, next_ms: now, end_ms: now + life_ms });
    }

    fn ask(&mut self, now: u64, demand: &Demand, outcome: &mut Outcome) {
        let mut flows = std::mem::take(&mut self.flows);
        for flow in flows.iter_mut().filter(|flow| flow.next_ms <= now) {
            if self.is_lost(flow.server / SERVERS, now) {
                continue;
            }
            let asks_more = demand.is_changed(now) && flow.domain == 0;
            let times = if asks_more { demand.times } else { 1_000 };
            flow.next_ms = now + (GAP_MS / 2 + self.draw(GAP_MS)) * 1_000 / times;
            let answered_ms = self.serve(now, flow.server);
            outcome.asked += u64::from(now > SETTLED_MS);
            outcome.late += u64::from(now > SETTLED_MS && answered_ms > OBJECTIVE_MS);
        }
        let (open, ended): (Vec<_>, Vec<_>) = flows.into_iter().partition(|flow| flow.end_ms > now);
        ended.iter().for_each(|flow| self.servers[flow.server].flows -= 1);
        self.flows = open;
    }

    /// Lets a request wait for the slot that is free first; returns when it is answered, from now on.
    fn serve(&mut self, now: u64, server: usize) -> u64 {
        let is_long = self.draw(100) < LONG_PERCENT;
        let mean_ms = if is_long { LONG_MS } else { WORK_MS };
        let work_ms = mean_ms / 2 + self.draw(mean_ms);
        let ends = &mut self.servers[server].ends;
        ends.retain(|end| *end > now);
        ends.sort_unstable();
        let ahead = ends.len().checked_sub(SLOTS);
        let start = ahead.map_or(now, |ahead| ends[ahead]);
        ends.push(start + work_ms);
        start + work_ms - now
    }

    /// The surcharge of a domain at each balancer of others.
    pub(super) fn surcharges_of(&self, domain: usize) -> Vec<u64> {
        let levels = self.pools.iter().flat_map(Pool::levels);
        let meant = levels.filter(|level| level.domain == name(domain));
        meant.map(|level| level.surcharge).collect()
    }
}
