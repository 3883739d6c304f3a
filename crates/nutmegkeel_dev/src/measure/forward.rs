//! Processor time of a balancer per packet of an open flow, compared with a plain UDP relay.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nutmegkeel_core::class;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::load::Report;
use nutmegkeel_core::member::Instance;
use nutmegkeel_core::placement::Hop;
use nutmegkeel_standin::process::Process;
use nutmegkeel_wire::frame::{self, Header, Outbound};
use nutmegkeel_wire::{cid, key::Ring};
use serde_json::{Map, json};

use crate::demo::deployment::{CLASSES, Deployment};
use crate::port;
use crate::standin::fabric::Trouble;

/// Length of a caller's packet, in bytes.
const PACKET: usize = 1_200;
/// Maximum number of packets in flight; they fit in a socket's buffer.
const WINDOW: u64 = 64;
/// Duration of one run.
const LENGTH: Duration = Duration::from_secs(3);
/// Number of runs of each path. The paths take turns, and the median is reported.
const RUNS: usize = 3;
/// Kernel clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

struct Sample {
    per_second: f64,
    cpu_us: f64,
}

/// Runs the measurement, which reports the ratio to the relay and always passes.
///
/// # Errors
/// When the system does not come up.
pub(super) fn run() -> io::Result<bool> {
    let deployment = Deployment::open(Trouble::default())?;
    std::thread::sleep(Duration::from_secs(2));
    let keys = deployment.keys()?;
    let (class_address, frames, balancer) = deployment.balancer(0)?;
    let mut paths: [(&str, Vec<Sample>); 3] =
        [("plain relay", Vec::new()), ("inbound", Vec::new()), ("outbound", Vec::new())];
    for _ in 0..RUNS {
        paths[0].1.push(relayed()?);
        paths[1].1.push(inbound(&keys, class_address, balancer)?);
        paths[2].1.push(outbound(&keys, frames, balancer)?);
    }
    println!("{:<12} {:>12} {:>16} {:>14}", "way", "packets/s", "cpu us a packet", "times relay");
    let mut line = Map::new();
    let mut relay_us = 0.0;
    for (name, results) in &mut paths {
        results.sort_by(|one, other| one.cpu_us.total_cmp(&other.cpu_us));
        let median = &results[RUNS / 2];
        if *name == "plain relay" {
            relay_us = median.cpu_us;
        }
        let ratio = median.cpu_us / relay_us;
        println!("{name:<12} {:>12.0} {:>16.2} {ratio:>14.2}", median.per_second, median.cpu_us);
        line.insert(
            name.replace(' ', "_"),
            json!({"packets_per_second": median.per_second.round(), "cpu_us": median.cpu_us,
                "times_relay": ratio}),
        );
    }
    super::print_line(line);
    Ok(true)
}

fn relayed() -> io::Result<Sample> {
    let target = receiver()?;
    let from = port::free(1)?[0];
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["relay", &from.to_string(), &target.local_addr()?.to_string()]);
    let relay = Process::spawn(command.stdin(Stdio::null()).stdout(Stdio::null()))?;
    std::thread::sleep(Duration::from_millis(200));
    pump(from, &[0x40; PACKET], &target, relay.id())
}

/// Measures packets from a caller through the balancer to an agent.
fn inbound(keys: &Ring, class_address: SocketAddr, balancer: u32) -> io::Result<Sample> {
    let target = receiver()?;
    let hop = Hop { address: target.local_addr()?, instance: Instance::new(u32::MAX) };
    let id = cid::encode(keys, class::Id::of(CLASSES[0]), hop, 1).map_err(io::Error::other)?;
    let mut packet = [0x40; PACKET];
    packet[1..=id.len()].copy_from_slice(&id);
    pump(class_address, &packet, &target, balancer)
}

/// Measures frames from an agent through the balancer to a caller.
fn outbound(keys: &Ring, frames: SocketAddr, balancer: u32) -> io::Result<Sample> {
    let target = receiver()?;
    let outbound = Outbound {
        class: class::Id::of(CLASSES[0]),
        caller: target.local_addr()?,
        agent: Hop { address: target.local_addr()?, instance: Instance::new(1) },
        report: Report::default(),
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
    let now = Time::from_millis(u64::try_from(unix.as_millis()).map_err(io::Error::other)?);
    let mut datagram = Vec::new();
    frame::encode(keys, now, Header::Outbound(outbound), &[0x40; PACKET], &mut datagram);
    pump(frames, &datagram, &target, balancer)
}

fn receiver() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.set_read_timeout(Some(Duration::from_millis(50)))?;
    Ok(socket)
}

/// Sends the same datagram repeatedly, at most [`WINDOW`] datagrams ahead of the receiver.
fn pump(to: SocketAddr, datagram: &[u8], target: &UdpSocket, process: u32) -> io::Result<Sample> {
    let received = Arc::new(AtomicU64::new(0));
    let over = Arc::new(AtomicBool::new(false));
    let counting = {
        let (received, over, target) =
            (Arc::clone(&received), Arc::clone(&over), target.try_clone()?);
        std::thread::spawn(move || {
            let mut buffer = [0; 2 * PACKET];
            while !over.load(Ordering::Relaxed) {
                if target.recv_from(&mut buffer).is_ok() {
                    received.fetch_add(1, Ordering::Relaxed);
                }
            }
        })
    };
    let sender = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let cpu_before = cpu_seconds(process);
    let began = Instant::now();
    let (mut sent, mut stuck_since) = (0, Instant::now());
    while began.elapsed() < LENGTH {
        if sent - received.load(Ordering::Relaxed) < WINDOW {
            sender.send_to(datagram, to)?;
            sent += 1;
            stuck_since = Instant::now();
        } else if stuck_since.elapsed() > Duration::from_millis(100) {
            // Lost packets must not close the window permanently.
            sent = received.load(Ordering::Relaxed);
        } else {
            std::hint::spin_loop();
        }
    }
    let cpu = cpu_seconds(process) - cpu_before;
    over.store(true, Ordering::Relaxed);
    let _ = counting.join();
    let count = received.load(Ordering::Relaxed).max(1) as f64;
    Ok(Sample { per_second: count / LENGTH.as_secs_f64(), cpu_us: cpu * 1_000_000.0 / count })
}

/// Returns the processor time that a process has used, in seconds.
fn cpu_seconds(process: u32) -> f64 {
    const USER: usize = 11;
    const SYSTEM: usize = 12;
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
    (ticks(USER).unwrap_or_default() + ticks(SYSTEM).unwrap_or_default()) / TICKS_PER_SECOND
}
