//! Logs decisions with their reasons and keeps the latest ones in memory for `explain`.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt::Display;

use cumin_types::WallMillis;
use serde::{Deserialize, Serialize};

use crate::clock::wall;

/// Number of decisions that are kept.
const MAX_DECISIONS: usize = 20_000;

/// A decision and its reasons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Time of the decision.
    pub at: WallMillis,
    /// The request, endpoint, instance or node that the decision is about.
    pub subject: String,
    /// Kind of decision, such as `route` or `second`.
    pub kind: String,
    /// Inputs and alternatives, as `key=value` pairs.
    pub reasons: String,
}

/// The latest decisions of this node.
#[derive(Default)]
pub(crate) struct Decisions {
    kept: RefCell<VecDeque<Decision>>,
}

impl Decisions {
    /// Logs a decision and keeps it; the oldest one is dropped when the limit is reached.
    pub(crate) fn record(&self, kind: &str, subject: &impl Display, reasons: &impl Display) {
        let decision = Decision {
            at: wall(),
            subject: subject.to_string(),
            kind: kind.into(),
            reasons: reasons.to_string(),
        };
        // The decision types of the other crates print their own `decision=` key.
        let prefix = if decision.reasons.starts_with("decision=") {
            ""
        } else {
            &format!("decision={kind} ")
        };
        log::info!(target: "decision", "{prefix}subject={subject} {reasons}");
        let mut kept = self.kept.borrow_mut();
        if kept.len() == MAX_DECISIONS {
            kept.pop_front();
        }
        kept.push_back(decision);
    }

    /// Returns the decisions about `subject`, oldest first.
    pub(crate) fn about(&self, subject: &str) -> Vec<Decision> {
        let kept = self.kept.borrow();
        kept.iter()
            .filter(|decision| decision.subject == subject)
            .cloned()
            .collect()
    }
}
