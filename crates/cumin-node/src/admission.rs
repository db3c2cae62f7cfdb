//! Admission at this node: who runs now, who waits, who is refused.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use cumin_admit::{
    Admission, AdmissionRequest, Amounts, Capacity, Decision, DemandReport, Dropped, Options,
    Quota, Refusal, RefusalReason, ShareOptions, Ticket,
};
use cumin_config::Document;
use cumin_member::Item;
use cumin_types::{Millis, NodeName, Organisation, RequestId, TokenCount, WallMillis};
use derive_more::From;
use tokio::sync::oneshot;

use crate::node::Ctx;

/// Period of exchanging demand and of looking at deadlines of queued requests.
const PERIOD: Duration = Duration::from_millis(100);
/// Periods between two reports of demand.
const REPORT_EVERY: u32 = 20;
/// The same in the first periods after the start, so that shares settle soon.
const REPORT_EARLY: u32 = 4;
const EARLY: u32 = 40;
/// Time that a report of demand is valid, milliseconds.
const REPORT_TTL_MS: u64 = 10_000;
/// Requests that a node may have at endpoints, as a multiple of its equal share of their slots;
/// callers spread unevenly over entries.
const OVERCOMMIT: usize = 2;

/// Longest wait for a share of a quota to refill.
const SMOOTHING: Millis = Millis(1_500);
/// Requests that wait so at once.
const MAX_SMOOTHED: usize = 512;
/// Claim of an idle node on a limit, as a part of an equal share. Callers change entries at any
/// moment and shares follow seconds later: at 0.05 an entry admitted 1.5 requests a second of an
/// organisation's 30 after another entry had been busy; with a whole equal share it keeps 4.6.
const IDLE_CLAIM: f64 = 1.0;

/// Why a request is not admitted.
#[derive(Debug, From)]
pub(crate) enum Denied {
    /// At once.
    Refused(Refusal),
    /// After a wait.
    Dropped(Dropped),
}

/// Admission and the requests that wait for it.
pub(crate) struct Gate {
    admission: RefCell<Admission>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Result<Ticket, Dropped>>>>,
    // Whether every other node has heard this one's demand; until then its shares are the floor.
    settled: Cell<bool>,
    // Whether that was so at any time.
    opened: Cell<bool>,
    // Requests that wait for a quota to refill.
    smoothed: Cell<usize>,
}

/// Removes a queued request whose caller went away.
struct Waiting<'a> {
    ctx: &'a Rc<Ctx>,
    id: RequestId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let gate = &self.ctx.gate;
        if gate.waiting.borrow_mut().remove(&self.id).is_some() {
            gate.admission
                .borrow_mut()
                .cancel(self.id, self.ctx.clock.now());
            gate.pump(self.ctx);
        }
    }
}

impl Gate {
    pub(crate) fn new(node: NodeName, started: WallMillis, document: &Document) -> Self {
        let options = Options {
            node,
            started,
            shares: ShareOptions {
                idle_fraction: IDLE_CLAIM,
                ..ShareOptions::default()
            },
            ..Options::default()
        };
        let mut admission = Admission::new(options);
        admission.configure(&quotas(document), Millis(0));
        Self {
            admission: RefCell::new(admission),
            waiting: RefCell::default(),
            settled: Cell::default(),
            opened: Cell::default(),
            smoothed: Cell::default(),
        }
    }

    /// Takes the quotas of a new document.
    pub(crate) fn configure(&self, document: &Document, now: Millis) {
        self.admission
            .borrow_mut()
            .configure(&quotas(document), now);
    }

    /// Asks for a request to run; waits in the queue when it may not run yet.
    ///
    /// A request that finds this node's share of a quota used up waits for it to refill when that
    /// takes less than [`SMOOTHING`]: shares follow demand with a delay of seconds, so a caller
    /// that changes to another entry would be refused although its organisation is below its
    /// quota.
    pub(crate) async fn enter(
        &self,
        ctx: &Rc<Ctx>,
        ask: AdmissionRequest,
    ) -> Result<Ticket, Denied> {
        let mut waited = Millis(0);
        loop {
            match self.try_enter(ctx, &ask).await {
                Err(Denied::Refused(refusal)) if self.smooth(&refusal, waited) => {
                    let pause = refusal.retry_after.max(Millis(1));
                    waited = waited.plus(pause.0);
                    self.smoothed.set(self.smoothed.get() + 1);
                    actix_rt::time::sleep(pause.duration()).await;
                    self.smoothed.set(self.smoothed.get() - 1);
                }
                result => return result,
            }
        }
    }

    fn smooth(&self, refusal: &Refusal, waited: Millis) -> bool {
        matches!(refusal.reason, RefusalReason::Quota(_))
            && waited.plus(refusal.retry_after.0) <= SMOOTHING
            && refusal.retry_after < refusal.time_left
            && self.smoothed.get() < MAX_SMOOTHED
    }

    async fn try_enter(&self, ctx: &Rc<Ctx>, ask: &AdmissionRequest) -> Result<Ticket, Denied> {
        let decision = self.admission.borrow_mut().admit(ask, ctx.clock.now());
        ctx.decisions.note("admit", &ask.id, &decision);
        let answer = match decision {
            Decision::Run(ticket) => {
                self.pump(ctx);
                return Ok(ticket);
            }
            Decision::Refuse(refusal) => return Err(refusal.into()),
            Decision::Queue(_) => {
                let (sender, answer) = oneshot::channel();
                self.waiting.borrow_mut().insert(ask.id, sender);
                answer
            }
        };
        let _waiting = Waiting { ctx, id: ask.id };
        self.pump(ctx);
        match answer.await {
            Ok(result) => result.map_err(Denied::from),
            // The sender lives in `waiting` until it answers.
            Err(_) => unreachable!("a queued request was forgotten"),
        }
    }

    /// Ends a request that used `used` tokens.
    pub(crate) fn leave(&self, ctx: &Rc<Ctx>, ticket: Ticket, used: TokenCount) {
        self.admission
            .borrow_mut()
            .finish(ticket, used, ctx.clock.now());
        self.pump(ctx);
    }

    /// Returns true while this node's shares of the quotas follow demand.
    pub(crate) fn settled(&self) -> bool {
        self.settled.get()
    }

    /// Returns true from when that was so first; a node that joins later does not end it.
    pub(crate) fn opened(&self) -> bool {
        self.opened.get()
    }

    /// Returns the requests that wait at this node.
    pub(crate) fn queued(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Answers those that may run, and those that never will.
    fn pump(&self, ctx: &Rc<Ctx>) {
        let now = ctx.clock.now();
        loop {
            let dropped = self.admission.borrow_mut().expire(now);
            for one in dropped {
                ctx.decisions.note("drop", &one.id, &one);
                if let Some(sender) = self.waiting.borrow_mut().remove(&one.id) {
                    let _ = sender.send(Err(one));
                }
            }
            let Some(ticket) = self.admission.borrow_mut().next_ticket(now) else {
                return;
            };
            ctx.decisions.note("admit", &ticket.id, &ticket);
            let sender = self.waiting.borrow_mut().remove(&ticket.id);
            let unwanted = match sender {
                Some(sender) => sender.send(Ok(ticket)).err().and_then(Result::ok),
                None => Some(ticket),
            };
            if let Some(ticket) = unwanted {
                self.admission
                    .borrow_mut()
                    .finish(ticket, TokenCount(0), now);
            }
        }
    }

    /// Exchanges demand and moves the queue on, for ever.
    pub(crate) async fn drive(ctx: Rc<Ctx>) {
        let mut round = 0;
        loop {
            let every = if round < EARLY {
                REPORT_EARLY
            } else {
                REPORT_EVERY
            };
            if round % every == 0 {
                ctx.gate.exchange(&ctx);
            }
            ctx.gate.pump(&ctx);
            round += 1;
            actix_rt::time::sleep(PERIOD).await;
        }
    }

    fn exchange(&self, ctx: &Rc<Ctx>) {
        let now = ctx.clock.now();
        let live: Vec<NodeName> = ctx
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
                value: pack(&demand),
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
                let demand = unpack(item.version, item.value)?;
                Some((NodeName::from(name), demand))
            })
            .collect();
        let mut admission = self.admission.borrow_mut();
        if ctx.members.is_trusted(now) {
            let heard = |name: &NodeName| {
                let report = reports.iter().find(|(of, _)| of == name);
                report.is_some_and(|(_, demand)| demand.heard.contains_key(&ctx.settings.name))
            };
            let mut others = live.iter().filter(|name| **name != ctx.settings.name);
            self.settled.set(others.all(heard));
            self.opened.set(self.opened.get() || self.settled.get());
            admission.rebalance(&reports, &live, now);
        }
        for (service, slots, rate) in ctx.fleet.capacities(&ctx.document()) {
            let own = (slots * OVERCOMMIT).div_ceil(live.len().max(1));
            #[expect(clippy::cast_precision_loss, reason = "far below 2^53 nodes")]
            let rate = rate * OVERCOMMIT as f64 / live.len().max(1) as f64;
            admission.set_capacity(
                &service,
                Capacity {
                    slots: own,
                    token_rate: rate,
                },
                now,
            );
        }
    }
}

/// Claims of each organisation and versions heard from each node, as arrays and in whole
/// thousandths: as objects with full floats the report of five organisations did not fit an item.
type Packed = (BTreeMap<Organisation, [u64; 3]>, BTreeMap<NodeName, u64>);

fn pack(demand: &DemandReport) -> serde_json::Value {
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
    let packed: Packed = (claims.collect(), demand.heard.clone());
    // Names and numbers always have a JSON form.
    serde_json::to_value(packed).unwrap_or_default()
}

fn unpack(version: u64, value: serde_json::Value) -> Option<DemandReport> {
    let (claims, heard): Packed = serde_json::from_value(value).ok()?;
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

/// Scales a weight to whole numbers; the document allows 0.01 to 1000.
fn weight(weight: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked by the document"
    )]
    let whole = (weight * 100.0).round() as u32;
    whole.max(1)
}
