//! Admission requests, decisions and the reasons for them.

use std::fmt;

use cumin_types::{Millis, Organisation, Priority, RequestId, Service, TokenCount};
use derive_more::Display;

use crate::Resource;

/// A request submitted to [`crate::Admission::admit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Organisation that the request belongs to.
    pub org: Organisation,
    /// Service that handles the request.
    pub service: Service,
    /// Priority class of the request.
    pub priority: Priority,
    /// Estimated prompt and completion tokens. A call to a plain service counts as 1.
    pub estimated_tokens: TokenCount,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// Estimated time from dispatch to completion, excluding the time in the queue.
    pub estimated_duration: Millis,
}

/// The part of a service's endpoints that this node may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Maximum number of concurrent requests of this node.
    pub slots: usize,
    /// Tokens per second over all slots; zero if unknown.
    pub token_rate: f64,
}

impl Default for Capacity {
    /// Returns unlimited slots and an unknown rate.
    fn default() -> Self {
        Self {
            slots: usize::MAX,
            token_rate: 0.0,
        }
    }
}

/// Permission to run one request, returned with [`crate::Admission::finish`].
#[must_use = "a ticket occupies a slot until it is passed to `Admission::finish`"]
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Id of the request.
    pub id: RequestId,
    /// Organisation that the request belongs to.
    pub org: Organisation,
    /// Service that handles the request.
    pub service: Service,
    /// Priority class of the request.
    pub priority: Priority,
    /// Tokens charged to the quota at admission.
    pub charged_tokens: TokenCount,
    /// Time spent in the queue.
    pub waited: Millis,
}

/// Position of a request in its queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuePosition {
    /// Id of the request.
    pub id: RequestId,
    /// Organisation that the request belongs to.
    pub org: Organisation,
    /// Priority class of the request.
    pub priority: Priority,
    /// Number of requests that are served first if no further ones arrive.
    pub requests_ahead: usize,
    /// Estimated tokens of those requests.
    pub tokens_ahead: TokenCount,
    /// Estimated queueing time; zero if the token rate of the service is unknown.
    pub estimated_wait: Millis,
}

/// A request that waits for this node's share of a quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaWait {
    /// Id of the request.
    pub id: RequestId,
    /// Organisation that the request belongs to.
    pub org: Organisation,
    /// The quota.
    pub resource: Resource,
    /// Number of requests of the organisation that wait and are served first.
    pub requests_ahead: usize,
    /// Expected time until the request may pass.
    pub estimated_wait: Millis,
}

/// The reason for a [`Refusal`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The document does not name the organisation.
    #[display("unknown_organisation")]
    UnknownOrganisation,
    /// This node's share of a quota of the organisation is exhausted.
    #[display("quota_{_0}")]
    Quota(Resource),
    /// The request is not expected to complete before its deadline.
    #[display("deadline")]
    Deadline,
    /// The queue is full of requests that are served before this one.
    #[display("queue_full")]
    QueueFull,
    /// A request with the same id is queued or running.
    #[display("duplicate")]
    Duplicate,
}

/// A refused request; it was not sent to any endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Id of the request.
    pub id: RequestId,
    /// Organisation that the request belongs to.
    pub org: Organisation,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Time after which a retry can succeed.
    pub retry_after: Millis,
    /// Estimated time from now to completion, including the time in the queue.
    pub estimated_completion: Millis,
    /// Time from now to the deadline.
    pub time_left: Millis,
}

impl Refusal {
    /// Returns the HTTP status: 429 if the organisation's quota is exhausted, 403 for an unknown
    /// organisation, 409 for a duplicate, otherwise 503.
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

/// The result of admitting an [`AdmissionRequest`].
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run now.
    Run(Ticket),
    /// The request is queued. [`crate::Admission::next_ticket`] returns its ticket later, or
    /// [`crate::Admission::expire`] returns it as dropped.
    Queue(QueuePosition),
    /// The request waits for a quota, and ends like a queued one.
    Wait(QuotaWait),
    /// The request is refused and was not queued.
    Refuse(Refusal),
}

/// Why a queued request left the queue without running.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// Its deadline passed while it was queued.
    #[display("expired")]
    Expired,
    /// It can no longer complete before its deadline, given the work ahead of it.
    #[display("shed_deadline")]
    Late,
    /// A request that is served first displaced it from a full queue.
    #[display("shed_full")]
    Displaced,
    /// This node's share of a quota stayed exhausted.
    #[display("quota_{_0}")]
    Quota(Resource),
    /// The document no longer names the organisation.
    #[display("unknown_organisation")]
    UnknownOrganisation,
}

impl DropReason {
    /// Returns the HTTP status: 429 if the organisation's quota is exhausted, 403 for an unknown
    /// organisation, otherwise 503.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::Quota(_) => 429,
            Self::UnknownOrganisation => 403,
            Self::Expired | Self::Late | Self::Displaced => 503,
        }
    }
}

/// A queued request that was dropped; it was not sent to any endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// Id of the request.
    pub id: RequestId,
    /// Organisation that the request belongs to.
    pub org: Organisation,
    /// Service that it was queued for.
    pub service: Service,
    /// Priority class of the request.
    pub priority: Priority,
    /// Why it was dropped.
    pub reason: DropReason,
    /// Time spent in the queue.
    pub waited: Millis,
    /// Time after which a retry can succeed.
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

impl fmt::Display for QuotaWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            id,
            org,
            resource,
            requests_ahead,
            estimated_wait,
        } = self;
        write!(
            f,
            "decision=wait request={id} org={org} reason=quota_{resource} ahead={requests_ahead} \
             wait_ms={estimated_wait}"
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
            Self::Wait(wait) => wait.fmt(f),
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
