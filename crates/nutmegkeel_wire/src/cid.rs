//! Encrypted connection IDs from which any balancer decodes the agent of a flow.
//!
//! They follow the routable connection IDs of the IETF draft on QUIC load balancing. Layout: one
//! byte key index, a sixteen-byte AES block (IPv4 address, port, instance, nonce) and a three-byte
//! tag over the class and the block.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use aes::Block;
use aes::cipher::{BlockDecrypt, BlockEncrypt};
use nutmegkeel_core::class;
use nutmegkeel_core::member::Instance;
use nutmegkeel_core::placement::Hop;

use crate::key::{Index, Key, Ring};

/// Length of an issued connection ID in bytes, which is the maximum in QUIC version 1 (RFC 9000,
/// section 17.2).
pub const LENGTH: usize = 20;
const BLOCK: usize = 16;
const TAG: usize = 3;
const NONCE: usize = 6;
const MAX_NONCE: u64 = (1 << (8 * NONCE)) - 1;

/// An encoded connection ID.
pub type Bytes = [u8; LENGTH];

/// Reason why a connection ID cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The length is not that of an issued connection ID.
    #[error("connection ID has {0} bytes, issued ones have {LENGTH}")]
    Length(usize),
    /// The key index is not accepted.
    #[error("connection ID names key {0}, which is not accepted here")]
    Key(u8),
    /// The tag does not match: the ID is forged, damaged or issued for another class.
    #[error("connection ID does not belong to this class address")]
    Tag,
    /// The agent's address is not IPv4.
    #[error("agent address {0} is not IPv4, so it does not fit a connection ID")]
    Address(SocketAddr),
}

/// Encodes a connection ID for a flow at `hop`. Each call of one instance needs another `nonce`.
///
/// # Errors
/// [`Fault::Address`] if the address of the agent is not IPv4.
pub fn encode(ring: &Ring, class: class::Id, hop: Hop, nonce: u64) -> Result<Bytes, Fault> {
    let SocketAddr::V4(address) = hop.address else {
        return Err(Fault::Address(hop.address));
    };
    let mut plain = [0; BLOCK];
    plain[..4].copy_from_slice(&address.ip().octets());
    plain[4..6].copy_from_slice(&address.port().to_be_bytes());
    plain[6..10].copy_from_slice(&hop.instance.number().to_be_bytes());
    plain[10..].copy_from_slice(&(nonce & MAX_NONCE).to_be_bytes()[8 - NONCE..]);

    let (index, key) = ring.used();
    let mut block = Block::from(plain);
    key.cid_block.encrypt_block(&mut block);
    let mut bytes = [0; LENGTH];
    bytes[0] = index.0;
    bytes[1..=BLOCK].copy_from_slice(&block);
    bytes[1 + BLOCK..].copy_from_slice(&tag(key, class, &block));
    Ok(bytes)
}

/// Decodes the agent of the flow with this connection ID.
///
/// Guards against packets that reach a backend server of another class: the tag covers the class
/// whose address received the packet, so an ID that is forged or was issued for another class is
/// refused.
///
/// # Errors
/// If the bytes were not issued by this system for this class.
pub fn decode(ring: &Ring, class: class::Id, bytes: &[u8]) -> Result<Hop, Fault> {
    let bytes: &Bytes = bytes.try_into().map_err(|_| Fault::Length(bytes.len()))?;
    let key = ring.get(Index(bytes[0])).ok_or(Fault::Key(bytes[0]))?;
    let mut cipher = [0; BLOCK];
    cipher.copy_from_slice(&bytes[1..=BLOCK]);
    if tag(key, class, &cipher) != bytes[1 + BLOCK..] {
        return Err(Fault::Tag);
    }
    let mut block = Block::from(cipher);
    key.cid_block.decrypt_block(&mut block);
    let ip = Ipv4Addr::new(block[0], block[1], block[2], block[3]);
    let port = u16::from_be_bytes([block[4], block[5]]);
    let instance = u32::from_be_bytes([block[6], block[7], block[8], block[9]]);
    let address = SocketAddr::V4(SocketAddrV4::new(ip, port));
    Ok(Hop { address, instance: Instance::new(instance) })
}

fn tag(key: &Key, class: class::Id, block: &[u8]) -> [u8; TAG] {
    let mut input = [0; 8 + BLOCK];
    input[..8].copy_from_slice(&class.number().to_be_bytes());
    input[8..].copy_from_slice(block);
    let hash = blake3::keyed_hash(&key.cid_tag, &input);
    let mut tag = [0; TAG];
    tag.copy_from_slice(&hash.as_bytes()[..TAG]);
    tag
}
