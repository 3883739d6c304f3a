//! Frames between processes: a packet from or to a caller, or a message between peers.
//!
//! Layout: version byte, key index, sixteen-byte MAC, header (postcard), packet. The MAC covers the
//! header, the length of the packet and its first bytes. QUIC protects the rest of the packet end
//! to end, so hashing all of it would add cost without benefit. The two highest bits of the version
//! byte are zero, which is not the case for any packet of QUIC version 1.

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
/// Number of bytes of the packet that the MAC covers.
const COVERED: usize = 64;
/// Maximum difference between the time stamp of a frame and the clock, in milliseconds. Other
/// frames are dropped.
pub const MAX_SKEW_MS: u64 = 30_000;
/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM: usize = 2_048;

/// Header of a packet from a caller to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inbound {
    /// Class of the address that received the packet.
    pub class: class::Id,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The balancer that received the packet.
    pub via: SocketAddr,
    /// The agent's instance that must accept the packet.
    pub instance: Instance,
    /// Set if the packet opens a flow.
    pub opening: Option<Opening>,
}

/// Header of a packet from an agent to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outbound {
    /// Class of the address from which the packet is sent.
    pub class: class::Id,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The agent that sent the packet.
    pub agent: Hop,
    /// Load of the agent's backend server.
    pub report: Report,
}

/// Header of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Header {
    /// See [`Inbound`].
    Inbound(Inbound),
    /// See [`Outbound`].
    Outbound(Outbound),
    /// A message from the peer at this address.
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
    /// The header.
    pub header: Header,
    /// The packet of the caller or agent.
    pub packet: &'a [u8],
}

/// Reason why a frame is dropped. Drops are counted by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The datagram is too short or has another version.
    #[error("not a frame")]
    Shape,
    /// The key index is not accepted.
    #[error("frame names key {0}, which is not accepted here")]
    Key(u8),
    /// The MAC does not match: the frame is forged or damaged.
    #[error("frame authentication failed")]
    Mac,
    /// The frame was sent too long ago, or the clocks of both hosts differ too much.
    #[error("time stamp of frame differs from the clock by {0} ms")]
    Stale(u64),
    /// The header cannot be decoded.
    #[error("frame header is malformed")]
    Header,
}

/// Returns whether a datagram is a frame and not a packet of a caller.
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
    // Encoding into a growable buffer fails only for types that cannot be serialized; tests encode
    // these types.
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
/// The MAC guards against senders without the key, for which the system would be an open reflector.
/// The time stamp guards against replays of recorded frames.
///
/// # Errors
/// If the datagram is not a valid frame.
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
    if !constant_time_eq(&expected, &datagram[2..HEADER_AT]) {
        return Err(Fault::Mac);
    }
    let skew_ms = now.since(stamped.stamp).max(stamped.stamp.since(now));
    if skew_ms > MAX_SKEW_MS {
        return Err(Fault::Stale(skew_ms));
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

/// Compares two MACs in constant time.
fn constant_time_eq(one: &[u8; MAC], other: &[u8]) -> bool {
    one.iter().zip(other).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}
