//! Notices that the store was restored from an older copy, and has everything read again.

use std::rc::Rc;

use cumin_entry::era::{CopyRevision, Era, EraOrder, StatedEra};
use cumin_entry::peer::{Digest, LIVE_TIMEOUT};
use cumin_entry::platform::{Appended, Page, StoreError, Stream};

use crate::node::{Node, saturating_i64};
use crate::quarantine;

/// Result of a call to the store that belongs to an era.
pub(crate) trait InEra {
    /// Returns the era.
    fn era(&self) -> Era;
}

impl InEra for Page {
    fn era(&self) -> Era {
        self.era
    }
}

impl InEra for Appended {
    fn era(&self) -> Era {
        self.era
    }
}

/// Records the era of an answer of the store; an answer of an older one than the newest is lost.
pub(crate) fn checked<T: InEra>(
    node: &Rc<Node>,
    result: Result<T, StoreError>,
) -> Result<T, StoreError> {
    let answer = result?;
    let (era, mut eras) = (answer.era(), node.eras.get());
    let (before, noticed) = (eras.newest(), eras.noticed());
    let order = eras.observe(era, node.now());
    node.eras.set(eras);
    node.metrics.store_era.set(saturating_i64(eras.newest().0));
    match order {
        EraOrder::Same => {}
        EraOrder::Old => return Err(StoreError::Lost(format!("answer of era {era}"))),
        EraOrder::New => {
            let after_ms = node.now().since(noticed);
            log::warn!("event=store_era era={era} before={before} after_ms={after_ms}");
            node.metrics.store_restores.inc();
            read_again(node);
            node.era_notify.notify_waiters();
            quarantine::write_again(node);
            node.rollouts.borrow_mut().store_restored();
        }
    }
    Ok(answer)
}

/// Has the relayed streams read by this node itself.
fn read_again(node: &Node) {
    for stream in [Stream::Document, Stream::Endpoints] {
        let feed = node.feed(stream);
        feed.wanted.set(true);
        feed.notify.notify_one();
    }
}

/// Returns what this node states of the era; nothing in era zero.
pub(crate) fn stated(node: &Node) -> Option<StatedEra> {
    let era = node.eras.get().newest();
    (!era.is_unknown()).then(|| StatedEra {
        era,
        marks: node.marks.get(),
    })
}

/// Takes over what a peer states. A newer era makes this node read the store, whose answer decides.
pub(crate) fn merge_peer(node: &Node, digest: &Digest, stated: Option<StatedEra>) {
    let Some(stated) = stated else { return };
    let mut marks = node.marks.get();
    marks.merge(stated.marks);
    if let Some((token, _)) = digest.lease {
        marks.token = marks.token.max(token);
    }
    node.marks.set(marks);
    if stated.era > node.eras.get().newest() {
        read_again(node);
    }
}

/// Returns whether what this node has just read of a stream proves that its copy is up to date, and
/// logs when this changes.
pub(crate) fn proves(node: &Node, stream: Stream) -> bool {
    if stream != Stream::Document {
        return true;
    }
    let now = node.now();
    let peers = node.peers.borrow();
    let in_force = node.table().map(|table| table.document().revision);
    let stated = peers.live(now).map(|peer| peer.digest.revision);
    let alone = peers.live(now).next().is_none() && !node.settings.seeds.is_empty();
    let copy = CopyRevision {
        stored: node.stored_revision.get(),
        highest: stated.chain(in_force).max().unwrap_or_default(),
        heard: !alone || now.since(node.started) >= LIVE_TIMEOUT.0,
    };
    let proven = copy.proves(node.documents.era.get());
    if proven == node.behind.replace(!proven) {
        log::warn!(
            "event=document_behind behind={} stored={} highest={} heard={}",
            !proven,
            copy.stored,
            copy.highest,
            copy.heard
        );
    }
    proven
}
