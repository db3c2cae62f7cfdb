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
    /// Time until the quarantine ends and the request may be sent again.
    pub retry_after: Millis,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            fingerprint,
            crashes,
            retry_after,
        } = self;
        let short = fingerprint.0.short();
        write!(
            f,
            "decision=reject reason=quarantined fingerprint={short} crashes={crashes} left_ms={retry_after}"
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
    AlreadyRunning,
    /// The node that observed the crash runs the request first.
    #[display("other_node")]
    OtherNode,
    /// Other suspects of the same crash, with fewer crashes, run first.
    #[display("others_first")]
    OthersFirst,
    /// A reserved endpoint still runs other requests, or its reservation is not yet known to
    /// all nodes.
    #[display("draining")]
    Draining,
    /// Enough endpoints run suspects.
    #[display("share_used")]
    ShareUsed,
}

/// Where a suspect runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// Alone at an endpoint that gets no other requests meanwhile.
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
        /// Time after which to select again.
        recheck_after: Millis,
    },
    /// No endpoint is left.
    None,
}

impl Selection {
    /// Returns the endpoint that runs the suspect now, if one was selected.
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

impl fmt::Display for Selection {
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
                recheck_after,
            } => {
                write!(
                    f,
                    "decision=suspect_wait reason={reason} after_ms={recheck_after}"
                )?;
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
pub enum AttemptEnd {
    /// It completed, so the request is no longer a suspect.
    #[display("done")]
    Done,
    /// Cancelled, moved or failed without a crash.
    #[display("stopped")]
    Stopped,
}

/// A crash and those it makes suspects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Name of the crashed endpoint.
    pub endpoint: EndpointName,
    /// Requests in flight there from this node, with the crashes each was in.
    pub suspects: Vec<(Fingerprint, u32)>,
}

impl fmt::Display for CrashReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { endpoint, suspects } = self;
        write!(
            f,
            "event=crash endpoint={endpoint} suspects={}",
            suspects.len()
        )?;
        for (fingerprint, crashes) in suspects {
            write!(f, " {}={crashes}", fingerprint.0.short())?;
        }
        Ok(())
    }
}
