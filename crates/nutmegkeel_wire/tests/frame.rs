//! Frames, connection IDs and resets, including forged, malformed, replayed and misdirected ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use nutmegkeel_core::class;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::load::Report;
use nutmegkeel_core::member::Instance;
use nutmegkeel_core::placement::Hop;
use nutmegkeel_wire::cid;
use nutmegkeel_wire::frame::{self, Fault, Header, MAX_SKEW_MS, Outbound};
use nutmegkeel_wire::key::Ring;
use nutmegkeel_wire::packet;
use nutmegkeel_wire::reset;
use quickcheck::{Gen, QuickCheck};

const NOW: Time = Time::from_millis(1_000_000);

fn secret(digit: char) -> String {
    std::iter::repeat_n(digit, 64).collect()
}

fn ring(accepted: &[(u8, char)], used: u8) -> Ring {
    let texts: BTreeMap<u8, String> =
        accepted.iter().map(|(index, digit)| (*index, secret(*digit))).collect();
    Ring::open(&texts, used).expect("the keys are well formed")
}

fn old_ring() -> Ring {
    ring(&[(1, 'a')], 1)
}

fn hop() -> Hop {
    let address = SocketAddr::from(([10, 1, 2, 3], 7_000));
    Hop { address, instance: Instance::new(77) }
}

fn header() -> Header {
    Header::Outbound(Outbound {
        class: class::Id::of("intake"),
        caller: SocketAddr::from(([192, 0, 2, 1], 40_000)),
        agent: hop(),
        report: Report { connections: 3, busy: 2, queued: 1 },
    })
}

fn encoded(packet: &[u8]) -> Vec<u8> {
    let mut buffer = Vec::new();
    frame::encode(&old_ring(), NOW, header(), packet, &mut buffer);
    buffer
}

#[test]
fn a_frame_is_decoded_unchanged() {
    let bytes = encoded(b"the packet");

    let frame = frame::decode(&old_ring(), NOW, &bytes).expect("the frame is whole");

    assert_eq!(frame.header, header());
    assert_eq!(frame.packet, b"the packet");
}

#[test]
fn a_truncated_frame_is_refused() {
    let bytes = encoded(b"the packet");

    for length in 0..bytes.len() {
        assert!(frame::decode(&old_ring(), NOW, &bytes[..length]).is_err(), "{length} bytes");
    }
}

#[test]
fn a_frame_changed_in_any_bit_is_refused() {
    let bytes = encoded(b"short");

    for bit in 0..bytes.len() * 8 {
        let mut forged = bytes.clone();
        forged[bit / 8] ^= 1 << (bit % 8);
        assert!(frame::decode(&old_ring(), NOW, &forged).is_err(), "bit {bit}");
    }
}

#[test]
fn a_replayed_frame_is_refused() {
    let bytes = encoded(b"the packet");

    let late = frame::decode(&old_ring(), NOW.after(MAX_SKEW_MS + 1), &bytes);

    assert_eq!(late, Err(Fault::Stale(MAX_SKEW_MS + 1)));
}

/// Guards against flows that break during a key rotation: the old and the new key must be accepted
/// while only one is used for sending.
#[test]
fn a_rotation_refuses_no_frame_and_no_connection_id() {
    let both = ring(&[(1, 'a'), (2, 'b')], 2);
    let class = class::Id::of("intake");
    let id = cid::encode(&old_ring(), class, hop(), 5).expect("the address fits");

    assert!(frame::decode(&both, NOW, &encoded(b"old")).is_ok());
    assert_eq!(cid::decode(&both, class, &id), Ok(hop()));
    let only_new = ring(&[(2, 'b')], 2);
    assert_eq!(cid::decode(&only_new, class, &id), Err(cid::Fault::Key(1)));
}

/// Guards against packets that reach a backend server of another class: a connection ID issued for
/// one class is used at the address of another.
#[test]
fn a_connection_id_of_another_class_is_refused() {
    let id = cid::encode(&old_ring(), class::Id::of("intake"), hop(), 5).expect("fits");

    let elsewhere = cid::decode(&old_ring(), class::Id::of("vault"), &id);

    assert_eq!(elsewhere, Err(cid::Fault::Tag));
}

#[test]
fn connection_ids_of_one_flow_look_unrelated() {
    let class = class::Id::of("intake");
    let one = cid::encode(&old_ring(), class, hop(), 1).expect("fits");
    let two = cid::encode(&old_ring(), class, hop(), 2).expect("fits");

    let same = one[1..].iter().zip(&two[1..]).filter(|(a, b)| a == b).count();

    assert!(same <= 3, "{same} of 19 bytes are the same");
}

#[test]
fn a_reset_is_shorter_than_the_packet_that_it_answers() {
    let id = cid::encode(&old_ring(), class::Id::of("intake"), hop(), 5).expect("fits");

    for trigger_length in 0..100 {
        if let Some(packet) = reset::packet(&old_ring(), &id, trigger_length, 1) {
            assert!(packet.len() < trigger_length);
        }
    }
    assert!(reset::packet(&old_ring(), &id, 22, 1).is_some());
}

/// Checks that random bytes are refused without a panic.
fn refused(bytes: Vec<u8>) -> bool {
    let class = class::Id::of("intake");
    let mut framed = vec![1, 1];
    framed.extend_from_slice(&bytes);
    let _ = packet::header(&bytes);
    frame::decode(&old_ring(), NOW, &framed).is_err()
        && frame::decode(&old_ring(), NOW, &bytes).is_err()
        && cid::decode(&old_ring(), class, &bytes).is_err()
}

#[test]
fn random_bytes_are_refused() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(200, 9)).tests(20_000);
    check.quickcheck(refused as fn(Vec<u8>) -> bool);
}
