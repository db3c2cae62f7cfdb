//! Requests that wait for this node's share of a quota.
//!
//! Shares follow demand after an exchange of reports, so a request that exceeds the share may well
//! be within the quota. It waits in the line of its organisation if its turn is expected soon, or
//! while no share can be told because a peer has not confirmed a report yet.

use cumin_types::{Millis, Organisation, RequestId};

use super::Admission;
use crate::organisation::{OrganisationState, WaitingRequest};
use crate::{
    AdmissionRequest, Decision, DropReason, Dropped, QuotaWait, RefusalReason, Resource, Ticket,
};

impl Admission {
    /// Adds a request that exceeds `resource` for `wait` to the line of its organisation; `None` if
    /// it must be refused.
    pub(super) fn wait_for_quota(
        &mut self,
        request: &AdmissionRequest,
        resource: Resource,
        wait: Millis,
        now: Millis,
    ) -> Option<Decision> {
        let limit = self.options.quota_wait;
        let expected = if self.shares.is_confirmed() {
            wait
        } else {
            wait.min(limit)
        };
        let org = self.orgs.get_mut(&request.org)?;
        let in_time = now.plus(expected.0).plus(request.estimated_duration.0) <= request.deadline;
        // Without an estimate of a request's duration, one turn of those that run is waited for.
        let is_timed = resource != Resource::Concurrent || request.estimated_duration > Millis(0);
        let limit_left = if is_timed {
            self.options.wait_limit
        } else {
            (org.active_requests as usize).min(self.options.wait_limit)
        };
        let has_room = org.waiting.len() < limit_left;
        if limit == Millis(0) || expected > limit || !in_time || !has_room {
            return None;
        }
        let ahead = org.waiting.len();
        org.waiting.push_back(WaitingRequest {
            request: request.clone(),
            since: now,
        });
        self.waiting.insert(request.id, request.org.clone());
        Some(Decision::Wait(QuotaWait {
            id: request.id,
            org: request.org.clone(),
            resource,
            requests_ahead: ahead,
            estimated_wait: expected,
        }))
    }

    /// Lets waiting requests pass that no longer exceed a quota; returns the first that may run.
    pub(super) fn next_waiting(&mut self, now: Millis) -> Option<Ticket> {
        let has_line = |(_, org): &(_, &OrganisationState)| !org.waiting.is_empty();
        let orgs = self.orgs.iter().filter(has_line);
        let orgs: Vec<Organisation> = orgs.map(|(name, _)| name.clone()).collect();
        for org in orgs {
            while let Some(waiting) = self.pop_waiting(&org, now) {
                let WaitingRequest { request, since } = waiting;
                match self.enqueue(&request, now) {
                    Decision::Run(ticket) => {
                        return Some(Ticket {
                            waited: Millis(now.since(since)),
                            ..ticket
                        });
                    }
                    Decision::Refuse(refusal) => {
                        let reason = match refusal.reason {
                            RefusalReason::QueueFull => DropReason::Displaced,
                            _ => DropReason::Late,
                        };
                        self.drop_waiting(&request, since, reason, refusal.retry_after, now);
                    }
                    Decision::Queue(_) | Decision::Wait(_) => {}
                }
            }
        }
        None
    }

    /// Removes the first waiting request of `org` if it no longer exceeds a quota.
    fn pop_waiting(&mut self, org: &Organisation, now: Millis) -> Option<WaitingRequest> {
        let state = self.orgs.get_mut(org)?;
        let request = state.waiting.front()?.request.clone();
        if state.quota.is_none() || state.exceeded_quota(&request, now).is_some() {
            return None;
        }
        self.waiting.remove(&request.id);
        state.waiting.pop_front()
    }

    /// Removes a waiting request that its caller abandoned. Returns false if it does not wait.
    pub(super) fn cancel_waiting(&mut self, id: RequestId) -> bool {
        let Some(org) = self.waiting.remove(&id) else {
            return false;
        };
        if let Some(state) = self.orgs.get_mut(&org) {
            state.waiting.retain(|waiting| waiting.request.id != id);
        }
        self.remove_unnamed(&org);
        true
    }

    /// Drops waiting requests that can no longer complete in time, that have waited for too long,
    /// or whose organisation the document no longer names.
    pub(super) fn expire_waiting(&mut self, now: Millis) {
        let give_up = Millis(self.options.quota_wait.0 * 2);
        let mut ended = Vec::new();
        for state in self.orgs.values_mut() {
            let Some(first) = state.waiting.front() else {
                continue;
            };
            let first = first.request.clone();
            let exceeded = state.exceeded_quota(&first, now);
            let named = state.quota.is_some();
            let mut index = 0;
            while let Some(WaitingRequest { request, since }) = state.waiting.get(index) {
                let late = now.plus(request.estimated_duration.0) > request.deadline;
                let reason = match exceeded {
                    _ if !named => DropReason::UnknownOrganisation,
                    _ if now >= request.deadline => DropReason::Expired,
                    _ if late => DropReason::Late,
                    Some((resource, _)) if now.since(*since) > give_up.0 => {
                        DropReason::Quota(resource)
                    }
                    _ => {
                        index += 1;
                        continue;
                    }
                };
                let retry_after = exceeded.map_or(Millis(0), |(_, wait)| wait);
                ended.extend(
                    state
                        .waiting
                        .remove(index)
                        .map(|waiting| (waiting, reason, retry_after)),
                );
            }
        }
        for (WaitingRequest { request, since }, reason, retry_after) in ended {
            self.waiting.remove(&request.id);
            self.drop_waiting(&request, since, reason, retry_after, now);
            self.remove_unnamed(&request.org);
        }
    }

    fn drop_waiting(
        &mut self,
        request: &AdmissionRequest,
        since: Millis,
        reason: DropReason,
        retry_after: Millis,
        now: Millis,
    ) {
        self.dropped.push(Dropped {
            id: request.id,
            org: request.org.clone(),
            service: request.service.clone(),
            priority: request.priority,
            reason,
            waited: Millis(now.since(since)),
            retry_after,
        });
    }
}
