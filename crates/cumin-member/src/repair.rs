//! Messages within their byte bound, and the exchange of what gossip missed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cumin_types::{Millis, NodeName};

use crate::membership::{Membership, Sync};
use crate::news::Subject;
use crate::probe::Kind;
use crate::table::{bucket, item_key, low, member_key, member_state};
use crate::{Call, Effect, Item, Message, Record, Repair};

/// Field names and brackets of a message and its digest, bytes.
const FRAME: usize = 90;

/// A JSON pair of 32-bit hashes with its separators, bytes.
const PAIR: usize = 24;

/// A message with the bytes that are left in it.
struct Draft {
    message: Message,
    left: usize,
}

impl Draft {
    fn record(&mut self, record: &Record, bytes: usize) -> bool {
        let twice = |told: &Record| told.member.name == record.member.name;
        if self.message.records.iter().any(twice) {
            return true;
        }
        let fits = bytes < self.left;
        if fits {
            self.left -= bytes + 1;
            self.message.records.push(record.clone());
        }
        fits
    }

    fn item(&mut self, item: Item, bytes: usize) -> bool {
        if self.message.items.iter().any(|told| told.key == item.key) {
            return true;
        }
        let fits = bytes < self.left;
        if fits {
            self.left -= bytes + 1;
            self.message.items.push(item);
        }
        fits
    }
}

/// One entry of the table of members and items.
struct Line {
    key: u32,
    state: u32,
    subject: Subject,
    gone: bool,
}

impl Membership {
    fn draft(&self, repair: Option<Repair>) -> Draft {
        let message = Message {
            from: self.me.clone(),
            digest: self.table.digest(),
            records: Vec::new(),
            items: Vec::new(),
            repair,
        };
        let bytes = serde_json::to_vec(&message).map_or(0, |text| text.len());
        Draft {
            left: self.options.bytes.saturating_sub(bytes + FRAME),
            message,
        }
    }

    /// Adds one entry to a message; false when it does not fit.
    fn add(&self, draft: &mut Draft, subject: &Subject, now: Millis) -> bool {
        match subject {
            Subject::Member(name) => self
                .table
                .get(name)
                .is_none_or(|entry| draft.record(&entry.record, entry.bytes)),
            Subject::Item(key) => self
                .items
                .held
                .get(key)
                .is_none_or(|held| draft.item(held.sent(now), held.bytes)),
        }
    }

    /// Adds what this node believes of the receiver, which it may refute.
    fn accuse(&self, draft: &mut Draft, to: &NodeName) {
        if let Some(entry) = self.table.get(to)
            && entry.record.status != crate::Status::Alive
        {
            draft.record(&entry.record, entry.bytes);
        }
    }

    /// Adds news: items in up to half of the room, then members, then the remaining items.
    fn fill(&mut self, draft: &mut Draft, now: Millis) {
        if self.allowance == 0 || matches!(draft.message.repair, Some(Repair::Next(_))) {
            return;
        }
        let order = self.news.order();
        let limit = self.sends();
        let spare = draft.left.saturating_sub(self.allowance);
        draft.left -= spare;
        let room = draft.left;
        let keep = draft.left / 2;
        let item = |subject: &&Subject| matches!(subject, Subject::Item(_));
        let member = |subject: &&Subject| matches!(subject, Subject::Member(_));
        let (items, members) = (order.iter().filter(item), order.iter().filter(member));
        let mut told = BTreeSet::new();
        for (pass, subjects) in [
            items.clone().collect::<Vec<_>>(),
            members.collect(),
            items.collect(),
        ]
        .iter()
        .enumerate()
        {
            for subject in subjects {
                if pass == 0 && draft.left <= keep {
                    break;
                }
                if !self.add(draft, subject, now) {
                    break;
                }
                told.insert((*subject).clone());
            }
        }
        self.allowance -= room - draft.left;
        draft.left += spare;
        for subject in told {
            self.news.sent(&subject, limit);
        }
    }

    /// Returns a message to a member with news.
    pub(crate) fn told(&mut self, to: &NodeName, repair: Option<Repair>, now: Millis) -> Message {
        let mut draft = self.draft(repair);
        self.accuse(&mut draft, to);
        self.fill(&mut draft, now);
        draft.message
    }

    /// Returns a message without news: only what is believed of the receiver, here and elsewhere.
    pub(crate) fn bare(
        &self,
        to: &NodeName,
        said: Option<Record>,
        repair: Option<Repair>,
    ) -> Message {
        let mut draft = self.draft(repair);
        if let Some(said) = said {
            draft.record(&said, said.bytes());
        }
        self.accuse(&mut draft, to);
        draft.message
    }

    /// Returns a message to an address whose node is not known.
    pub(crate) fn first(&self, repair: Option<Repair>) -> Message {
        self.draft(repair).message
    }

    /// Returns the answer to a probe or a push.
    pub(crate) fn reply(
        &mut self,
        from: &NodeName,
        digest: u64,
        repair: Option<Repair>,
        stale: &[NodeName],
        now: Millis,
    ) -> Message {
        let mut draft = match repair {
            Some(Repair::Page(first)) => self.page(from, first, now),
            Some(Repair::Compare) if digest != self.table.digest() => {
                self.draft(Some(Repair::Buckets(self.table.buckets())))
            }
            Some(Repair::Brief {
                bucket,
                from: first,
                to,
                entries,
            }) => self.answer_brief(bucket, first..=to, &entries, now),
            _ => self.draft(None),
        };
        self.accuse(&mut draft, from);
        for name in stale {
            self.add(&mut draft, &Subject::Member(name.clone()), now);
        }
        self.fill(&mut draft, now);
        draft.message
    }

    /// Returns all entries in order of their key hashes, this node left out: each message has it.
    fn lines(&self) -> Vec<Line> {
        let members = self.table.iter().map(|entry| Line {
            key: member_key(&entry.record.member.name),
            state: member_state(&entry.record),
            subject: Subject::Member(entry.record.member.name.clone()),
            gone: entry.record.status.gone(),
        });
        let items = self.items.held.values().map(|held| Line {
            key: item_key(&held.item.key),
            state: low(held.hash),
            subject: Subject::Item(held.item.key.clone()),
            gone: false,
        });
        let mut lines: Vec<Line> = members.chain(items).collect();
        lines.sort_by(|a, b| (a.key, &a.subject).cmp(&(b.key, &b.subject)));
        lines
    }

    /// Returns the entries with key hashes from `first` on that fit a message.
    fn page(&self, to: &NodeName, first: u32, now: Millis) -> Draft {
        let mut draft = self.draft(Some(Repair::Next(Some(u32::MAX))));
        self.accuse(&mut draft, to);
        let mut next = None;
        for line in self.lines().iter().filter(|line| line.key >= first) {
            if !self.add(&mut draft, &line.subject, now) {
                // A page of one key hash alone would be asked for again and again.
                next = Some(line.key.max(first.saturating_add(1)));
                break;
            }
        }
        draft.message.repair = Some(Repair::Next(next));
        draft
    }

    /// Lists one bucket, or the part of it that fits a message.
    fn brief(&self, number: usize) -> Repair {
        let mut entries: Vec<(u32, u32)> = (self.lines().iter())
            .filter(|line| bucket(line.key) == number && !line.gone)
            .map(|line| (line.key, line.state))
            .collect();
        let mine = (member_key(&self.me.member.name), member_state(&self.me));
        if bucket(mine.0) == number {
            entries.push(mine);
        }
        entries.sort_unstable();
        let room = (self.options.bytes.saturating_sub(400) / PAIR).max(1);
        let (mut from, mut to) = (0, u32::MAX);
        if entries.len() > room {
            let parts = entries.len().div_ceil(room);
            let turn = usize::try_from(self.serial).unwrap_or(0) % parts;
            let start = turn * room;
            let end = (start + room).min(entries.len());
            if start > 0 {
                from = entries[start].0;
            }
            if end < entries.len() {
                to = entries[end].0 - 1;
            }
            entries = entries[start..end].to_vec();
        }
        let bucket = u32::try_from(number).unwrap_or(0);
        Repair::Brief {
            bucket,
            from,
            to,
            entries,
        }
    }

    /// Returns what the sender of a brief lacks, and asks for what this node lacks.
    fn answer_brief(
        &self,
        number: u32,
        range: std::ops::RangeInclusive<u32>,
        entries: &[(u32, u32)],
        now: Millis,
    ) -> Draft {
        let theirs: BTreeSet<(u32, u32)> = entries.iter().copied().collect();
        let keys: BTreeSet<u32> = entries.iter().map(|(key, _)| *key).collect();
        let lines = self.lines();
        let mine: BTreeSet<(u32, u32)> = lines
            .iter()
            .filter(|line| !line.gone)
            .map(|line| (line.key, line.state))
            .collect();
        let me = (member_key(&self.me.member.name), member_state(&self.me));
        let want = theirs.difference(&mine).filter(|pair| **pair != me);
        let want: Vec<u32> = want.map(|(key, _)| *key).take(40).collect();
        let mut draft = self.draft(Some(Repair::Want(want)));
        for line in &lines {
            let here = u32::try_from(bucket(line.key)) == Ok(number) && range.contains(&line.key);
            let lacks = !theirs.contains(&(line.key, line.state));
            if here && lacks && (!line.gone || keys.contains(&line.key)) {
                self.add(&mut draft, &line.subject, now);
            }
        }
        draft
    }

    /// Takes the next step of a comparison after an answer.
    pub(crate) fn compare(
        &mut self,
        call: Call,
        to: SocketAddr,
        message: &Message,
        now: Millis,
    ) -> Vec<Effect> {
        let pulling = self.sync == Sync::Pulling(call);
        let draft = match &message.repair {
            Some(Repair::Next(None)) if pulling => {
                self.sync = Sync::Done;
                return Vec::new();
            }
            Some(Repair::Next(Some(next))) if pulling => {
                let draft = self.draft(Some(Repair::Page(*next)));
                let target = Some(message.from.member.name.clone());
                let call = self.call(Kind::Probe, to, target, now);
                self.sync = Sync::Pulling(call);
                return vec![Effect::Probe {
                    call,
                    to,
                    message: draft.message,
                }];
            }
            Some(Repair::Buckets(theirs)) => {
                let mine = self.table.buckets();
                let differ: Vec<usize> = (mine.iter().zip(theirs).enumerate())
                    .filter(|(_, (mine, theirs))| mine != theirs)
                    .map(|(number, _)| number)
                    .collect();
                if differ.is_empty() {
                    return Vec::new();
                }
                let turn = usize::try_from(self.serial).unwrap_or(0) % differ.len();
                self.draft(Some(self.brief(differ[turn])))
            }
            Some(Repair::Want(keys)) => {
                let mut draft = self.draft(None);
                for line in self.lines().iter().filter(|line| keys.contains(&line.key)) {
                    self.add(&mut draft, &line.subject, now);
                }
                if draft.message.records.is_empty() && draft.message.items.is_empty() {
                    return Vec::new();
                }
                draft
            }
            _ => {
                if pulling {
                    self.sync = Sync::Needed;
                }
                return Vec::new();
            }
        };
        let target = Some(message.from.member.name.clone());
        let call = self.call(Kind::Push, to, target, now);
        vec![Effect::Push {
            call,
            to,
            message: draft.message,
        }]
    }
}
