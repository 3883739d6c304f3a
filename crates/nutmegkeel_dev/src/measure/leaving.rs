//! Time of the last new flow at a leaving agent, when balancers learn up to 5 s apart that it
//! leaves.

use nutmegkeel_core::agent::{Action, Agent, Event, Opening};
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::lifecycle::WARM_UP_MS;
use nutmegkeel_core::member::{Instance, Role};
use nutmegkeel_core::membership::Timing;
use nutmegkeel_core::placement::{Candidate, Key, Pool, Rule};
use nutmegkeel_fake::fleet::{self, address};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Map, json};

const AGENTS: u16 = 7;
const BALANCERS: u64 = 3;
/// Time between the first and the last balancer that learns that the agent leaves, in milliseconds.
const PROPAGATION_MS: u64 = 5_000;
const LEAVES_AT_MS: u64 = 5_000;
const LENGTH_MS: u64 = 15_000;
/// New flows per millisecond.
const FLOWS_PER_MS: u64 = 2;
/// Aim for the last new flow, in milliseconds after the agent starts to leave.
const AIM_MS: u64 = 2_000;
const SEED: u64 = 1;

/// Runs the measurement; returns true when the aim was met.
pub(super) fn run() -> bool {
    println!("{:<28} {:>20} {:>12}", "way", "last new flow ms", "passed on");
    let mut line = Map::new();
    let (last, _) = measure(false);
    println!("{:<28} {last:>20} {:>12}", "balancers alone", 0);
    line.insert("balancers_alone".to_owned(), json!({"last_new_flow_ms": last}));
    let (last, passed_on) = measure(true);
    println!("{:<28} {last:>20} {passed_on:>12}", "the agent decides");
    line.insert(
        "the_agent_decides".to_owned(),
        json!({"last_new_flow_ms": last, "passed_on": passed_on}),
    );
    super::print_line(line);
    last <= AIM_MS
}

fn serving() -> Agent {
    let record = fleet::agent(0, "intake");
    let Role::Agent(capacity) = record.role.clone() else {
        unreachable!("the record is an agent's");
    };
    let mut agent = Agent::open(record, capacity.clone(), Timing::default(), SEED);
    agent.handle(Time::ZERO, Event::Announced(capacity));
    agent.handle(Time::from_millis(WARM_UP_MS), Event::Tick);
    agent
}

/// Returns the milliseconds from the start of leaving to the last flow that the agent accepted, and
/// the number of flows that it passed on.
fn measure(agent_decides: bool) -> (u64, u64) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut agent = serving();
    let mut pools: Vec<Pool> = (0..BALANCERS).map(|_| pool()).collect();
    let (mut last, mut passed_on) = (0, 0);
    for now in WARM_UP_MS..LENGTH_MS {
        let time = Time::from_millis(now);
        if now == LEAVES_AT_MS {
            agent.handle(time, Event::Leave);
        }
        for (by, pool) in pools.iter_mut().enumerate() {
            let learns_at = LEAVES_AT_MS + by as u64 * PROPAGATION_MS / (BALANCERS - 1);
            if now == learns_at {
                pool.remove(address(0));
            }
        }
        for _ in 0..FLOWS_PER_MS {
            let key = Key::new(rng.random());
            let by = rng.random_range(0..pools.len());
            let choice = pools[by].place(key, Rule::LoadedRendezvous, BALANCERS as u32);
            let Some(choice) = choice.filter(|choice| choice.taker().address == address(0)) else {
                continue;
            };
            let opening = Opening::open(key, &choice);
            let opening =
                if choice.prefers_next { opening.forward_to(choice.first) } else { opening };
            let actions = agent.handle(time, Event::Opening(opening));
            let passes = agent_decides && matches!(actions[..], [Action::PassOn(_)]);
            if passes {
                passed_on += 1;
            } else {
                last = now.saturating_sub(LEAVES_AT_MS);
            }
        }
    }
    (last, passed_on)
}

fn pool() -> Pool {
    let mut pool = Pool::default();
    for number in 0..AGENTS {
        pool.insert(address(number), Candidate::new(Instance::new(1), 7, 2_000));
    }
    pool
}
