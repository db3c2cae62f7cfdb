//! Nodes around the crate, as small as the state machine test needs them.

use std::collections::{BTreeMap, BTreeSet};

use cumin_request::{
    Ack, Body, Broke, Counts, Finish, Frame, Given, Holder, HolderOptions, Progress, Refused, Run,
    Transcript,
};
use cumin_types::{AttemptId, EndpointName, Epoch, Millis, NodeName, Outcome, Position};

use crate::machine::{Kind, Step};
use crate::{attempt, descriptor, id, node};

pub(crate) const NODES: usize = 5;
pub(crate) const CALLS: usize = 4;
/// Tokens of a whole answer.
const LENGTH: u64 = 5;

/// A request at the node that runs it.
struct Live {
    run: Run,
    second: Option<usize>,
    // Other nodes that may take the request over, until they agree to this owner.
    beside: Vec<NodeName>,
    placed: bool,
    // Position at which this owner started.
    start: u64,
    acked: u64,
    deadline: Millis,
    claimed: bool,
    woke: bool,
    old: Option<AttemptId>,
    // Tells the runs of one node apart; an ack belongs to the run that sent the progress.
    serial: u128,
}

impl Live {
    fn new(given: Given, now: Millis, serial: u128) -> Self {
        Self {
            serial,
            start: given.transcript.position().0,
            deadline: now.plus(given.descriptor.time_left.0),
            beside: given.beside,
            run: Run::new(given.descriptor, given.transcript),
            second: None,
            placed: false,
            acked: 0,
            claimed: false,
            woke: false,
            old: None,
        }
    }

    fn given(&self, now: Millis) -> Given {
        let mut descriptor = self.run.descriptor().clone();
        descriptor.time_left = Millis(self.deadline.since(now));
        Given {
            descriptor,
            transcript: self.run.transcript().clone(),
            finish: self.run.finish().cloned(),
            beside: self.others(),
        }
    }

    /// Nodes that may take the request over besides this one.
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
    holder: Holder,
    lives: BTreeMap<usize, Live>,
}

impl Node {
    fn active(&self) -> bool {
        !self.down && !self.paused
    }
}

#[derive(Clone)]
enum Letter {
    Progress(Progress),
    Ack { ack: Ack, sealed: bool },
}

#[derive(Clone)]
struct Message {
    from: usize,
    to: usize,
    call: usize,
    serial: u128,
    letter: Letter,
}

#[derive(Default)]
struct Caller {
    accepted: bool,
    at: Option<usize>,
    seen: Vec<String>,
    ended: Option<Finish>,
    deadline: Millis,
    // The owner and its second, as the cluster knows best.
    guards: BTreeSet<usize>,
    // All guards were down or paused at once: the design's known limit.
    exposed: bool,
    // Attempts that can have had an effect.
    effects: BTreeSet<AttemptId>,
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

/// The text that every endpoint generates at a position, without the mark of the attempt.
fn expected(call: usize, position: u64) -> String {
    format!("c{call}p{position}")
}

fn tokens(transcript: &Transcript) -> Vec<String> {
    let tokens = transcript.since(Position(0)).expect("position 0 is held");
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

    /// Plays steps from the start, with a check after each.
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
            Step::Break { run, cause } => {
                let cause = causes().swap_remove(cause);
                self.on_run(run, |world, at, call| world.broke(at, call, &cause));
            }
            Step::Complete { run } => self.on_run(run, Self::complete),
            Step::Cancel { run } => self.on_run(run, |world, at, call| {
                if !once(call) {
                    world.live(at, call).run.give_up("cancelled");
                }
            }),
            Step::Send { run } => self.on_run(run, Self::send),
            Step::Deliver { message, repeat } => self.deliver(message, repeat),
            Step::Lose { message } => {
                if !self.messages.is_empty() {
                    let index = message % self.messages.len();
                    self.messages.remove(index);
                }
            }
            Step::Place { run, lost } => {
                self.on_run(run, |world, at, call| world.place(at, call, lost));
            }
            Step::Die { node } => self.die(node),
            Step::Restart { node } => {
                if self.nodes[node].down {
                    self.nodes[node] = empty();
                }
            }
            Step::Pause { node } => self.nodes[node].paused = true,
            Step::Wake { node } => self.wake(node),
            Step::Nap { run } => self.on_run(run, |world, at, call| {
                if let Some(second) = world.live(at, call).second {
                    world.nodes[at].paused = true;
                    world.inherit(second);
                    world.wake(at);
                }
            }),
            Step::Resume { call, at, lost } => self.resume(call, at, lost),
            Step::Inherit { node } => self.inherit(node),
            Step::Advance { millis } => self.advance(millis),
        }
        for caller in &mut self.callers {
            let nodes = &self.nodes;
            if caller.accepted && !caller.guards.iter().any(|guard| nodes[*guard].active()) {
                caller.exposed = true;
            }
        }
        for call in 0..CALLS {
            self.read(call);
        }
    }

    fn live(&mut self, at: usize, call: usize) -> &mut Live {
        self.nodes[at]
            .lives
            .get_mut(&call)
            .expect("the run is here")
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
            .flat_map(|(at, node)| node.lives.keys().map(move |call| (at, *call)))
            .collect();
        if !runs.is_empty() {
            let (at, call) = runs[index % runs.len()];
            step(self, at, call);
        }
    }

    fn wake(&mut self, at: usize) {
        if std::mem::take(&mut self.nodes[at].paused) {
            for live in self.nodes[at].lives.values_mut() {
                live.woke = true;
            }
        }
    }

    fn accept(&mut self, call: usize, at: usize) {
        if self.callers[call].accepted || !self.nodes[at].active() {
            return;
        }
        let serial = self.serial();
        let given = Given {
            descriptor: descriptor(call as u128, once(call), 0, at),
            transcript: Transcript::default(),
            finish: None,
            beside: Vec::new(),
        };
        self.nodes[at]
            .lives
            .insert(call, Live::new(given, self.now, serial));
        self.place(at, call, 0);
        if !self.live(at, call).placed {
            self.nodes[at].lives.remove(&call);
            return;
        }
        let caller = &mut self.callers[call];
        caller.accepted = true;
        caller.at = Some(at);
        caller.deadline = self.now.plus(10_000);
    }

    fn begin(&mut self, at: usize, call: usize) {
        self.attempts += 1;
        let number = attempt(self.attempts);
        let claimed = &mut self.callers[call].claimed;
        let live = self.nodes[at].lives.get_mut(&call).expect("a run");
        if live.run.finish().is_some() || live.run.attempt().is_some() {
            return;
        }
        if live.deadline <= self.now {
            live.run.give_up("deadline");
            return;
        }
        if once(call) && !live.claimed {
            if std::mem::replace(claimed, true) {
                // Only the author of a claim may dispatch the call.
                live.run
                    .settle(Finish::without(Outcome::Unknown, "claimed"));
                return;
            }
            live.claimed = true;
            live.run.granted();
        }
        let from = live.run.begin(number, EndpointName::from("oven"));
        assert_eq!(from, live.run.transcript().position());
        self.callers[call].effects.insert(number);
    }

    fn frame(&mut self, at: usize, call: usize, kind: Kind) {
        let live = self.live(at, call);
        let Some(current) = live.run.attempt().filter(|_| !once(call)) else {
            return;
        };
        let held = live.run.transcript().position().0;
        let (from, end, text, wanted) = match kind {
            Kind::Right if held < LENGTH => (current, held + 1, call, Frame::Accepted),
            Kind::Late => match live.old {
                Some(old) => (old, held + 1, call, Frame::Stale),
                None => return,
            },
            Kind::Crossed => (attempt(u128::MAX), held + 1, call + 1, Frame::Stale),
            Kind::Duplicate if held > 0 => (current, held, call, Frame::Duplicate),
            Kind::Right | Kind::Duplicate => return,
            Kind::Gap => (current, held + 2, call, Frame::Gap),
        };
        let token = format!("{}#{}", expected(text, end - 1), from.0.as_u128());
        assert_eq!(live.run.frame(from, Position(end), &token), wanted);
        if wanted == Frame::Gap {
            self.broke(at, call, &Broke::Gap);
        }
    }

    fn broke(&mut self, at: usize, call: usize, cause: &Broke) {
        let live = self.live(at, call);
        let Some(current) = live.run.attempt() else {
            return;
        };
        let generated = live.run.transcript().position().0 > 0;
        if cause.harmless() && generated {
            return;
        }
        live.run.broke(current, cause);
        live.old = Some(current);
        if cause.harmless() {
            self.callers[call].effects.remove(&current);
        }
    }

    fn complete(&mut self, at: usize, call: usize) {
        let live = self.live(at, call);
        let Some(current) = live.run.attempt() else {
            return;
        };
        let mut finish = Finish::without(Outcome::Done, "stop");
        if once(call) {
            finish.body = Some(Body {
                status: 200,
                content: None,
                text: expected(call, 0),
                binary: false,
            });
        } else if live.run.transcript().position().0 < LENGTH {
            return;
        }
        finish.counts = Counts::default();
        assert!(live.run.complete(current, finish));
    }

    fn send(&mut self, at: usize, call: usize) {
        let live = self.live(at, call);
        let Some(second) = live.second else {
            self.place(at, call, 0);
            return;
        };
        let serial = live.serial;
        let tokens = live.run.transcript().since(Position(live.acked));
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
            letter: Letter::Progress(progress),
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
        match message.letter.clone() {
            Letter::Progress(progress) => {
                let sealed = progress.finish.is_some();
                let ack = self.nodes[message.to].holder.progress(progress, self.now);
                self.messages.push(Message {
                    from: message.to,
                    to: message.from,
                    call: message.call,
                    serial: message.serial,
                    letter: Letter::Ack { ack, sealed },
                });
            }
            Letter::Ack { ack, sealed } => {
                self.settle(&message, ack, sealed);
            }
        }
    }

    fn settle(&mut self, message: &Message, ack: Ack, sealed: bool) {
        let (at, call) = (message.to, message.call);
        let Some(live) = self.nodes[at].lives.get_mut(&call) else {
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
            Ack::Resend(_) | Ack::Missing => self.place(at, call, 0),
        }
    }

    /// Stops a run, and holds the tokens that callers may have: the taker may die before it has
    /// a second. The others may differ from those of the taker.
    fn supersede(&mut self, at: usize, call: usize) {
        let live = self.nodes[at].lives.remove(&call).expect("a run");
        let visible = usize::try_from(live.acked.max(live.start)).expect("a short text");
        let mut transcript = Transcript::default();
        for token in &tokens(live.run.transcript())[..visible] {
            transcript.push(token);
        }
        let given = Given {
            transcript,
            finish: None,
            ..live.given(self.now)
        };
        // Refused when a newer copy is here already.
        let _ = self.nodes[at].holder.hold(given, self.now);
    }

    fn confirm(&mut self, at: usize, call: usize, position: u64, sealed: bool) {
        let now = self.now;
        let live = self.live(at, call);
        live.acked = live.acked.max(position);
        if sealed {
            let given = live.given(now);
            if self.callers[call].at == Some(at) {
                self.read(call);
            }
            self.nodes[at].lives.remove(&call);
            // Refused when another owner's result is here already.
            let _ = self.nodes[at].holder.hold(given, now);
        }
    }

    fn place(&mut self, at: usize, call: usize, lost: u8) {
        let now = self.now;
        let (given, epoch, woke) = {
            let live = self.live(at, call);
            (live.given(now), live.epoch(), live.woke)
        };
        // An owner that was paused waits for a second that does not answer, unless that is dead:
        // it may have taken the request over.
        let second = self.live(at, call).second;
        if woke && second.is_some_and(|second| self.nodes[second].paused) {
            return;
        }
        // It asks the others before it names a new second.
        if woke
            && self
                .copies(call)
                .any(|(_, found)| found.descriptor.epoch > epoch)
        {
            return self.supersede(at, call);
        }
        // Who else may take over has to agree, unless it is dead.
        let beside = std::mem::take(&mut self.live(at, call).beside);
        for (index, name) in beside.iter().enumerate() {
            let other = (0..NODES).find(|other| node(*other) == *name);
            let other = other.expect("a node");
            let (down, paused) = (self.nodes[other].down, self.nodes[other].paused);
            if down {
                continue;
            }
            let answer = (!paused).then(|| self.nodes[other].holder.hold(given.clone(), now));
            match answer.filter(|_| lost & (1 << other) == 0) {
                Some(Err(Refused::Superseded { .. })) => return self.supersede(at, call),
                Some(_) => {}
                None => {
                    self.live(at, call).beside = beside[index..].to_vec();
                    return;
                }
            }
        }
        // A second that is replaced may have run the request.
        if self.live(at, call).second.is_some() {
            self.live(at, call).run.doubted();
        }
        let given = self.live(at, call).given(now);
        // The same order for every owner, as by rendezvous hashing.
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
            let answer = self.nodes[other].holder.hold(given.clone(), now);
            if lost & (1 << other) != 0 {
                continue;
            }
            match answer {
                Ok(()) => {
                    let old = self.nodes[other].lives.get(&call).map(Live::epoch);
                    if old.is_some_and(|old| old < epoch) {
                        self.supersede(other, call);
                    }
                    return self.placed(at, call, Some(other), &given);
                }
                Err(Refused::Superseded { .. }) => return self.supersede(at, call),
                Err(Refused::Full { .. }) => {}
            }
        }
        if alone {
            self.placed(at, call, None, &given);
        }
    }

    fn placed(&mut self, at: usize, call: usize, second: Option<usize>, given: &Given) {
        let live = self.live(at, call);
        live.second = second;
        live.placed = true;
        let current = self
            .top(call)
            .is_none_or(|epoch| epoch <= given.descriptor.epoch);
        if current {
            self.callers[call].guards = second.into_iter().chain([at]).collect();
        }
        let position = given.transcript.position().0;
        self.confirm(at, call, position, given.finish.is_some());
    }

    /// The highest epoch of a call at any node that is up.
    fn top(&self, call: usize) -> Option<Epoch> {
        let nodes = self.nodes.iter().filter(|node| !node.down);
        let copies = nodes.flat_map(|node| {
            let live = node.lives.get(&call).map(Live::epoch);
            let held = node.holder.look(id(call as u128), self.now);
            live.into_iter()
                .chain(held.map(|held| held.descriptor.epoch))
        });
        copies.max_by_key(|epoch| epoch.0)
    }

    /// The copies of a call that can be read at present.
    fn copies(&self, call: usize) -> impl Iterator<Item = (usize, Given)> + '_ {
        let now = self.now;
        let active = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.active());
        active.flat_map(move |(at, node)| {
            let live = node.lives.get(&call).map(|live| live.given(now));
            let held = node.holder.look(id(call as u128), now);
            live.into_iter().chain(held).map(move |given| (at, given))
        })
    }

    fn die(&mut self, dead: usize) {
        // At most two nodes are down at once.
        if self.nodes.iter().filter(|node| node.down).count() < 2 {
            self.nodes[dead] = empty();
            self.nodes[dead].down = true;
            for caller in &mut self.callers {
                caller.guards.remove(&dead);
            }
        }
    }

    fn resume(&mut self, call: usize, at: usize, lost: bool) {
        if !self.callers[call].accepted || !self.nodes[at].active() {
            return;
        }
        self.callers[call].at = Some(at);
        if self.nodes[at].lives.contains_key(&call) {
            return;
        }
        let best = self.copies(call).max_by_key(|(other, given)| {
            let live = self.nodes[*other].lives.contains_key(&call);
            let position = given.transcript.position();
            (
                given.finish.is_some(),
                given.descriptor.epoch.0,
                position,
                live,
            )
        });
        let Some((from, given)) = best else {
            return;
        };
        // Told that its position is not held; the epoch stays.
        if given.transcript.position().0 < self.callers[call].seen.len() as u64 {
            return;
        }
        self.take(call, from, at, lost);
    }

    fn take(&mut self, call: usize, from: usize, at: usize, lost: bool) {
        let (now, serial) = (self.now, self.serial());
        let top = self.top(call);
        // An end that the second does not hold yet is not told to anybody.
        let ended = |live: &Live| live.run.finish().is_some();
        if self.nodes[from].lives.get(&call).is_some_and(ended) {
            return;
        }
        // The former owner holds the request until the taker has placed it.
        let given = self.nodes[from]
            .lives
            .get(&call)
            .map(|live| live.given(now));
        let beside = given.as_ref().map(|given| given.beside.clone());
        if let Some(given) = given {
            if self.nodes[from].holder.hold(given, now).is_err() {
                return;
            }
            self.nodes[from].lives.remove(&call);
        }
        let taken = self.nodes[from]
            .holder
            .take(id(call as u128), &node(at), now);
        let Some(mut given) = taken.filter(|_| !lost || from == at) else {
            return;
        };
        given.beside = beside.unwrap_or_default();
        given.beside.push(node(from));
        given.beside.retain(|name| *name != node(at));
        if given.finish.is_some() {
            let _ = self.nodes[at].holder.hold(given, now);
            return;
        }
        // The taker holds it too, so that another taker of the same epoch is refused here.
        if self.nodes[at].holder.hold(given.clone(), now).is_err() {
            return;
        }
        if top.is_none_or(|top| top < given.descriptor.epoch) {
            self.callers[call].guards.extend([at, from]);
        }
        self.nodes[at]
            .lives
            .insert(call, Live::new(given, now, serial));
    }

    fn inherit(&mut self, at: usize) {
        if !self.nodes[at].active() {
            return;
        }
        for owner in 0..NODES {
            if self.nodes[owner].active() {
                continue;
            }
            let owned = self.nodes[at].holder.owned_by(&node(owner));
            for call in owned
                .into_iter()
                .map(|id| usize::try_from(id.0.as_u128()).unwrap())
            {
                if self.callers[call].guards.contains(&at)
                    && !self.nodes[at].lives.contains_key(&call)
                {
                    self.take(call, at, at, false);
                }
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now.plus(millis);
        let now = self.now;
        for node in self.nodes.iter_mut().filter(|node| node.active()) {
            node.holder.expire(now);
            for live in node.lives.values_mut().filter(|live| live.deadline <= now) {
                live.run.give_up("deadline");
            }
        }
    }

    /// The caller reads what the node that it is connected to may show.
    fn read(&mut self, call: usize) {
        let Some(at) = self.callers[call].at.filter(|at| self.nodes[*at].active()) else {
            return;
        };
        if self.callers[call].ended.is_some() {
            return;
        }
        let now = self.now;
        let held = self.nodes[at].holder.look(id(call as u128), now);
        if let Some(live) = self.nodes[at].lives.get(&call) {
            let (acked, epoch) = (live.acked, live.epoch());
            let all = tokens(live.run.transcript());
            self.show(call, &all, acked, Some(epoch));
        } else if let Some(given) = held.filter(|given| given.finish.is_some()) {
            let all = tokens(&given.transcript);
            self.show(call, &all, all.len() as u64, None);
            self.end(call, given.finish.expect("a finish"));
        }
    }

    fn show(&mut self, call: usize, all: &[String], acked: u64, epoch: Option<Epoch>) {
        let seen = self.callers[call].seen.len();
        let acked = usize::try_from(acked).expect("a short text");
        if acked <= seen {
            return;
        }
        if !self.callers[call].exposed {
            let old = &self.callers[call].seen;
            assert_eq!(all[..seen], old[..], "continued with another generation");
            for live in self.nodes.iter().filter_map(|node| node.lives.get(&call)) {
                let newer = epoch.is_some_and(|epoch| live.epoch() > epoch);
                assert!(
                    !newer || live.start >= acked as u64,
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
                assert!(caller.effects.len() <= 1, "dispatched twice");
            }
            let not_run = caller
                .ended
                .as_ref()
                .is_some_and(|end| end.outcome == Outcome::NotRun);
            if not_run && !caller.exposed {
                assert!(caller.effects.is_empty(), "told not_run, but it ran");
            }
            self.check_continues(call, caller);
        }
        for node in &self.nodes {
            assert!(node.holder.len() <= CALLS, "the holder's bound");
        }
    }

    fn check_continues(&self, call: usize, caller: &Caller) {
        if !caller.accepted || caller.exposed || self.now >= caller.deadline {
            return;
        }
        let seen = caller.seen.len() as u64;
        let mut guards = caller.guards.iter().map(|guard| &self.nodes[*guard]);
        let held = guards.any(|node| {
            let live = node
                .lives
                .get(&call)
                .map(|live| live.run.transcript().position().0);
            let held = node.holder.look(id(call as u128), self.now);
            let held = held.map(|held| held.transcript.position().0);
            live.max(held).is_some_and(|position| position >= seen)
        });
        assert!(
            held,
            "call {call} can't go on from {seen}: guards {:?}",
            caller.guards
        );
    }
}

fn empty() -> Node {
    Node {
        holder: Holder::new(HolderOptions {
            requests: CALLS,
            ..HolderOptions::default()
        }),
        ..Node::default()
    }
}

fn causes() -> Vec<Broke> {
    vec![
        Broke::NotConnected,
        Broke::NotStarted,
        Broke::Rejected { status: 400 },
        Broke::Status { status: 500 },
        Broke::Broken,
        Broke::Stalled,
        Broke::Moved,
    ]
}
