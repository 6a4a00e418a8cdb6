//! Retry budgets of the gateway.

use std::sync::Mutex;

use berylknot_coordination::retry;

/// Requests credited at start, so that a gateway can retry before it has served any. They fill the
/// budget to its cap.
const INITIAL_REQUESTS: u32 = 100;

/// Retry budget shared by all threads.
#[derive(Debug)]
pub(crate) struct Budget(Mutex<retry::Budget>);

impl Budget {
    fn new() -> Self {
        let mut budget = retry::Budget::default();
        for _ in 0..INITIAL_REQUESTS {
            budget.record_request();
        }
        Self(Mutex::new(budget))
    }

    /// Credits the budget for a first attempt.
    pub(crate) fn record_request(&self) {
        if let Ok(mut budget) = self.0.lock() {
            budget.record_request();
        }
    }

    /// Spends a retry after an endpoint failure; false when the budget is exhausted.
    pub(crate) fn try_retry(&self) -> bool {
        let budget = self.0.lock();
        budget.is_ok_and(|mut budget| budget.try_retry(retry::Reason::EndpointFailed))
    }
}

/// Separate budgets for models and plain services, so that failing engines do not use up the
/// retries of services.
#[derive(Debug)]
pub(crate) struct Budgets {
    pub(crate) model: Budget,
    pub(crate) service: Budget,
}

impl Budgets {
    /// Creates budgets that are filled to the cap.
    pub(crate) fn new() -> Self {
        Self {
            model: Budget::new(),
            service: Budget::new(),
        }
    }
}
