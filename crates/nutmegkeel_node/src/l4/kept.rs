//! Packets that are kept until they can go on.

use std::collections::BTreeMap;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::flow::{Flow, Head};

/// Flows with a packet kept at most: 2.5 MB of full packets. At 1,500 openings a second for one
/// balancer it holds what comes in the first second after a start.
const MOST: usize = 2_000;

/// One packet.
#[derive(Debug)]
pub(super) struct Packet {
    pub(super) head: Head,
    pub(super) bytes: Vec<u8>,
    /// When it came.
    pub(super) at: Time,
}

/// The last packet of each flow that waits.
#[derive(Debug)]
pub(super) struct Packets {
    packets: BTreeMap<Flow, Packet>,
    longest_ms: u64,
}

impl Packets {
    /// No packets yet; each is worth nothing after `longest_ms`.
    pub(super) const fn open(longest_ms: u64) -> Self {
        Self { packets: BTreeMap::new(), longest_ms }
    }

    /// Keeps a packet that came at `at`; false if there is no room. One without data does not replace
    /// one with data.
    pub(super) fn keep(&mut self, now: Time, at: Time, head: Head, bytes: &[u8]) -> bool {
        if self.packets.len() >= MOST {
            let longest_ms = self.longest_ms;
            self.packets.retain(|_, packet| now.since(packet.at) <= longest_ms);
        }
        let known = self.packets.get(&head.flow);
        if known.is_none() && self.packets.len() >= MOST {
            return false;
        }
        if known.is_none_or(|known| head.len >= known.head.len) {
            self.packets.insert(head.flow, Packet { head, bytes: bytes.to_vec(), at });
        }
        true
    }

    /// Takes out the packet of a flow.
    pub(super) fn take(&mut self, now: Time, flow: &Flow) -> Option<Packet> {
        self.packets.remove(flow).filter(|packet| now.since(packet.at) <= self.longest_ms)
    }

    /// Takes out all packets, the oldest first.
    pub(super) fn take_all(&mut self, now: Time) -> Vec<Packet> {
        let packets = std::mem::take(&mut self.packets).into_values();
        let mut fresh: Vec<Packet> =
            packets.filter(|packet| now.since(packet.at) <= self.longest_ms).collect();
        fresh.sort_by_key(|packet| packet.at);
        fresh
    }
}
