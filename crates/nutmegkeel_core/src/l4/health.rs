//! Health of an agent, judged by the time since its last announcement.

/// Interval between two announcements of an agent, in milliseconds. With 20 balancers an agent
/// sends 67 datagrams per second, and a load is 150 ms old on average.
pub const ANNOUNCE_MS: u64 = 300;

/// Silence after which an agent gets no new flows, in milliseconds: two announcements and some
/// delay. An opening is retransmitted after 600 ms at the latest, and that copy must not go to a
/// dead host.
pub const LATE_MS: u64 = 2 * ANNOUNCE_MS + 100;

/// Silence after which an agent that did not announce a restart is considered dead, in
/// milliseconds: six announcements. Its flows are then reset, so that clients need not wait for
/// their own timeouts.
pub const SILENT_MS: u64 = 2_000;

/// Silence after which a balancer checks the port of an agent, in milliseconds. Two checks fit
/// before the agent would be considered dead.
pub const CHECK_MS: u64 = SILENT_MS / 2;

/// Interval between two checks of the port of a silent agent whose host answers, in milliseconds.
/// Clients of a host that goes down meanwhile are told within three seconds.
pub const CHECK_INTERVAL_MS: u64 = SILENT_MS;

/// Interval between two inquiries about a silent agent, in milliseconds. Two fit between
/// [`CHECK_MS`] and the time at which the agent would be considered dead, and four into the time for
/// which an answer counts, [`SILENT_MS`].
pub const INQUIRY_INTERVAL_MS: u64 = 500;

/// Time for which the flows of a silent agent are kept while its host answers, in milliseconds. No
/// client waits longer for an answer.
pub const STOPPED_MS: u64 = RESTART_MS;

/// Time within which an agent that announced a restart must be back, in milliseconds. Its flows are
/// kept until then.
pub const RESTART_MS: u64 = 10_000;

/// Time for which an agent goes on serving after it last announced its restart, in milliseconds.
/// Packets that arrive later are lost.
pub const LINGER_MS: u64 = 100;

/// Time for which a dead agent is remembered, in milliseconds. No flow lives longer. Until then, a
/// flow that no other agent holds may be at the dead agent's backend server.
pub const FORGET_MS: u64 = 60_000;

/// Interval between two summaries of a failure domain's agents, in milliseconds. It equals the
/// interval between announcements, so that loads in other failure domains are known half as
/// accurately as in the own one.
pub const SUMMARY_MS: u64 = ANNOUNCE_MS;

/// Time without a summary that lists an agent of another failure domain, after which the agent gets
/// no new flows, in milliseconds: three summaries and some delay.
pub const UNREPORTED_MS: u64 = 3 * SUMMARY_MS + 100;

/// Time without a summary after which an agent of another failure domain is considered lost, in
/// milliseconds. If the balancers of its domain were killed, they are back within seconds; if they
/// stay away, the agent announces itself to all others within three seconds.
pub const LOST_MS: u64 = 8_000;

/// Health of an agent as judged by its last announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Its announcements arrive.
    Fresh,
    /// Some of its announcements are missing.
    Late,
    /// It announced that its process is being replaced.
    Restarting,
    /// Its announcements have been missing for too long, but its host answers: its process is
    /// suspended, or has ended and is started again. Its backend server may be well.
    Stopped,
    /// Its announcements are missing, or it does not receive this balancer's messages, but another
    /// balancer hears it.
    Unreachable,
    /// Its announcements have been missing for too long.
    Silent,
}

impl Health {
    /// Returns whether the agent is away or out of reach, but keeps its flows.
    #[must_use]
    pub const fn is_away(self) -> bool {
        matches!(self, Self::Restarting | Self::Stopped | Self::Unreachable)
    }

    /// Returns the health of an agent whose last announcement is `silence_ms` old.
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
