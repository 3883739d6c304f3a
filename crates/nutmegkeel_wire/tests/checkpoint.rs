//! Encoding of lists of flows in the store.

use std::net::{Ipv4Addr, SocketAddrV4};

use nutmegkeel_core::l4::checkpoint::Checkpoint;
use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::server::Incarnation;
use nutmegkeel_wire::checkpoint::{decode, encode};
use quickcheck::quickcheck;

quickcheck! {
    fn a_list_is_decoded_unchanged(server: String, started_ms: Option<u64>, ports: Vec<u16>, ack: u32) -> bool {
        let ends = |port| Flow {
            client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
            service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        };
        let flows = ports.into_iter().map(|port| (ends(port), ack)).collect();
        let list = Checkpoint { number: 7, server: Incarnation { id: server.into(), started_ms }, flows };
        decode(&encode(&list)) == Some(list)
    }

    fn random_bytes_do_not_make_the_decoder_panic(bytes: Vec<u8>) -> bool {
        let list = decode(&bytes);
        list.is_none() || bytes.first() == Some(&2)
    }
}
