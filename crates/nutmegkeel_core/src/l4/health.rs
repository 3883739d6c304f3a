//! How long silence of an agent may last before it means something.

/// Pause between two announcements of an agent, in milliseconds. With 20 balancers an agent sends
/// 67 datagrams a second, and a load is 150 ms old on the mean.
pub const ANNOUNCE_MS: u64 = 300;

/// An agent not heard of for so long gets no new flows: two announcements and some delay. An opening
/// is sent again after 600 ms at the latest, and that copy must not go to a dead host.
pub const LATE_MS: u64 = 2 * ANNOUNCE_MS + 100;

/// An agent not heard of for so long without notice is taken for dead: six announcements. Its flows
/// are reset then, so that clients need not wait for their own timeouts.
pub const SILENT_MS: u64 = 2_000;

/// An agent that said it restarts is expected back within this; its flows are kept meanwhile.
pub const RESTART_MS: u64 = 10_000;

/// A dead agent is remembered for so long: no flow lives longer. While one is remembered, a flow
/// that nobody else holds may be at its backend server.
pub const FORGET_MS: u64 = 60_000;

/// Pause between two summaries of a failure domain's agents, in milliseconds: as between announcements, so that
/// loads elsewhere are known half as well as at home.
pub const SUMMARY_MS: u64 = ANNOUNCE_MS;

/// An agent of another failure domain that no summary has told of for so long is out of sight: three summaries
/// and some delay. It gets no new flows.
pub const OUT_OF_SIGHT_MS: u64 = 3 * SUMMARY_MS + 100;

/// An agent that is out of sight for so long is given up. The balancers of its domain come back within seconds
/// if they were killed, and within three it speaks to all others if they do not.
pub const LOST_MS: u64 = 8_000;

/// What an agent's last sign says of it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Heard of lately.
    Fresh,
    /// Some announcements are missing.
    Late,
    /// It said that its process is being replaced.
    Restarting,
    /// It has been silent for too long.
    Silent,
}

impl Health {
    /// The health of an agent whose last sign is `silence_ms` old.
    #[must_use]
    pub const fn of(silence_ms: u64, restarting: bool) -> Self {
        if restarting {
            return if silence_ms > RESTART_MS { Self::Silent } else { Self::Restarting };
        }
        match silence_ms {
            0..=LATE_MS => Self::Fresh,
            silence_ms if silence_ms <= SILENT_MS => Self::Late,
            _ => Self::Silent,
        }
    }
}
