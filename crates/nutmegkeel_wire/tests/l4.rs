//! Datagrams between balancers and agents.

use nutmegkeel_core::l4::message::{Load, Message, Reason};
use nutmegkeel_wire::l4::{Fault, decode, encode};
use quickcheck::QuickCheck;

fn declined() -> Message {
    Message::Declined { reason: Reason::Busy, load: Load { busy: 3, flows: 70 } }
}

#[test]
fn a_message_and_the_packet_behind_it_come_back() {
    let mut datagram = Vec::new();

    encode(&declined(), b"packet", &mut datagram);

    assert_eq!(decode(&datagram), Ok((declined(), b"packet".as_slice())));
}

#[test]
fn another_version_is_not_understood() {
    let mut datagram = Vec::new();
    encode(&declined(), b"", &mut datagram);
    datagram[0] += 1;

    assert_eq!(decode(&datagram), Err(Fault::Version));
    assert_eq!(decode(&[]), Err(Fault::Version));
}

#[test]
fn no_bytes_end_the_process() {
    fn holds(bytes: Vec<u8>) -> bool {
        let _ = decode(&bytes);
        let _ = decode(&[&[1], bytes.as_slice()].concat());
        true
    }
    QuickCheck::new().tests(5_000).quickcheck(holds as fn(Vec<u8>) -> bool);
}
