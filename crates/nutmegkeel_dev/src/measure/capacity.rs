//! Memory and processor time of one process by the number of members, agents and classes that it
//! knows, for docs/CAPACITY.md.

use std::hint::black_box;
use std::io;
use std::process::Command;
use std::time::Instant;

use nutmegkeel_core::class::Target;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::configuration::{Entry, Revision};
use nutmegkeel_core::member::{Health, Instance, Rumor};
use nutmegkeel_core::membership::{MAX_RUMORS, Membership, Message, Timing};
use nutmegkeel_core::peer::Peer;
use nutmegkeel_core::placement::{Candidate, Key, Pool, Rule};
use nutmegkeel_fake::fleet::{agent, balancer};
use nutmegkeel_standin::guard;
use serde_json::{Map, Value, json};

/// Numbers of members known to one process.
const MEMBERS: [u32; 4] = [2_000, 10_000, 50_000, 200_000];
/// Numbers of agents of one class.
const AGENTS: [u32; 4] = [10, 100, 1_000, 10_000];
/// Numbers of classes, with one address each.
const CLASSES: [u32; 4] = [1_000, 8_000, 30_000, 71_000];
/// Number of ticks over which the time of one is averaged.
const TICKS: u64 = 200;
/// Number of placements over which the time of one is averaged.
const PLACEMENTS: u64 = 2_000;

/// One data point, measured in a process of its own so that earlier points do not use its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// This number of members known to one process.
    Members(u32),
    /// This number of agents in one class.
    Agents(u32),
    /// This number of classes.
    Classes(u32),
}

impl Point {
    /// Returns the point called `name`, such as `members`.
    #[must_use]
    pub fn of(name: &str, count: u32) -> Option<Self> {
        match name {
            "members" => Some(Self::Members(count)),
            "agents" => Some(Self::Agents(count)),
            "classes" => Some(Self::Classes(count)),
            _ => None,
        }
    }
}

/// Runs the measurement, which has no aim and always passes.
///
/// # Errors
/// When a point's process cannot be started.
pub(super) fn run() -> io::Result<bool> {
    let mut line = Map::new();
    for (name, counts) in [("members", MEMBERS), ("agents", AGENTS), ("classes", CLASSES)] {
        for count in counts {
            let figures = measure_in_subprocess(name, count)?;
            println!("{name:<8} {count:>8} {figures}");
            line.insert(format!("{name}_{count}"), figures);
        }
    }
    super::print_line(line);
    Ok(true)
}

fn measure_in_subprocess(name: &str, count: u32) -> io::Result<Value> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["measure", "capacity-point", name, &count.to_string()]);
    let output = guard::output(&mut command)?;
    Ok(serde_json::from_slice(&output.stdout)?)
}

/// Measures one point and prints its figures as JSON.
pub(super) fn run_point(point: Point) -> bool {
    let figures = match point {
        Point::Members(count) => measure_members(count),
        Point::Agents(count) => measure_agents(count),
        Point::Classes(count) => measure_classes(count),
    };
    println!("{figures}");
    true
}

fn measure_members(members: u32) -> Value {
    let before = resident_bytes();
    let mut membership = Membership::open(balancer(0), Timing::default(), 1);
    let began = Instant::now();
    for first in (1..=members).step_by(MAX_RUMORS) {
        let last = members.min(first + MAX_RUMORS as u32 - 1);
        let view = (first..=last).map(rumor).collect();
        membership.receive(Time::ZERO, balancer(1).address, Message::View(view));
    }
    let learn_us = micros_each(began, u64::from(members));
    let bytes = resident_bytes().saturating_sub(before) / u64::from(members);
    let began = Instant::now();
    for tick in 0..TICKS {
        black_box(membership.tick(Time::from_millis(tick * 50)));
    }
    let tick_us = micros_each(began, TICKS);
    json!({"bytes_each": bytes, "tick_us": tick_us, "learn_us": learn_us})
}

fn rumor(number: u32) -> Rumor {
    let mut record = agent(0, &format!("class-{}", number / 3));
    let [_, high, middle, low] = number.to_be_bytes();
    record.address = std::net::SocketAddr::from(([10, high + 1, middle, low], 7_000));
    Rumor { record, health: Health::Alive }
}

fn measure_agents(agents: u32) -> Value {
    let before = resident_bytes();
    let mut pool = Pool::default();
    for number in 0..agents {
        let address = rumor(number).record.address;
        pool.insert(address, Candidate::new(Instance::new(1), 7, 2_000));
    }
    let bytes = resident_bytes().saturating_sub(before) / u64::from(agents);
    let began = Instant::now();
    for flow in 0..PLACEMENTS {
        black_box(pool.place(Key::new(flow * 0x9e37), Rule::LoadedRendezvous, 3));
    }
    let place_us = micros_each(began, PLACEMENTS);
    json!({"place_us": place_us, "bytes_each": bytes})
}

fn measure_classes(classes: u32) -> Value {
    let before = resident_bytes();
    let mut peer = Peer::open(balancer(0), Timing::default(), 1);
    let began = Instant::now();
    for number in 1..=classes {
        let name = format!("class-{number}").into();
        let target = Some(Target::default());
        black_box(peer.apply_entries(vec![Entry {
            name,
            revision: Revision(number.into()),
            target,
        }]));
    }
    let learn_us = micros_each(began, u64::from(classes));
    let bytes = resident_bytes().saturating_sub(before) / u64::from(classes);
    json!({"bytes_each": bytes, "learn_us": learn_us})
}

fn micros_each(began: Instant, count: u64) -> f64 {
    began.elapsed().as_secs_f64() * 1_000_000.0 / count as f64
}

/// Returns the resident memory of this process as the kernel reports it, in bytes.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}
