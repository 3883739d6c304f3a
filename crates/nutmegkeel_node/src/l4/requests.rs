//! Packets of requests that wait at an agent for a slot.

use std::collections::BTreeMap;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::flow::{Flow, Head};

/// Maximum number of packets kept: 2.5 MB of full packets.
const MAX_PACKETS: usize = 2_000;

/// Maximum number of packets kept of one request: a client sends no more without an answer.
const MAX_PACKETS_PER_FLOW: usize = 16;

/// One packet.
#[derive(Debug)]
struct Packet {
    seq: u32,
    bytes: Vec<u8>,
    received_at: Time,
}

/// The packets of each waiting request, in order of their first arrival.
#[derive(Debug)]
pub(super) struct Requests {
    packets: BTreeMap<Flow, Vec<Packet>>,
    count: usize,
    ttl_ms: u64,
}

impl Requests {
    /// Creates an empty collection, in which packets expire after `ttl_ms`.
    pub(super) const fn open(ttl_ms: u64) -> Self {
        Self { packets: BTreeMap::new(), count: 0, ttl_ms }
    }

    /// Keeps a packet; returns false if there is no room.
    ///
    /// Guards against requests of several packets of which only the last one would reach the
    /// server. The server would wait until the client sends the others again. The request would
    /// count as in progress in that time, so that a slot would be blocked without work.
    pub(super) fn keep(&mut self, now: Time, head: &Head, bytes: &[u8]) -> bool {
        if self.count >= MAX_PACKETS {
            self.drop_expired(now);
        }
        let packet = Packet { seq: head.seq, bytes: bytes.to_vec(), received_at: now };
        let known = self.packets.get_mut(&head.flow);
        let mut known = known.into_iter().flatten();
        if let Some(again) = known.find(|known| known.seq == head.seq) {
            *again = packet;
            return true;
        }
        let of_flow = self.packets.get(&head.flow).map_or(0, Vec::len);
        if self.count >= MAX_PACKETS || of_flow >= MAX_PACKETS_PER_FLOW {
            return false;
        }
        self.packets.entry(head.flow).or_default().push(packet);
        self.count += 1;
        true
    }

    /// Removes the packets of a flow, and returns those that have not expired.
    pub(super) fn take(&mut self, now: Time, flow: &Flow) -> Vec<Vec<u8>> {
        let packets = self.packets.remove(flow).unwrap_or_default();
        self.count -= packets.len();
        let fresh =
            packets.into_iter().filter(|packet| now.since(packet.received_at) <= self.ttl_ms);
        fresh.map(|packet| packet.bytes).collect()
    }

    fn drop_expired(&mut self, now: Time) {
        let ttl_ms = self.ttl_ms;
        self.packets.retain(|_, packets| {
            packets.retain(|packet| now.since(packet.received_at) <= ttl_ms);
            !packets.is_empty()
        });
        self.count = self.packets.values().map(Vec::len).sum();
    }
}

#[cfg(test)]
mod tests {
    use std::net::{Ipv4Addr, SocketAddrV4};

    use nutmegkeel_core::l4::flow::Flags;

    use super::*;

    fn head(port: u16, seq: u32) -> Head {
        let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port);
        let service = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
        let flags = Flags { ack: true, ..Flags::default() };
        Head { flow: Flow { client, service }, flags, seq, ack: 501, len: 100, tag: 0 }
    }

    fn at(millis: u64) -> Time {
        Time::from_millis(millis)
    }

    /// Guards against a request of two packets of which only the second reaches the server. It is
    /// not answered until the client sends the first one again.
    #[test]
    fn packets_of_a_request_are_released_in_order_of_first_arrival() {
        let mut requests = Requests::open(10_000);
        requests.keep(at(0), &head(1, 1_001), b"head");
        requests.keep(at(1), &head(1, 1_101), b"body");
        requests.keep(at(2), &head(2, 1_001), b"other");
        requests.keep(at(200), &head(1, 1_001), b"head again");

        let packets = requests.take(at(300), &head(1, 0).flow);

        assert_eq!(packets, [b"head again".to_vec(), b"body".to_vec()]);
        assert!(requests.take(at(300), &head(1, 0).flow).is_empty());
        assert_eq!(requests.count, 1);
    }

    #[test]
    fn capacity_limits_are_enforced() {
        let mut requests = Requests::open(10_000);
        let of_one = (0..100).filter(|seq| requests.keep(at(0), &head(1, *seq), b"data"));
        assert_eq!(of_one.count(), MAX_PACKETS_PER_FLOW);

        let of_many = (2..5_000).filter(|port| requests.keep(at(1), &head(*port, 1), b"data"));
        let kept = of_many.count();

        assert_eq!(kept, MAX_PACKETS - MAX_PACKETS_PER_FLOW);
        assert!(requests.packets.len() <= MAX_PACKETS, "no entries exist for rejected packets");
        assert!(requests.keep(at(10_001), &head(6_000, 1), b"data"), "expired packets are dropped");
    }
}
