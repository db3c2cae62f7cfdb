//! Invariants of a [`World`] after each action, and after all faults have ended.

use std::collections::BTreeMap;

use cumin_state::batch::{Author, Batch};
use cumin_state::claim::{Claims, Ending, Record, Stage};
use cumin_types::{ClaimKey, RecordId};

use crate::claim_world::{Action, Fate, NODES, STREAM, World, options};
use crate::model::author;

impl World {
    /// Compares every fold with a replay of the same prefix, and its holders with those found by a
    /// plain scan of the log.
    pub fn check(&self) {
        for node in &self.nodes {
            let Some(recorder) = node.recorder.as_ref() else {
                continue;
            };
            let fold = recorder.fold();
            if self.trimmed || fold.is_scanning() {
                continue;
            }
            let replay = self
                .log
                .replay(STREAM, Claims::new(options().claims), fold.position().0);
            assert_eq!(&replay, fold, "two folds of one prefix differ");
        }
        let next = self.log.next(STREAM);
        let replay = self.log.replay(STREAM, Claims::new(options().claims), next);
        for (key, holder) in self.holders() {
            let slot = replay
                .state()
                .slot(&key)
                .expect("a claimed key has a state");
            assert_eq!(
                slot.held.as_ref().map(|held| held.claim),
                holder,
                "holder of {key}"
            );
        }
    }

    /// Returns the holder of each key by a plain scan: the first claim that was not freed.
    fn holders(&self) -> BTreeMap<ClaimKey, Option<RecordId>> {
        let mut holders: BTreeMap<ClaimKey, Option<RecordId>> = BTreeMap::new();
        let mut over: Vec<RecordId> = Vec::new();
        let mut freed: Vec<RecordId> = Vec::new();
        let mut batches: Vec<RecordId> = Vec::new();
        for record in self.log.streams.get(&STREAM).into_iter().flatten() {
            let batch = Batch::read(&record.body).expect("a batch");
            // Only the first copy of a repeated batch counts.
            if batches.contains(&batch.id) {
                continue;
            }
            batches.push(batch.id);
            for value in batch.records {
                match serde_json::from_value(value) {
                    Ok(Record::Claim(claim)) => {
                        let holder = holders.entry(claim.key).or_default();
                        if holder.is_none() && !freed.contains(&claim.id) {
                            *holder = Some(claim.id);
                        }
                    }
                    Ok(Record::Settle(settle)) => {
                        let holder = holders.entry(settle.key).or_default();
                        let own = *holder == Some(settle.claim);
                        if settle.ending != Ending::NotRun {
                            over.extend(own.then_some(settle.claim));
                        } else if !over.contains(&settle.claim) {
                            freed.push(settle.claim);
                            *holder = holder.filter(|_| !own);
                        }
                    }
                    _ => {}
                }
            }
        }
        holders
    }

    /// Ends all faults, delivers everything, and checks that nothing remains undecided.
    pub fn recover(&mut self) {
        self.step(Action::Outage { on: false });
        for node in 0..NODES {
            self.step(Action::Pause { node, on: false });
            self.step(Action::SetRecorder {
                node,
                on: node == 0,
            });
        }
        while !self.late_appends.is_empty() {
            self.step(Action::AppendLate { index: 0 });
        }
        for _ in 0..400 {
            for _ in 0..self.requests.len() {
                self.step(Action::Serve {
                    index: 0,
                    fate: Fate::Served,
                });
            }
            for _ in 0..self.messages.len() {
                self.step(Action::Deliver {
                    index: 0,
                    copies: 1,
                });
            }
            self.step(Action::End {
                index: 0,
                ending: 0,
            });
            self.step(Action::Advance { ms: 100 });
        }
        self.assert_decided();
    }

    fn assert_decided(&self) {
        for node in &self.nodes {
            for call in &node.calls {
                assert!(
                    call.is_finished(),
                    "{call:?} is not over after the faults ended"
                );
            }
        }
        let incarnations: Vec<Author> = (0..NODES)
            .map(|n| author(n as u64, self.nodes[n].incarnation))
            .collect();
        let next = self.log.next(STREAM);
        let fold = self.log.replay(STREAM, Claims::new(options().claims), next);
        for exported in fold.state().export() {
            let Some(held) = exported.slot.held else {
                continue;
            };
            let stuck = held.stage == Stage::InFlight && incarnations.contains(&held.author);
            assert!(!stuck, "{held:?} is in flight and nobody runs it");
        }
    }
}
