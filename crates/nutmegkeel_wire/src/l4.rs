//! Datagrams between balancers and agents for flows without a routing token: a version, a message,
//! and the client's packet if the message speaks of one.

use nutmegkeel_core::l4::message::Message;

/// Version of the encoding. A process of another version drops the datagram.
const VERSION: u8 = 5;

/// Longest datagram, in bytes: the longest packet and a message before it, or a part of a roster.
pub const LONGEST: usize = 2_048;

/// Why a datagram is not understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Empty, or of another version.
    #[error("no datagram of this version")]
    Version,
    /// The message cannot be decoded.
    #[error("message cannot be decoded")]
    Message,
}

/// Encodes a message and the packet behind it into `buffer`.
pub fn encode(message: &Message, packet: &[u8], buffer: &mut Vec<u8>) {
    buffer.clear();
    buffer.push(VERSION);
    match postcard::to_extend(message, std::mem::take(buffer)) {
        Ok(encoded) => *buffer = encoded,
        // Encoding into a growing buffer has no way to fail; an empty datagram would be dropped.
        Err(error) => log::error!("message cannot be encoded: {error}"),
    }
    buffer.extend_from_slice(packet);
}

/// Decodes a datagram into its message and the packet behind it.
///
/// # Errors
/// When it is not one of ours.
pub fn decode(datagram: &[u8]) -> Result<(Message, &[u8]), Fault> {
    let (version, rest) = datagram.split_first().ok_or(Fault::Version)?;
    if *version != VERSION {
        return Err(Fault::Version);
    }
    postcard::take_from_bytes(rest).map_err(|_| Fault::Message)
}
