//! Stateless resets (RFC 9000, section 10.3), which end a flow whose agent is gone.
//!
//! The token is derived only from the connection ID and the shared key, so that any balancer can
//! send the reset in place of the agent.

use quinn_proto::crypto::{CryptoError, HmacKey};
use ring::hmac;

use crate::key::{Index, Ring};

/// Length of a reset token in bytes.
const TOKEN: usize = 16;
/// Minimum length of a reset in bytes. A shorter one could be distinguished from a packet with a
/// short header and a connection ID.
const MIN_LENGTH: usize = 5 + TOKEN;
/// Length of a reset in bytes, if the packet that it answers is long enough.
const PREFERRED_LENGTH: usize = 43;

/// Signs reset tokens for the QUIC library with the key that a connection ID names.
#[derive(Debug, Clone)]
pub struct Signer {
    ring: Ring,
}

impl Signer {
    /// Creates a signer with the accepted keys.
    #[must_use]
    pub const fn open(ring: Ring) -> Self {
        Self { ring }
    }

    fn key_for(&self, data: &[u8]) -> &hmac::Key {
        let key = data.first().and_then(|index| self.ring.get(Index(*index)));
        &key.unwrap_or_else(|| self.ring.used().1).reset
    }
}

impl HmacKey for Signer {
    fn sign(&self, data: &[u8], out: &mut [u8]) {
        out.copy_from_slice(hmac::sign(self.key_for(data), data).as_ref());
    }

    fn signature_len(&self) -> usize {
        hmac::HMAC_SHA256.digest_algorithm().output_len()
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        hmac::verify(self.key_for(data), data, signature).map_err(|_| CryptoError)
    }
}

/// Returns the reset that ends the flow of `cid`, in answer to a packet of `trigger_length` bytes,
/// or `None` if that packet is too short.
///
/// A reset is shorter than the packet that it answers, so that two endpoints cannot answer each
/// other's resets in an endless loop.
#[must_use]
pub fn packet(ring: &Ring, cid: &[u8], trigger_length: usize, seed: u64) -> Option<Vec<u8>> {
    let length = PREFERRED_LENGTH.min(trigger_length.checked_sub(1)?);
    if length < MIN_LENGTH {
        return None;
    }
    let signer = Signer::open(ring.clone());
    let token = hmac::sign(signer.key_for(cid), cid);
    let mut packet = Vec::with_capacity(length);
    let mut filler = blake3::Hasher::new_keyed(&ring.used().1.frame);
    filler.update(&seed.to_be_bytes());
    packet.resize(length - TOKEN, 0);
    filler.finalize_xof().fill(&mut packet);
    packet[0] = 0b0100_0000 | (packet[0] & 0b0011_1111);
    packet.extend_from_slice(&token.as_ref()[..TOKEN]);
    Some(packet)
}
