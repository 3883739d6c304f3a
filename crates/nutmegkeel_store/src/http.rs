//! Classification of failed HTTP calls.

use crate::kv::Fault;

/// Returns the fault of a failed call, which states whether the call may have taken effect.
#[must_use]
pub fn fault(error: ureq::Error) -> Fault {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => {
            Fault::NotSent(error.to_string())
        }
        ureq::Error::Io(ref io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            Fault::NotSent(error.to_string())
        }
        other => Fault::Lost(other.to_string()),
    }
}
