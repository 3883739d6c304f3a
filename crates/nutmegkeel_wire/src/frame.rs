//! Frames between processes: a caller's packet on its way in or out, or a message of a peer.
//!
//! Layout: version byte, key index, sixteen bytes MAC, the header (postcard), the packet. The MAC
//! covers the header, the packet's length and its first bytes. The rest of a packet is protected
//! end to end by QUIC itself, so hashing all of it twice more would buy nothing. The version byte
//! has both upper bits clear, which no QUIC packet of version 1 has.

use std::net::SocketAddr;

use nutmegkeel_core::agent::Opening;
use nutmegkeel_core::class;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::load::Report;
use nutmegkeel_core::member::Instance;
use nutmegkeel_core::peer::Message;
use nutmegkeel_core::placement::Hop;
use serde::{Deserialize, Serialize};

use crate::key::{Index, Key, Ring};

/// Version of the layout.
const VERSION: u8 = 1;
const MAC: usize = 16;
const HEADER_AT: usize = 2 + MAC;
/// Bytes of the packet that the MAC covers.
const COVERED: usize = 64;
/// A frame whose stamp differs more from the clock is dropped, in milliseconds.
pub const STALE_MS: u64 = 30_000;
/// Largest datagram that is read.
pub const LARGEST: usize = 2_048;

/// A caller's packet on its way to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inbound {
    /// Class of the address that it came by.
    pub class: class::Id,
    /// The caller's address.
    pub caller: SocketAddr,
    /// The balancer it came by.
    pub via: SocketAddr,
    /// The run that must take it.
    pub instance: Instance,
    /// Set when it opens a flow.
    pub opening: Option<Opening>,
}

/// An agent's packet on its way to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outbound {
    /// Class of the address that it leaves by.
    pub class: class::Id,
    /// The caller's address.
    pub caller: SocketAddr,
    /// The agent that answers.
    pub agent: Hop,
    /// The load of the agent's backend server.
    pub report: Report,
}

/// What a frame is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Header {
    /// See [`Inbound`].
    Inbound(Inbound),
    /// See [`Outbound`].
    Outbound(Outbound),
    /// A message of the peer at this address.
    Message(SocketAddr, Message),
}

#[derive(Serialize, Deserialize)]
struct Stamped {
    stamp: Time,
    header: Header,
}

/// A decoded frame. The packet is empty for messages.
#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// What it is.
    pub header: Header,
    /// The caller's or the agent's packet.
    pub packet: &'a [u8],
}

/// Why bytes are no frame of this system. Each one is a counted drop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Too short, or of another version.
    #[error("not a frame")]
    Shape,
    /// Made with a key that is not accepted here.
    #[error("frame names key {0}, which is not accepted here")]
    Key(u8),
    /// Forged or damaged.
    #[error("frame authentication failed")]
    Mac,
    /// Sent long ago, or by a host whose clock is far off.
    #[error("frame is {0} ms away from this clock")]
    Stale(u64),
    /// The header cannot be read.
    #[error("frame header is malformed")]
    Header,
}

/// Whether a datagram is a frame rather than a caller's packet.
#[must_use]
pub fn is_frame(datagram: &[u8]) -> bool {
    datagram.first() == Some(&VERSION)
}

/// Encodes a frame into `buffer`, which is cleared first.
pub fn encode(ring: &Ring, now: Time, header: Header, packet: &[u8], buffer: &mut Vec<u8>) {
    let (index, key) = ring.used();
    buffer.clear();
    buffer.extend_from_slice(&[VERSION, index.0]);
    buffer.extend_from_slice(&[0; MAC]);
    let stamped = Stamped { stamp: now, header };
    let start = std::mem::take(buffer);
    // Writing to memory fails only when a type cannot be serialised, which a test rules out.
    *buffer = postcard::to_extend(&stamped, start).unwrap_or_default();
    let header_end = buffer.len();
    buffer.extend_from_slice(packet);
    if let Some(body) = buffer.get(HEADER_AT..) {
        let mac = mac(key, index, body, header_end - HEADER_AT);
        buffer[2..HEADER_AT].copy_from_slice(&mac);
    }
}

/// Decodes a frame.
///
/// Guards against senders without the key (the system is no open reflector) and against frames
/// recorded and sent again later.
///
/// # Errors
/// Says why the bytes are not a frame to act upon.
pub fn decode<'a>(ring: &Ring, now: Time, datagram: &'a [u8]) -> Result<Frame<'a>, Fault> {
    if datagram.len() < HEADER_AT || !is_frame(datagram) {
        return Err(Fault::Shape);
    }
    let index = Index(datagram[1]);
    let key = ring.get(index).ok_or(Fault::Key(index.0))?;
    let body = &datagram[HEADER_AT..];
    let (stamped, packet) =
        postcard::take_from_bytes::<Stamped>(body).map_err(|_| Fault::Header)?;
    let expected = mac(key, index, body, body.len() - packet.len());
    if !same(&expected, &datagram[2..HEADER_AT]) {
        return Err(Fault::Mac);
    }
    let off = now.since(stamped.stamp).max(stamped.stamp.since(now));
    if off > STALE_MS {
        return Err(Fault::Stale(off));
    }
    Ok(Frame { header: stamped.header, packet })
}

fn mac(key: &Key, index: Index, body: &[u8], header: usize) -> [u8; MAC] {
    let covered = body.len().min(header + COVERED);
    let mut hasher = blake3::Hasher::new_keyed(&key.frame);
    hasher.update(&[index.0]);
    hasher.update(&(body.len() as u64).to_be_bytes());
    hasher.update(&body[..covered]);
    let mut mac = [0; MAC];
    mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC]);
    mac
}

/// Compares without telling by its duration where two MACs differ.
fn same(one: &[u8; MAC], other: &[u8]) -> bool {
    one.iter().zip(other).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}
