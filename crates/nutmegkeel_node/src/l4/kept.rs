//! Packets that a balancer keeps until it can decide on them.

use std::collections::BTreeMap;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::flow::{Flow, Head};

/// Maximum number of flows with a kept packet: 2.5 MB of full packets. At 1,500 openings per second
/// for one balancer, this holds what arrives in the first second after a start.
const MAX_FLOWS: usize = 2_000;

/// One packet.
#[derive(Debug)]
pub(super) struct Packet {
    pub(super) head: Head,
    pub(super) bytes: Vec<u8>,
    /// Time at which it was received.
    pub(super) received_at: Time,
}

/// The last packet of each flow that waits.
#[derive(Debug)]
pub(super) struct Packets {
    packets: BTreeMap<Flow, Packet>,
    ttl_ms: u64,
}

impl Packets {
    /// Creates an empty collection, in which packets expire after `ttl_ms`.
    pub(super) const fn open(ttl_ms: u64) -> Self {
        Self { packets: BTreeMap::new(), ttl_ms }
    }

    /// Keeps a packet that was received at `received_at`; returns false if there is no room. A
    /// packet without data does not replace one with data.
    pub(super) fn keep(&mut self, now: Time, received_at: Time, head: Head, bytes: &[u8]) -> bool {
        if self.packets.len() >= MAX_FLOWS {
            let ttl_ms = self.ttl_ms;
            self.packets.retain(|_, packet| now.since(packet.received_at) <= ttl_ms);
        }
        let known = self.packets.get(&head.flow);
        if known.is_none() && self.packets.len() >= MAX_FLOWS {
            return false;
        }
        if known.is_none_or(|known| head.len >= known.head.len) {
            self.packets.insert(head.flow, Packet { head, bytes: bytes.to_vec(), received_at });
        }
        true
    }

    /// Removes and returns the packet of a flow, unless it has expired.
    pub(super) fn take(&mut self, now: Time, flow: &Flow) -> Option<Packet> {
        self.packets.remove(flow).filter(|packet| now.since(packet.received_at) <= self.ttl_ms)
    }

    /// Removes all packets, and returns those that have not expired, the oldest first.
    pub(super) fn take_all(&mut self, now: Time) -> Vec<Packet> {
        let packets = std::mem::take(&mut self.packets).into_values();
        let mut fresh: Vec<Packet> =
            packets.filter(|packet| now.since(packet.received_at) <= self.ttl_ms).collect();
        fresh.sort_by_key(|packet| packet.received_at);
        fresh
    }
}
