//! Datagrams between balancers and agents for flows without a routing token: a version byte, a
//! message, and the client's packet if the message has one.

use nutmegkeel_core::l4::message::Message;

/// Version of the encoding. A process that uses another version drops the datagram.
const VERSION: u8 = 7;

/// Maximum length of a datagram, in bytes: a message with the longest packet, or with a part of a
/// roster.
pub const MAX_DATAGRAM: usize = 2_048;

/// Reason why a datagram cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The datagram is empty or has another version.
    #[error("datagram is empty or has another version")]
    Version,
    /// The message cannot be decoded.
    #[error("message cannot be decoded")]
    Message,
}

/// Encodes a message and the packet after it into `buffer`, which is cleared first.
pub fn encode(message: &Message, packet: &[u8], buffer: &mut Vec<u8>) {
    buffer.clear();
    buffer.push(VERSION);
    match postcard::to_extend(message, std::mem::take(buffer)) {
        Ok(encoded) => *buffer = encoded,
        // Encoding into a growable buffer cannot fail. Receivers drop a datagram without a message.
        Err(error) => log::error!("message cannot be encoded: {error}"),
    }
    buffer.extend_from_slice(packet);
}

/// Decodes a datagram into its message and the packet after it.
///
/// # Errors
/// If the datagram has another version or its message is malformed.
pub fn decode(datagram: &[u8]) -> Result<(Message, &[u8]), Fault> {
    let (version, rest) = datagram.split_first().ok_or(Fault::Version)?;
    if *version != VERSION {
        return Err(Fault::Version);
    }
    postcard::take_from_bytes(rest).map_err(|_| Fault::Message)
}
