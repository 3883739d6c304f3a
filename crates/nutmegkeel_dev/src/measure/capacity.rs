//! Slopes for docs/CAPACITY.md: what one process spends against the number of what it knows.

use std::hint::black_box;
use std::time::Instant;

use nutmegkeel_core::class::Target;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::configuration::{Entry, Revision};
use nutmegkeel_core::member::{Health, Instance, Rumor};
use nutmegkeel_core::membership::{Membership, Message, NEWS, Pace};
use nutmegkeel_core::peer::Peer;
use nutmegkeel_core::placement::{Candidate, Key, Pool, Rule};
use nutmegkeel_fake::fleet::{agent, balancer};
use serde_json::{Map, Value, json};

/// Members known to one process.
const MEMBERS: [u32; 4] = [2_000, 10_000, 50_000, 200_000];
/// Agents of one class.
const AGENTS: [u32; 4] = [10, 100, 1_000, 10_000];
/// Classes, one address each.
const CLASSES: [u32; 4] = [1_000, 8_000, 30_000, 71_000];
/// Ticks over which the cost of watching is taken.
const TICKS: u64 = 200;
/// Placements over which the cost of one is taken.
const PLACEMENTS: u64 = 2_000;

/// Runs the measurement; it has no aim of its own.
pub(super) fn run() -> bool {
    let mut line = Map::new();
    println!("{:>9} {:>16} {:>18} {:>16}", "members", "bytes each", "tick us", "learn us each");
    for members in MEMBERS {
        line.insert(format!("members_{members}"), of_members(members));
    }
    println!("{:>9} {:>16}", "agents", "place us");
    for agents in AGENTS {
        line.insert(format!("agents_{agents}"), of_agents(agents));
    }
    println!("{:>9} {:>16} {:>18}", "classes", "bytes each", "learn us each");
    for classes in CLASSES {
        line.insert(format!("classes_{classes}"), of_classes(classes));
    }
    super::print_line(line);
    true
}

fn of_members(members: u32) -> Value {
    let before = resident_bytes();
    let mut membership = Membership::open(balancer(0), Pace::default(), 1);
    let began = Instant::now();
    let view: Vec<Rumor> = (1..=members).map(rumor).collect();
    for part in view.chunks(NEWS) {
        let message = Message::View(part.to_vec());
        membership.receive(Time::ZERO, balancer(1).address, message);
    }
    let learn_us = micros_each(began, u64::from(members));
    drop(view);
    let bytes = resident_bytes().saturating_sub(before) / u64::from(members);
    let began = Instant::now();
    for tick in 0..TICKS {
        black_box(membership.tick(Time::from_millis(tick * 50)));
    }
    let tick_us = micros_each(began, TICKS);
    println!("{members:>9} {bytes:>16} {tick_us:>18.1} {learn_us:>16.2}");
    json!({"bytes_each": bytes, "tick_us": tick_us, "learn_us": learn_us})
}

fn rumor(number: u32) -> Rumor {
    let mut record = agent(0, &format!("class-{}", number / 3));
    let [_, high, middle, low] = number.to_be_bytes();
    record.address = std::net::SocketAddr::from(([10, high + 1, middle, low], 7_000));
    Rumor { record, health: Health::Alive }
}

fn of_agents(agents: u32) -> Value {
    let mut pool = Pool::default();
    for number in 0..agents {
        let address = rumor(number).record.address;
        pool.insert(address, Candidate::new(Instance::new(1), 7, 2_000));
    }
    let began = Instant::now();
    for flow in 0..PLACEMENTS {
        black_box(pool.place(Key::new(flow * 0x9e37), Rule::LoadedRendezvous, 3));
    }
    let place_us = micros_each(began, PLACEMENTS);
    println!("{agents:>9} {place_us:>16.2}");
    json!({"place_us": place_us})
}

fn of_classes(classes: u32) -> Value {
    let before = resident_bytes();
    let mut peer = Peer::open(balancer(0), Pace::default(), 1);
    let began = Instant::now();
    for number in 1..=classes {
        let name = format!("class-{number}").into();
        let target = Some(Target::default());
        black_box(peer.learn(vec![Entry { name, revision: Revision(number.into()), target }]));
    }
    let learn_us = micros_each(began, u64::from(classes));
    let bytes = resident_bytes().saturating_sub(before) / u64::from(classes);
    println!("{classes:>9} {bytes:>16} {learn_us:>18.2}");
    json!({"bytes_each": bytes, "learn_us": learn_us})
}

fn micros_each(began: Instant, count: u64) -> f64 {
    began.elapsed().as_secs_f64() * 1_000_000.0 / count as f64
}

/// Memory of this process in use, in bytes, as the kernel counts it.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}
