//! The queue and the running requests of one service.

use cumin_types::{Millis, Organisation, Service};

use crate::fair::{FairQueue, Queueable};
use crate::{AdmissionRequest, Capacity};

impl Queueable for AdmissionRequest {
    fn org(&self) -> &Organisation {
        &self.org
    }

    fn rank(&self) -> usize {
        self.priority as usize
    }

    fn work(&self) -> u64 {
        self.estimated_tokens.0
    }

    fn duration(&self) -> Millis {
        self.estimated_duration
    }

    fn deadline(&self) -> Millis {
        self.deadline
    }
}

/// Number of priorities.
const PRIORITIES: usize = 3;

#[derive(Debug)]
pub(crate) struct ServiceQueue {
    pub service: Service,
    capacity: Capacity,
    pub running: usize,
    /// Queued requests; their work is counted in tokens.
    pub queue: FairQueue<AdmissionRequest, PRIORITIES>,
}

impl ServiceQueue {
    pub fn new(service: Service, fairness_credit: Millis) -> Self {
        Self {
            service,
            capacity: Capacity::default(),
            running: 0,
            queue: FairQueue::new(fairness_credit),
        }
    }

    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.queue.rate = capacity.token_rate;
        self.capacity = capacity;
    }

    pub fn has_slot(&self) -> bool {
        self.running < self.capacity.slots
    }
}
