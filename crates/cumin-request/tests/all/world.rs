//! A minimal simulated cluster around the crate, for the state machine test.

use std::collections::{BTreeMap, BTreeSet};

use cumin_request::{
    Ack, AttemptFailure, Finish, FrameResult, PlainResponse, Progress, Refused, Replica,
    ReplicaStore, ReplicaStoreOptions, Run, TokenCounts, Transcript,
};
use cumin_types::{AttemptId, EndpointName, Epoch, Millis, NodeName, Outcome, Position};

use crate::machine::{FrameKind, Step};
use crate::{attempt, descriptor, id, node};

pub(crate) const NODES: usize = 5;
pub(crate) const CALLS: usize = 4;
/// Number of tokens of a complete answer.
const LENGTH: u64 = 5;

/// A request at its owner.
struct LiveRun {
    run: Run,
    second: Option<usize>,
    // Other nodes that may take the request over and have not yet agreed to this owner.
    beside: Vec<NodeName>,
    replicated: bool,
    // Position at which this owner started.
    start_position: u64,
    acked: u64,
    deadline: Millis,
    claimed: bool,
    was_paused: bool,
    previous_attempt: Option<AttemptId>,
    // Distinguishes the runs of one node: an ack belongs to the run that sent the progress.
    serial: u128,
}

impl LiveRun {
    fn new(replica: Replica, now: Millis, serial: u128) -> Self {
        Self {
            serial,
            start_position: replica.transcript.position().0,
            deadline: now.plus(replica.descriptor.time_left.0),
            beside: replica.beside,
            run: Run::new(replica.descriptor, replica.transcript),
            second: None,
            replicated: false,
            acked: 0,
            claimed: false,
            was_paused: false,
            previous_attempt: None,
        }
    }

    fn replica(&self, now: Millis) -> Replica {
        let mut descriptor = self.run.descriptor().clone();
        descriptor.time_left = Millis(self.deadline.since(now));
        Replica {
            descriptor,
            transcript: self.run.transcript().clone(),
            finish: self.run.finish().cloned(),
            beside: self.others(),
        }
    }

    /// Returns the other nodes that may take the request over.
    fn others(&self) -> Vec<NodeName> {
        let second = self.second.map(node);
        second.into_iter().chain(self.beside.clone()).collect()
    }

    fn epoch(&self) -> Epoch {
        self.run.descriptor().epoch
    }
}

#[derive(Default)]
struct Node {
    down: bool,
    paused: bool,
    store: ReplicaStore,
    runs: BTreeMap<usize, LiveRun>,
}

impl Node {
    fn active(&self) -> bool {
        !self.down && !self.paused
    }
}

#[derive(Clone)]
enum Payload {
    Progress(Progress),
    Ack { ack: Ack, sealed: bool },
}

#[derive(Clone)]
struct Message {
    from: usize,
    to: usize,
    call: usize,
    serial: u128,
    payload: Payload,
}

#[derive(Default)]
struct Caller {
    accepted: bool,
    connected_to: Option<usize>,
    seen: Vec<String>,
    ended: Option<Finish>,
    deadline: Millis,
    // The owner and its second node, according to the highest epoch in the cluster.
    copy_nodes: BTreeSet<usize>,
    // All `copy_nodes` were down or paused at the same time, which the design does not survive.
    unprotected: bool,
    // Attempts that may have had an effect.
    possible_effects: BTreeSet<AttemptId>,
    claimed: bool,
}

pub(crate) struct World {
    now: Millis,
    nodes: Vec<Node>,
    callers: Vec<Caller>,
    messages: Vec<Message>,
    attempts: u128,
}

fn once(call: usize) -> bool {
    call == CALLS - 1
}

/// Returns the text that every endpoint generates at a position, without the attempt suffix.
fn expected(call: usize, position: u64) -> String {
    format!("c{call}p{position}")
}

fn tokens(transcript: &Transcript) -> Vec<String> {
    let tokens = transcript
        .tokens_from(Position(0))
        .expect("position 0 is held");
    tokens.map(str::to_owned).collect()
}

impl World {
    pub(crate) fn new() -> Self {
        Self {
            now: Millis(0),
            nodes: (0..NODES).map(|_| empty()).collect(),
            callers: (0..CALLS).map(|_| Caller::default()).collect(),
            messages: Vec::new(),
            attempts: 0,
        }
    }

    /// Runs steps in a new cluster and checks the invariants after each.
    pub(crate) fn replay(steps: &[Step]) {
        let mut world = Self::new();
        for step in steps {
            world.step(step);
            world.check();
        }
    }

    pub(crate) fn step(&mut self, step: &Step) {
        match *step {
            Step::Accept { call, at } => self.accept(call, at),
            Step::Begin { run } => self.on_run(run, Self::begin),
            Step::Frame { run, kind } => {
                self.on_run(run, |world, at, call| world.frame(at, call, kind));
            }
            Step::Fail { run, failure } => {
                let failure = failures().swap_remove(failure);
                self.on_run(run, |world, at, call| world.fail(at, call, &failure));
            }
            Step::Complete { run } => self.on_run(run, Self::complete),
            Step::Cancel { run } => self.on_run(run, |world, at, call| {
                if !once(call) {
                    world.live(at, call).run.give_up("cancelled");
                }
            }),
            Step::Send { run } => self.on_run(run, Self::send),
            Step::Deliver { message, repeat } => self.deliver(message, repeat),
            Step::DropMessage { message } => {
                if !self.messages.is_empty() {
                    let index = message % self.messages.len();
                    self.messages.remove(index);
                }
            }
            Step::Replicate { run, unanswered } => {
                self.on_run(run, |world, at, call| world.replicate(at, call, unanswered));
            }
            Step::Crash { node } => self.crash(node),
            Step::Restart { node } => {
                if self.nodes[node].down {
                    self.nodes[node] = empty();
                }
            }
            Step::Pause { node } => self.nodes[node].paused = true,
            Step::Wake { node } => self.wake(node),
            Step::PauseOwner { run } => self.on_run(run, |world, at, call| {
                if let Some(second) = world.live(at, call).second {
                    world.nodes[at].paused = true;
                    world.take_over_from_inactive(second);
                    world.wake(at);
                }
            }),
            Step::Resume { call, at, lost } => self.resume(call, at, lost),
            Step::TakeOver { node } => self.take_over_from_inactive(node),
            Step::Advance { millis } => self.advance(millis),
        }
        for caller in &mut self.callers {
            let nodes = &self.nodes;
            if caller.accepted && !caller.copy_nodes.iter().any(|node| nodes[*node].active()) {
                caller.unprotected = true;
            }
        }
        for call in 0..CALLS {
            self.read(call);
        }
    }

    fn live(&mut self, at: usize, call: usize) -> &mut LiveRun {
        self.nodes[at].runs.get_mut(&call).expect("the run is here")
    }

    fn serial(&mut self) -> u128 {
        self.attempts += 1;
        self.attempts
    }

    fn on_run(&mut self, index: usize, step: impl FnOnce(&mut Self, usize, usize)) {
        let active = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.active());
        let runs: Vec<_> = active
            .flat_map(|(at, node)| node.runs.keys().map(move |call| (at, *call)))
            .collect();
        if !runs.is_empty() {
            let (at, call) = runs[index % runs.len()];
            step(self, at, call);
        }
    }

    fn wake(&mut self, at: usize) {
        if std::mem::take(&mut self.nodes[at].paused) {
            for live in self.nodes[at].runs.values_mut() {
                live.was_paused = true;
            }
        }
    }

    fn accept(&mut self, call: usize, at: usize) {
        if self.callers[call].accepted || !self.nodes[at].active() {
            return;
        }
        let serial = self.serial();
        let replica = Replica {
            descriptor: descriptor(call as u128, once(call), 0, at),
            transcript: Transcript::default(),
            finish: None,
            beside: Vec::new(),
        };
        self.nodes[at]
            .runs
            .insert(call, LiveRun::new(replica, self.now, serial));
        self.replicate(at, call, 0);
        if !self.live(at, call).replicated {
            self.nodes[at].runs.remove(&call);
            return;
        }
        let caller = &mut self.callers[call];
        caller.accepted = true;
        caller.connected_to = Some(at);
        caller.deadline = self.now.plus(10_000);
    }

    fn begin(&mut self, at: usize, call: usize) {
        self.attempts += 1;
        let number = attempt(self.attempts);
        let claimed = &mut self.callers[call].claimed;
        let live = self.nodes[at].runs.get_mut(&call).expect("a run");
        if live.run.finish().is_some() || live.run.attempt().is_some() {
            return;
        }
        if live.deadline <= self.now {
            live.run.give_up("deadline");
            return;
        }
        if once(call) && !live.claimed {
            if std::mem::replace(claimed, true) {
                // Only the run that holds the claim may dispatch the call.
                live.run
                    .finish_with(Finish::without_answer(Outcome::Unknown, "claimed"));
                return;
            }
            live.claimed = true;
            live.run.claim_granted();
        }
        let from = live.run.begin_attempt(number, EndpointName::from("oven"));
        assert_eq!(from, live.run.transcript().position());
        self.callers[call].possible_effects.insert(number);
    }

    fn frame(&mut self, at: usize, call: usize, kind: FrameKind) {
        let live = self.live(at, call);
        let Some(current) = live.run.attempt().filter(|_| !once(call)) else {
            return;
        };
        let held = live.run.transcript().position().0;
        let (from, end, text, wanted) = match kind {
            FrameKind::Expected if held < LENGTH => {
                (current, held + 1, call, FrameResult::Accepted)
            }
            FrameKind::Stale => match live.previous_attempt {
                Some(old) => (old, held + 1, call, FrameResult::Stale),
                None => return,
            },
            FrameKind::OtherCall => (attempt(u128::MAX), held + 1, call + 1, FrameResult::Stale),
            FrameKind::Duplicate if held > 0 => (current, held, call, FrameResult::Duplicate),
            FrameKind::Expected | FrameKind::Duplicate => return,
            FrameKind::Gap => (current, held + 2, call, FrameResult::Gap),
        };
        let token = format!("{}#{}", expected(text, end - 1), from.0.as_u128());
        assert_eq!(live.run.receive_frame(from, Position(end), &token), wanted);
        if wanted == FrameResult::Gap {
            self.fail(at, call, &AttemptFailure::Gap);
        }
    }

    fn fail(&mut self, at: usize, call: usize, failure: &AttemptFailure) {
        let live = self.live(at, call);
        let Some(current) = live.run.attempt() else {
            return;
        };
        let generated = live.run.transcript().position().0 > 0;
        if failure.never_started() && generated {
            return;
        }
        live.run.fail_attempt(current, failure);
        live.previous_attempt = Some(current);
        if failure.never_started() {
            self.callers[call].possible_effects.remove(&current);
        }
    }

    fn complete(&mut self, at: usize, call: usize) {
        let live = self.live(at, call);
        let Some(current) = live.run.attempt() else {
            return;
        };
        let mut finish = Finish::without_answer(Outcome::Done, "stop");
        if once(call) {
            finish.body = Some(PlainResponse {
                status: 200,
                content: None,
                text: expected(call, 0),
                binary: false,
            });
        } else if live.run.transcript().position().0 < LENGTH {
            return;
        }
        finish.counts = TokenCounts::default();
        assert!(live.run.complete(current, finish));
    }

    fn send(&mut self, at: usize, call: usize) {
        let live = self.live(at, call);
        let Some(second) = live.second else {
            self.replicate(at, call, 0);
            return;
        };
        let serial = live.serial;
        let tokens = live.run.transcript().tokens_from(Position(live.acked));
        let progress = Progress {
            id: id(call as u128),
            epoch: live.epoch(),
            from: Position(live.acked),
            tokens: tokens.expect("held").map(str::to_owned).collect(),
            finish: live.run.finish().cloned(),
        };
        self.messages.push(Message {
            from: at,
            to: second,
            call,
            serial,
            payload: Payload::Progress(progress),
        });
    }

    fn deliver(&mut self, index: usize, repeat: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let message = self.messages[index].clone();
        if self.nodes[message.to].paused {
            return;
        }
        if !repeat {
            self.messages.remove(index);
        }
        if self.nodes[message.to].down {
            return;
        }
        match message.payload.clone() {
            Payload::Progress(progress) => {
                let sealed = progress.finish.is_some();
                let ack = self.nodes[message.to].store.append(progress, self.now);
                self.messages.push(Message {
                    from: message.to,
                    to: message.from,
                    call: message.call,
                    serial: message.serial,
                    payload: Payload::Ack { ack, sealed },
                });
            }
            Payload::Ack { ack, sealed } => {
                self.receive_ack(&message, ack, sealed);
            }
        }
    }

    fn receive_ack(&mut self, message: &Message, ack: Ack, sealed: bool) {
        let (at, call) = (message.to, message.call);
        let Some(live) = self.nodes[at].runs.get_mut(&call) else {
            return;
        };
        if live.second != Some(message.from) || live.serial != message.serial {
            return;
        }
        match ack {
            Ack::Stored(position) => {
                assert!(
                    position <= live.run.transcript().position(),
                    "more is held than sent"
                );
                self.confirm(at, call, position.0, sealed);
            }
            Ack::Superseded(_) => self.supersede(at, call),
            Ack::Resend(_) | Ack::Missing => self.replicate(at, call, 0),
        }
    }

    /// Stops a superseded run, and keeps a replica with the tokens that callers may have seen.
    ///
    /// The new owner may crash before it has a second node. Later tokens are dropped because they
    /// may differ from those of the new owner.
    fn supersede(&mut self, at: usize, call: usize) {
        let live = self.nodes[at].runs.remove(&call).expect("a run");
        let visible = usize::try_from(live.acked.max(live.start_position)).expect("a short text");
        let mut transcript = Transcript::default();
        for token in &tokens(live.run.transcript())[..visible] {
            transcript.push(token);
        }
        let replica = Replica {
            transcript,
            finish: None,
            ..live.replica(self.now)
        };
        // Refused if a newer copy is already stored.
        let _ = self.nodes[at].store.store(replica, self.now);
    }

    fn confirm(&mut self, at: usize, call: usize, position: u64, sealed: bool) {
        let now = self.now;
        let live = self.live(at, call);
        live.acked = live.acked.max(position);
        if sealed {
            let replica = live.replica(now);
            if self.callers[call].connected_to == Some(at) {
                self.read(call);
            }
            self.nodes[at].runs.remove(&call);
            // Refused if the result of another owner is already stored.
            let _ = self.nodes[at].store.store(replica, now);
        }
    }

    fn replicate(&mut self, at: usize, call: usize, unanswered: u8) {
        let now = self.now;
        let (replica, epoch, was_paused) = {
            let live = self.live(at, call);
            (live.replica(now), live.epoch(), live.was_paused)
        };
        // An owner that was paused waits for its second node if that does not answer and is not
        // dead, because it may have taken the request over.
        let second = self.live(at, call).second;
        if was_paused && second.is_some_and(|second| self.nodes[second].paused) {
            return;
        }
        // It queries the other nodes before it chooses a new second node.
        if was_paused
            && self
                .copies(call)
                .any(|(_, found)| found.descriptor.epoch > epoch)
        {
            return self.supersede(at, call);
        }
        // All other nodes that may take the request over must agree, unless they are dead.
        let beside = std::mem::take(&mut self.live(at, call).beside);
        for (index, name) in beside.iter().enumerate() {
            let other = (0..NODES).find(|other| node(*other) == *name);
            let other = other.expect("a node");
            let (down, paused) = (self.nodes[other].down, self.nodes[other].paused);
            if down {
                continue;
            }
            let answer = (!paused).then(|| self.nodes[other].store.store(replica.clone(), now));
            match answer.filter(|_| unanswered & (1 << other) == 0) {
                Some(Err(Refused::Superseded { .. })) => return self.supersede(at, call),
                Some(_) => {}
                None => {
                    self.live(at, call).beside = beside[index..].to_vec();
                    return;
                }
            }
        }
        // A second node that is replaced may have run the request.
        if self.live(at, call).second.is_some() {
            self.live(at, call).run.replica_lost();
        }
        let replica = self.live(at, call).replica(now);
        // The order is the same for every owner, as with rendezvous hashing.
        let order = (1..=NODES)
            .map(|step| (call + step) % NODES)
            .filter(|other| *other != at);
        let mut alone = true;
        for other in order {
            if self.nodes[other].down {
                continue;
            }
            alone = false;
            if self.nodes[other].paused {
                continue;
            }
            let answer = self.nodes[other].store.store(replica.clone(), now);
            if unanswered & (1 << other) != 0 {
                continue;
            }
            match answer {
                Ok(()) => {
                    let old = self.nodes[other].runs.get(&call).map(LiveRun::epoch);
                    if old.is_some_and(|old| old < epoch) {
                        self.supersede(other, call);
                    }
                    return self.replicated(at, call, Some(other), &replica);
                }
                Err(Refused::Superseded { .. }) => return self.supersede(at, call),
                Err(Refused::Full { .. }) => {}
            }
        }
        if alone {
            self.replicated(at, call, None, &replica);
        }
    }

    fn replicated(&mut self, at: usize, call: usize, second: Option<usize>, replica: &Replica) {
        let live = self.live(at, call);
        live.second = second;
        live.replicated = true;
        let current = self
            .highest_epoch(call)
            .is_none_or(|epoch| epoch <= replica.descriptor.epoch);
        if current {
            self.callers[call].copy_nodes = second.into_iter().chain([at]).collect();
        }
        let position = replica.transcript.position().0;
        self.confirm(at, call, position, replica.finish.is_some());
    }

    /// Returns the highest epoch of a call at any node that is up.
    fn highest_epoch(&self, call: usize) -> Option<Epoch> {
        let nodes = self.nodes.iter().filter(|node| !node.down);
        let copies = nodes.flat_map(|node| {
            let live = node.runs.get(&call).map(LiveRun::epoch);
            let held = node.store.snapshot(id(call as u128), self.now);
            live.into_iter()
                .chain(held.map(|held| held.descriptor.epoch))
        });
        copies.max_by_key(|epoch| epoch.0)
    }

    /// Returns the copies of a call on active nodes.
    fn copies(&self, call: usize) -> impl Iterator<Item = (usize, Replica)> + '_ {
        let now = self.now;
        let active = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.active());
        active.flat_map(move |(at, node)| {
            let live = node.runs.get(&call).map(|live| live.replica(now));
            let held = node.store.snapshot(id(call as u128), now);
            live.into_iter()
                .chain(held)
                .map(move |replica| (at, replica))
        })
    }

    fn crash(&mut self, dead: usize) {
        // At most two nodes are down at the same time.
        if self.nodes.iter().filter(|node| node.down).count() < 2 {
            self.nodes[dead] = empty();
            self.nodes[dead].down = true;
            for caller in &mut self.callers {
                caller.copy_nodes.remove(&dead);
            }
        }
    }

    fn resume(&mut self, call: usize, at: usize, lost: bool) {
        if !self.callers[call].accepted || !self.nodes[at].active() {
            return;
        }
        self.callers[call].connected_to = Some(at);
        if self.nodes[at].runs.contains_key(&call) {
            return;
        }
        let best = self.copies(call).max_by_key(|(other, replica)| {
            let live = self.nodes[*other].runs.contains_key(&call);
            let position = replica.transcript.position();
            (
                replica.finish.is_some(),
                replica.descriptor.epoch.0,
                position,
                live,
            )
        });
        let Some((from, replica)) = best else {
            return;
        };
        // The caller is told that its position is not available; the epoch is unchanged.
        if replica.transcript.position().0 < self.callers[call].seen.len() as u64 {
            return;
        }
        self.take_over(call, from, at, lost);
    }

    fn take_over(&mut self, call: usize, from: usize, at: usize, lost: bool) {
        let (now, serial) = (self.now, self.serial());
        let top = self.highest_epoch(call);
        // An end that the second node has not stored yet is not reported to anyone.
        let ended = |live: &LiveRun| live.run.finish().is_some();
        if self.nodes[from].runs.get(&call).is_some_and(ended) {
            return;
        }
        // The previous owner keeps a replica until the new owner has a second node.
        let replica = self.nodes[from]
            .runs
            .get(&call)
            .map(|live| live.replica(now));
        let beside = replica.as_ref().map(|replica| replica.beside.clone());
        if let Some(replica) = replica {
            if self.nodes[from].store.store(replica, now).is_err() {
                return;
            }
            self.nodes[from].runs.remove(&call);
        }
        let taken = self.nodes[from]
            .store
            .take_over(id(call as u128), &node(at), now);
        let Some(mut replica) = taken.filter(|_| !lost || from == at) else {
            return;
        };
        replica.beside = beside.unwrap_or_default();
        replica.beside.push(node(from));
        replica.beside.retain(|name| *name != node(at));
        if replica.finish.is_some() {
            let _ = self.nodes[at].store.store(replica, now);
            return;
        }
        // The new owner stores a replica too, so that it refuses a takeover with the same epoch.
        if self.nodes[at].store.store(replica.clone(), now).is_err() {
            return;
        }
        if top.is_none_or(|top| top < replica.descriptor.epoch) {
            self.callers[call].copy_nodes.extend([at, from]);
        }
        self.nodes[at]
            .runs
            .insert(call, LiveRun::new(replica, now, serial));
    }

    fn take_over_from_inactive(&mut self, at: usize) {
        if !self.nodes[at].active() {
            return;
        }
        for owner in 0..NODES {
            if self.nodes[owner].active() {
                continue;
            }
            let owned = self.nodes[at].store.owned_by(&node(owner));
            for call in owned
                .into_iter()
                .map(|id| usize::try_from(id.0.as_u128()).unwrap())
            {
                if self.callers[call].copy_nodes.contains(&at)
                    && !self.nodes[at].runs.contains_key(&call)
                {
                    self.take_over(call, at, at, false);
                }
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now.plus(millis);
        let now = self.now;
        for node in self.nodes.iter_mut().filter(|node| node.active()) {
            node.store.expire(now);
            for live in node.runs.values_mut().filter(|live| live.deadline <= now) {
                live.run.give_up("deadline");
            }
        }
    }

    /// Lets the caller read what the node it is connected to may show.
    fn read(&mut self, call: usize) {
        let Some(at) = self.callers[call]
            .connected_to
            .filter(|at| self.nodes[*at].active())
        else {
            return;
        };
        if self.callers[call].ended.is_some() {
            return;
        }
        let now = self.now;
        let held = self.nodes[at].store.snapshot(id(call as u128), now);
        if let Some(live) = self.nodes[at].runs.get(&call) {
            let (acked, epoch) = (live.acked, live.epoch());
            let all = tokens(live.run.transcript());
            self.show(call, &all, acked, Some(epoch));
        } else if let Some(replica) = held.filter(|replica| replica.finish.is_some()) {
            let all = tokens(&replica.transcript);
            self.show(call, &all, all.len() as u64, None);
            self.end(call, replica.finish.expect("a finish"));
        }
    }

    fn show(&mut self, call: usize, all: &[String], acked: u64, epoch: Option<Epoch>) {
        let seen = self.callers[call].seen.len();
        let acked = usize::try_from(acked).expect("a short text");
        if acked <= seen {
            return;
        }
        if !self.callers[call].unprotected {
            let old = &self.callers[call].seen;
            assert_eq!(all[..seen], old[..], "continued with another generation");
            for live in self.nodes.iter().filter_map(|node| node.runs.get(&call)) {
                let newer = epoch.is_some_and(|epoch| live.epoch() > epoch);
                assert!(
                    !newer || live.start_position >= acked as u64,
                    "shown by a superseded owner"
                );
            }
        }
        self.callers[call].seen.extend_from_slice(&all[seen..acked]);
    }

    fn end(&mut self, call: usize, finish: Finish) {
        let caller = &mut self.callers[call];
        match finish.outcome {
            Outcome::Done if once(call) => {
                let body = finish.body.as_ref().map(|body| body.text.clone());
                assert_eq!(body, Some(expected(call, 0)), "another call's answer");
            }
            Outcome::Done => assert_eq!(caller.seen.len() as u64, LENGTH, "a cut answer"),
            _ => {}
        }
        caller.ended = Some(finish);
    }

    pub(crate) fn check(&self) {
        for (call, caller) in self.callers.iter().enumerate() {
            for (position, token) in caller.seen.iter().enumerate() {
                let text = token.split('#').next().expect("a token");
                assert_eq!(
                    text,
                    expected(call, position as u64),
                    "not the caller's text"
                );
            }
            if once(call) {
                assert!(caller.possible_effects.len() <= 1, "dispatched twice");
            }
            let not_run = caller
                .ended
                .as_ref()
                .is_some_and(|end| end.outcome == Outcome::NotRun);
            if not_run && !caller.unprotected {
                assert!(
                    caller.possible_effects.is_empty(),
                    "told not_run, but it ran"
                );
            }
            self.check_continues(call, caller);
        }
        for node in &self.nodes {
            assert!(node.store.len() <= CALLS, "the store's bound");
        }
    }

    fn check_continues(&self, call: usize, caller: &Caller) {
        if !caller.accepted || caller.unprotected || self.now >= caller.deadline {
            return;
        }
        let seen = caller.seen.len() as u64;
        let mut copy_nodes = caller.copy_nodes.iter().map(|node| &self.nodes[*node]);
        let held = copy_nodes.any(|node| {
            let live = node
                .runs
                .get(&call)
                .map(|live| live.run.transcript().position().0);
            let held = node.store.snapshot(id(call as u128), self.now);
            let held = held.map(|held| held.transcript.position().0);
            live.max(held).is_some_and(|position| position >= seen)
        });
        assert!(
            held,
            "call {call} can't continue from {seen}: nodes with a copy {:?}",
            caller.copy_nodes
        );
    }
}

fn empty() -> Node {
    Node {
        store: ReplicaStore::new(ReplicaStoreOptions {
            max_requests: CALLS,
            ..ReplicaStoreOptions::default()
        }),
        ..Node::default()
    }
}

fn failures() -> Vec<AttemptFailure> {
    vec![
        AttemptFailure::NotConnected,
        AttemptFailure::NotStarted,
        AttemptFailure::Rejected { status: 400 },
        AttemptFailure::ErrorStatus { status: 500 },
        AttemptFailure::ConnectionLost,
        AttemptFailure::Stalled,
        AttemptFailure::Moved,
    ]
}
