//! Readers of the store: the operator's documents and the registrations of endpoints.
//!
//! A read shows what the store held when the read was sent, so ages count from that time. A read
//! whose full wait passed without a record shows it for the end of the wait, since a record would
//! have ended it earlier.

use std::cell::Cell;
use std::rc::Rc;

use cumin_entry::fleet::{Change, read_pause};
use cumin_entry::platform::{Page, Record, StoreError, Stream};
use cumin_types::{LogOffset, Millis};

use crate::metrics::StoreCallLabels;
use crate::node::{Freshness, Node};

/// Time that a read of documents waits for a record. It is below the bound within which a document
/// must be in force, and well below the bound after which a removed key must be refused.
const DOCUMENT_WAIT: Millis = Millis(1800);

/// Time that a read of registrations waits for a record. Together with the time for an answer it is
/// below the time within which a node must catch up once it can reach the store again.
const REGISTRY_WAIT: Millis = Millis(1800);

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

/// Lists the newest records of a stream, then reads it from there on; does not return.
///
/// `handle_page` is called for each page, with whether the page is a listing.
async fn follow(
    node: Rc<Node>,
    stream: Stream,
    wait: Millis,
    pause: impl Fn(&Node) -> Millis,
    freshness: impl Fn(&Node) -> &Cell<Freshness>,
    mut handle_page: impl FnMut(&Node, Page, bool),
) {
    let mut from: Option<LogOffset> = None;
    let mut retry = MIN_RETRY_PAUSE;
    loop {
        let sent = node.now();
        let store = &node.platform.store;
        let result = match from {
            None => store.newest(stream).await,
            Some(from) => store.read(stream, from, wait).await,
        };
        let call = if from.is_none() { "newest" } else { "read" };
        count_call(&node, stream, call, &result);
        let state = freshness(&node);
        match result {
            Ok(page) => {
                let lost_since = state.get().lost_since;
                if let Some(since) = lost_since {
                    let now = node.now();
                    log::info!(
                        "event=dependency_regained name=store stream={stream} after_ms={}",
                        now.since(since)
                    );
                    if stream == Stream::Endpoints {
                        node.fleet.borrow_mut().store_regained(now);
                    }
                }
                let wait_end = sent.plus(wait.0);
                let timed_out = from.is_some() && page.records.is_empty() && wait_end <= node.now();
                let as_of = if timed_out { wait_end } else { sent };
                let as_of = state.get().as_of.max(Some(as_of));
                state.set(Freshness {
                    as_of,
                    lost_since: None,
                });
                retry = MIN_RETRY_PAUSE;
                let is_listing = from.is_none();
                log::debug!(
                    "event=page stream={stream} records={} end={} took_ms={}",
                    page.records.len(),
                    page.end,
                    node.now().since(sent)
                );
                from = Some(page.end);
                handle_page(&node, page, is_listing);
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
                let mut current = state.get();
                if current.lost_since.is_none() {
                    let age_ms = current.age_ms(node.now()).unwrap_or_default();
                    log::warn!(
                        "event=dependency_lost name=store stream={stream} age_ms={age_ms} error={error:?}"
                    );
                    current.lost_since = Some(node.now());
                    state.set(current);
                }
                tokio::time::sleep(retry.duration()).await;
                retry = Millis((retry.0 * 2).min(MAX_RETRY_PAUSE.0));
            }
        }
    }
}

/// Follows the operator's documents; does not return.
pub(crate) async fn documents(node: Rc<Node>) {
    let handle_page = |node: &Node, page: Page, _is_listing: bool| {
        let codec = &node.platform.codec;
        let key = codec.document_key();
        let is_document = |record: &&Record| record.key.as_deref() == Some(key);
        // Only the newest document matters, and decoding one takes a while.
        let Some(record) = page.records.iter().rev().find(is_document) else {
            return;
        };
        let Some(value) = &record.value else {
            log::error!("event=document_removed offset={}", record.offset);
            return;
        };
        match codec.decode_document(value) {
            Ok(document) => node.apply_document(document, "store"),
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
        |node| &node.document_freshness,
        handle_page,
    )
    .await;
}

/// Follows the registrations of endpoints; does not return.
pub(crate) async fn endpoints(node: Rc<Node>) {
    let handle_page = |node: &Node, page: Page, is_listing: bool| {
        let now = node.now();
        let codec = &node.platform.codec;
        let mut listed = Vec::new();
        let mut changes = Vec::new();
        for record in page.records {
            let Some(key) = record.key else { continue };
            match record
                .value
                .map(|value| codec.decode_endpoint(&key, &value, now))
            {
                Some(Ok(endpoint)) if is_listing => listed.push(endpoint),
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
        if is_listing {
            changes.extend(fleet.apply_listing(listed, now));
        }
        changes.extend(fleet.remove_expired(now));
        for change in &changes {
            log_change(change);
            if let Change::New(name) | Change::Gone(name) = change {
                crate::attempt::endpoint_lost(node, name);
            }
        }
        if changes.iter().any(|change| *change != Change::None) {
            node.selector.borrow_mut().trim(&fleet);
            node.idle_connections
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
        |node| &node.registry_freshness,
        handle_page,
    )
    .await;
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
