//! Flows, and the packet headers that decisions are based on.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::placement::Key;

/// Client and service address of a flow, the same for packets in both directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Flow {
    /// Address and port of the client.
    pub client: SocketAddrV4,
    /// Address and port that the client opened; the key of a route.
    pub service: SocketAddrV4,
}

impl Flow {
    /// Returns the key that distributes flows over agents; it is the same in every process.
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
    /// Writes the id of a flow in logs, `CLIENT:PORT>SERVICE:PORT`, as the client's own log has it.
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
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// The sender sends no more data.
    pub fin: bool,
    /// The sender aborted the flow.
    pub rst: bool,
    /// The backend server returned the packet because it does not hold the flow or cannot accept
    /// it.
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

/// Header fields of one packet that decisions use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The flow it belongs to.
    pub flow: Flow,
    /// Its control bits.
    pub flags: Flags,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number; in an opening, the number of copies sent before.
    pub ack: u32,
    /// Length of the data, in bytes.
    pub len: u16,
    /// Number that the agent wrote into the packet; a bounced packet returns it.
    pub tag: u32,
}

impl Head {
    /// Returns whether the packet opens a flow.
    #[must_use]
    pub const fn opens(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Returns the sequence number that follows this packet's data.
    #[must_use]
    pub const fn next_seq(&self) -> u32 {
        self.seq.wrapping_add(self.len as u32)
    }
}

/// Time after which a client abandons an opening, in milliseconds.
pub const OPENING_TIMEOUT_MS: u64 = 1_400;

/// A packet has new data if its data ends at most this far after the data received before.
pub const DATA_WINDOW: u32 = 1 << 30;

/// Returns whether `number` is at most `window` after `base`, modulo 2^32.
#[must_use]
pub const fn follows(number: u32, base: u32, window: u32) -> bool {
    let ahead = number.wrapping_sub(base);
    ahead >= 1 && ahead <= window
}
