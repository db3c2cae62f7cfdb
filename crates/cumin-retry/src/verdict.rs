//! What the quarantine decides.

use std::fmt;

use cumin_types::{EndpointName, Fingerprint, Millis};
use derive_more::Display;

/// Why a request is not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Endpoints that crashed while it ran there.
    pub crashes: u32,
    /// Time until it may be sent again.
    pub left: Millis,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            fingerprint,
            crashes,
            left,
        } = self;
        let print = fingerprint.0.short();
        write!(
            f,
            "decision=reject reason=quarantined fingerprint={print} crashes={crashes} left_ms={left}"
        )
    }
}

/// How a request may be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// As any other.
    Clear,
    /// Where `place_suspect` says.
    Suspect {
        /// Crashes it was in.
        crashes: u32,
    },
    /// Not now: it is about to be judged.
    Hold {
        /// When to ask again.
        until: Millis,
    },
    /// Not at all.
    Rejected(Rejection),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Clear => f.write_str("decision=clear"),
            Self::Suspect { crashes } => write!(f, "decision=suspect crashes={crashes}"),
            Self::Hold { until } => write!(f, "decision=hold until_ms={until}"),
            Self::Rejected(rejection) => rejection.fmt(f),
        }
    }
}

/// An endpoint that could run a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Requests of all nodes there, as far as known, those of this node included.
    pub running: u32,
}

/// Why a suspect waits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// The same request runs as a suspect.
    #[display("same_running")]
    Same,
    /// The node that saw its crash runs it first.
    #[display("other_node")]
    Other,
    /// Others aboard its last crash run first.
    #[display("others_first")]
    Others,
    /// An endpoint is kept free of new work until it is empty.
    #[display("draining")]
    Draining,
    /// Enough endpoints run suspects.
    #[display("share_used")]
    Share,
}

/// Where a suspect runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Alone at the endpoint, which gets no other work while it runs.
    Alone {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Beside suspects of other crashes only.
    Beside {
        /// The endpoint.
        endpoint: EndpointName,
        /// Suspects there.
        suspects: u32,
    },
    /// Beside other work: its deadline leaves no time to wait, or it is the only endpoint.
    Exposed {
        /// The endpoint.
        endpoint: EndpointName,
        /// Requests there.
        running: u32,
    },
    /// Nowhere yet; ask again after some time.
    Wait {
        /// Why.
        reason: WaitReason,
        /// The endpoint that is kept free for it.
        endpoint: Option<EndpointName>,
        /// Time until it is worth asking again.
        after: Millis,
    },
    /// No endpoint is left.
    None,
}

impl Choice {
    /// Returns the endpoint at which the suspect runs now.
    #[must_use]
    pub const fn endpoint(&self) -> Option<&EndpointName> {
        match self {
            Self::Alone { endpoint }
            | Self::Beside { endpoint, .. }
            | Self::Exposed { endpoint, .. } => Some(endpoint),
            Self::Wait { .. } | Self::None => None,
        }
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Alone { endpoint } => write!(f, "decision=suspect_alone endpoint={endpoint}"),
            Self::Beside { endpoint, suspects } => {
                write!(
                    f,
                    "decision=suspect_beside endpoint={endpoint} suspects={suspects}"
                )
            }
            Self::Exposed { endpoint, running } => {
                write!(
                    f,
                    "decision=suspect_exposed endpoint={endpoint} running={running}"
                )
            }
            Self::Wait {
                reason,
                endpoint,
                after,
            } => {
                write!(f, "decision=suspect_wait reason={reason} after_ms={after}")?;
                match endpoint {
                    Some(endpoint) => write!(f, " endpoint={endpoint}"),
                    None => Ok(()),
                }
            }
            Self::None => f.write_str("decision=suspect_none reason=no_endpoint"),
        }
    }
}

/// How an attempt ended, other than by a crash.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum End {
    /// It completed: the request is no suspect.
    #[display("done")]
    Done,
    /// Cancelled, moved or failed without a crash.
    #[display("stopped")]
    Stopped,
}

/// A crash and those it makes suspects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Requests in flight there from this node, with the crashes each was in.
    pub suspects: Vec<(Fingerprint, u32)>,
}

impl fmt::Display for Crash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { endpoint, suspects } = self;
        write!(
            f,
            "event=crash endpoint={endpoint} suspects={}",
            suspects.len()
        )?;
        for (print, crashes) in suspects {
            write!(f, " {}={crashes}", print.0.short())?;
        }
        Ok(())
    }
}
