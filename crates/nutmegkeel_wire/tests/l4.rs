//! Encoding of datagrams between balancers and agents.

use std::net::{Ipv4Addr, SocketAddrV4};

use nutmegkeel_core::l4::balancer::{introductions, summary};
use nutmegkeel_core::l4::checkpoint::Checkpoint;
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::handover;
use nutmegkeel_core::l4::message::{
    Gossip, Inventory, Load, Message, Reason, Report, State, Summary,
};
use nutmegkeel_core::l4::route::Service;
use nutmegkeel_core::l4::server::Incarnation;
use nutmegkeel_core::revision::{Era, Revision};
use nutmegkeel_wire::l4::{Fault, MAX_DATAGRAM, decode, encode};
use quickcheck::QuickCheck;

fn declined() -> Message {
    Message::Declined { reason: Reason::Busy, load: Load { busy: 3, flows: 70, service_ms: 44 } }
}

#[test]
fn a_message_and_the_packet_after_it_are_decoded_unchanged() {
    let mut datagram = Vec::new();

    encode(&declined(), b"packet", &mut datagram);

    assert_eq!(decode(&datagram), Ok((declined(), b"packet".as_slice())));
}

#[test]
fn another_version_is_refused() {
    let mut datagram = Vec::new();
    encode(&declined(), b"", &mut datagram);
    datagram[0] += 1;

    assert_eq!(decode(&datagram), Err(Fault::Version));
    assert_eq!(decode(&[]), Err(Fault::Version));
}

#[test]
fn random_bytes_do_not_cause_a_panic() {
    fn decodes_without_panic(bytes: Vec<u8>) -> bool {
        let _ = decode(&bytes);
        let _ = decode(&[&version(), bytes.as_slice()].concat());
        true
    }
    QuickCheck::new().tests(5_000).quickcheck(decodes_without_panic as fn(Vec<u8>) -> bool);
}

/// Returns the version byte of a datagram.
fn version() -> [u8; 1] {
    let mut datagram = Vec::new();
    encode(&declined(), b"", &mut datagram);
    [datagram[0]]
}

/// Returns orders to evacuate this number of failure domains.
fn evacuated(domains: u8) -> Orders {
    let name = |number| format!("a-failure-domain-with-long-name-{number}").into();
    let revision = Revision { era: Era(1_000), number: u64::MAX >> 20 };
    Orders { revision, domains: (0..domains).map(name).collect() }
}

/// Guards against lists of flows, summaries and rosters that are lost because their datagram is
/// longer than the buffer of the receiver.
#[test]
fn the_longest_messages_fit_into_a_datagram() {
    let end = |number: u16| SocketAddrV4::new(Ipv4Addr::new(203, 0, 113, 200), 60_000 + number);
    let flow = |number| (Flow { client: end(number), service: end(0) }, u32::MAX);
    let count = u16::try_from(handover::MAX_FLOWS).expect("a short list");
    let server = Incarnation { id: "i-0123456789abcdef".into(), started_ms: Some(u64::MAX >> 20) };
    let flows = (0..count).map(flow).collect();
    let list = Message::SaveFlows(Checkpoint { number: u64::MAX >> 20, server, flows });
    let report = Report {
        agent: Ipv4Addr::new(203, 0, 113, 200),
        age_ms: 10_000,
        incarnation: u64::MAX >> 20,
        number: 1 << 20,
        service: Some(3),
        slots: 1_000,
        cold: true,
        room: Some(1_000),
        state: State::Restarting,
        sees_all_flows: true,
        load: Load { busy: 1_000, flows: 10_000, service_ms: 1_000 },
    };
    let services = (0..4).map(|number| Service::named(&format!("service-{number}"))).collect();
    let agents = Summary {
        domain: "a-failure-domain-with-a-long-name".into(),
        services,
        reports: vec![report; summary::REPORTS_PER_DATAGRAM],
        forwarded: false,
    };
    let summary = Message::Summary(agents.clone());
    let (request, part, parts) = (u32::MAX, u16::MAX - 1, u16::MAX);
    let inventory = Message::Agents(Inventory { request, part, parts, agents });

    let roster = Message::Gossip(Gossip {
        version: u64::MAX >> 20,
        domain: "a-failure-domain-with-a-long-name".into(),
        digest: u64::MAX,
        known: 100_000,
        balancers: vec![Ipv4Addr::new(203, 0, 113, 200); introductions::ADDRESSES_PER_DATAGRAM],
        agents: 100_000,
        knows_all_agents: true,
        reaches_store: true,
        leaving: false,
        orders: Some(evacuated(18)),
    });

    for message in [list, summary, inventory, roster] {
        let mut datagram = Vec::new();
        encode(&message, b"", &mut datagram);

        assert!(datagram.len() <= MAX_DATAGRAM, "{} bytes", datagram.len());
    }
}
