//! A flow and the parts of its packets that decisions look at.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::placement::Key;

/// Both ends of a flow, the same for packets of either direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Flow {
    /// Address and port of the client.
    pub client: SocketAddrV4,
    /// Address and port that the client opened, which a route names.
    pub service: SocketAddrV4,
}

impl Flow {
    /// Key that spreads flows over agents; the same on every process.
    #[must_use]
    pub fn key(&self) -> Key {
        Key::of(&[
            &self.client.ip().octets(),
            &self.client.port().to_be_bytes(),
            &self.service.ip().octets(),
            &self.service.port().to_be_bytes(),
        ])
    }
}

impl std::fmt::Display for Flow {
    /// The id of a flow in logs: what a client's own log holds, `CLIENT:PORT>SERVICE:PORT`.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}>{}", self.client, self.service)
    }
}

/// Control bits of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "the bits of a packet are independent")]
pub struct Flags {
    /// Opens a flow.
    pub syn: bool,
    /// The acknowledgement number counts.
    pub ack: bool,
    /// The sender sends no more data.
    pub fin: bool,
    /// The sender gave the flow up.
    pub rst: bool,
    /// The backend server does not hold the flow, or cannot accept it, and hands the packet back.
    pub bounced: bool,
}

/// Direction of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client.
    ToService,
    /// From the backend server.
    ToClient,
}

/// What decisions see of one packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The flow it belongs to.
    pub flow: Flow,
    /// Its control bits.
    pub flags: Flags,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number; on an opening, the number of copies sent before.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
    /// Number that the agent wrote into the packet, which a bounced packet brings back.
    pub tag: u32,
}

impl Head {
    /// Whether the packet opens a flow.
    #[must_use]
    pub const fn opens(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Sequence number just behind this packet's data.
    #[must_use]
    pub const fn next_seq(&self) -> u32 {
        self.seq.wrapping_add(self.len as u32)
    }
}

/// A client gives an opening up after this, in milliseconds.
pub const OPENING_ENDS_MS: u64 = 1_400;

/// A packet whose data ends at most this far behind what came before brings something new.
pub const DATA_REACH: u32 = 1 << 30;

/// Whether `number` lies within `reach` behind `base`, counted modulo 2^32.
#[must_use]
pub const fn follows(number: u32, base: u32, reach: u32) -> bool {
    let ahead = number.wrapping_sub(base);
    ahead >= 1 && ahead <= reach
}
