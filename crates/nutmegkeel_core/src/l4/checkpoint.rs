//! Checkpoints: lists of open flows that agents save in the store, so that clients learn at once
//! which flows are lost.
//!
//! This matters when one host or all hosts lose power. The agent and the backend server restart
//! within seconds and know none of the earlier flows. A client that has sent a request retransmits
//! it at growing intervals, so the next copy often arrives after its deadline, and until then no
//! process knows of the flow. Clients with idle flows find out one by one with their next request,
//! each by a search of all agents, while the backlog is being processed. With the checkpoint of the
//! agent's predecessor all of them are reset as soon as the new backend server is known.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::flow::Flow;
use super::server::{Incarnation, Server};
use crate::clock::Time;

/// Minimum interval between two writes, in milliseconds. A checkpoint is a few seconds old on
/// average when it is needed. A client whose flow is not in it learns of the loss half a second
/// later.
pub const MIN_INTERVAL_MS: u64 = 3_000;

/// Share of the flows, in percent, that must be missing from the last checkpoint or out of date in
/// it before it is written again. A higher share leaves many clients without a reset; a lower one
/// costs writes for few flows.
const REWRITE_PERCENT: usize = 25;

/// Bytes that the client may acknowledge after a checkpoint before its entry is out of date. Half
/// the permitted error of a reset's sequence number, because the client goes on until the next
/// write.
const MAX_DRIFT: u32 = 38_000;

/// Maximum number of flows in a checkpoint: 21 bytes each, in a value of at most one megabyte.
const MAX_FLOWS: usize = 10_000;

/// Time after the start of the process in which the predecessor's checkpoint is useful, in
/// milliseconds. No client waits longer for an answer.
const RECOVERY_MS: u64 = 10_000;

/// Highest sequence number that the first received heartbeat of a new backend server may have if no
/// start times show that it is new. Guards against a delayed heartbeat of an earlier incarnation,
/// which would look like a new server and cause resets of the current server's flows.
const MAX_NEW_SEQ: u64 = 3;

/// The open flows of one incarnation of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Orders the checkpoints of one host, including those of successive processes.
    pub number: u64,
    /// The incarnation that holds the flows.
    pub server: Incarnation,
    /// Last acknowledgement number of each client.
    pub flows: BTreeMap<Flow, u32>,
}

/// Processing state of the predecessor's checkpoint.
#[derive(Debug)]
enum Predecessor {
    /// The store has not answered yet.
    Unread,
    /// The checkpoint was read; the backend server is not known yet.
    Read(Checkpoint),
    /// Processed, absent or too old.
    Done,
}

/// Decides when a checkpoint is written, and which flows of the predecessor's checkpoint are lost.
#[derive(Debug)]
pub struct Recorder {
    started: Time,
    predecessor: Predecessor,
    saved: Checkpoint,
    saved_at: Time,
    /// Highest known number of a checkpoint.
    number: u64,
    writes_per_s: u64,
}

impl Recorder {
    /// Creates a recorder for a process that starts now. All agents together may write
    /// `writes_per_s` checkpoints per second.
    #[must_use]
    pub fn open(now: Time, writes_per_s: u64) -> Self {
        Self {
            started: now,
            predecessor: Predecessor::Unread,
            saved: Checkpoint::default(),
            saved_at: now,
            number: 0,
            writes_per_s: writes_per_s.max(1),
        }
    }

    /// Applies the predecessor's checkpoint; `None` if there is none.
    pub fn apply_predecessor(&mut self, checkpoint: Option<Checkpoint>) {
        if let Some(checkpoint) = &checkpoint {
            self.record_number(checkpoint.number);
        }
        if matches!(self.predecessor, Predecessor::Unread) {
            self.predecessor = checkpoint.map_or(Predecessor::Done, Predecessor::Read);
        }
    }

    /// Returns whether the predecessor's checkpoint has a flow, and no backend server is known yet
    /// that shows whether the flow was lost.
    #[must_use]
    pub fn lists(&self, now: Time, flow: &Flow) -> bool {
        let Predecessor::Read(checkpoint) = &self.predecessor else {
            return false;
        };
        self.is_recovering(now) && checkpoint.flows.contains_key(flow)
    }

    /// Returns the flows that were lost with the predecessor's backend server. Returns them once,
    /// and none if the current server is the same incarnation and still holds them.
    pub fn take_lost(&mut self, now: Time, server: &Server) -> Vec<(Flow, u32)> {
        let Predecessor::Read(checkpoint) = &mut self.predecessor else {
            return Vec::new();
        };
        let checkpoint = std::mem::take(checkpoint);
        self.predecessor = Predecessor::Done;
        if checkpoint.server == server.incarnation {
            self.saved = checkpoint;
            return Vec::new();
        }
        let is_new_server = server.seen_from_start
            || server.first_seq <= MAX_NEW_SEQ
            || server.incarnation.started_after(&checkpoint.server);
        let is_lost = is_new_server && self.is_recovering(now);
        if is_lost { checkpoint.flows.into_iter().collect() } else { Vec::new() }
    }

    /// Returns the checkpoint to write now, if one is due because too many flows are missing from
    /// the last one. The interval grows with the number of agents, so that they stay within the
    /// store's write rate.
    pub fn due(
        &mut self,
        now: Time,
        agents: u64,
        server: &Server,
        flows: impl Iterator<Item = (Flow, u32)>,
    ) -> Option<Checkpoint> {
        self.expire_predecessor(now);
        let interval_ms = MIN_INTERVAL_MS.max(agents * 1_000 / self.writes_per_s);
        if !matches!(self.predecessor, Predecessor::Done) || now.since(self.saved_at) < interval_ms
        {
            return None;
        }
        let flows: BTreeMap<Flow, u32> = flows.take(MAX_FLOWS).collect();
        let is_recorded = |(flow, ack): (&Flow, &u32)| {
            self.saved
                .flows
                .get(flow)
                .is_some_and(|recorded| ack.wrapping_sub(*recorded) <= MAX_DRIFT)
        };
        let missing = flows.len() - flows.iter().filter(|flow| is_recorded(*flow)).count();
        if missing == 0 || missing * 100 < flows.len() * REWRITE_PERCENT {
            return None;
        }
        // The time of day, or the next number if the clock was set back.
        self.number = now.millis().max(self.number + 1);
        let (number, server) = (self.number, server.incarnation.clone());
        self.saved = Checkpoint { number, server, flows };
        self.saved_at = now;
        Some(self.saved.clone())
    }

    /// Forgets the saved checkpoint, because the store was restored from an older copy and may have
    /// lost it. The flows are saved again when the next checkpoint is due, which spreads the writes
    /// of all agents over the interval.
    pub fn forget_saved(&mut self) {
        self.saved = Checkpoint::default();
    }

    /// Records the number of a checkpoint in the store; the next one gets a higher number.
    pub fn record_number(&mut self, number: u64) {
        self.number = self.number.max(number);
    }

    /// Returns whether the predecessor's checkpoint is still useful.
    const fn is_recovering(&self, now: Time) -> bool {
        now.since(self.started) <= RECOVERY_MS
    }

    /// Stops waiting for the predecessor's checkpoint after a time, so that a store that does not
    /// answer cannot keep this process from saving its own flows.
    fn expire_predecessor(&mut self, now: Time) {
        if !self.is_recovering(now) {
            self.predecessor = Predecessor::Done;
        }
    }
}
