//! Keeps quarantined suspects in the store, where they outlive all nodes.
//!
//! Digests tell a node that restarts what the others know. If all of them restart at once, a suspect
//! would crash as many endpoints again. A store that is restored from an older copy may have lost
//! records, and may hold some that were removed; [`write_again`] corrects both.

use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;
use cumin_entry::platform::Stream;
use cumin_entry::suspects::{Stated, Suspect};
use cumin_types::{Millis, WallMillis};
use serde::{Deserialize, Serialize};

use crate::crash;
use crate::era;
use crate::feed;
use crate::node::Node;

/// Pause after a failed call to the store.
const RETRY_PAUSE: Millis = Millis(300);

/// Number of attempts to write a record; until then the suspect lives in the digests only.
const MAX_APPENDS: usize = 10;

/// Record of a quarantined suspect.
#[derive(Debug, Serialize, Deserialize)]
struct StoredSuspect {
    /// Its crashes.
    suspect: Stated,
    /// Wall-clock time at which the record was written.
    written: WallMillis,
}

/// Writes a quarantined suspect to the store in the background.
pub(crate) fn save(node: &Rc<Node>, suspect: Suspect) {
    let stored = StoredSuspect {
        suspect: node.suspects.borrow().stated_suspect(suspect, node.now()),
        written: node.wall(),
    };
    match serde_json::to_vec(&stored) {
        Ok(value) => append(node, suspect, Bytes::from(value)),
        Err(error) => log::error!("event=quarantine_unwritten suspect={suspect} error={error}"),
    }
}

/// Removes the record of a suspect from the store in the background.
pub(crate) fn remove(node: &Rc<Node>, suspect: Suspect) {
    let now = node.now();
    let mut removed = node.removed.borrow_mut();
    removed.retain(|(other, at)| *other != suspect && now.since(*at) < REMOVED_TIME.0);
    removed.push((suspect, now));
    drop(removed);
    append(node, suspect, Bytes::new());
}

/// Appends a record; one without a value removes its key.
fn append(node: &Rc<Node>, suspect: Suspect, value: Bytes) {
    let node = node.clone();
    actix_rt::spawn(async move {
        let key = suspect.to_string();
        for _ in 0..MAX_APPENDS {
            let store = &node.platform.store;
            let appended = store.append(Stream::Quarantine, Some(&key), value.clone(), None);
            let appended = appended.await;
            feed::count_call(&node, Stream::Quarantine, "append", &appended);
            match era::checked(&node, appended) {
                Ok(_) => return,
                Err(error) => log::warn!("event=quarantine_unwritten suspect={key} error={error}"),
            }
            tokio::time::sleep(RETRY_PAUSE.duration()).await;
        }
    });
}

/// Time for which the removal of a record is remembered. The copies from which a store is restored
/// are some seconds old.
const REMOVED_TIME: Millis = Millis(60_000);

/// Number of turns in which a record that the restored store lacks is written, and the time of one:
/// a listing and an append.
const TURNS: usize = 4;
const TURN_TIME: Millis = Millis(1000);

/// Writes the records of quarantined suspects to a restored store in the background.
///
/// The node that keeps the record of a suspect does so at once. If it does not know the suspect or
/// crashes, the others follow one by one, the rest of them in the last turn.
pub(crate) fn write_again(node: &Rc<Node>) {
    let node = node.clone();
    actix_rt::spawn(async move {
        let era = node.eras.get().newest();
        let mut stored = HashSet::new();
        for turn in 0..=TURNS {
            let due = missing(&node, &stored, turn);
            let removed = removed(&node);
            if !due.is_empty() || (turn == 0 && !removed.is_empty()) {
                let listed = node.platform.store.newest(Stream::Quarantine).await;
                feed::count_call(&node, Stream::Quarantine, "newest", &listed);
                match era::checked(&node, listed) {
                    Ok(page) => {
                        let keys = page
                            .records
                            .into_iter()
                            .filter(|record| record.value.is_some());
                        stored.extend(keys.filter_map(|record| record.key));
                        correct(&node, &mut stored, due, removed);
                    }
                    Err(error) => log::warn!("event=quarantine_unread error={error}"),
                }
            }
            tokio::time::sleep(TURN_TIME.duration()).await;
            if node.eras.get().newest() != era {
                return;
            }
        }
    });
}

/// Returns the quarantined suspects that the store is not known to hold and that this node writes in
/// a turn.
fn missing(node: &Node, stored: &HashSet<String>, turn: usize) -> Vec<Suspect> {
    let suspects = node.suspects.borrow();
    let quarantined = suspects.quarantined().iter().map(|item| item.suspect);
    let missing = quarantined.filter(|suspect| !stored.contains(&suspect.to_string()));
    missing
        .filter(|suspect| turn == TURNS || crash::rank(node, *suspect) <= turn)
        .collect()
}

/// Returns the suspects whose records this node has removed lately.
fn removed(node: &Node) -> Vec<Suspect> {
    let now = node.now();
    let removed = node.removed.borrow();
    let lately = removed
        .iter()
        .filter(|(_, at)| now.since(*at) < REMOVED_TIME.0);
    lately.map(|(suspect, _)| *suspect).collect()
}

/// Writes the records that the store lacks, and removes again those that were removed before.
fn correct(
    node: &Rc<Node>,
    stored: &mut HashSet<String>,
    due: Vec<Suspect>,
    removed: Vec<Suspect>,
) {
    for suspect in due {
        if stored.insert(suspect.to_string()) {
            log::info!("event=quarantine_rewritten suspect={suspect}");
            save(node, suspect);
        }
    }
    for suspect in removed {
        let is_quarantined = {
            let suspects = node.suspects.borrow();
            let mut quarantined = suspects.quarantined().iter();
            quarantined.any(|item| item.suspect == suspect)
        };
        if !is_quarantined && stored.remove(&suspect.to_string()) {
            log::info!("event=quarantine_removed_again suspect={suspect}");
            append(node, suspect, Bytes::new());
        }
    }
}

/// Reads the suspects that were quarantined before this node started.
pub(crate) async fn restore(node: Rc<Node>) {
    let page = loop {
        let listed = node.platform.store.newest(Stream::Quarantine).await;
        feed::count_call(&node, Stream::Quarantine, "newest", &listed);
        match era::checked(&node, listed) {
            Ok(page) => break page,
            Err(error) => log::warn!("event=quarantine_unread error={error}"),
        }
        tokio::time::sleep(RETRY_PAUSE.duration()).await;
    };
    for record in page.records {
        let Some(value) = &record.value else { continue };
        match serde_json::from_slice::<StoredSuspect>(value) {
            Ok(stored) => {
                let age = Millis(node.wall().0.saturating_sub(stored.written.0));
                let mut suspects = node.suspects.borrow_mut();
                suspects.merge_stored(&stored.suspect, age, node.now());
            }
            Err(error) => log::warn!(
                "event=quarantine_unreadable key={:?} error={error}",
                record.key
            ),
        }
    }
    let now = node.now();
    let mut suspects = node.suspects.borrow_mut();
    suspects.review(now);
    log::info!(
        "event=quarantine_restored suspects={}",
        suspects.quarantined().len()
    );
}
