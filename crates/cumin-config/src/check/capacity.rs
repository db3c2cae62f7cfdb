//! Checks of quotas against the capacity and of the budget against prices.

use cumin_types::{Class, Place};

use super::Checker;
use crate::document::Quota;

impl Checker<'_> {
    /// Checks quotas against the limits, and both against the capacity of the target workers.
    pub(super) fn check_capacity(&mut self) {
        let doc = self.doc;
        let mut requests = 0_u64;
        let mut tokens = 0_u64;
        for spec in doc.services.values() {
            let count = spec.worker_count();
            requests = requests.saturating_add(count * u64::from(spec.worker.concurrent_requests));
            let rate = spec.worker.tokens_per_second.unwrap_or(0);
            tokens = tokens.saturating_add(count.saturating_mul(rate).saturating_mul(60));
        }
        self.check_quota(&["limits"], &doc.limits, None, requests, tokens);
        for (org, spec) in &doc.organisations {
            let path = ["organisations", org.as_str(), "quota"];
            self.check_quota(&path, &spec.quota, Some(&doc.limits), requests, tokens);
        }
    }

    fn check_quota(
        &mut self,
        at: &[&str],
        quota: &Quota,
        limits: Option<&Quota>,
        requests: u64,
        tokens: u64,
    ) {
        let services: &[&str] = &["services"];
        let sum = "the sum that the workers of all services hold";
        for (key, value, most) in [
            (
                "concurrent_requests",
                u64::from(quota.concurrent_requests),
                requests,
            ),
            ("tokens_per_minute", quota.tokens_per_minute.0, tokens),
        ] {
            if value > most {
                let path = [at, &[key]].concat();
                self.report(
                    &path,
                    &[services],
                    value.to_string(),
                    format!("at most {most}, {sum}"),
                );
            }
        }
        let Some(limits) = limits else { return };
        let whole = |count: u32| f64::from(count);
        // Token rates are far below 2^53, up to which an `f64` represents integers exactly.
        #[allow(clippy::cast_precision_loss)]
        let rate = |quota: &Quota| quota.tokens_per_minute.0 as f64;
        for (key, value, most) in [
            (
                "requests_per_second",
                quota.requests_per_second,
                limits.requests_per_second,
            ),
            (
                "concurrent_requests",
                whole(quota.concurrent_requests),
                whole(limits.concurrent_requests),
            ),
            ("tokens_per_minute", rate(quota), rate(limits)),
        ] {
            if value > most {
                let path = [at, &[key]].concat();
                let cause: &[&str] = &["limits", key];
                self.report(
                    &path,
                    &[cause],
                    value.to_string(),
                    format!("at most {most}, as in `limits`"),
                );
            }
        }
    }

    /// Checks that the budget covers the target instances at the lowest prices.
    pub(super) fn check_budget(&mut self) {
        let doc = self.doc;
        let entry = doc.entry.nodes.iter().map(|(place, &count)| {
            f64::from(count) * self.cheapest(place, |class| *class == doc.entry.class)
        });
        let workers = doc.services.values().flat_map(|spec| {
            spec.workers.iter().map(|(place, &count)| {
                f64::from(count) * self.cheapest(place, |class| spec.classes.contains(class))
            })
        });
        let least: f64 = entry.chain(workers).sum();
        let given = doc.budget.per_hour.0;
        if given < least {
            let causes: [&[&str]; 3] = [&["offers"], &["services"], &["entry"]];
            let accepted =
                format!("at least {least:.2}, the lowest price of all entry instances and workers");
            self.report(
                &["budget", "per_hour"],
                &causes,
                given.to_string(),
                accepted,
            );
        }
    }

    /// Returns the lowest price at `place`, or 0 without an offer, which another check reports.
    fn cheapest(&self, place: &Place, class: impl Fn(&Class) -> bool) -> f64 {
        let offers = self.doc.offers.values();
        let prices = offers.filter(|offer| offer.place == *place && class(&offer.class));
        let least = prices
            .map(|offer| offer.price_per_hour.0)
            .fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }
}
