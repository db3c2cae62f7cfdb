//! Composition of messages within their size limit, and the anti-entropy exchange that repairs what
//! gossip missed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cumin_types::{Millis, NodeName};

use crate::gossip::Subject;
use crate::membership::{Membership, SyncState};
use crate::probe::Kind;
use crate::table::{bucket_of, item_key, low_bits, member_key, member_state};
use crate::{CallId, Effect, Item, Message, Record, Repair};

/// Field names and brackets of a message, and its digest.
const FRAME_BYTES: usize = 90;

/// A JSON pair of 32-bit hashes with its separators.
const PAIR_BYTES: usize = 24;

/// A message under composition, with the bytes that are left.
struct Draft {
    message: Message,
    free_bytes: usize,
}

impl Draft {
    fn push_record(&mut self, record: &Record, bytes: usize) -> bool {
        let same_name = |listed: &Record| listed.member.name == record.member.name;
        if self.message.records.iter().any(same_name) {
            return true;
        }
        let fits = bytes < self.free_bytes;
        if fits {
            self.free_bytes -= bytes + 1;
            self.message.records.push(record.clone());
        }
        fits
    }

    fn push_item(&mut self, item: Item, bytes: usize) -> bool {
        if self
            .message
            .items
            .iter()
            .any(|listed| listed.key == item.key)
        {
            return true;
        }
        let fits = bytes < self.free_bytes;
        if fits {
            self.free_bytes -= bytes + 1;
            self.message.items.push(item);
        }
        fits
    }
}

/// One entry of the table of members and items.
struct Row {
    key: u32,
    state: u32,
    subject: Subject,
    gone: bool,
}

impl Membership {
    fn draft(&self, repair: Option<Repair>) -> Draft {
        let message = Message {
            from: self.local.clone(),
            digest: self.table.digest(),
            records: Vec::new(),
            items: Vec::new(),
            repair,
        };
        let bytes = serde_json::to_vec(&message).map_or(0, |text| text.len());
        Draft {
            free_bytes: self
                .options
                .message_bytes
                .saturating_sub(bytes + FRAME_BYTES),
            message,
        }
    }

    /// Adds one entry to a message. Returns false if it does not fit.
    fn add_entry(&self, draft: &mut Draft, subject: &Subject, now: Millis) -> bool {
        match subject {
            Subject::Member(name) => self
                .table
                .get(name)
                .is_none_or(|entry| draft.push_record(&entry.record, entry.bytes)),
            Subject::Item(key) => self
                .items
                .held
                .get(key)
                .is_none_or(|held| draft.push_item(held.with_remaining_ttl(now), held.bytes)),
        }
    }

    /// Adds the record of a receiver that is not alive here, for the receiver to refute.
    fn add_claim(&self, draft: &mut Draft, to: &NodeName) {
        if let Some(entry) = self.table.get(to)
            && entry.record.status != crate::Status::Alive
        {
            draft.push_record(&entry.record, entry.bytes);
        }
    }

    /// Adds queued changes: items in up to half of the free bytes, then members, then further items.
    fn add_gossip(&mut self, draft: &mut Draft, now: Millis) {
        if self.gossip_budget == 0 || matches!(draft.message.repair, Some(Repair::Next(_))) {
            return;
        }
        let order = self.gossip.send_order();
        let limit = self.max_sends();
        let withheld = draft.free_bytes.saturating_sub(self.gossip_budget);
        draft.free_bytes -= withheld;
        let room = draft.free_bytes;
        let reserved = draft.free_bytes / 2;
        let item = |subject: &&Subject| matches!(subject, Subject::Item(_));
        let member = |subject: &&Subject| matches!(subject, Subject::Member(_));
        let (items, members) = (order.iter().filter(item), order.iter().filter(member));
        let mut sent = BTreeSet::new();
        for (pass, subjects) in [
            items.clone().collect::<Vec<_>>(),
            members.collect(),
            items.collect(),
        ]
        .iter()
        .enumerate()
        {
            for subject in subjects {
                if pass == 0 && draft.free_bytes <= reserved {
                    break;
                }
                if !self.add_entry(draft, subject, now) {
                    break;
                }
                sent.insert((*subject).clone());
            }
        }
        self.gossip_budget -= room - draft.free_bytes;
        draft.free_bytes += withheld;
        for subject in sent {
            self.gossip.count_send(&subject, limit);
        }
    }

    /// Returns a message to a member, with gossip.
    pub(crate) fn gossip_message(
        &mut self,
        to: &NodeName,
        repair: Option<Repair>,
        now: Millis,
    ) -> Message {
        let mut draft = self.draft(repair);
        self.add_claim(&mut draft, to);
        self.add_gossip(&mut draft, now);
        draft.message
    }

    /// Returns a message without gossip. It has only the receiver's own records, those of this node
    /// and of `claim`.
    pub(crate) fn probe_message(
        &self,
        to: &NodeName,
        claim: Option<Record>,
        repair: Option<Repair>,
    ) -> Message {
        let mut draft = self.draft(repair);
        if let Some(claim) = claim {
            draft.push_record(&claim, claim.bytes());
        }
        self.add_claim(&mut draft, to);
        draft.message
    }

    /// Returns a message to an address whose member is unknown.
    pub(crate) fn first_message(&self, repair: Option<Repair>) -> Message {
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
        self.add_claim(&mut draft, from);
        for name in stale {
            self.add_entry(&mut draft, &Subject::Member(name.clone()), now);
        }
        self.add_gossip(&mut draft, now);
        draft.message
    }

    /// Returns all entries in order of their key hashes. This node is left out because it is the
    /// sender of each message.
    fn rows(&self) -> Vec<Row> {
        let members = self.table.iter().map(|entry| Row {
            key: member_key(&entry.record.member.name),
            state: member_state(&entry.record),
            subject: Subject::Member(entry.record.member.name.clone()),
            gone: entry.record.status.is_gone(),
        });
        let items = self.items.held.values().map(|held| Row {
            key: item_key(&held.item.key),
            state: low_bits(held.hash),
            subject: Subject::Item(held.item.key.clone()),
            gone: false,
        });
        let mut rows: Vec<Row> = members.chain(items).collect();
        rows.sort_by(|a, b| (a.key, &a.subject).cmp(&(b.key, &b.subject)));
        rows
    }

    /// Returns the entries with key hashes from `first` on, as many as fit a message.
    fn page(&self, to: &NodeName, first: u32, now: Millis) -> Draft {
        let mut draft = self.draft(Some(Repair::Next(Some(u32::MAX))));
        self.add_claim(&mut draft, to);
        let mut next = None;
        for row in self.rows().iter().filter(|row| row.key >= first) {
            if !self.add_entry(&mut draft, &row.subject, now) {
                // Always advance, or a page filled by one key hash would be requested forever.
                next = Some(row.key.max(first.saturating_add(1)));
                break;
            }
        }
        draft.message.repair = Some(Repair::Next(next));
        draft
    }

    /// Lists one bucket, or a part of it that fits a message; successive calls rotate through them.
    fn brief(&self, number: usize) -> Repair {
        let mut entries: Vec<(u32, u32)> = (self.rows().iter())
            .filter(|row| bucket_of(row.key) == number && !row.gone)
            .map(|row| (row.key, row.state))
            .collect();
        let mine = (
            member_key(&self.local.member.name),
            member_state(&self.local),
        );
        if bucket_of(mine.0) == number {
            entries.push(mine);
        }
        entries.sort_unstable();
        let room = (self.options.message_bytes.saturating_sub(400) / PAIR_BYTES).max(1);
        let (mut from, mut to) = (0, u32::MAX);
        if entries.len() > room {
            let parts = entries.len().div_ceil(room);
            let turn = usize::try_from(self.call_serial).unwrap_or(0) % parts;
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

    /// Returns the entries that the sender of a brief lacks, and requests those that this node lacks.
    fn answer_brief(
        &self,
        number: u32,
        range: std::ops::RangeInclusive<u32>,
        entries: &[(u32, u32)],
        now: Millis,
    ) -> Draft {
        let theirs: BTreeSet<(u32, u32)> = entries.iter().copied().collect();
        let keys: BTreeSet<u32> = entries.iter().map(|(key, _)| *key).collect();
        let rows = self.rows();
        let mine: BTreeSet<(u32, u32)> = rows
            .iter()
            .filter(|row| !row.gone)
            .map(|row| (row.key, row.state))
            .collect();
        let local = (
            member_key(&self.local.member.name),
            member_state(&self.local),
        );
        let want = theirs.difference(&mine).filter(|pair| **pair != local);
        let want: Vec<u32> = want.map(|(key, _)| *key).take(40).collect();
        let mut draft = self.draft(Some(Repair::Want(want)));
        for row in &rows {
            let in_range =
                u32::try_from(bucket_of(row.key)) == Ok(number) && range.contains(&row.key);
            let lacks = !theirs.contains(&(row.key, row.state));
            if in_range && lacks && (!row.gone || keys.contains(&row.key)) {
                self.add_entry(&mut draft, &row.subject, now);
            }
        }
        draft
    }

    /// Returns the next call of the exchange after an answer.
    pub(crate) fn continue_repair(
        &mut self,
        call: CallId,
        to: SocketAddr,
        message: &Message,
        now: Millis,
    ) -> Vec<Effect> {
        let pulling = self.sync == SyncState::Pulling(call);
        let draft = match &message.repair {
            Some(Repair::Next(None)) if pulling => {
                self.sync = SyncState::Done;
                return Vec::new();
            }
            Some(Repair::Next(Some(next))) if pulling => {
                let draft = self.draft(Some(Repair::Page(*next)));
                let target = Some(message.from.member.name.clone());
                let call = self.register_call(Kind::Probe, to, target, now);
                self.sync = SyncState::Pulling(call);
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
                let turn = usize::try_from(self.call_serial).unwrap_or(0) % differ.len();
                self.draft(Some(self.brief(differ[turn])))
            }
            Some(Repair::Want(keys)) => {
                let mut draft = self.draft(None);
                for row in self.rows().iter().filter(|row| keys.contains(&row.key)) {
                    self.add_entry(&mut draft, &row.subject, now);
                }
                if draft.message.records.is_empty() && draft.message.items.is_empty() {
                    return Vec::new();
                }
                draft
            }
            _ => {
                if pulling {
                    self.sync = SyncState::Needed;
                }
                return Vec::new();
            }
        };
        let target = Some(message.from.member.name.clone());
        let call = self.register_call(Kind::Push, to, target, now);
        vec![Effect::Push {
            call,
            to,
            message: draft.message,
        }]
    }
}
