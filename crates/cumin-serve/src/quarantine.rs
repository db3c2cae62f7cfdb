//! Keeps quarantined suspects in the store, where they outlive all nodes.
//!
//! Digests tell a node that restarts what the others know. If all of them restart at once, a suspect
//! would crash as many endpoints again.

use std::rc::Rc;

use bytes::Bytes;
use cumin_entry::platform::Stream;
use cumin_entry::suspects::{Stated, Suspect};
use cumin_types::{Millis, WallMillis};
use serde::{Deserialize, Serialize};

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
            match appended {
                Ok(_) => return,
                Err(error) => log::warn!("event=quarantine_unwritten suspect={key} error={error}"),
            }
            tokio::time::sleep(RETRY_PAUSE.duration()).await;
        }
    });
}

/// Reads the suspects that were quarantined before this node started.
pub(crate) async fn restore(node: Rc<Node>) {
    let page = loop {
        let listed = node.platform.store.newest(Stream::Quarantine).await;
        feed::count_call(&node, Stream::Quarantine, "newest", &listed);
        match listed {
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
