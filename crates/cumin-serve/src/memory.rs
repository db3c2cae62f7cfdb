//! Takes the bytes of requests and answers from the node's budget.

use std::rc::Rc;

use actix_http::RequestHead;
use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use cumin_entry::memory::Shortage;
use cumin_types::{Millis, Organisation};

use crate::admit::DEFAULT_TIMEOUT;
use crate::node::Node;

/// A request waits for room for this part (1/n) of the time that its caller waits for the answer.
const WAIT_DIVISOR: u64 = 8;

/// Bytes taken from the budget, which are returned when dropped.
pub(crate) struct Held {
    node: Rc<Node>,
    org: Organisation,
    bytes: usize,
}

impl Held {
    /// Takes the bytes of something that was passed on, whether there is room or not.
    pub(crate) fn passed_on(node: &Rc<Node>, org: Option<&Organisation>, bytes: usize) -> Self {
        let org = org.cloned().unwrap_or_else(|| Organisation::from(""));
        node.memory.borrow_mut().hold(&org, bytes);
        Self {
            node: node.clone(),
            org,
            bytes,
        }
    }

    /// Raises what is held to `bytes`, whether there is room or not.
    pub(crate) fn raise(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        self.node.memory.borrow_mut().hold(&self.org, more);
        self.bytes += more;
    }

    /// Raises what is held for a body of a new request to `bytes`, if there is room.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> Result<(), Shortage> {
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 {
            let mut memory = self.node.memory.borrow_mut();
            memory.take(&self.org, self.bytes, more)?;
            self.bytes += more;
        }
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut memory = self.node.memory.borrow_mut();
        memory.release(&self.org, self.bytes);
        drop(memory);
        self.node.memory_notify.notify_waiters();
    }
}

/// Counts a request as waiting for room until dropped.
struct Waiting<'a>(&'a Node, &'a Organisation);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.memory.borrow_mut().wait_ended(self.1);
    }
}

/// Returns the length of a body that its head states; one that can't be represented is the maximum.
pub(crate) fn stated_length(headers: &HeaderMap) -> Option<usize> {
    let length: u64 = headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()?;
    Some(usize::try_from(length).unwrap_or(usize::MAX))
}

/// Takes the bytes of a body before it is read, and waits for a part of the caller's time if there
/// is no room. Meanwhile nothing is read from the caller. Returns also how long it waited.
///
/// # Errors
/// If there is no room in time.
pub(crate) async fn take_body(
    node: &Rc<Node>,
    head: &RequestHead,
    bytes: usize,
) -> Result<(Held, Millis), Shortage> {
    let request = node.platform.dialect.parse_request(head);
    let table = node.table();
    let known = table.as_deref().zip(request.key.as_deref());
    let org = known.and_then(|(table, key)| table.org(key));
    let org = org.map_or_else(|| Organisation::from(""), |org| org.name.clone());
    let mut share = Held {
        node: node.clone(),
        org: org.clone(),
        bytes: 0,
    };
    let shortage = match share.grow_to(bytes) {
        Ok(()) => return Ok((share, Millis(0))),
        Err(Shortage::TooLarge) => return Err(Shortage::TooLarge),
        Err(shortage) => shortage,
    };
    node.memory.borrow_mut().wait_begun(&org);
    let _waiting = Waiting(node, &org);
    let limit = Millis(request.timeout.unwrap_or(DEFAULT_TIMEOUT).0 / WAIT_DIVISOR);
    let since = node.now();
    let room = async {
        loop {
            let released = node.memory_notify.notified();
            if share.grow_to(bytes).is_ok() {
                return share;
            }
            released.await;
        }
    };
    let room = tokio::time::timeout(limit.duration(), room).await;
    let share = room.map_err(|_| shortage)?;
    Ok((share, Millis(node.now().since(since))))
}
