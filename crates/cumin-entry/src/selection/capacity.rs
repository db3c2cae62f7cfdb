//! Free slots of endpoints, and the work of a request, for requests that wait.

use cumin_types::{Millis, Service};

use super::{Need, Selector, to_millis, tokens};
use crate::fleet::{Endpoint, Fleet};
use crate::waiting::Capacity;

impl Selector {
    /// Returns the slots of an endpoint that no request of any node uses, as far as digests show.
    pub(super) fn free_slots(&self, endpoint: &Endpoint, now: Millis) -> f64 {
        let load = self.loads.get(&endpoint.name);
        let running = load.map_or(0.0, |load| load.total(now).0);
        (f64::from(endpoint.slots) - running).max(0.0)
    }

    /// Returns the slots of a service at the endpoints that accept work.
    #[must_use]
    pub fn capacity(&self, fleet: &Fleet, service: &Service, now: Millis) -> Capacity {
        let usable = fleet.usable(service, now);
        let open = usable.filter(|endpoint| {
            !self.cooling_down(&endpoint.name, now) && !fleet.is_leaving(endpoint)
        });
        open.fold(Capacity::default(), |sum, endpoint| Capacity {
            slots: sum.slots + f64::from(endpoint.slots),
            free: sum.free + self.free_slots(endpoint, now),
        })
    }

    /// Returns the estimated time to the first event at an engine with a free slot, with half of the
    /// prompt cached, and the time in microseconds for which the request occupies the slot.
    #[must_use]
    pub fn expected_work(&self, service: &Service, need: &Need, slots: f64) -> (Millis, u64) {
        let model = self.model(service);
        let uncached = tokens(need.prompt_tokens) / 2.0;
        let first_ms = model.first_event_ms(uncached, 0.0, slots);
        let step_ms = model.step_ms + model.request_ms * slots;
        let whole_ms = first_ms + tokens(need.output_tokens) * step_ms;
        (to_millis(first_ms), to_millis(whole_ms * 1000.0).0)
    }
}
