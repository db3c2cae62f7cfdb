//! The schedule of calls.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Description of what `--mix` accepts.
pub(super) const ACCEPTED_MIX: &str =
    "weights such as chat=5,lookup=3, of chat, review, check, lookup and action";

/// Kind of a call.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Short prompt, 60 tokens, streamed.
    #[display("chat")]
    Chat,
    /// Prompt of 600 words, 200 tokens, streamed.
    #[display("review")]
    Review,
    /// Short prompt, 20 tokens, streamed.
    #[display("check")]
    Check,
    /// Idempotent call of a plain service.
    #[display("lookup")]
    Lookup,
    /// Non-idempotent call of a plain service.
    #[display("action")]
    Action,
}

const KINDS: [Kind; 5] = [
    Kind::Chat,
    Kind::Review,
    Kind::Check,
    Kind::Lookup,
    Kind::Action,
];

/// Weights of the kinds of calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Mix(pub BTreeMap<Kind, u32>);

impl Default for Mix {
    fn default() -> Self {
        Self(KINDS.into_iter().zip([5, 1, 2, 3, 1]).collect())
    }
}

impl FromStr for Mix {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut mix = BTreeMap::new();
        for part in text.split(',') {
            let (name, weight) = part.split_once('=').ok_or(())?;
            let kind = KINDS.into_iter().find(|kind| kind.to_string() == name);
            let weight = weight.parse().ok().filter(|weight| *weight <= 1000);
            if mix.insert(kind.ok_or(())?, weight.ok_or(())?).is_some() {
                return Err(());
            }
        }
        if mix.values().sum::<u32>() == 0 {
            return Err(());
        }
        Ok(Self(mix))
    }
}

impl Mix {
    /// Draws a kind by weight.
    fn sample(&self, rng: &mut impl Rng) -> Kind {
        let mut remaining = rng.random_range(0..self.0.values().sum::<u32>());
        for (kind, weight) in &self.0 {
            if remaining < *weight {
                return *kind;
            }
            remaining -= weight;
        }
        unreachable!("the number is below the sum of the weights")
    }
}

/// A scheduled call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time from the start of the run at which the call is due.
    pub at: Duration,
    /// Kind of the call.
    pub kind: Kind,
}

/// Draws the arrivals of a run, with exponential times between them and kinds by weight.
#[must_use]
pub fn arrivals(seed: u64, rate: f64, seconds: u64, mix: &Mix) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0.0;
    let end = Duration::from_secs(seconds).as_secs_f64();
    let mut arrivals = Vec::new();
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        if at >= end {
            return arrivals;
        }
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            kind: mix.sample(&mut rng),
        });
    }
}
