//! What must hold in a [`World`] after each step, and after the faults have ended.

use std::collections::BTreeMap;

use cumin_state::batch::{Author, Batch};
use cumin_state::claim::{Claims, Ending, Record, Stage};
use cumin_types::{ClaimKey, RecordId};

use crate::claim_world::{Fate, Move, NODES, STREAM, World, options};
use crate::model::author;

impl World {
    /// Compares every fold with a replay of the same prefix, and with a plain scan of the list.
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
                .expect("a claimed key is on record");
            assert_eq!(
                slot.held.as_ref().map(|held| held.claim),
                holder,
                "holder of {key}"
            );
        }
    }

    /// Who holds each key by a plain scan: the first claim that its author has not freed.
    fn holders(&self) -> BTreeMap<ClaimKey, Option<RecordId>> {
        let mut holders: BTreeMap<ClaimKey, Option<RecordId>> = BTreeMap::new();
        let mut over: Vec<RecordId> = Vec::new();
        let mut freed: Vec<RecordId> = Vec::new();
        let mut batches: Vec<RecordId> = Vec::new();
        for record in self.log.streams.get(&STREAM).into_iter().flatten() {
            let batch = Batch::read(&record.body).expect("a batch");
            // Of a batch that was appended twice only the first copy counts.
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

    /// Ends the faults and lets everything settle; then nothing may be left undecided.
    pub fn heal(&mut self) {
        self.step(Move::Outage { on: false });
        for node in 0..NODES {
            self.step(Move::Pause { node, on: false });
            self.step(Move::Duty {
                node,
                on: node == 0,
            });
        }
        while !self.late.is_empty() {
            self.step(Move::Land { index: 0 });
        }
        for _ in 0..400 {
            for _ in 0..self.wires.len() {
                self.step(Move::Deliver {
                    index: 0,
                    fate: Fate::Served,
                });
            }
            for _ in 0..self.letters.len() {
                self.step(Move::Carry {
                    index: 0,
                    copies: 1,
                });
            }
            self.step(Move::End {
                index: 0,
                ending: 0,
            });
            self.step(Move::Advance { ms: 100 });
        }
        self.settled();
    }

    fn settled(&self) {
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
        for carried in fold.state().export() {
            let Some(held) = carried.slot.held else {
                continue;
            };
            let stuck = held.stage == Stage::InFlight && incarnations.contains(&held.author);
            assert!(!stuck, "{held:?} is in flight and nobody runs it");
        }
    }
}
