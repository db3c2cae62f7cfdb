//! Retry budget of a service.

use cumin_entry::retry::{BudgetOptions, RetryBudget};
use cumin_types::Millis;

/// A budget that was used up is whole again after its window, without any request meanwhile.
#[test]
fn used_up() {
    for nodes in [1, 12, 26] {
        let options = BudgetOptions::default();
        let mut budget = RetryBudget::new(options.clone());
        let whole = budget.remaining(nodes, Millis(0));
        for step in 0..300 {
            let now = Millis(step * 100);
            budget.count_first(now);
            while budget.try_take(nodes, now) {}
        }
        let last = Millis(29_900);
        assert!(budget.remaining(nodes, last) < 1.0);
        let later = last.plus(options.window.0 + 1);
        let remaining = budget.remaining(nodes, later);
        assert!((remaining - whole).abs() < 1e-9, "{remaining} of {whole}");
    }
}
