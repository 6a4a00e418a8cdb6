//! Retry budgets of the gateway.

use std::sync::Mutex;

use berylknot_coordination::retry;

/// Requests that are counted in advance, so that a gateway that has just started may retry. They
/// save up as many retries as a budget holds.
const HEAD_START: u32 = 100;

/// Retry budget that all threads share.
#[derive(Debug)]
pub(crate) struct Budget(Mutex<retry::Budget>);

impl Budget {
    fn new() -> Self {
        let mut budget = retry::Budget::default();
        for _ in 0..HEAD_START {
            budget.record_request();
        }
        Self(Mutex::new(budget))
    }

    /// Counts a request that is no retry.
    pub(crate) fn request(&self) {
        if let Ok(mut budget) = self.0.lock() {
            budget.record_request();
        }
    }

    /// Takes a retry after an endpoint failed; false when none is left.
    pub(crate) fn retry(&self) -> bool {
        let budget = self.0.lock();
        budget.is_ok_and(|mut budget| budget.try_retry(retry::Reason::EndpointFailed))
    }
}

/// Budgets by kind of work, so that a failing engine takes no retries from plain services.
#[derive(Debug)]
pub(crate) struct Budgets {
    pub(crate) model: Budget,
    pub(crate) service: Budget,
}

impl Budgets {
    /// Makes full budgets.
    pub(crate) fn new() -> Self {
        Self {
            model: Budget::new(),
            service: Budget::new(),
        }
    }
}
