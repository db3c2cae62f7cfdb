//! Readers of the store: the operator's documents and the registrations of endpoints.
//!
//! A read shows what the store held when the read was sent, so ages count from that time. A read
//! whose full wait passed without a record shows it for the end of the wait, since a record would
//! have ended it earlier.

use std::rc::Rc;

use cumin_entry::fleet::{Change, read_pause};
use cumin_entry::outage::{Absence, StatedSpan};
use cumin_entry::platform::{Page, Record, StoreError, Stream};
use cumin_entry::relay::{RelayedPage, RelayedRecord, self_read_age};
use cumin_types::{LogOffset, Millis, NodeName, Revision};

use crate::era;
use crate::leaving;
use crate::metrics::StoreCallLabels;
use crate::node::Node;
use crate::relay;
use crate::rollout;

/// Time that a read waits for a record. It is below the bound within which a document must be in
/// force, and well below the bound after which a removed key must be refused. Together with the
/// time for an answer it is below the time within which a node must catch up once it can reach the
/// store again.
const READ_WAIT: Millis = Millis(1800);

/// The same for a node that reads for its place. With a digest's interval, it is below half of the
/// bound, at which the others would read by themselves.
const RELAYED_WAIT: Millis = Millis(500);

/// The same while the store holds an older document than is known. A read that ends with the newest
/// one proves the copy for the time at which it was sent.
const BEHIND_WAIT: Millis = Millis(250);

/// Pause after a failed read. It doubles with each further failure, up to `MAX_RETRY_PAUSE`.
const MIN_RETRY_PAUSE: Millis = Millis(50);
const MAX_RETRY_PAUSE: Millis = Millis(400);

/// Counts a call to the store.
pub(crate) fn count_call<T>(
    node: &Node,
    stream: Stream,
    call: &'static str,
    result: &Result<T, StoreError>,
) {
    let outcome = match result {
        Ok(_) => "ok",
        Err(StoreError::Refused(_)) => "refused",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::Trimmed { .. }) => "trimmed",
        Err(StoreError::Beyond) => "beyond",
        Err(StoreError::Lost(_)) => "lost",
        Err(StoreError::Garbled(_)) => "garbled",
    };
    let label = StoreCallLabels {
        stream: stream.to_string(),
        call,
        outcome,
    };
    node.metrics.store_calls.get_or_create(&label).inc();
}

/// Interval at which a node that waits for relayed pages checks whether it became the reader.
const CHECK_INTERVAL: Millis = Millis(250);

/// Lists the newest records of a stream, then reads it from there on; does not return.
///
/// A node that is not the reader of its place waits for the pages that the reader relays.
async fn follow(node: Rc<Node>, stream: Stream, pause: impl Fn(&Node) -> Millis) {
    let feed = node.feed(stream);
    let mut retry = MIN_RETRY_PAUSE;
    loop {
        let reader = relay::is_reader(&node);
        let wanted = feed.wanted.replace(false);
        if !reader && !wanted && feed.at.get().is_some() {
            let bounds = node.bounds.get();
            let bound = match stream {
                Stream::Document => bounds.apply_limit,
                _ => bounds.drain,
            };
            let limit = self_read_age(&node.settings.node, bound);
            let age = feed.freshness.get().read_age_ms(node.now());
            let left = age.map_or(0, |age| limit.0.saturating_sub(age));
            if left > 0 {
                let time = Millis(left.min(CHECK_INTERVAL.0)).duration();
                tokio::select! {
                    () = tokio::time::sleep(time) => {}
                    () = feed.notify.notified() => {}
                }
                continue;
            }
        }
        if feed.era.get() != node.eras.get().newest() {
            // The offset belongs to an older era.
            feed.at.set(None);
        }
        let sent = node.now();
        let from = feed.at.get();
        let wait = if reader {
            read_wait(&node, stream)
        } else {
            Millis(0)
        };
        let store = &node.platform.store;
        let result = match from {
            None => store.newest(stream).await,
            Some(from) => store.read(stream, from, wait).await,
        };
        let call = if from.is_none() { "newest" } else { "read" };
        count_call(&node, stream, call, &result);
        match era::checked(&node, result) {
            // The records at this offset are other ones than in the era in which it was read.
            Ok(page) if from.is_some() && page.era != feed.era.get() => feed.at.set(None),
            Ok(page) => {
                retry = MIN_RETRY_PAUSE;
                log::debug!(
                    "event=page stream={stream} records={} end={} took_ms={}",
                    page.records.len(),
                    page.end,
                    node.now().since(sent)
                );
                let wait_end = sent.plus(wait.0);
                let timed_out = from.is_some()
                    && wait > Millis(0)
                    && page.records.is_empty()
                    && wait_end <= node.now();
                let as_of = if timed_out { wait_end } else { sent };
                read_answered(&node, stream, page, from, as_of).await;
                let pause = pause(&node);
                if reader && pause > Millis(0) {
                    tokio::time::sleep(pause.duration()).await;
                }
            }
            Err(StoreError::Trimmed { first }) => {
                log::info!("event=records_gone stream={stream} first={first}");
                feed.at.set(None);
            }
            Err(StoreError::Beyond) => {
                log::info!("event=records_lost stream={stream}");
                feed.at.set(None);
                tokio::time::sleep(MIN_RETRY_PAUSE.duration()).await;
            }
            Err(error) => {
                let mut current = feed.freshness.get();
                if current.lost_since.is_none() {
                    let age_ms = current.age_ms(node.now()).unwrap_or_default();
                    log::warn!(
                        "event=dependency_lost name=store stream={stream} age_ms={age_ms} error={error:?}"
                    );
                    current.lost_since = Some(node.now());
                    feed.freshness.set(current);
                }
                feed.wanted.set(wanted);
                tokio::time::sleep(retry.duration()).await;
                retry = Millis((retry.0 * 2).min(MAX_RETRY_PAUSE.0));
            }
        }
    }
}

/// Returns the time that a read waits for a record. A node whose place depends on it reads more
/// often, because relayed copies are older by a digest's interval.
fn read_wait(node: &Node, stream: Stream) -> Millis {
    if stream == Stream::Document && node.behind.get() {
        return BEHIND_WAIT;
    }
    let peers = node.peers.borrow();
    let mut live = peers.live(node.now());
    if live.any(|peer| peer.digest.place == node.settings.place) {
        RELAYED_WAIT
    } else {
        READ_WAIT
    }
}

/// Keeps registrations that end now if they may have expired in an outage of the store.
fn check_outage(node: &Node, absence: Option<Absence>) {
    let now = node.now();
    let Some(absence) = absence else {
        // Nothing is known that could have expired, or no registration can have.
        return;
    };
    let covered = node
        .timeline
        .borrow()
        .covers(absence, node.bounds.get().heartbeat);
    log::info!(
        "event=store_absence outage={} after_ms={}",
        !covered,
        absence.to.since(absence.from)
    );
    if !covered {
        node.fleet.borrow_mut().store_regained(now);
        node.absence.set(Some(absence));
    }
}

/// Adds the reads that a peer states, and ends what [`check_outage`] began if they show that there
/// was no outage.
pub(crate) fn peer_reads(node: &Node, peer: &NodeName, span: StatedSpan) {
    let now = node.now();
    let heartbeat = node.bounds.get().heartbeat;
    let mut timeline = node.timeline.borrow_mut();
    timeline.add(span.heard(now), heartbeat);
    let Some(absence) = node.absence.get() else {
        return;
    };
    let mut fleet = node.fleet.borrow_mut();
    if fleet.recently_regained(now).is_none() {
        node.absence.set(None);
    } else if timeline.covers(absence, heartbeat) {
        log::info!("event=outage_refuted reader={peer}");
        node.absence.set(None);
        fleet.outage_refuted(now);
    }
}

/// Applies a page that this node has read from `from`, and relays it if others rely on this node.
async fn read_answered(
    node: &Rc<Node>,
    stream: Stream,
    page: Page,
    from: Option<LogOffset>,
    as_of: Millis,
) {
    let feed = node.feed(stream);
    let state = feed.freshness.get();
    if stream == Stream::Endpoints {
        let absence = node.registrations_read();
        if state.lost_since.is_some() {
            check_outage(node, absence);
        }
    }
    if let Some(since) = state.lost_since {
        log::info!(
            "event=dependency_regained name=store stream={stream} after_ms={}",
            node.now().since(since)
        );
    }
    feed.before.set(state.as_of);
    let (end, era) = (page.end, page.era);
    // Records before the current offset came from another reader meanwhile. They are not in what
    // is applied now, so the relayed page must not claim to cover them.
    let from = from.max(from.and(feed.at.get()));
    let records = apply_page(node, stream, page, from.is_none());
    let mut current = feed.freshness.get();
    current.answered(as_of, era::proves(node, stream));
    feed.freshness.set(current);
    if let Some(from) = from
        && node.reader.get()
    {
        let page = RelayedPage {
            documents: stream == Stream::Document,
            from,
            end,
            era,
            records,
            partial: false,
            regained: node.fleet.borrow().recently_regained(node.now()),
        };
        relay::send(node, page, as_of).await;
    }
}

/// Applies a page, except for records that were applied before, and returns the records that
/// mattered.
pub(crate) fn apply_page(
    node: &Rc<Node>,
    stream: Stream,
    mut page: Page,
    is_listing: bool,
) -> Vec<RelayedRecord> {
    let feed = node.feed(stream);
    // A node that has listed the stream before knows more than a restored store.
    let restored =
        is_listing && page.era != feed.era.get() && feed.freshness.get().read_as_of.is_some();
    if is_listing {
        feed.at.set(Some(page.end));
        feed.era.set(page.era);
    } else if let Some(at) = feed.at.get() {
        // A page of a peer may have arrived while this node's own read was in flight.
        page.records.retain(|record| record.offset >= at);
        feed.at.set(Some(page.end.max(at)));
    }
    match stream {
        Stream::Document => {
            if is_listing {
                node.stored_revision.set(Revision::default());
            }
            apply_documents(node, &page)
        }
        _ => apply_registrations(node, page, is_listing, restored),
    }
}

/// Follows the operator's documents; does not return.
pub(crate) async fn documents(node: Rc<Node>) {
    follow(node, Stream::Document, |_| Millis(0)).await;
}

fn apply_documents(node: &Node, page: &Page) -> Vec<RelayedRecord> {
    let orders = page.records.iter();
    let orders = orders.filter(|record| rollout::apply_order(node, record));
    let mut relayed: Vec<RelayedRecord> = orders.filter_map(RelayedRecord::from_record).collect();
    let key = node.platform.codec.document_key();
    let documents = page.records.iter().rev();
    let documents = documents.filter(|record| record.key.as_deref() == Some(key));
    // Only the newest document matters, and decoding one takes a while. After a loss of the store,
    // older ones may be written again behind it.
    let count = if page.era.is_unknown() { 1 } else { usize::MAX };
    for record in documents.take(count) {
        apply_document(node, record);
        relayed.extend(RelayedRecord::from_record(record));
    }
    relayed.sort_by_key(|record| record.offset);
    relayed
}

fn apply_document(node: &Node, record: &Record) {
    let Some(value) = &record.value else {
        log::error!("event=document_removed offset={}", record.offset);
        return;
    };
    match node.platform.codec.decode_document(value) {
        Ok(document) => {
            let stored = node.stored_revision.get().max(document.revision);
            node.stored_revision.set(stored);
            node.apply_document(document, "store");
        }
        Err(error) => log::error!(
            "event=document_unreadable offset={} error={error:?}",
            record.offset
        ),
    }
}

/// Follows the registrations of endpoints; does not return.
pub(crate) async fn endpoints(node: Rc<Node>) {
    follow(node, Stream::Endpoints, |node| {
        let now = node.now();
        let peers = node.peers.borrow();
        let readers = peers.live(now).filter(|peer| peer.extension.reader).count() + 1;
        read_pause(readers, node.bounds.get().drain)
    })
    .await;
}

fn apply_registrations(
    node: &Rc<Node>,
    page: Page,
    is_listing: bool,
    restored: bool,
) -> Vec<RelayedRecord> {
    let now = node.now();
    let codec = &node.platform.codec;
    let mut listed = Vec::new();
    let mut changes = Vec::new();
    let mut relayed = Vec::new();
    for record in page.records {
        let Some(key) = &record.key else { continue };
        let value = record.value.as_ref();
        let mut fleet = node.fleet.borrow_mut();
        let version = fleet.version();
        let change = match value.map(|value| codec.decode_endpoint(key, value, now)) {
            Some(Ok(endpoint)) if is_listing => {
                listed.push(endpoint);
                continue;
            }
            Some(Ok(endpoint)) => fleet.register(endpoint),
            Some(Err(error)) => {
                log::debug!(
                    "event=registration_unreadable key={key} offset={} error={error:?}",
                    record.offset
                );
                continue;
            }
            None => fleet.unregister(&key.as_str().into(), now),
        };
        if change != Change::None || fleet.version() != version {
            relayed.extend(RelayedRecord::from_record(&record));
        }
        changes.push(change);
    }
    let mut fleet = node.fleet.borrow_mut();
    if restored {
        node.absence.set(None);
        changes.extend(fleet.apply_restored(listed, now));
    } else if is_listing {
        changes.extend(fleet.apply_listing(listed, now));
    }
    changes.extend(fleet.remove_expired(now));
    let mut draining = Vec::new();
    for change in &changes {
        log_change(change);
        match change {
            Change::New(name) => crate::crash::endpoint_restarted(node, name),
            Change::Gone(name) => crate::crash::endpoint_lost(node, name),
            Change::Draining(name) => draining.push(name.clone()),
            _ => {}
        }
    }
    if changes.iter().any(|change| *change != Change::None) {
        node.selector.borrow_mut().trim(&fleet);
        node.limits.borrow_mut().trim(&fleet, now);
        node.idle_connections
            .borrow_mut()
            .retain(|name, _| fleet.get(name).is_some());
    }
    drop(fleet);
    for name in draining {
        leaving::close_idle(node, &name);
    }
    relayed
}

fn log_change(change: &Change) {
    match change {
        Change::None => {}
        Change::New(name) => log::info!("event=endpoint endpoint={name} state=new"),
        Change::Draining(name) => log::info!("event=endpoint endpoint={name} state=draining"),
        Change::Gone(name) => log::info!("event=endpoint endpoint={name} state=gone"),
        Change::Lapsed(name) => log::info!("event=endpoint endpoint={name} state=lapsed"),
        Change::Returned(name) => log::info!("event=endpoint endpoint={name} state=returned"),
    }
}
