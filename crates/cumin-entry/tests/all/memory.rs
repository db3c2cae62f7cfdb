//! The budget of bytes that are held for callers.

use cumin_entry::memory::{MemoryBudget, MemoryOptions, Shortage};
use cumin_types::Organisation;

const BODY: usize = 4 << 20;

fn budget(memory_mb: u64) -> MemoryBudget {
    MemoryBudget::new(&MemoryOptions {
        memory_mb,
        ..MemoryOptions::default()
    })
}

/// Takes bodies of one organisation until one is refused; returns their number and the reason.
fn fill(budget: &mut MemoryBudget, org: &Organisation, bytes: usize) -> (usize, Shortage) {
    let mut count = 0;
    loop {
        match budget.take(org, 0, bytes) {
            Ok(()) => count += 1,
            Err(shortage) => return (count, shortage),
        }
    }
}

/// Whatever is taken for new requests, the process stays below 0.9 of its memory, and the smallest
/// one still accepts a body.
#[test]
fn within_memory() {
    let options = MemoryOptions::default();
    for memory_mb in [64, 260, 300, 390, 520] {
        let mut budget = budget(memory_mb as u64);
        let org = Organisation::from("a");
        let (count, shortage) = fill(&mut budget, &org, BODY);
        assert!(count >= 1, "{memory_mb} MB");
        assert_eq!(shortage, Shortage::NoRoom);
        let resident = options.fixed_bytes + budget.held() * 3 / 2;
        assert!(resident * 10 < (memory_mb * 9) << 20, "{memory_mb} MB");
    }
}

/// A length of 2^63 is refused at once and takes nothing.
#[test]
fn huge_length() {
    let mut budget = budget(260);
    let org = Organisation::from("a");
    for bytes in [1 << 63, usize::MAX] {
        assert_eq!(budget.take(&org, 1, bytes), Err(Shortage::TooLarge));
    }
    assert_eq!(budget.held(), 0);
}

/// Small requests of one organisation are accepted although large ones of another take all that
/// they can.
#[test]
fn small_beside_large() {
    let mut budget = budget(260);
    let (large, small) = (Organisation::from("large"), Organisation::from("small"));
    fill(&mut budget, &large, BODY);
    for _ in 0..100 {
        assert_eq!(budget.take(&small, 0, 1000), Ok(()));
    }
}

/// An organisation that took everything first gets no more while another one waits, until both
/// hold their share.
#[test]
fn fair_share() {
    let mut budget = budget(260);
    let (first, second) = (Organisation::from("first"), Organisation::from("second"));
    let (count, _) = fill(&mut budget, &first, BODY);
    budget.wait_begun(&second);
    let mut moved = 0;
    for _ in 0..count {
        budget.release(&first, BODY);
        if budget.take(&first, 0, BODY) == Ok(()) {
            break;
        }
        moved += usize::from(budget.take(&second, 0, BODY) == Ok(()));
    }
    assert!(moved.abs_diff(count / 2) <= 1, "{moved} of {count}");
    budget.wait_ended(&second);
}

/// What was passed on is never refused, and new requests wait until there is room again.
#[test]
fn passed_on() {
    let mut budget = budget(260);
    let org = Organisation::from("a");
    let total = budget.total();
    budget.hold(&org, total + 1);
    assert_eq!(budget.take(&org, 0, 1), Err(Shortage::NoRoom));
    budget.release(&org, total + 1);
    assert_eq!(budget.take(&org, 0, 1), Ok(()));
}
