//! What is asked of admission and what it answers.

use std::fmt;

use cumin_types::{Millis, Organisation, Priority, RequestId, Service, TokenCount};
use derive_more::Display;

use crate::Resource;

/// A request that wants to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// Whose request it is.
    pub org: Organisation,
    /// The service that answers it.
    pub service: Service,
    /// Urgency.
    pub priority: Priority,
    /// Estimated tokens: prompt and answer. Plain calls count as 1.
    pub estimated_tokens: TokenCount,
    /// When its caller stops waiting.
    pub deadline: Millis,
    /// Estimated time from dispatch to completion, without the wait in this queue.
    pub estimated_duration: Millis,
}

/// What this node may use of one service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Requests of this node that may run at once.
    pub slots: usize,
    /// Tokens a second over all slots; zero when unknown.
    pub token_rate: f64,
}

impl Default for Capacity {
    /// No limit on slots and an unknown rate.
    fn default() -> Self {
        Self {
            slots: usize::MAX,
            token_rate: 0.0,
        }
    }
}

/// The right to run one request; [`crate::Admission::finish`] takes it back.
#[must_use = "a ticket holds a slot until it is finished"]
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The request.
    pub id: RequestId,
    /// Whose request it is.
    pub org: Organisation,
    /// The service that answers it.
    pub service: Service,
    /// Urgency.
    pub priority: Priority,
    /// Tokens taken from the quota at admission.
    pub charged_tokens: TokenCount,
    /// Time spent in the queue.
    pub waited: Millis,
}

/// Where a queued request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuePosition {
    /// The request.
    pub id: RequestId,
    /// Whose request it is.
    pub org: Organisation,
    /// Urgency.
    pub priority: Priority,
    /// Requests that are served earlier if none arrives.
    pub requests_ahead: usize,
    /// Tokens of those requests.
    pub tokens_ahead: TokenCount,
    /// Estimated wait; zero when the service rate is unknown.
    pub estimated_wait: Millis,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The document does not name the organisation.
    #[display("unknown_organisation")]
    UnknownOrganisation,
    /// The organisation's share of a quota is used up.
    #[display("quota_{_0}")]
    Quota(Resource),
    /// The estimated completion is past the deadline.
    #[display("deadline")]
    Deadline,
    /// The queue is full of requests that go first.
    #[display("queue_full")]
    QueueFull,
    /// A request with this id is queued or running.
    #[display("duplicate")]
    Duplicate,
}

/// A refusal; no endpoint saw the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub id: RequestId,
    /// Whose request it is.
    pub org: Organisation,
    /// Why.
    pub reason: RefusalReason,
    /// After this time a new try can succeed.
    pub retry_after: Millis,
    /// Estimated completion after now, queue included.
    pub estimated_completion: Millis,
    /// Time left to the deadline.
    pub time_left: Millis,
}

impl Refusal {
    /// Returns the HTTP status: 429 when the caller's own quota is used up, 403 for an unknown
    /// organisation, 409 for a duplicate, else 503.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self.reason {
            RefusalReason::Quota(_) => 429,
            RefusalReason::UnknownOrganisation => 403,
            RefusalReason::Duplicate => 409,
            RefusalReason::Deadline | RefusalReason::QueueFull => 503,
        }
    }
}

/// The answer to an [`AdmissionRequest`].
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it now.
    Run(Ticket),
    /// It waits; `next` returns its ticket, or `expire` returns it as dropped.
    Queue(QueuePosition),
    /// It was not run.
    Refuse(Refusal),
}

/// Why a queued request left the queue without running.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// Its deadline passed.
    #[display("expired")]
    Expired,
    /// The work ahead of it no longer fits before its deadline.
    #[display("shed_deadline")]
    Late,
    /// A request that goes first took its place in a full queue.
    #[display("shed_full")]
    Displaced,
}

/// A queued request that will not run; no endpoint saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// The request.
    pub id: RequestId,
    /// Whose request it is.
    pub org: Organisation,
    /// The service that it waited for.
    pub service: Service,
    /// Urgency.
    pub priority: Priority,
    /// Why.
    pub reason: DropReason,
    /// Time spent in the queue.
    pub waited: Millis,
    /// After this time a new try can succeed.
    pub retry_after: Millis,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            id,
            org,
            service,
            priority,
            charged_tokens,
            waited,
        } = self;
        write!(
            f,
            "decision=run request={id} org={org} service={service} priority={priority} \
             tokens={charged_tokens} waited_ms={waited}"
        )
    }
}

impl fmt::Display for QueuePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            id,
            org,
            priority,
            requests_ahead,
            tokens_ahead,
            estimated_wait,
        } = self;
        write!(
            f,
            "decision=queue request={id} org={org} priority={priority} ahead={requests_ahead} \
             tokens_ahead={tokens_ahead} wait_ms={estimated_wait}"
        )
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            id,
            org,
            reason,
            retry_after,
            estimated_completion,
            time_left,
        } = self;
        write!(
            f,
            "decision=refuse request={id} org={org} reason={reason} retry_after_ms={retry_after} \
             estimate_ms={estimated_completion} left_ms={time_left}"
        )
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Run(ticket) => ticket.fmt(f),
            Self::Queue(position) => position.fmt(f),
            Self::Refuse(refusal) => refusal.fmt(f),
        }
    }
}

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            id,
            org,
            service,
            priority,
            reason,
            waited,
            retry_after,
        } = self;
        write!(
            f,
            "decision=drop request={id} org={org} service={service} priority={priority} \
             reason={reason} waited_ms={waited} retry_after_ms={retry_after}"
        )
    }
}
