//! Decisions of the quarantine, and how attempts end.

use std::fmt;

use cumin_types::{EndpointName, Fingerprint, Millis};
use derive_more::Display;

/// Details of a request that is rejected because it is quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of endpoints that crashed while they ran the request.
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

/// Whether and how a request may run, as returned by [`Quarantine::check`].
///
/// [`Quarantine::check`]: crate::Quarantine::check
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request runs without restrictions.
    Clear,
    /// The request runs only at the endpoint that [`Quarantine::select_endpoint`] returns.
    ///
    /// [`Quarantine::select_endpoint`]: crate::Quarantine::select_endpoint
    Suspect {
        /// Number of crashes that the request is suspected of.
        crashes: u32,
    },
    /// The request waits for the crash records of other nodes before it is quarantined or
    /// runs as a suspect.
    Hold {
        /// Time at which to check again.
        until: Millis,
    },
    /// The request is quarantined and does not run.
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

/// An endpoint that can run a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Known requests of all nodes at the endpoint, including those of this node.
    pub running: u32,
}

/// Reason why a suspect waits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// An attempt of the same request is in flight at this node.
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
    /// The largest allowed share of the endpoints is reserved for suspects.
    #[display("share_used")]
    ShareUsed,
}

/// Where a suspect runs, as returned by [`Quarantine::select_endpoint`].
///
/// [`Quarantine::select_endpoint`]: crate::Quarantine::select_endpoint
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// Alone at an endpoint that gets no other requests meanwhile.
    Alone {
        /// Name of the endpoint.
        endpoint: EndpointName,
    },
    /// At an endpoint that runs only suspects of other crashes.
    Beside {
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// Number of suspects that the endpoint runs already.
        suspects: u32,
    },
    /// At an endpoint that runs other requests, because the deadline leaves no time to wait or
    /// the service has no other endpoint.
    Exposed {
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// Number of requests that the endpoint runs already.
        running: u32,
    },
    /// No endpoint can run the suspect yet.
    Wait {
        /// Reason for the wait.
        reason: WaitReason,
        /// Endpoint that was reserved for the suspect by this call.
        endpoint: Option<EndpointName>,
        /// Time after which to select again.
        recheck_after: Millis,
    },
    /// The service has no endpoint that can run the suspect.
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

/// How an attempt ended, other than by a crash of its endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// It completed, so the request is no longer a suspect.
    #[display("done")]
    Done,
    /// It was cancelled, moved, or failed without a crash.
    #[display("stopped")]
    Stopped,
}

/// Suspects of one endpoint crash, as seen by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Name of the crashed endpoint.
    pub endpoint: EndpointName,
    /// Requests that this node had in flight there, with the number of crashes each is
    /// suspected of.
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
