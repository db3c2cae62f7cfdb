//! Admission control at this node: runs, queues or refuses requests, and exchanges demand with the
//! other nodes.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use cumin_admit::{
    Admission, AdmissionRequest, Amounts, Capacity, Decision, DemandReport, Dropped, Options,
    Quota, Refusal, ShareOptions, Ticket,
};
use cumin_config::Document;
use cumin_member::Item;
use cumin_types::{Millis, NodeName, Organisation, RequestId, TokenCount, WallMillis};
use derive_more::From;
use tokio::sync::oneshot;

use crate::node::Ctx;

/// Period in which the queue is checked for requests that expired or may run.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Number of periods between two reports of demand.
const REPORT_PERIODS: u32 = 20;
/// Number of periods between two reports during the first [`EARLY_PERIODS`], and while another node
/// has not confirmed this node's demand, so that the shares of the quotas settle soon.
const EARLY_REPORT_PERIODS: u32 = 4;
/// Number of periods after the start in which reports are more frequent.
const EARLY_PERIODS: u32 = 40;
/// How long a report of demand is valid, in milliseconds.
const REPORT_TTL_MS: u64 = 10_000;
/// Maximum number of requests that a node may have at endpoints, as a multiple of its equal share
/// of their slots. It is above 1 because callers are spread unevenly over entries.
const OVERCOMMIT: usize = 2;

/// Longest expected time that a request waits for the node's share of a quota. Without the wait, a
/// caller that changes to another entry would be refused although its organisation is below its
/// quota, because shares follow demand with a delay of seconds.
const MAX_QUOTA_WAIT: Millis = Millis(1_500);
/// Share of a quota that an idle node claims, as a fraction of an equal share. Callers change
/// entries at any moment and shares follow seconds later: at 0.05, an entry admitted 1.5 requests
/// per second of an organisation's 30 after another entry had been busy; at 1.0 it admits 4.6.
const IDLE_FRACTION: f64 = 1.0;

/// Why a request is not admitted.
#[derive(Debug, From)]
pub(crate) enum Denied {
    /// It was refused on arrival.
    Refused(Refusal),
    /// It was dropped from the queue.
    Dropped(Dropped),
}

/// Admission state and the queued requests.
pub(crate) struct AdmissionControl {
    admission: RefCell<Admission>,
    waiters: RefCell<HashMap<RequestId, oneshot::Sender<Result<Ticket, Dropped>>>>,
    // Whether the shares of the quotas have followed demand at any time.
    has_settled: Cell<bool>,
}

/// A queued request. On drop, as when its caller disconnects, it is removed if it is still queued,
/// and its ticket is returned if that was not received.
struct QueueGuard<'a> {
    ctx: &'a Rc<Ctx>,
    id: RequestId,
    receiver: oneshot::Receiver<Result<Ticket, Dropped>>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let control = &self.ctx.admission;
        if control.waiters.borrow_mut().remove(&self.id).is_some() {
            control
                .admission
                .borrow_mut()
                .cancel(self.id, self.ctx.clock.now());
            control.process_queue(self.ctx);
        } else if let Ok(Ok(ticket)) = self.receiver.try_recv() {
            control.finish(self.ctx, ticket, TokenCount(0));
        }
    }
}

impl AdmissionControl {
    pub(crate) fn new(node: NodeName, started: WallMillis, document: &Document) -> Self {
        let options = Options {
            node,
            started,
            quota_wait: MAX_QUOTA_WAIT,
            shares: ShareOptions {
                idle_fraction: IDLE_FRACTION,
                ..ShareOptions::default()
            },
            ..Options::default()
        };
        let mut admission = Admission::new(options);
        admission.configure(&quotas(document), Millis(0));
        Self {
            admission: RefCell::new(admission),
            waiters: RefCell::default(),
            has_settled: Cell::default(),
        }
    }

    /// Applies the quotas of a new document.
    pub(crate) fn configure(&self, document: &Document, now: Millis) {
        self.admission
            .borrow_mut()
            .configure(&quotas(document), now);
    }

    /// Admits a request; waits until the request may run.
    pub(crate) async fn admit(
        &self,
        ctx: &Rc<Ctx>,
        request: AdmissionRequest,
    ) -> Result<Ticket, Denied> {
        let decision = self.admission.borrow_mut().admit(&request, ctx.clock.now());
        ctx.decisions.record("admit", &request.id, &decision);
        let quota_wait = match decision {
            Decision::Run(ticket) => {
                self.process_queue(ctx);
                return Ok(ticket);
            }
            Decision::Refuse(refusal) => return Err(refusal.into()),
            Decision::Queue(_) => None,
            Decision::Wait(wait) => Some(wait.estimated_wait),
        };
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(request.id, sender);
        let mut guard = QueueGuard {
            ctx,
            id: request.id,
            receiver,
        };
        self.process_queue(ctx);
        if let Some(wait) = quota_wait {
            // The queue is processed as soon as the quota is expected to have room.
            let early = actix_rt::time::timeout(wait.duration(), &mut guard.receiver).await;
            if let Ok(result) = early {
                return admitted(result);
            }
            self.process_queue(ctx);
        }
        admitted((&mut guard.receiver).await)
    }

    /// Returns the ticket of a request that has ended and used `used` tokens.
    pub(crate) fn finish(&self, ctx: &Rc<Ctx>, ticket: Ticket, used: TokenCount) {
        self.admission
            .borrow_mut()
            .finish(ticket, used, ctx.clock.now());
        self.process_queue(ctx);
    }

    /// Returns true while this node's shares of the quotas follow demand: every other node that is
    /// known now has received this node's demand.
    pub(crate) fn is_settled(&self, ctx: &Ctx) -> bool {
        let entries = ctx.members.entries().into_iter();
        let names: Vec<NodeName> = entries.map(|member| member.name).collect();
        self.admission.borrow().is_settled(&names)
    }

    /// Returns true once [`Self::is_settled`] has been true, also after another node has joined.
    pub(crate) fn has_settled(&self) -> bool {
        self.has_settled.get()
    }

    /// Returns the number of requests queued at this node.
    pub(crate) fn queued(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Reports the requests that admission has dropped to their callers.
    fn report_dropped(&self, ctx: &Rc<Ctx>, now: Millis) {
        let dropped = self.admission.borrow_mut().expire(now);
        for request in dropped {
            ctx.decisions.record("drop", &request.id, &request);
            if let Some(sender) = self.waiters.borrow_mut().remove(&request.id) {
                let _ = sender.send(Err(request));
            }
        }
    }

    /// Drops the expired requests of the queue and admits those that may run.
    fn process_queue(&self, ctx: &Rc<Ctx>) {
        let now = ctx.clock.now();
        loop {
            self.report_dropped(ctx, now);
            let Some(ticket) = self.admission.borrow_mut().next_ticket(now) else {
                // Requests that were too late for their turn.
                self.report_dropped(ctx, now);
                return;
            };
            ctx.decisions.record("admit", &ticket.id, &ticket);
            let sender = self.waiters.borrow_mut().remove(&ticket.id);
            let unused = match sender {
                Some(sender) => sender.send(Ok(ticket)).err().and_then(Result::ok),
                None => Some(ticket),
            };
            if let Some(ticket) = unused {
                self.admission
                    .borrow_mut()
                    .finish(ticket, TokenCount(0), now);
            }
        }
    }

    /// Exchanges demand and processes the queue periodically; never returns.
    pub(crate) async fn drive(ctx: Rc<Ctx>) {
        let mut round = 0;
        loop {
            let settled = ctx.admission.is_settled(&ctx);
            ctx.metrics.settled.set(settled.into());
            let interval = if round < EARLY_PERIODS || !settled {
                EARLY_REPORT_PERIODS
            } else {
                REPORT_PERIODS
            };
            if round % interval == 0 {
                ctx.admission.exchange_demand(&ctx);
            }
            ctx.admission.process_queue(&ctx);
            round += 1;
            actix_rt::time::sleep(POLL_PERIOD).await;
        }
    }

    fn exchange_demand(&self, ctx: &Rc<Ctx>) {
        let now = ctx.clock.now();
        let entries: Vec<NodeName> = ctx
            .members
            .entries()
            .into_iter()
            .map(|member| member.name)
            .collect();
        let demand = self.admission.borrow_mut().demand_report(now);
        ctx.members.publish(
            Item {
                key: format!("demand/{}", ctx.settings.name),
                version: demand.version,
                value: encode_demand(&demand),
                ttl: REPORT_TTL_MS,
            },
            now,
        );
        let reports: Vec<(NodeName, DemandReport)> = ctx
            .members
            .items("demand/")
            .into_iter()
            .filter_map(|item| {
                let name = item.key.strip_prefix("demand/")?;
                let demand = decode_demand(item.version, item.value)?;
                Some((NodeName::from(name), demand))
            })
            .collect();
        let mut admission = self.admission.borrow_mut();
        if ctx.members.is_trusted(now) {
            admission.rebalance(&reports, &entries, now);
            let settled = admission.is_settled(&entries);
            self.has_settled.set(self.has_settled.get() || settled);
        }
        for (service, slots, rate) in ctx.fleet.capacities(ctx, &ctx.document()) {
            let node_slots = (slots * OVERCOMMIT).div_ceil(entries.len().max(1));
            #[expect(clippy::cast_precision_loss, reason = "far below 2^53 nodes")]
            let rate = rate * OVERCOMMIT as f64 / entries.len().max(1) as f64;
            admission.set_capacity(
                &service,
                Capacity {
                    slots: node_slots,
                    token_rate: rate,
                },
                now,
            );
        }
    }
}

/// Returns what the queue decided about a request.
fn admitted(
    result: Result<Result<Ticket, Dropped>, oneshot::error::RecvError>,
) -> Result<Ticket, Denied> {
    match result {
        Ok(result) => result.map_err(Denied::from),
        // The sender stays in `waiters` until it is used.
        Err(_) => unreachable!("the sender of a queued request was dropped"),
    }
}

/// A [`DemandReport`] as published: the claims of each organisation in thousandths, and the version
/// last received from each node. With objects and full floats, the report of five organisations
/// exceeded the size limit of an item.
type EncodedDemand = (BTreeMap<Organisation, [u64; 3]>, BTreeMap<NodeName, u64>);

fn encode_demand(demand: &DemandReport) -> serde_json::Value {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "claims are positive"
    )]
    let thousandths = |amount: f64| (amount * 1000.0).ceil() as u64;
    let claims = demand.orgs.iter().map(|(org, amounts)| {
        let Amounts {
            requests,
            concurrent,
            tokens,
        } = *amounts;
        (org.clone(), [requests, concurrent, tokens].map(thousandths))
    });
    let encoded: EncodedDemand = (claims.collect(), demand.heard.clone());
    // Maps of strings to numbers always have a JSON form.
    serde_json::to_value(encoded).unwrap_or_default()
}

fn decode_demand(version: u64, value: serde_json::Value) -> Option<DemandReport> {
    let (claims, heard): EncodedDemand = serde_json::from_value(value).ok()?;
    #[expect(clippy::cast_precision_loss, reason = "claims are far below 2^53")]
    let amount = |thousandths: u64| thousandths as f64 / 1000.0;
    let orgs = claims.into_iter().map(|(org, claim)| {
        let [requests, concurrent, tokens] = claim.map(amount);
        (
            org,
            Amounts {
                requests,
                concurrent,
                tokens,
            },
        )
    });
    Some(DemandReport {
        version,
        orgs: orgs.collect(),
        heard,
    })
}

fn quotas(document: &Document) -> BTreeMap<Organisation, Quota> {
    let quota = |spec: &cumin_config::OrganisationSpec| Quota {
        rate: Some(spec.quota.requests_per_second),
        concurrent: Some(spec.quota.concurrent_requests),
        tokens: Some(spec.quota.tokens_per_minute.0),
        weight: weight(spec.weight),
    };
    document
        .organisations
        .iter()
        .map(|(name, spec)| (name.clone(), quota(spec)))
        .collect()
}

/// Returns a weight in hundredths; the document allows weights from 0.01 to 1000.
fn weight(weight: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked by the document"
    )]
    let hundredths = (weight * 100.0).round() as u32;
    hundredths.max(1)
}
