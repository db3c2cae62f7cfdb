//! What the machine reports, with its reasons, as key=value text.

use cumin_types::{Incarnation, NodeName};
use derive_more::Display;

use crate::{Member, Status};

/// Why a belief changed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The member itself called or answered.
    #[display("reason=contact")]
    Contact,
    /// Another node said so.
    #[display("reason=told by={by}")]
    Told {
        /// The node that said so.
        by: NodeName,
    },
    /// No answer to a direct probe nor to `relays` indirect ones.
    #[display("reason=silent relays={relays}")]
    Silent {
        /// Indirect probes sent.
        relays: usize,
    },
    /// Not refuted within the suspicion time.
    #[display("reason=expired after_ms={after}")]
    Expired {
        /// Suspicion time in milliseconds.
        after: u64,
    },
    /// This node's own decision.
    #[display("reason=own")]
    Own,
}

/// A change of belief.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Event {
    /// A new member, a new process under a known name, or a member back from the dead.
    #[display("event=joined member={} place={} incarnation={} {reason}", member.name, member.place, member.incarnation)]
    Joined {
        /// Who.
        member: Member,
        /// Why.
        reason: Reason,
    },
    /// A member does not answer.
    #[display("event=suspected member={} incarnation={} {reason}", member.name, member.incarnation)]
    Suspected {
        /// Who.
        member: Member,
        /// Why.
        reason: Reason,
    },
    /// A suspect did not refute in time.
    #[display("event=dead member={} incarnation={} {reason}", member.name, member.incarnation)]
    Dead {
        /// Who.
        member: Member,
        /// Why.
        reason: Reason,
    },
    /// A member announced its end.
    #[display("event=leaving member={} incarnation={} {reason}", member.name, member.incarnation)]
    Leaving {
        /// Who.
        member: Member,
        /// Why.
        reason: Reason,
    },
    /// A leaving member no longer answers.
    #[display("event=left member={} incarnation={} {reason}", member.name, member.incarnation)]
    Left {
        /// Who.
        member: Member,
        /// Why.
        reason: Reason,
    },
    /// A suspect, or this node, proved with a higher incarnation that it is alive.
    #[display("event=refuted member={} incarnation={} accused={accused} {reason}", member.name, member.incarnation)]
    Refuted {
        /// Who.
        member: Member,
        /// What was believed of it before.
        accused: Status,
        /// Why.
        reason: Reason,
    },
    /// This node did not run for longer than the suspicion time.
    #[display("event=paused gap_ms={gap} incarnation={incarnation}")]
    Paused {
        /// Time since the tick before, milliseconds.
        gap: u64,
        /// The incarnation it now has.
        incarnation: Incarnation,
    },
    /// An item has a new value, learned from another node.
    #[display("event=item key={key} version={version}")]
    Item {
        /// Which.
        key: String,
        /// Its version.
        version: u64,
    },
}
