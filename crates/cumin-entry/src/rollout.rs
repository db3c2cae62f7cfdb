//! Roll-outs: the traffic of a service moves to endpoints of another version, unless that version
//! is bad.
//!
//! Every entry sends a bounded share of its requests to the target version and counts what becomes
//! of them, by route. Digests carry these counts, and each entry judges the sum. A bad verdict is
//! made by any entry, is adopted by all that hear of it, and is final. A good one is made by the
//! holder of the duty lease, late in the duration of the order, because the exposure of a bad
//! version is bounded until its end; it is withdrawn if the version turns out bad while the traffic
//! moves.

pub mod evidence;
pub mod exposure;
mod moving;
mod peers;
pub mod verdict;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cumin_types::{EndpointName, Incarnation, LogOffset, Millis, NodeName, Service, score};
use serde::{Deserialize, Serialize};

use self::evidence::{Counts, Outcome, Side, add_counts};
use self::exposure::{ExposeBounds, Exposure, share_at};
pub use self::moving::{Report, Situation};
use self::peers::PeerCounts;
pub use self::peers::Stated;
use self::verdict::Watch;
use crate::era::Era;

/// Version of an endpoint's software.
pub type Version = Arc<str>;

/// Time for which endpoints of a version that has just appeared get no requests without an order:
/// the order may arrive after the registrations.
const HOLD: Millis = Millis(4000);

/// Time after which a service of which only endpoints of the target version were seen counts as
/// one that runs that version already.
const ALONE: Millis = Millis(3000);

/// An operator's order, as decoded from its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionOrder {
    /// The service.
    pub service: Service,
    /// Version that its traffic moves to.
    pub target: Version,
    /// Time within which it is completed or rolled back; `None` if it is not a positive number.
    pub duration: Option<Millis>,
}

/// State of a roll-out as the operator sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// It goes on.
    Running,
    /// The service runs the target version.
    Completed,
    /// The target version is not used.
    RolledBack,
}

/// Status of a roll-out, as it is written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The service.
    pub service: Service,
    /// The target version.
    pub target: Version,
    /// The state.
    pub state: RolloutState,
    /// Position of the order, which includes the era of the store.
    pub order: LogOffset,
    /// Age of the order.
    pub age: Millis,
}

/// Judgement of a version. A later variant takes precedence over an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Not judged yet.
    #[default]
    Open,
    /// The traffic moves to it.
    Good,
    /// It is not used.
    Bad,
    /// The store has the state `completed`.
    Completed,
    /// The store has the state `rolled_back`.
    RolledBack,
}

impl Verdict {
    const fn is_bad(self) -> bool {
        matches!(self, Self::Bad | Self::RolledBack)
    }

    const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// A usable endpoint and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub name: EndpointName,
    /// Its version, if it states one.
    pub version: Option<Version>,
}

/// Endpoints that a request may not use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Endpoints to avoid.
    pub avoid: Vec<EndpointName>,
    /// The same, if no other endpoint takes the request.
    pub fallback: Vec<EndpointName>,
}

/// Settings of [`Rollouts`].
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOptions {
    /// This node.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Time of its start.
    pub started: Millis,
}

/// A decision to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The service.
    pub service: Service,
    /// What happened, as fields of a log line.
    pub text: String,
}

/// One roll-out, as this node knows it.
#[derive(Clone, Debug)]
struct Rollout {
    order: VersionOrder,
    offset: LogOffset,
    /// Number of this roll-out at this node.
    number: u64,
    /// Time at which the order was first seen by any node, as far as known.
    began: Millis,
    verdict: Verdict,
    /// Time at which this node learned that the traffic moves.
    moved: Option<Millis>,
    /// Last state that is known to be in the store.
    written: Option<RolloutState>,
    /// Whether endpoints of another version were seen since the order.
    old_seen: bool,
    exposure: Exposure,
    own: Counts,
    /// Attempts that run at endpoints of the old version.
    old_running: u32,
    /// Counts that peers state.
    heard: PeerCounts,
    watch: Watch,
}

impl Rollout {
    const fn age(&self, now: Millis) -> Millis {
        Millis(now.since(self.began))
    }

    fn total(&self) -> Counts {
        let mut sum = self.own.clone();
        self.heard.add_to(&mut sum);
        sum
    }

    fn is_new(&self, version: Option<&Version>) -> bool {
        version == Some(&self.order.target)
    }
}

/// What is known of one service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    current: Option<Rollout>,
    /// Order that waits for the end of the current one.
    next: Option<(VersionOrder, LogOffset, Millis)>,
    /// Versions that were rolled back.
    barred: BTreeSet<Version>,
    /// Times at which versions were first seen.
    versions: BTreeMap<Option<Version>, Millis>,
    /// Offset of the newest order with a final status.
    last_final: Option<LogOffset>,
}

/// The roll-outs of all services.
#[derive(Debug)]
pub struct Rollouts {
    options: RolloutOptions,
    /// `None` if the settings do not allow roll-outs.
    bounds: Option<ExposeBounds>,
    /// Whether the statuses in the store were read.
    statuses_read: bool,
    /// Whether this node hears most of the nodes that it knows.
    hears_most: bool,
    /// Number of roll-outs that this node has begun.
    begun: u64,
    services: BTreeMap<Service, ServiceState>,
    events: Vec<Event>,
}

impl Rollouts {
    /// Creates the state of a node that has read nothing.
    #[must_use]
    pub const fn new(options: RolloutOptions) -> Self {
        Self {
            options,
            bounds: None,
            statuses_read: false,
            hears_most: true,
            begun: 0,
            services: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Sets the bounds; without them orders are ignored.
    pub const fn set_bounds(&mut self, bounds: Option<ExposeBounds>) {
        self.bounds = bounds;
    }

    /// Sets the number of nodes that serve callers, and how many of them are heard, both with this
    /// one. A node that hears at most half of them may not learn that a version is bad.
    pub const fn set_heard(&mut self, nodes: usize, heard: usize) {
        self.hears_most = heard * 2 > nodes;
    }

    /// Returns the decisions that were not logged yet.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns whether requests of a service must be assigned to versions.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Returns the number of roll-outs that go on.
    #[must_use]
    pub fn running(&self) -> usize {
        let states = self.services.values();
        let running = states.filter_map(|state| state.current.as_ref());
        running.filter(|run| !run.verdict.is_final()).count()
    }

    /// Applies an order that was given after `earliest`, the time of the copy before it. `nodes` is
    /// the number of nodes that share the slack.
    pub fn order_seen(
        &mut self,
        order: VersionOrder,
        offset: LogOffset,
        nodes: usize,
        earliest: Option<Millis>,
        now: Millis,
    ) {
        let service = order.service.clone();
        // The time since then counts, so that the order ends in time after an outage of the store.
        let most = order.duration.map_or(0, |duration| duration.0 / 4);
        let passed = earliest.map_or(0, |earliest| now.since(earliest)).min(most);
        let began = Millis(now.0.saturating_sub(passed));
        if self.bounds.is_none() {
            self.log(
                &service,
                format!("decision=ignored reason=no_share target={}", order.target),
            );
            return;
        }
        let state = self.services.entry(service.clone()).or_default();
        if let Some(run) = &mut state.current {
            let same = run.order.target == order.target;
            if offset <= run.offset
                || state
                    .next
                    .as_ref()
                    .is_some_and(|(_, next, _)| offset <= *next)
            {
                return;
            }
            // After a restore of the store the operator writes its orders again.
            let restored = Era::of_position(offset) > Era::of_position(run.offset)
                && run.order.duration == order.duration;
            if same && (restored || !run.verdict.is_final()) && state.next.is_none() {
                // An order that is repeated is no new one: evidence, exposure and verdict remain.
                run.offset = offset;
                self.log(
                    &service,
                    format!("decision=repeated target={}", order.target),
                );
                return;
            }
            if !run.verdict.is_final() {
                // Going back to the old version is safe at any time, except after the verdict.
                let target = order.target.clone();
                state.next = Some((order, offset, began));
                if run.verdict == Verdict::Open {
                    run.verdict = Verdict::Bad;
                }
                let verdict = run.verdict;
                self.log(
                    &service,
                    format!("decision=superseded by={target} verdict={verdict:?}"),
                );
                return;
            }
        }
        self.begin(&service, order, offset, nodes, began, now);
    }

    fn begin(
        &mut self,
        service: &Service,
        order: VersionOrder,
        offset: LogOffset,
        nodes: usize,
        began: Millis,
        now: Millis,
    ) {
        let Some(bounds) = self.bounds else { return };
        self.begun += 1;
        let state = self.services.entry(service.clone()).or_default();
        state.barred.remove(&order.target);
        let text = format!(
            "decision=begun target={} order={offset} duration_ms={}",
            order.target,
            order.duration.unwrap_or_default()
        );
        // A node that has just started does not know all others, and its predecessor may have used
        // its part of the slack.
        let knows_peers = now.since(self.options.started) >= crate::peer::SHARE_TIMEOUT.0;
        state.current = Some(Rollout {
            exposure: Exposure::new(&bounds, knows_peers.then_some(nodes)),
            verdict: Verdict::Open,
            order,
            offset,
            number: self.begun,
            began,
            moved: None,
            written: None,
            old_seen: false,
            own: Counts::new(),
            old_running: 0,
            heard: PeerCounts::default(),
            watch: Watch::default(),
        });
        self.log(service, text);
    }

    fn log(&mut self, service: &Service, text: String) {
        self.events.push(Event {
            service: service.clone(),
            text,
        });
    }

    /// Records that the store was restored: the statuses that it held may be lost, and the holder of
    /// the duty lease writes them again.
    pub fn store_restored(&mut self) {
        for state in self.services.values_mut() {
            if let Some(run) = &mut state.current {
                run.written = None;
            }
        }
    }

    /// Applies the statuses in the store. Before that, no version is exposed.
    pub fn statuses_read(&mut self, statuses: &[Status], now: Millis) {
        self.statuses_read = true;
        for status in statuses {
            self.status_known(status, now);
        }
    }

    /// Applies a status that is in the store.
    pub fn status_known(&mut self, status: &Status, now: Millis) {
        let state = self.services.entry(status.service.clone()).or_default();
        if status.state != RolloutState::Running {
            state.last_final = state.last_final.max(Some(status.order));
        }
        let Some(run) = state
            .current
            .as_mut()
            .filter(|run| run.order.target == status.target && run.offset >= status.order)
        else {
            if status.state == RolloutState::RolledBack {
                state.barred.insert(status.target.clone());
            }
            return;
        };
        let verdict = match status.state {
            RolloutState::Running => Verdict::Open,
            RolloutState::Completed => Verdict::Completed,
            RolloutState::RolledBack => Verdict::RolledBack,
        };
        if run.offset > status.order && verdict.is_final() {
            return;
        }
        run.written = Some(status.state);
        run.began = run.began.min(Millis(now.since(status.age)));
        self.adopt(&status.service, verdict, now);
    }

    /// Adopts a verdict unless the known one takes precedence, and begins the next order after a
    /// final one.
    fn adopt(&mut self, service: &Service, verdict: Verdict, now: Millis) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let Some(run) = &mut state.current else {
            return;
        };
        // The status in the store is final: what comes first is what the platform acted on.
        if run.verdict.is_final() || verdict <= run.verdict {
            return;
        }
        run.verdict = verdict;
        if verdict == Verdict::Good {
            run.moved.get_or_insert(now);
        }
        if verdict.is_bad() && (run.old_seen || run.heard.old_seen()) {
            state.barred.insert(run.order.target.clone());
            // If it is ordered again, it was not in use before.
            state.versions.remove(&Some(run.order.target.clone()));
        }
        let (target, offset) = (run.order.target.clone(), run.offset);
        let next = if verdict.is_final() {
            state.last_final = state.last_final.max(Some(offset));
            state.next.take()
        } else {
            None
        };
        self.log(
            service,
            format!("decision=verdict target={target} verdict={verdict:?}"),
        );
        if let Some((order, offset, seen)) = next {
            // Its own part of the slack was used for the order before.
            self.begin(service, order, offset, usize::MAX, seen, now);
        }
    }

    /// Returns the endpoints that a request of a route may not use.
    ///
    /// `is_retry` says that an attempt was made before; further ones use the old version until the
    /// traffic has moved.
    pub fn assign(
        &mut self,
        service: &Service,
        route: &Arc<str>,
        candidates: &[Candidate],
        is_retry: bool,
        now: Millis,
    ) -> Assignment {
        let (Some(bounds), true) = (self.bounds, self.statuses_read) else {
            return self.before_statuses(service, candidates);
        };
        let state = self.services.entry(service.clone()).or_default();
        for candidate in candidates {
            state
                .versions
                .entry(candidate.version.clone())
                .or_insert(now);
        }
        let barred = |candidate: &&Candidate| {
            candidate
                .version
                .as_ref()
                .is_some_and(|version| state.barred.contains(version))
        };
        let names = |kept: Vec<&Candidate>| -> Vec<EndpointName> {
            kept.into_iter().map(|kept| kept.name.clone()).collect()
        };
        let excluded = names(candidates.iter().filter(barred).collect());
        let open: Vec<&Candidate> = candidates.iter().filter(|c| !barred(c)).collect();
        let Some(run) = &mut state.current else {
            let held = held(&state.versions, &open, now);
            return Assignment {
                avoid: [excluded.clone(), names(held)].concat(),
                fallback: excluded,
            };
        };
        let (new, old): (Vec<&Candidate>, Vec<&Candidate>) = open
            .into_iter()
            .partition(|candidate| run.is_new(candidate.version.as_ref()));
        run.old_seen |= !old.is_empty();
        if !is_retry {
            run.exposure.requests += 1;
        }
        let age = run.age(now);
        let late = run.order.duration.is_some_and(|duration| age > duration);
        let (avoid, fallback) = match run.verdict {
            Verdict::Bad | Verdict::RolledBack if !run.old_seen => (names(new), Vec::new()),
            Verdict::Bad | Verdict::RolledBack => (names(new.clone()), names(new)),
            Verdict::Completed if !new.is_empty() => (names(old), Vec::new()),
            Verdict::Completed => (Vec::new(), Vec::new()),
            Verdict::Good if !self.hears_most => (names(new), Vec::new()),
            Verdict::Good => {
                let share = moving::share(now.since(run.moved.unwrap_or(now)));
                let used = moving::endpoints(share, new.len());
                let moves = run.exposure.take(route, self.options.node.as_str(), share);
                if new.is_empty() {
                    (Vec::new(), Vec::new())
                } else if moves || old.is_empty() {
                    let unused = unused(new, service, used);
                    ([names(old), names(unused)].concat(), Vec::new())
                } else {
                    (names(new), Vec::new())
                }
            }
            Verdict::Open if is_alone(&state.versions, run, &old, now) => (Vec::new(), Vec::new()),
            // The old endpoints were stopped, but this node did not hear of the verdict.
            Verdict::Open if late => (names(new), Vec::new()),
            Verdict::Open if run.order.duration.is_none() => (names(new.clone()), names(new)),
            Verdict::Open => {
                let share = share_at(&bounds, age, old.len(), new.len());
                let node = self.options.node.as_str();
                let taken = !is_retry
                    && !new.is_empty()
                    && run.exposure.take(route, node, share.now)
                    && run.exposure.has_room(&bounds, self.hears_most);
                if taken {
                    let unused = unused(new.clone(), service, share.endpoints);
                    let avoid = [names(old), names(unused)].concat();
                    (avoid, names(new))
                } else {
                    (names(new.clone()), names(new))
                }
            }
        };
        Assignment {
            avoid: [excluded.clone(), avoid].concat(),
            fallback: [excluded, fallback].concat(),
        }
    }

    /// Returns what may not be used before the store's statuses are known: the target versions.
    fn before_statuses(&self, service: &Service, candidates: &[Candidate]) -> Assignment {
        let run = self.services.get(service).and_then(|s| s.current.as_ref());
        let Some(run) = run.filter(|_| self.bounds.is_some()) else {
            return Assignment::default();
        };
        let new = candidates
            .iter()
            .filter(|candidate| run.is_new(candidate.version.as_ref()));
        let avoid: Vec<EndpointName> = new.map(|candidate| candidate.name.clone()).collect();
        Assignment {
            fallback: avoid.clone(),
            avoid,
        }
    }

    /// Counts an attempt that is sent to an endpoint; `None` if no roll-out goes on.
    pub fn sent(
        &mut self,
        service: &Service,
        route: &Arc<str>,
        version: Option<&Version>,
    ) -> Option<(Side, u64)> {
        let run = self.services.get_mut(service)?.current.as_mut()?;
        if run.verdict.is_final() {
            return None;
        }
        let side = if run.is_new(version) {
            run.exposure.sent += 1;
            Side::New
        } else {
            run.old_running += 1;
            Side::Old
        };
        let tally = run.own.entry(route.clone()).or_default().side(side);
        tally.sent = tally.sent.saturating_add(1);
        Some((side, run.number))
    }

    /// Counts the end of an attempt that [`sent`](Self::sent) counted. Without an outcome it says
    /// nothing about the version: the caller left, or the endpoint did not run it.
    pub fn ended(
        &mut self,
        service: &Service,
        route: &Arc<str>,
        (side, number): (Side, u64),
        outcome: Option<Outcome>,
    ) {
        let state = self.services.get_mut(service);
        let run = state.and_then(|state| state.current.as_mut());
        let Some(run) = run.filter(|run| run.number == number) else {
            return;
        };
        if side == Side::Old {
            run.old_running = run.old_running.saturating_sub(1);
        }
        if let Some(outcome) = outcome {
            let tally = run.own.entry(route.clone()).or_default().side(side);
            tally.ended(outcome);
        }
    }

    /// Judges all running versions by the counts that are known.
    pub fn review(&mut self, now: Millis) {
        let mut found = Vec::new();
        for (service, state) in &mut self.services {
            let Some(run) = &mut state.current else {
                continue;
            };
            if run.verdict > Verdict::Good {
                continue;
            }
            let total = run.total();
            run.watch.observe(&total, now);
            if let Some(evidence) = run.watch.bad(false) {
                found.push((service.clone(), evidence));
            }
        }
        for (service, evidence) in found {
            self.log(&service, format!("decision=bad {evidence}"));
            self.adopt(&service, Verdict::Bad, now);
        }
    }

    /// Returns a line for each roll-out with its stage, share and evidence.
    #[must_use]
    pub fn summaries(&self, now: Millis) -> Vec<(Service, String)> {
        let states = self.services.iter();
        let runs = states.filter_map(|(service, state)| Some((service, state.current.as_ref()?)));
        let open = runs.filter(|(_, run)| !run.verdict.is_final());
        open.map(|(service, run)| {
            let mut sum = evidence::Sides::default();
            for sides in run.total().values() {
                sum.add(sides);
            }
            let text = format!(
                "target={} stage={:?} age_ms={} requests={} sent={} all_new={}/{} all_old={}/{}",
                run.order.target,
                run.verdict,
                run.age(now),
                run.exposure.requests,
                run.exposure.sent,
                sum.new.failures + sum.new.broken,
                sum.new.answers,
                sum.old.failures + sum.old.broken,
                sum.old.answers
            );
            (service.clone(), text)
        })
        .collect()
    }
}

/// Returns endpoints of versions that appeared a moment ago beside another one.
fn held<'a>(
    versions: &BTreeMap<Option<Version>, Millis>,
    open: &[&'a Candidate],
    now: Millis,
) -> Vec<&'a Candidate> {
    let seen = |candidate: &&Candidate| versions.get(&candidate.version).copied();
    let first = open.iter().filter_map(seen).min().unwrap_or(now);
    let is_held = |candidate: &&Candidate| {
        seen(candidate).is_some_and(|seen| seen > first && now.since(seen) < HOLD.0)
    };
    open.iter().copied().filter(is_held).collect()
}

/// Returns whether the service runs the target version only.
fn is_alone(
    versions: &BTreeMap<Option<Version>, Millis>,
    run: &Rollout,
    old: &[&Candidate],
    now: Millis,
) -> bool {
    let seen = versions.get(&Some(run.order.target.clone()));
    let used = seen.is_some_and(|seen| run.began.since(*seen) >= HOLD.0);
    let waited = run.age(now) >= ALONE && seen.is_some_and(|seen| now.since(*seen) >= ALONE.0);
    old.is_empty() && !run.old_seen && !run.heard.old_seen() && (used || waited)
}

/// Returns the endpoints besides the first `used` ones by rendezvous hashing, on which all nodes
/// agree.
fn unused<'a>(mut new: Vec<&'a Candidate>, service: &Service, used: usize) -> Vec<&'a Candidate> {
    let key = service.as_str().as_bytes();
    new.sort_by_cached_key(|candidate| score(key, candidate.name.as_str()));
    new.split_off(used.min(new.len()))
}

/// Adds the counts of all nodes of a roll-out to a sum.
fn sum_into(sum: &mut Counts, counts: &Counts) {
    add_counts(sum, counts);
}
