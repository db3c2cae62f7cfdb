//! Events that the state machine reports, displayed as `key=value` pairs for the log.

use cumin_types::{Incarnation, NodeName};
use derive_more::Display;

use crate::{Member, Status};

/// Cause of a status change.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The member itself called or answered.
    #[display("reason=contact")]
    Contact,
    /// Another node reported the status.
    #[display("reason=told by={by}")]
    Told {
        /// Reporting node.
        by: NodeName,
    },
    /// Neither a direct probe nor `relays` indirect ones were answered.
    #[display("reason=silent relays={relays}")]
    Silent {
        /// Number of indirect probes sent.
        relays: usize,
    },
    /// The suspicion was not refuted within the suspicion time.
    #[display("reason=expired after_ms={after}")]
    Expired {
        /// Suspicion time in milliseconds.
        after: u64,
    },
    /// This node decided it itself.
    #[display("reason=own")]
    Own,
}

/// A change in this node's view of the cluster.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Event {
    /// A member is new, runs a new process, or is alive again after it was declared dead.
    #[display("event=joined member={} place={} incarnation={} {reason}", member.name, member.place, member.incarnation)]
    Joined {
        /// Member concerned.
        member: Member,
        /// Cause of the change.
        reason: Reason,
    },
    /// A member does not answer probes.
    #[display("event=suspected member={} incarnation={} {reason}", member.name, member.incarnation)]
    Suspected {
        /// Member concerned.
        member: Member,
        /// Cause of the change.
        reason: Reason,
    },
    /// A suspect did not refute the suspicion in time.
    #[display("event=dead member={} incarnation={} {reason}", member.name, member.incarnation)]
    Dead {
        /// Member concerned.
        member: Member,
        /// Cause of the change.
        reason: Reason,
    },
    /// A member announced that it leaves.
    #[display("event=leaving member={} incarnation={} {reason}", member.name, member.incarnation)]
    Leaving {
        /// Member concerned.
        member: Member,
        /// Cause of the change.
        reason: Reason,
    },
    /// A leaving member no longer answers.
    #[display("event=left member={} incarnation={} {reason}", member.name, member.incarnation)]
    Left {
        /// Member concerned.
        member: Member,
        /// Cause of the change.
        reason: Reason,
    },
    /// A member, or this node, refuted a false status with a higher incarnation.
    #[display("event=refuted member={} incarnation={} accused={accused} {reason}", member.name, member.incarnation)]
    Refuted {
        /// Member concerned.
        member: Member,
        /// Status that was refuted.
        accused: Status,
        /// Cause of the change.
        reason: Reason,
    },
    /// This node did not run for longer than the suspicion time.
    #[display("event=paused gap_ms={gap} incarnation={incarnation}")]
    Paused {
        /// Time since the last tick, in milliseconds.
        gap: u64,
        /// Incarnation of this node after the pause.
        incarnation: Incarnation,
    },
    /// An item received a new value from another node.
    #[display("event=item key={key} version={version}")]
    Item {
        /// Key of the item.
        key: String,
        /// Version received.
        version: u64,
    },
}
