//! Claims of non-idempotent calls, kept in the platform's log.

use std::rc::Rc;

use cumin_request::Finish;
use cumin_types::Outcome;
use uuid::Uuid;

use crate::node::Ctx;
use crate::request::Live;

/// Answer to a claim.
pub(crate) enum Claimed {
    /// This request may be dispatched, once.
    Granted,
    /// It may not; this is its answer.
    Ended(Finish),
}

/// Claims through this node.
#[derive(Default)]
pub(crate) struct Records {}

impl Records {
    /// Claims the right to the one dispatch of `key`.
    #[allow(clippy::unused_async, clippy::unused_self)]
    pub(crate) async fn claim(&self, _ctx: &Rc<Ctx>, _live: &Rc<Live>, _key: Uuid) -> Claimed {
        Claimed::Ended(Finish::without(Outcome::NotRun, "log_unavailable"))
    }

    /// Records how the call ended.
    #[allow(clippy::unused_self)]
    pub(crate) fn settle(&self, _ctx: &Rc<Ctx>, _live: &Rc<Live>, _key: Uuid) {}
}
