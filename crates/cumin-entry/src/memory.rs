//! Budget of the bytes that a process holds for callers: bodies of requests, and answers that are
//! held until they are complete.
//!
//! Bytes of new requests are taken before they are read. Bytes of requests that were passed on are
//! always taken, so that none of these is cut, and leave less room for new requests. The memory of
//! the process is larger than the sum of these bytes; [`MemoryOptions`] states by how much.

use std::collections::BTreeMap;

use cumin_types::Organisation;

/// How a budget follows from the memory of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryOptions {
    /// Memory of the process in megabytes; it is killed when it uses more.
    pub memory_mb: u64,
    /// Fraction of the memory that may be used.
    pub usable: f64,
    /// Memory without any body, in bytes: code, runtime, connections and views of the fleet.
    pub fixed_bytes: usize,
    /// Resident bytes of a byte that is held: buffers that grow, freed memory that the allocator
    /// keeps.
    pub overhead: f64,
    /// Fraction of the budget that new requests can't take.
    pub reserve: f64,
    /// Fraction of the rest that only small bodies can take.
    pub small_part: f64,
    /// Maximum size of a small body in bytes.
    pub small_bytes: usize,
}

impl Default for MemoryOptions {
    fn default() -> Self {
        Self {
            memory_mb: 256,
            usable: 0.9,
            fixed_bytes: 32 << 20,
            overhead: 1.5,
            reserve: 0.2,
            small_part: 0.2,
            small_bytes: 64 << 10,
        }
    }
}

impl MemoryOptions {
    /// Returns the bytes that may be held.
    ///
    /// Where the memory hardly exceeds the fixed part, this is an eighth of the memory: a process
    /// that accepts no body at all would be of no use.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "sizes in bytes are far below 2^52"
    )]
    pub fn budget_bytes(&self) -> usize {
        let memory = (self.memory_mb << 20) as f64;
        let held = (memory * self.usable - self.fixed_bytes as f64) / self.overhead;
        held.max(memory / 8.0) as usize
    }
}

/// Why bytes were not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// They exceed what a request can ever take.
    TooLarge,
    /// There is no room until other requests end.
    NoRoom,
    /// Over half of the room is taken, the organisation holds its share, and others hold or wait for
    /// bytes.
    Share,
}

/// What an organisation holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Account {
    /// Bytes that are held, those of large bodies included.
    held: usize,
    /// Requests that wait for room.
    waiting: usize,
}

/// Budget of a process.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    total: usize,
    /// Maximum of all bytes when those of a small body are taken.
    small_limit: usize,
    /// Maximum of all bytes when those of a large body are taken.
    large_limit: usize,
    small_bytes: usize,
    held: usize,
    accounts: BTreeMap<Organisation, Account>,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is taken.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "sizes in bytes are far below 2^52"
    )]
    pub fn new(options: &MemoryOptions) -> Self {
        let total = options.budget_bytes();
        let part =
            |of: usize, fraction: f64| (of as f64 * (1.0 - fraction).clamp(0.0, 1.0)) as usize;
        let small_limit = part(total, options.reserve);
        Self {
            total,
            small_limit,
            large_limit: part(small_limit, options.small_part),
            small_bytes: options.small_bytes,
            held: 0,
            accounts: BTreeMap::new(),
        }
    }

    /// Returns the bytes that may be held.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.total
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Takes the bytes of a new request that has `own` already.
    ///
    /// # Errors
    /// Takes nothing if there is no room, or if over half of it is taken and they exceed the share
    /// of the organisation among those that hold or wait for bytes. An organisation that holds
    /// nothing is within its share.
    pub fn take(&mut self, org: &Organisation, own: usize, bytes: usize) -> Result<(), Shortage> {
        let size = own.saturating_add(bytes);
        let limit = if size <= self.small_bytes {
            self.small_limit
        } else {
            self.large_limit
        };
        if size > limit {
            return Err(Shortage::TooLarge);
        }
        if self.held.saturating_add(bytes) > limit {
            return Err(Shortage::NoRoom);
        }
        let account = self.accounts.get(org).copied().unwrap_or_default();
        let others = self.accounts.keys().filter(|name| *name != org).count();
        let share = limit / (others + 1);
        let short = self.held + bytes > limit / 2;
        if short && account.held > own && account.held + bytes > share {
            return Err(Shortage::Share);
        }
        self.hold(org, bytes);
        Ok(())
    }

    /// Takes bytes of a request that was passed on, whether there is room or not.
    pub fn hold(&mut self, org: &Organisation, bytes: usize) {
        self.held = self.held.saturating_add(bytes);
        let account = self.accounts.entry(org.clone()).or_default();
        account.held = account.held.saturating_add(bytes);
    }

    /// Returns bytes that are no longer held.
    pub fn release(&mut self, org: &Organisation, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
        self.change(org, |account| {
            account.held = account.held.saturating_sub(bytes);
        });
    }

    /// Counts a request that waits for room: its organisation gets a share.
    pub fn wait_begun(&mut self, org: &Organisation) {
        self.accounts.entry(org.clone()).or_default().waiting += 1;
    }

    /// Counts a request that no longer waits.
    pub fn wait_ended(&mut self, org: &Organisation) {
        self.change(org, |account| {
            account.waiting = account.waiting.saturating_sub(1);
        });
    }

    fn change(&mut self, org: &Organisation, change: impl FnOnce(&mut Account)) {
        if let Some(account) = self.accounts.get_mut(org) {
            change(account);
            if *account == Account::default() {
                self.accounts.remove(org);
            }
        }
    }
}
