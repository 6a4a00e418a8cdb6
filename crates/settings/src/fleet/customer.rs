//! Customers and the checks of their rate limits.

use std::collections::BTreeMap;

use super::check;
use crate::issue::Issue;
use crate::place::path_to;
use crate::raw;

/// Index of a customer in its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerKey(pub(super) u32);

impl CustomerKey {
    pub(super) const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A customer and its rate limit.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name, unique within the fleet.
    pub name: String,
    /// Rate limit in tokens per second, summed over all hosts.
    pub rate: u64,
    /// Burst size in tokens, summed over all hosts.
    pub burst: u64,
    /// Weight in the admission queue, relative to other customers.
    pub weight: u32,
}

/// Lifetime of a grant in milliseconds (design, section 5.2).
const GRANT_LIFETIME_MS: u64 = 500;

/// Smallest rate that a floor (one seat's share of a customer's rate) can count, in thousandths of
/// a token per second.
const MIN_FLOOR_MILLITOKENS_PER_S: u64 = 1;

pub(super) fn check(
    customers: BTreeMap<String, raw::Customer>,
    quota: &raw::Quota,
    issues: &mut Vec<Issue>,
) -> Vec<Customer> {
    let mut checked = Vec::new();
    for (name, customer) in customers {
        check::name("customers", &name, "", issues);
        let raw::Customer {
            rate,
            burst,
            weight,
        } = customer;
        let customer = Customer {
            name,
            rate,
            burst,
            weight,
        };
        check_numbers(&customer, issues);
        check_floor(&customer, quota, issues);
        checked.push(customer);
    }
    checked
}

fn check_numbers(customer: &Customer, issues: &mut Vec<Issue>) {
    let path = path_to!["customers", customer.name.as_str()];
    let tokens = 1..=raw::Customer::MAX_TOKENS;
    check::bounds(
        path.join("rate"),
        customer.rate,
        tokens.clone(),
        "tokens/s",
        issues,
    );
    check::bounds(path.join("burst"), customer.burst, tokens, "tokens", issues);
    let weights = 1..=raw::Customer::MAX_WEIGHT;
    check::bounds(path.join("weight"), customer.weight, weights, "", issues);
    // The pool's cap is burst − rate × grant lifetime. With a burst below twice that product, the
    // cap would be less than the refill of one grant lifetime.
    let minimum = customer.rate.saturating_mul(2 * GRANT_LIFETIME_MS) / 1_000;
    if customer.burst > 0 && customer.burst < minimum {
        let message = format!(
            "burst of {} tokens is below 2 × rate × 0.5 s",
            customer.burst
        );
        issues.push(
            Issue::new(path.join("burst"), message)
                .hint(format!("raise it to at least {minimum}, or lower the rate"))
                .requires(path.join("rate")),
        );
    }
}

/// Reports a customer whose floor rounds down to zero: each seat's share of the floor percentage of
/// the rate or burst.
fn check_floor(customer: &Customer, quota: &raw::Quota, issues: &mut Vec<Issue>) {
    if customer.rate == 0 || customer.burst == 0 || quota.floor_percent == 0 {
        return;
    }
    let path = path_to!["customers", customer.name.as_str()];
    let divisor = 100 * u64::from(quota.seats());
    let percent = u64::from(quota.floor_percent);
    let millitokens_per_s = customer.rate.saturating_mul(1_000 * percent) / divisor;
    let burst = customer.burst.saturating_mul(percent) / divisor;
    let (field, minimum) = if burst == 0 {
        ("burst", divisor.div_ceil(percent))
    } else if millitokens_per_s < MIN_FLOOR_MILLITOKENS_PER_S {
        ("rate", divisor.div_ceil(percent * 1_000))
    } else {
        return;
    };
    let message = format!(
        "floor share of the {field} is nothing: {percent} % over {} seats",
        quota.seats()
    );
    issues.push(
        Issue::new(path.join(field), message)
            .hint(format!("raise the {field} to at least {minimum}"))
            .requires_subtree(path_to!["quota"]),
    );
}
