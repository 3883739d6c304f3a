//! Imbalance of new flows against baselines, and the share of openings that two balancers would
//! place differently.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use nutmegkeel_core::load::Report;
use nutmegkeel_core::member::Instance;
use nutmegkeel_core::placement::{Candidate, Hop, Key, Pool, Rule};
use nutmegkeel_fake::fleet::address;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Map, json};

/// Number of agents of the specified deployment, with seven slots and 2,000 connections each.
const AGENTS: u16 = 7;
const SLOTS: u32 = 7;
const CONNECTIONS: u32 = 2_000;
const BALANCERS: usize = 3;
/// New flows per second.
const RATE: u64 = 2_000;
/// Mean lifetime of a flow, in milliseconds.
const LIFE_MS: u64 = 2_000;
/// Length of a run and of its warm-up, which is not measured, in milliseconds.
const LENGTH_MS: u64 = 20_000;
const WARM_MS: u64 = 6_000;
/// Interval between two samples of the imbalance, in milliseconds.
const SAMPLE_MS: u64 = 100;
/// Aim for the ratio of the flows at the busiest agent to the mean.
const AIM: f64 = 1.10;
const SEED: u64 = 1;

/// A strategy for placing flows.
struct Strategy {
    name: &'static str,
    rule: Rule,
    random: bool,
    /// Whether the first agent reports no load whatever its load is.
    misreports: bool,
}

const STRATEGIES: [Strategy; 6] = [
    Strategy { name: "random", rule: Rule::Rendezvous, random: true, misreports: false },
    Strategy { name: "round robin", rule: Rule::RoundRobin, random: false, misreports: false },
    Strategy { name: "rendezvous", rule: Rule::Rendezvous, random: false, misreports: false },
    Strategy {
        name: "loaded rendezvous",
        rule: Rule::LoadedRendezvous,
        random: false,
        misreports: false,
    },
    Strategy {
        name: "round robin, one lies",
        rule: Rule::RoundRobin,
        random: false,
        misreports: true,
    },
    Strategy {
        name: "loaded, one lies",
        rule: Rule::LoadedRendezvous,
        random: false,
        misreports: true,
    },
];

struct Outcome {
    mean: f64,
    worst: f64,
    disagreement: f64,
}

/// Runs the measurement; returns true when the aim was met.
pub(super) fn run() -> bool {
    println!("{:<24} {:>10} {:>10} {:>14}", "rule", "imbalance", "worst", "placed apart");
    let mut line = Map::new();
    let mut met = true;
    for strategy in &STRATEGIES {
        let result = measure(strategy);
        println!(
            "{:<24} {:>10.3} {:>10.3} {:>13.1}%",
            strategy.name, result.mean, result.worst, result.disagreement
        );
        if strategy.name == "loaded rendezvous" {
            met = result.mean <= AIM;
        }
        line.insert(
            strategy.name.replace([' ', ','], "_"),
            json!({"imbalance": result.mean, "worst": result.worst, "apart_percent": result.disagreement}),
        );
    }
    super::print_line(line);
    met
}

fn pool() -> Pool {
    let mut pool = Pool::default();
    for number in 0..AGENTS {
        pool.insert(address(number), Candidate::new(Instance::new(1), SLOTS, CONNECTIONS));
    }
    pool
}

fn measure(strategy: &Strategy) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut balancers: Vec<Pool> = (0..BALANCERS).map(|_| pool()).collect();
    let mut open: BTreeMap<SocketAddr, u32> = (0..AGENTS).map(|n| (address(n), 0)).collect();
    let mut ends: BTreeMap<u64, Vec<(SocketAddr, usize)>> = BTreeMap::new();
    let mut samples = Vec::new();
    let (mut placed, mut disagreement) = (0_u64, 0_u64);
    for now in 0..LENGTH_MS {
        for (agent, by) in ends.remove(&now).unwrap_or_default() {
            *open.entry(agent).or_default() -= 1;
            report(strategy, &mut balancers[by], agent, &open);
        }
        for _ in 0..RATE / 1_000 {
            let key = Key::new(rng.random());
            let by = rng.random_range(0..BALANCERS);
            let count = u32::try_from(BALANCERS).unwrap_or(1);
            let place = if strategy.random { Key::new(rng.random()) } else { key };
            let other = balancers[(by + 1) % BALANCERS].clone().place(place, strategy.rule, count);
            let Some(choice) = balancers[by].place(place, strategy.rule, count) else {
                continue;
            };
            placed += 1;
            disagreement += u64::from(other.map(|other| other.first) != Some(choice.first));
            let agent = choice.taker().address;
            *open.entry(agent).or_default() += 1;
            report(strategy, &mut balancers[by], agent, &open);
            let life = rng.random_range(1..2 * LIFE_MS);
            ends.entry(now + life).or_default().push((agent, by));
        }
        if now >= WARM_MS && now % SAMPLE_MS == 0 {
            samples.push(imbalance(&open));
        }
    }
    let mean = samples.iter().sum::<f64>() / samples.len() as f64;
    let worst = samples.iter().copied().fold(0.0, f64::max);
    Outcome { mean, worst, disagreement: 100.0 * disagreement as f64 / placed as f64 }
}

/// Passes an agent's load report to the balancer that forwarded the flow's packet, since answers
/// carry the report.
fn report(
    strategy: &Strategy,
    balancer: &mut Pool,
    agent: SocketAddr,
    open: &BTreeMap<SocketAddr, u32>,
) {
    let is_misreporting = strategy.misreports && agent == address(0);
    let connections = if is_misreporting { 0 } else { open[&agent] };
    let hop = Hop { address: agent, instance: Instance::new(1) };
    balancer.apply_report(hop, Report { connections, busy: 0, queued: 0 });
}

fn imbalance(open: &BTreeMap<SocketAddr, u32>) -> f64 {
    let most = open.values().copied().max().unwrap_or_default();
    let mean = f64::from(open.values().sum::<u32>()) / open.len() as f64;
    f64::from(most) / mean
}
