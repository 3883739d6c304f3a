//! Processor time to place a flow, to search for one without a routing token, and to compare
//! failure domains, by the size of the fleet.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Instant;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::message::{Announcement, Load, State};
use nutmegkeel_core::l4::placement::{Need, Pool};
use nutmegkeel_core::l4::room::Rank;
use nutmegkeel_core::l4::route::{Kind, Service};
use nutmegkeel_core::placement::Key;
use serde_json::{Map, Value, json};

/// Numbers of agents that a balancer knows.
const AGENTS: [u32; 3] = [100, 1_000, 10_000];

/// Number of agents per service in a fleet of many services; a fleet of two is measured too.
const MEMBERS: u32 = 10;

/// Number of failure domains over which the agents are distributed.
const DOMAINS: u32 = 5;

/// Number of flows over which the time of one is averaged.
const FLOWS: u16 = 2_000;

/// Interval between two comparisons of failure domains, in milliseconds.
const COMPARE_MS: u64 = 100;

/// Number of comparisons over which the time of one is averaged. After more of them agents would
/// count as late.
const COMPARISONS: u64 = 5;

/// Runs the measurement, which has no aim and always passes.
pub(super) fn run() -> bool {
    let mut line = Map::new();
    for agents in AGENTS {
        for (name, services) in [("two_services", 2), ("many_services", agents / MEMBERS)] {
            let mut pool = pool(agents, services);
            let compare_us = compare_us(&mut pool);
            let (choose_us, search_us) = (choose_us(&pool), search_us(&pool));
            println!(
                "{agents:>6} agents, {name:<13} choose {choose_us:>8.2} us, ask {search_us:>8.2} us, \
                 compare {compare_us:>8.2} us"
            );
            line.insert(
                format!("{name}_{agents}"),
                json!({"choose_us": choose_us, "ask_us": search_us, "compare_us": compare_us}),
            );
        }
    }
    let full_service = full_service_us();
    println!("   200 agents of a full service: {full_service}");
    line.insert("full_service_200".to_owned(), full_service);
    super::print_line(line);
    true
}

/// Measures the time to place a flow when all 200 agents of its service are full, the most
/// expensive case.
fn full_service_us() -> Value {
    let pool = pool(200, 1);
    let choose_us = choose_us(&pool);
    let choose_free_us = mean_us(|port| {
        black_box(pool.choose_free(Time::ZERO, &need(flow(port).key())));
    });
    let soonest_us = mean_us(|port| {
        black_box(pool.earliest_answer(Time::ZERO, &need(flow(port).key()), Rank::FIRST));
    });
    json!({"choose_us": choose_us, "choose_free_us": choose_free_us, "soonest_us": soonest_us})
}

fn pool(agents: u32, services: u32) -> Pool {
    let mut pool = Pool::default();
    pool.balance_domains("domain-0".into());
    for number in 0..agents {
        let announcement = Announcement {
            incarnation: 1,
            number: 100,
            domain: format!("domain-{}", number % DOMAINS).into(),
            service: Some(service(number / DOMAINS % services)),
            slots: 2,
            room: None,
            cold: false,
            state: State::Ready,
            sees_all_flows: true,
            load: Load { busy: 2, flows: 20, service_ms: 50 },
            balancers: 0,
            replica: 0,
        };
        pool.announced(Time::ZERO, Ipv4Addr::from_bits(0x0a00_0000 + number), announcement);
    }
    pool
}

fn service(number: u32) -> Service {
    Service::named(&format!("service-{number}"))
}

fn flow(port: u16) -> Flow {
    let end = |address, port| SocketAddrV4::new(Ipv4Addr::from_bits(address), port);
    Flow { client: end(0x6440_0001, port), service: end(0xc612_0001, 443) }
}

fn compare_us(pool: &mut Pool) -> f64 {
    let began = Instant::now();
    for step in 1..=COMPARISONS {
        black_box(pool.rebalance(Time::from_millis(step * COMPARE_MS)));
    }
    began.elapsed().as_secs_f64() * 1e6 / COMPARISONS as f64
}

fn choose_us(pool: &Pool) -> f64 {
    mean_us(|port| {
        let key = flow(port).key();
        black_box(pool.choose(Time::ZERO, &need(key)));
    })
}

fn search_us(pool: &Pool) -> f64 {
    mean_us(|port| {
        black_box(pool.search_first(flow(port).key(), &[service(0)], "domain-0"));
    })
}

fn mean_us(mut step: impl FnMut(u16)) -> f64 {
    let began = Instant::now();
    (0..FLOWS).for_each(&mut step);
    began.elapsed().as_secs_f64() * 1e6 / f64::from(FLOWS)
}

/// Returns the requirements of a flow of kind [`Kind::Once`], from a client in the first failure
/// domain.
fn need(key: Key) -> Need<'static> {
    static ANYWHERE: BTreeSet<Arc<str>> = BTreeSet::new();
    let (kind, domain) = (Kind::Once, "domain-0");
    Need { key, service: service(0), kind, regions: &ANYWHERE, domain, tried: &[] }
}
