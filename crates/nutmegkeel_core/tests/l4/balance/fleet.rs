//! A small fleet in virtual time: domains with five servers of three slots and six balancers each,
//! and long flows with a request every two seconds.

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
const LONG_WORK_MS: u64 = 300;
const LONG_PERCENT: u64 = 3;
const REQUEST_INTERVAL_MS: u64 = 2_000;
const FLOW_LIFETIME_MS: u64 = 8_000;
const OBJECTIVE_MS: u64 = 400;
/// Openings of a domain's clients in each step, in thousandths. They keep 0.65 of the slots busy.
const OPENINGS_PER_STEP: u64 = 490;

/// Mean number of requests on a long flow.
const REQUESTS: u64 = 4;
/// Address of the first server.
const FIRST_SERVER: u32 = 0x0a00_0100;
/// Warm-up time that the outcome leaves out.
const WARM_UP_MS: u64 = 2_000;

/// Change of a surcharge that counts as an oscillation, in thousandths of a slot.
const MIN_OSCILLATION: u64 = 400;

/// Load of the clients, and its change during one period.
pub(super) struct Demand {
    pub(super) from_ms: u64,
    pub(super) until_ms: u64,
    /// Requests of the first domain's clients on their flows during the period, in thousandths of
    /// the usual number.
    pub(super) requests_per_mille: u64,
    /// Openings of each domain's clients during the period, in thousandths of the usual number.
    pub(super) openings_per_mille: Vec<u64>,
}

impl Demand {
    pub(super) fn even(domains: usize) -> Self {
        Self {
            from_ms: 0,
            until_ms: 0,
            requests_per_mille: 1_000,
            openings_per_mille: vec![1_000; domains],
        }
    }

    fn is_changed(&self, now: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&now)
    }

    /// Half of the clients of the last domain open their flows in the first one.
    pub(super) fn moved(domains: usize) -> Self {
        let mut moved = Self::even(domains);
        moved.openings_per_mille[0] = 1_500;
        moved.openings_per_mille[domains - 1] = 500;
        moved
    }
}

/// Outcome of a simulation.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) requests: u64,
    pub(super) late: u64,
    /// Number of times that the surcharge of the first domain fell and rose again.
    pub(super) oscillations: u64,
}

/// Counts how often a value falls and then rises again, each time by at least [`MIN_OSCILLATION`].
#[derive(Default)]
struct Oscillation {
    count: u64,
    extreme: u64,
    is_falling: bool,
}

impl Oscillation {
    fn observe(&mut self, value: u64) {
        let is_further = if self.is_falling { value < self.extreme } else { value > self.extreme };
        if is_further {
            self.extreme = value;
        } else if value.abs_diff(self.extreme) >= MIN_OSCILLATION {
            self.count += u64::from(self.is_falling);
            self.is_falling = !self.is_falling;
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
    cut_off: Option<(usize, u64)>,
    /// Whether each flow carries one request only, with correspondingly more flows.
    is_short: bool,
    draws: u64,
}

/// Returns a pseudo-random number for each number.
pub(super) fn hash(number: u64) -> u64 {
    Key::of(&[&number.to_be_bytes()]).number()
}

fn name(domain: usize) -> Arc<str> {
    format!("domain-{domain}").into()
}

fn address(server: usize) -> Ipv4Addr {
    Ipv4Addr::from(FIRST_SERVER + u32::try_from(server).expect("few servers"))
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
            cut_off: None,
            is_short: false,
            draws: 0,
        }
    }

    pub(super) fn of_short_flows(domains: usize, is_balanced: bool) -> Self {
        Self { is_short: true, ..Self::open(domains, is_balanced) }
    }

    pub(super) fn cut_off(&mut self, domain: usize, at_ms: u64) {
        self.cut_off = Some((domain, at_ms));
    }

    fn draw(&mut self, most: u64) -> u64 {
        self.draws += 1;
        hash(self.draws) % most
    }

    fn draw_index(&mut self, count: usize) -> usize {
        let count = u64::try_from(count).expect("a small count");
        usize::try_from(self.draw(count)).expect("a small count")
    }

    fn is_cut_off(&self, domain: usize, now: u64) -> bool {
        self.cut_off.is_some_and(|(failed, at_ms)| failed == domain && now >= at_ms)
    }

    /// Simulates until `end_ms`.
    pub(super) fn simulate(&mut self, end_ms: u64, demand: &Demand) -> Outcome {
        let mut outcome = Outcome::default();
        let mut oscillation = Oscillation::default();
        for now in (0..end_ms).step_by(usize::try_from(STEP_MS).expect("the step is short")) {
            self.announce(now);
            self.open_flows(now, demand);
            self.send_requests(now, demand, &mut outcome);
            oscillation.observe(self.surcharges_of(0).first().copied().unwrap_or(0));
        }
        outcome.oscillations = oscillation.count;
        outcome
    }

    /// Announces each server to each pool every 300 ms, at different times for different pools.
    fn announce(&mut self, now: u64) {
        let usize_of = |millis: u64| usize::try_from(millis / STEP_MS).expect("a short test");
        for pool in 0..self.pools.len() {
            for server in 0..self.servers.len() {
                let is_due = (usize_of(now) + pool * 7 + server * 11) % 30 == 0;
                if is_due && !self.is_cut_off(server / SERVERS, now) {
                    let announcement = self.announcement(now, server);
                    self.pools[pool].announced(at(now), address(server), announcement);
                }
            }
            if now.is_multiple_of(50) {
                self.pools[pool].rebalance(at(now));
            }
        }
    }

    fn announcement(&mut self, now: u64, server: usize) -> Announcement {
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
            let per_mille =
                if demand.is_changed(now) { demand.openings_per_mille[domain] } else { 1_000 };
            for _ in 0..tries {
                if self.draw(1_000_000) < OPENINGS_PER_STEP * per_mille
                    && !self.is_cut_off(domain, now)
                {
                    self.open_flow(now, domain);
                }
            }
        }
    }

    fn open_flow(&mut self, now: u64, domain: usize) {
        let key = Key::new(self.draw(u64::MAX));
        let kind = if self.is_short { Kind::Once } else { Kind::Idempotent };
        let balancer = domain * BALANCERS + self.draw_index(BALANCERS);
        let (own, needs) = (name(domain), need(key, kind, &[]));
        let pool = &mut self.pools[balancer];
        let Some(choice) = pool.choose(at(now), &Need { domain: &own, ..needs }) else {
            return;
        };
        pool.placed(choice.agent);
        let server = usize::try_from(choice.agent.to_bits() - FIRST_SERVER).expect("few servers");
        self.servers[server].flows += 1;
        let life_ms =
            if self.is_short { 0 } else { FLOW_LIFETIME_MS / 2 + self.draw(FLOW_LIFETIME_MS) };
        self.flows.push(Flow { server, domain, next_ms: now, end_ms: now + life_ms });
    }

    fn send_requests(&mut self, now: u64, demand: &Demand, outcome: &mut Outcome) {
        let mut flows = std::mem::take(&mut self.flows);
        for flow in flows.iter_mut().filter(|flow| flow.next_ms <= now) {
            if self.is_cut_off(flow.server / SERVERS, now) {
                continue;
            }
            let asks_more = demand.is_changed(now) && flow.domain == 0;
            let requests_per_mille = if asks_more { demand.requests_per_mille } else { 1_000 };
            flow.next_ms = now
                + (REQUEST_INTERVAL_MS / 2 + self.draw(REQUEST_INTERVAL_MS)) * 1_000
                    / requests_per_mille;
            let answered_ms = self.serve(now, flow.server);
            outcome.requests += u64::from(now > WARM_UP_MS);
            outcome.late += u64::from(now > WARM_UP_MS && answered_ms > OBJECTIVE_MS);
        }
        let (open, ended): (Vec<_>, Vec<_>) = flows.into_iter().partition(|flow| flow.end_ms > now);
        ended.iter().for_each(|flow| self.servers[flow.server].flows -= 1);
        self.flows = open;
    }

    /// Serves a request on the slot that becomes free first. Returns the time until its answer.
    fn serve(&mut self, now: u64, server: usize) -> u64 {
        let is_long = self.draw(100) < LONG_PERCENT;
        let mean_ms = if is_long { LONG_WORK_MS } else { WORK_MS };
        let work_ms = mean_ms / 2 + self.draw(mean_ms);
        let ends = &mut self.servers[server].ends;
        ends.retain(|end| *end > now);
        ends.sort_unstable();
        let ahead = ends.len().checked_sub(SLOTS);
        let start = ahead.map_or(now, |ahead| ends[ahead]);
        ends.push(start + work_ms);
        start + work_ms - now
    }

    /// Returns the surcharge of a domain at each balancer.
    pub(super) fn surcharges_of(&self, domain: usize) -> Vec<u64> {
        let levels = self.pools.iter().flat_map(Pool::levels);
        let matching = levels.filter(|level| level.domain == name(domain));
        matching.map(|level| level.surcharge).collect()
    }
}
