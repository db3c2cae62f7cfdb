//! Readers of the store: the operator's documents and the registrations of endpoints.
//!
//! A read proves what the store held when the read was sent, so ages count from there. A read
//! that waited in vain proves it for the end of its wait: a record would have ended it.

use std::cell::Cell;
use std::rc::Rc;

use cumin_entry::fleet::{Change, read_pause};
use cumin_entry::platform::{Page, Record, StoreError, Stream};
use cumin_types::{LogOffset, Millis};

use crate::metrics::StoreCall;
use crate::node::{Node, Proof};

/// Time that a read of documents waits for one. It stays below the bound within which a document
/// must be in force, and well below the one within which a removed key must stop to work.
const DOCUMENT_WAIT: Millis = Millis(1800);

/// Time that a read of registrations waits for one. With the time for an answer it stays below
/// the time within which a node that can reach the store again must follow it.
const REGISTRY_WAIT: Millis = Millis(1800);

/// Pause after a failed read; doubles up to the longest.
const RETRY_FIRST: Millis = Millis(50);
const RETRY_LONGEST: Millis = Millis(400);

/// Counts a call to the store.
pub(crate) fn count<T>(
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
        Err(StoreError::Lost(_)) => "lost",
        Err(StoreError::Garbled(_)) => "garbled",
    };
    let label = StoreCall {
        stream: stream.to_string(),
        call,
        outcome,
    };
    node.metrics.store.get_or_create(&label).inc();
}

/// Reads a stream from its newest records on, for ever.
async fn follow(
    node: Rc<Node>,
    stream: Stream,
    wait: Millis,
    pause: impl Fn(&Node) -> Millis,
    proof: impl Fn(&Node) -> &Cell<Proof>,
    mut take: impl FnMut(&Node, Page, bool),
) {
    let mut from: Option<LogOffset> = None;
    let mut retry = RETRY_FIRST;
    loop {
        let sent = node.now();
        let store = &node.platform.store;
        let result = match from {
            None => store.newest(stream).await,
            Some(from) => store.read(stream, from, wait).await,
        };
        let call = if from.is_none() { "newest" } else { "read" };
        count(&node, stream, call, &result);
        let proven = proof(&node);
        match result {
            Ok(page) => {
                let lost = proven.get().lost;
                if let Some(since) = lost {
                    let now = node.now();
                    log::info!(
                        "event=dependency_regained name=store stream={stream} after_ms={}",
                        now.since(since)
                    );
                    if stream == Stream::Endpoints {
                        node.fleet.borrow_mut().store_regained(now);
                    }
                }
                let full = sent.plus(wait.0);
                let vain = from.is_some() && page.records.is_empty() && full <= node.now();
                let at = if vain { full } else { sent };
                let at = proven.get().at.max(Some(at));
                proven.set(Proof { at, lost: None });
                retry = RETRY_FIRST;
                let listed = from.is_none();
                log::debug!(
                    "event=page stream={stream} records={} end={} took_ms={}",
                    page.records.len(),
                    page.end,
                    node.now().since(sent)
                );
                from = Some(page.end);
                take(&node, page, listed);
                let pause = pause(&node);
                if pause > Millis(0) {
                    tokio::time::sleep(pause.duration()).await;
                }
            }
            Err(StoreError::Trimmed { first }) => {
                log::info!("event=records_gone stream={stream} first={first}");
                from = None;
            }
            Err(error) => {
                let mut state = proven.get();
                if state.lost.is_none() {
                    let age = state.age(node.now()).unwrap_or_default();
                    log::warn!(
                        "event=dependency_lost name=store stream={stream} age_ms={age} error={error:?}"
                    );
                    state.lost = Some(node.now());
                    proven.set(state);
                }
                tokio::time::sleep(retry.duration()).await;
                retry = Millis((retry.0 * 2).min(RETRY_LONGEST.0));
            }
        }
    }
}

/// Follows the operator's documents.
pub(crate) async fn documents(node: Rc<Node>) {
    let take = |node: &Node, page: Page, _listed: bool| {
        let codec = &node.platform.codec;
        let key = codec.document_key();
        let ours = |record: &&Record| record.key.as_deref() == Some(key);
        // Only the newest counts, and reading one takes a while.
        let Some(record) = page.records.iter().rev().find(ours) else {
            return;
        };
        let Some(value) = &record.value else {
            log::error!("event=document_removed offset={}", record.offset);
            return;
        };
        match codec.decode_document(value) {
            Ok(document) => node.apply(document, "store"),
            Err(error) => log::error!(
                "event=document_unreadable offset={} error={error:?}",
                record.offset
            ),
        }
    };
    follow(
        node,
        Stream::Document,
        DOCUMENT_WAIT,
        |_| Millis(0),
        |node| &node.document,
        take,
    )
    .await;
}

/// Follows the registrations of endpoints.
pub(crate) async fn endpoints(node: Rc<Node>) {
    let take = |node: &Node, page: Page, listed: bool| {
        let now = node.now();
        let codec = &node.platform.codec;
        let mut seen = Vec::new();
        let mut changes = Vec::new();
        for record in page.records {
            let Some(key) = record.key else { continue };
            match record
                .value
                .map(|value| codec.decode_endpoint(&key, &value, now))
            {
                Some(Ok(endpoint)) if listed => seen.push(endpoint),
                Some(Ok(endpoint)) => changes.push(node.fleet.borrow_mut().register(endpoint)),
                Some(Err(error)) => log::debug!(
                    "event=registration_unreadable key={key} offset={} error={error:?}",
                    record.offset
                ),
                None => {
                    let name = key.as_str().into();
                    changes.push(node.fleet.borrow_mut().unregister(&name, now));
                }
            }
        }
        let mut fleet = node.fleet.borrow_mut();
        if listed {
            changes.extend(fleet.apply_listing(seen, now));
        }
        changes.extend(fleet.remove_expired(now));
        for change in &changes {
            note(change);
            if let Change::New(name) | Change::Gone(name) = change {
                crate::attempt::crashed(node, name);
            }
        }
        if changes.iter().any(|change| *change != Change::None) {
            node.placement.borrow_mut().trim(&fleet);
            node.links
                .borrow_mut()
                .retain(|name, _| fleet.get(name).is_some());
        }
    };
    follow(
        node,
        Stream::Endpoints,
        REGISTRY_WAIT,
        |node| {
            let nodes = node.peers.borrow().live(node.now()).count() + 1;
            read_pause(nodes, node.bounds.get().drain)
        },
        |node| &node.registry,
        take,
    )
    .await;
}

fn note(change: &Change) {
    match change {
        Change::None => {}
        Change::New(name) => log::info!("event=endpoint endpoint={name} state=new"),
        Change::Draining(name) => log::info!("event=endpoint endpoint={name} state=draining"),
        Change::Gone(name) => log::info!("event=endpoint endpoint={name} state=gone"),
        Change::Lapsed(name) => log::info!("event=endpoint endpoint={name} state=lapsed"),
        Change::Returned(name) => log::info!("event=endpoint endpoint={name} state=returned"),
    }
}
