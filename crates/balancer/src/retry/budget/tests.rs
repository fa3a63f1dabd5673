use super::*;

fn budget_after(requests: usize) -> RetryBudget {
    let mut budget = RetryBudget::default();
    for _ in 0..requests {
        budget.deposit();
    }
    budget
}

/// Withdraws retries until none is available; returns how many were available.
fn retries_left(mut budget: RetryBudget) -> usize {
    let mut retries = 0;
    while budget.is_available() {
        budget.withdraw();
        retries += 1;
    }
    retries
}

#[test]
fn five_requests_add_the_tokens_of_one_retry() {
    assert_eq!(retries_left(budget_after(4)), 0);
    assert_eq!(retries_left(budget_after(5)), 1);
    assert_eq!(retries_left(budget_after(51)), 10);
}

#[test]
fn the_budget_holds_at_most_twenty_retries() {
    assert_eq!(retries_left(budget_after(100_000)), 20);
}
