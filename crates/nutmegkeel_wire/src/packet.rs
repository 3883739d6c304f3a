//! Parser of the version-independent header of QUIC packets (RFC 8999), the only part that a
//! balancer reads.

use std::io::Cursor;

use bytes::BytesMut;
use quinn_proto::{
    ConnectionId, FixedLengthConnectionIdParser, PacketDecodeError, ProtectedHeader,
};

use crate::cid;

/// Supported versions: QUIC version 1 (RFC 9000).
const VERSIONS: [u32; 1] = [1];
/// Bit of the first byte that marks a long header.
const LONG: u8 = 0x80;
/// Length of a short header: the first byte and the connection ID.
const SHORT_HEADER: usize = 1 + cid::LENGTH;

/// The form of a packet's header and its destination connection ID.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Header {
    /// Long header. The packet may open a flow; then the caller chose the ID.
    Long(ConnectionId),
    /// Short header. The packet belongs to a flow, and the system issued the ID.
    Short(ConnectionId),
}

/// Returns the header of a caller's datagram, or `None` if it is not a QUIC packet.
#[must_use]
pub fn header(datagram: &[u8]) -> Option<Header> {
    let first = *datagram.first()?;
    if first & LONG == 0 {
        let short = datagram.get(..SHORT_HEADER)?;
        return decode(short).map(Header::Short);
    }
    decode(datagram).map(Header::Long)
}

fn decode(bytes: &[u8]) -> Option<ConnectionId> {
    let mut cursor = Cursor::new(BytesMut::from(bytes));
    let parser = FixedLengthConnectionIdParser::new(cid::LENGTH);
    match ProtectedHeader::decode(&mut cursor, &parser, &VERSIONS, false) {
        Ok(header) => Some(*header.dst_cid()),
        // The agent answers unsupported versions with version negotiation.
        Err(PacketDecodeError::UnsupportedVersion { dst_cid, .. }) => Some(dst_cid),
        Err(PacketDecodeError::InvalidHeader(_)) => None,
    }
}
