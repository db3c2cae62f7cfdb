//! A queue with strict ranks, a starvation guard, and start-time fair queueing between
//! organisations within a rank.
//!
//! Work is a number in a unit of the user's choice, such as tokens or microseconds of endpoint
//! time. All times derive from the rate at which the work is processed.

use std::collections::{BTreeMap, HashMap};

use cumin_types::{Millis, Organisation};

/// Virtual time of fair queueing, in work scaled by [`VIRTUAL_TIME_SCALE`] so that division by a
/// weight keeps its precision.
type VirtualTime = u128;

const VIRTUAL_TIME_SCALE: VirtualTime = 1 << 20;

/// A request that a [`FairQueue`] can hold.
pub trait Queueable {
    /// Returns the organisation whose share the request uses.
    fn org(&self) -> &Organisation;
    /// Returns the rank; 0 is served first.
    fn rank(&self) -> usize;
    /// Returns the estimated work.
    fn work(&self) -> u64;
    /// Returns the time from dispatch until the deadline must not have passed.
    fn duration(&self) -> Millis;
    /// Returns the deadline.
    fn deadline(&self) -> Millis;
}

/// Position in a queue, in the order of service: rank, start tag, arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    rank: usize,
    tag: VirtualTime,
    arrival: u64,
}

impl Position {
    /// Lower bound of all positions.
    pub const FIRST: Self = Self {
        rank: 0,
        tag: 0,
        arrival: 0,
    };

    /// Returns the first turn of a rank.
    #[must_use]
    pub const fn first_of(rank: usize) -> Self {
        Self {
            rank,
            tag: 0,
            arrival: 0,
        }
    }

    /// Returns the rank.
    #[must_use]
    pub const fn rank(self) -> usize {
        self.rank
    }

    const fn key(self) -> QueueKey {
        (self.tag, self.arrival)
    }
}

/// Position within a rank: start tag, then order of arrival.
type QueueKey = (VirtualTime, u64);

/// A queued request.
#[derive(Debug)]
pub struct Queued<T> {
    /// The request.
    pub request: T,
    /// Time since which it counts as queued.
    pub queued_at: Millis,
    /// Virtual time that it takes.
    cost: VirtualTime,
}

#[derive(Debug)]
struct RankQueue<T> {
    requests: BTreeMap<QueueKey, Queued<T>>,
    /// Highest start tag of all requests served.
    virtual_time: VirtualTime,
    /// Finish tag of the latest request of each organisation.
    finish_tags: HashMap<Organisation, VirtualTime>,
    queued_work: u64,
}

impl<T> Default for RankQueue<T> {
    fn default() -> Self {
        Self {
            requests: BTreeMap::new(),
            virtual_time: 0,
            finish_tags: HashMap::new(),
            queued_work: 0,
        }
    }
}

impl<T: Queueable> RankQueue<T> {
    /// Returns the start tag of a new request. An organisation that used less than its fair share
    /// is scheduled ahead of the others by up to `credit`.
    fn start_tag(&self, org: &Organisation, credit: VirtualTime) -> VirtualTime {
        let earliest = self.virtual_time.saturating_sub(credit);
        self.finish_tags
            .get(org)
            .copied()
            .unwrap_or(0)
            .max(earliest)
    }

    fn remove(&mut self, key: QueueKey) -> Option<Queued<T>> {
        let queued = self.requests.remove(&key)?;
        self.queued_work -= queued.request.work();
        Some(queued)
    }
}

/// When a starved request of a lower rank is served before a higher one.
#[derive(Clone, Copy, Debug)]
pub struct StarvationGuard {
    /// Queueing time after which a request counts as starved.
    pub threshold: Millis,
    /// Number of other requests served between two starved ones.
    pub interval: u32,
    /// Bit set of the ranks whose requests count as starved whatever their queueing time.
    pub ranks: u64,
}

/// The work that is served before a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkAhead {
    /// Position that the request would get.
    pub position: Position,
    /// Number of requests ahead of it.
    pub requests: usize,
    /// Sum of their work.
    pub work: u64,
}

/// Queue of one service with `RANKS` ranks.
#[derive(Debug)]
pub struct FairQueue<T, const RANKS: usize> {
    /// Work that is processed in a second; zero if unknown.
    pub rate: f64,
    /// How far an organisation may be scheduled ahead of the others, as time at the rate.
    credit: Millis,
    classes: [RankQueue<T>; RANKS],
    arrivals: u64,
    /// Number of requests served since the last starved one, while a request is starved.
    since_starved: u32,
}

impl<T: Queueable, const RANKS: usize> FairQueue<T, RANKS> {
    /// Creates an empty queue with an unknown rate.
    #[must_use]
    pub fn new(credit: Millis) -> Self {
        Self {
            rate: 0.0,
            credit,
            classes: std::array::from_fn(|_| RankQueue::default()),
            arrivals: 0,
            since_starved: 0,
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.requests.len()).sum()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|class| class.requests.is_empty())
    }

    /// Returns the number of queued requests of a rank and their work.
    #[must_use]
    pub fn load(&self, rank: usize) -> (usize, u64) {
        let class = &self.classes[rank];
        (class.requests.len(), class.queued_work)
    }

    /// Returns the rank of the most urgent queued request.
    #[must_use]
    pub fn first_rank(&self) -> Option<usize> {
        let mut classes = self.classes.iter();
        classes.position(|class| !class.requests.is_empty())
    }

    /// Returns the queued request at a position.
    #[must_use]
    pub fn get(&self, position: Position) -> Option<&Queued<T>> {
        let class = self.classes.get(position.rank)?;
        class.requests.get(&position.key())
    }

    /// Returns the queued requests in the order of service without relief.
    pub fn iter(&self) -> impl Iterator<Item = (Position, &Queued<T>)> {
        self.classes.iter().enumerate().flat_map(|(rank, class)| {
            let requests = class.requests.iter();
            requests.map(move |((tag, arrival), queued)| {
                let position = Position {
                    rank,
                    tag: *tag,
                    arrival: *arrival,
                };
                (position, queued)
            })
        })
    }

    /// Resets the virtual time and the past use of all organisations. Called when no request is
    /// queued and there is capacity.
    pub fn reset_fairness(&mut self) {
        for class in &mut self.classes {
            class.finish_tags.clear();
            class.virtual_time = 0;
        }
    }

    fn virtual_credit(&self) -> VirtualTime {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a cast from float saturates, and the value is not negative"
        )]
        let work = (self.rate * self.credit.0 as f64 / 1000.0) as u64;
        VirtualTime::from(work) * VIRTUAL_TIME_SCALE
    }

    /// Returns the work that would be served before a new request of `org`.
    #[must_use]
    pub fn work_ahead(&self, org: &Organisation, rank: usize) -> WorkAhead {
        self.work_ahead_of_turn(org, rank, None)
    }

    /// Returns the work that would be served before a new request of `org` that keeps an earlier
    /// `turn`.
    #[must_use]
    pub fn work_ahead_of_turn(
        &self,
        org: &Organisation,
        rank: usize,
        turn: Option<Position>,
    ) -> WorkAhead {
        let class = &self.classes[rank];
        let new = Position {
            rank,
            tag: class.start_tag(org, self.virtual_credit()),
            arrival: self.arrivals,
        };
        let position = earlier(new, turn);
        let higher = &self.classes[..rank];
        let mut ahead = WorkAhead {
            position,
            requests: higher.iter().map(|class| class.requests.len()).sum(),
            work: higher.iter().map(|class| class.queued_work).sum(),
        };
        for (_, queued) in class.requests.range(..position.key()) {
            ahead.requests += 1;
            ahead.work += queued.request.work();
        }
        ahead
    }

    /// Returns the time to process `work` at the rate; zero if the rate is unknown.
    #[must_use]
    pub fn service_time(&self, work: u64) -> Millis {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let seconds = work as f64 / self.rate;
        if self.rate > 0.0 {
            Millis(crate::quota::round_up_millis(seconds * 1000.0))
        } else {
            Millis(0)
        }
    }

    /// Queues a request at the position that [`Self::work_ahead`] returns for it.
    pub fn push(&mut self, request: T, weight: u32, now: Millis) -> Position {
        self.push_at_turn(request, weight, None, now)
    }

    /// Queues a request at the position that [`Self::work_ahead_of_turn`] returns for it. It counts
    /// as queued since `since`.
    pub fn push_at_turn(
        &mut self,
        request: T,
        weight: u32,
        turn: Option<Position>,
        since: Millis,
    ) -> Position {
        let credit = self.virtual_credit();
        let rank = request.rank();
        let class = &mut self.classes[rank];
        let new = Position {
            rank,
            tag: class.start_tag(request.org(), credit),
            arrival: self.arrivals,
        };
        let position = earlier(new, turn);
        self.arrivals += 1;
        let cost = VirtualTime::from(request.work()) * VIRTUAL_TIME_SCALE
            / VirtualTime::from(weight.max(1));
        class
            .finish_tags
            .insert(request.org().clone(), new.tag + cost);
        class.queued_work += request.work();
        class.requests.insert(
            position.key(),
            Queued {
                request,
                queued_at: since,
                cost,
            },
        );
        position
    }

    /// Removes a request from the queue without serving it.
    pub fn remove(&mut self, position: Position) -> Option<Queued<T>> {
        let class = &mut self.classes[position.rank];
        let queued = class.remove(position.key())?;
        // If this was the last queued request of the organisation, its virtual time is returned,
        // so that a cancelled or dropped request does not delay those that follow.
        let is_last = class
            .requests
            .range(position.key()..)
            .all(|(_, later)| later.request.org() != queued.request.org());
        if is_last {
            let org = queued.request.org().clone();
            class.finish_tags.insert(org, position.tag);
        }
        Some(queued)
    }

    /// Removes a request that is refused, and returns its virtual time to its organisation.
    ///
    /// Unlike [`Self::remove`], this holds also if later requests of the organisation are queued.
    pub fn shed(&mut self, position: Position) -> Option<Queued<T>> {
        let class = &mut self.classes[position.rank];
        let queued = class.remove(position.key())?;
        if let Some(finish) = class.finish_tags.get_mut(queued.request.org()) {
            *finish = finish.saturating_sub(queued.cost);
        }
        Some(queued)
    }

    /// Returns the rank that [`Self::pop`] would serve next.
    #[must_use]
    pub fn next_rank(&self, guard: StarvationGuard, now: Millis) -> Option<usize> {
        let first = self.first_rank()?;
        let starved = self.starved(first, guard, now);
        Some(starved.map_or(first, |index| {
            if self.since_starved >= guard.interval {
                index
            } else {
                first
            }
        }))
    }

    /// Returns the rank after `first` whose head is starved for the longest time.
    fn starved(&self, first: usize, guard: StarvationGuard, now: Millis) -> Option<usize> {
        let starved = (first + 1..RANKS).filter_map(|index| {
            let (_, head) = self.classes[index].requests.first_key_value()?;
            let waited = now.since(head.queued_at);
            let is_starved = waited >= guard.threshold.0 || guard.ranks >> index & 1 == 1;
            is_starved.then_some((waited, index))
        });
        let longest = starved.max_by_key(|(waited, index)| (*waited, usize::MAX - index));
        longest.map(|(_, index)| index)
    }

    /// Removes and returns the next request to serve.
    pub fn pop(&mut self, guard: StarvationGuard, now: Millis) -> Option<Queued<T>> {
        let first = self.first_rank()?;
        let index = match self.starved(first, guard, now) {
            Some(index) if self.since_starved >= guard.interval => {
                self.since_starved = 0;
                index
            }
            Some(_) => {
                self.since_starved += 1;
                first
            }
            None => first,
        };
        let credit = self.virtual_credit();
        let class = &mut self.classes[index];
        let key = *class.requests.first_key_value()?.0;
        class.virtual_time = class.virtual_time.max(key.0);
        let earliest = class.virtual_time.saturating_sub(credit);
        class.finish_tags.retain(|_, finish| *finish > earliest);
        class.remove(key)
    }

    /// Returns the position that is served last, if that is after `position`.
    #[must_use]
    pub fn last_after(&self, position: Position) -> Option<Position> {
        let last = (0..RANKS).rev().find_map(|rank| {
            let (key, _) = self.classes[rank].requests.last_key_value()?;
            Some(Position {
                rank,
                tag: key.0,
                arrival: key.1,
            })
        });
        last.filter(|last| *last > position)
    }

    /// Returns the requests from `from` on that cannot complete before their deadline at the rate,
    /// given `work_ahead` ahead of them.
    ///
    /// The work of returned requests is not counted, so that no request is shed because of work
    /// that is shed itself.
    #[must_use]
    pub fn late_requests(&self, from: Position, mut work_ahead: u64, now: Millis) -> Vec<Position> {
        let mut late = Vec::new();
        if self.rate <= 0.0 {
            return late;
        }
        for (rank, class) in self.classes.iter().enumerate().skip(from.rank) {
            let first = if rank == from.rank {
                from.key()
            } else {
                (0, 0)
            };
            for ((tag, arrival), Queued { request, .. }) in class.requests.range(first..) {
                let end = now
                    .plus(self.service_time(work_ahead).0)
                    .plus(request.duration().0);
                if end > request.deadline() {
                    late.push(Position {
                        rank,
                        tag: *tag,
                        arrival: *arrival,
                    });
                } else {
                    work_ahead += request.work();
                }
            }
        }
        late
    }
}

/// Returns the position of a new request that keeps an earlier turn. Its arrival stays its own,
/// which makes the position unique.
fn earlier(new: Position, turn: Option<Position>) -> Position {
    let tag = turn.map_or(new.tag, |turn| turn.tag.min(new.tag));
    Position { tag, ..new }
}
