//! Tracks the tasks of a node, so that stopping or crashing it aborts all of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;

use tokio::task::{AbortHandle, JoinHandle};

/// The set of running tasks; clones share it.
#[derive(Clone, Default)]
pub(crate) struct Tasks {
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    next_id: Cell<u64>,
    running: RefCell<HashMap<u64, AbortHandle>>,
    aborted: Cell<bool>,
}

impl Tasks {
    /// Spawns a local task that [`Tasks::abort`] ends.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) -> JoinHandle<()> {
        let id = self.shared.next_id.replace(self.shared.next_id.get() + 1);
        let shared = Rc::clone(&self.shared);
        let handle = actix_rt::spawn(async move {
            task.await;
            shared.running.borrow_mut().remove(&id);
        });
        if self.shared.aborted.get() {
            handle.abort();
        } else {
            self.shared
                .running
                .borrow_mut()
                .insert(id, handle.abort_handle());
        }
        handle
    }

    /// Aborts all tasks, and every task that is spawned later.
    pub(crate) fn abort(&self) {
        self.shared.aborted.set(true);
        for (_, task) in self.shared.running.borrow_mut().drain() {
            task.abort();
        }
    }
}
