//! What the head of an endpoint's answer states about further requests.

use crate::{Millis, WallMillis};

/// What the head of an answer states about the endpoint's leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AnswerLeaving {
    /// The endpoint does not leave.
    #[default]
    No,
    /// The endpoint leaves.
    Leaves,
    /// The statement can't be read; contains the beginning of its text.
    Unreadable(String),
}

/// The time for which the endpoint of an answer wants no further request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AnswerWait {
    /// The answer states none.
    #[default]
    None,
    /// A time from the arrival of the answer; the maximum if it is longer than can be stated.
    For(Millis),
    /// A time of day.
    Until(WallMillis),
    /// The statement is no time, or not above zero; contains the beginning of its text.
    Unreadable(String),
}
