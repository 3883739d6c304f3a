//! Goodput of one backend server under overload, with the admission gate and without a limit.

use std::collections::BTreeMap;

use nutmegkeel_core::admission::{Decision, Gate, Id};
use nutmegkeel_core::clock::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Map, json};

/// Slots of the backend server, as in the specified deployment.
const SLOTS: u32 = 7;
/// Mean time that a request takes in a slot of its own, in milliseconds.
const SERVICE_MS: u64 = 20;
/// Requests per second that all slots can answer.
const CAPACITY: u64 = SLOTS as u64 * 1_000 / SERVICE_MS;
/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 200;
const LENGTH_MS: u64 = 20_000;
/// Offered load in tenths of the capacity.
const LOADS: [u64; 4] = [5, 10, 20, 50];
/// Aim for the ratio of goodput at five times capacity to goodput at capacity.
const AIM: f64 = 0.95;
const SEED: u64 = 1;

#[derive(Default)]
struct Outcome {
    offered: u64,
    in_time: u64,
    refused: u64,
    waits_ms: Vec<u64>,
    refusal_waits_ms: Vec<u64>,
}

impl Outcome {
    fn goodput(&self) -> f64 {
        self.in_time as f64 * 1_000.0 / LENGTH_MS as f64
    }
}

/// Runs the measurement; returns true when the aim was met.
pub(super) fn run() -> bool {
    println!(
        "{:<8} {:<8} {:>10} {:>10} {:>10} {:>12} {:>16}",
        "load", "limit", "offered/s", "goodput/s", "refused/s", "answer p99", "refusal p99 ms"
    );
    let mut line = Map::new();
    let mut goodput = BTreeMap::new();
    for tenths in LOADS {
        for (name, mut result) in [("gate", gated(tenths)), ("none", unlimited(tenths))] {
            let per_second = |count: u64| count * 1_000 / LENGTH_MS;
            let p99 = percentile(&mut result.waits_ms, 99);
            let refusal_p99 = percentile(&mut result.refusal_waits_ms, 99);
            println!(
                "{:<8} {:<8} {:>10} {:>10.1} {:>10} {:>12} {:>16}",
                format!("{:.1}x", tenths as f64 / 10.0),
                name,
                per_second(result.offered),
                result.goodput(),
                per_second(result.refused),
                p99,
                refusal_p99
            );
            goodput.insert((name, tenths), result.goodput());
            line.insert(
                format!("{name}_{tenths}_tenths"),
                json!({"goodput": result.goodput(), "answer_p99_ms": p99, "refusal_p99_ms": refusal_p99}),
            );
        }
    }
    let kept = goodput[&("gate", 50)] / goodput[&("gate", 10)];
    println!("goodput kept at 5 times capacity: {kept:.3}");
    line.insert("kept".to_owned(), json!(kept));
    super::print_line(line);
    kept >= AIM
}

/// Draws the number of arrivals in one millisecond.
fn arrivals(rng: &mut SmallRng, tenths: u64) -> u64 {
    let per_ms = CAPACITY as f64 * tenths as f64 / 10.0 / 1_000.0;
    let whole = per_ms.floor();
    whole as u64 + u64::from(rng.random::<f64>() < per_ms - whole)
}

fn gated(tenths: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut gate = Gate::open(SLOTS, SEED);
    let mut result = Outcome::default();
    let mut arrived: Vec<u64> = Vec::new();
    let mut ends: BTreeMap<u64, Vec<Id>> = BTreeMap::new();
    for now in 0..LENGTH_MS {
        let time = Time::from_millis(now);
        let mut decisions = Vec::new();
        for id in ends.remove(&now).unwrap_or_default() {
            let took = now - arrived[usize::try_from(id.0).unwrap_or_default()];
            result.in_time += u64::from(took <= DEADLINE_MS);
            result.waits_ms.push(took);
            decisions.extend(gate.finish(time, id, false));
        }
        for _ in 0..arrivals(&mut rng, tenths) {
            let id = Id(result.offered);
            result.offered += 1;
            arrived.push(now);
            decisions.extend(gate.arrive(time, id, time.after(DEADLINE_MS)));
        }
        decisions.extend(gate.tick(time));
        for decision in decisions {
            match decision {
                Decision::Start(id) => {
                    let service = rng.random_range(SERVICE_MS / 2..=SERVICE_MS * 3 / 2);
                    ends.entry(now + service).or_default().push(id);
                }
                Decision::Refuse(id, ..) => {
                    result.refused += 1;
                    let since = arrived[usize::try_from(id.0).unwrap_or_default()];
                    result.refusal_waits_ms.push(now - since);
                }
            }
        }
    }
    result
}

/// Simulates a server that starts every request on arrival and shares its capacity among them.
fn unlimited(tenths: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut result = Outcome::default();
    let mut running: Vec<(u64, f64)> = Vec::new();
    for now in 0..LENGTH_MS {
        for _ in 0..arrivals(&mut rng, tenths) {
            result.offered += 1;
            running.push((now, SERVICE_MS as f64));
        }
        let share = (f64::from(SLOTS) / running.len().max(1) as f64).min(1.0);
        running.retain_mut(|(since, left)| {
            *left -= share;
            if *left <= 0.0 {
                let took = now - *since;
                result.in_time += u64::from(took <= DEADLINE_MS);
                result.waits_ms.push(took);
            }
            *left > 0.0
        });
    }
    result
}

fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let at = (values.len() * percent / 100).min(values.len().saturating_sub(1));
    values.get(at).copied().unwrap_or_default()
}
