//! Account of the memory that a node holds for requests: their bodies, and what it has read of answers and not passed on.
//!
//! Bytes count before they are held. One request may hold a share of what is still free, so that as memory gets short,
//! the largest ones find none first, and small ones are served on. The total is never exceeded.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Share of the free bytes that one request may hold, as a divisor.
const FREE_DIVISOR: usize = 4;

/// Bytes that are held for all requests of a node.
#[derive(Debug)]
pub struct MemoryAccount {
    total_bytes: usize,
    held_bytes: AtomicUsize,
}

/// Bytes that are held for one request; released when it is dropped.
#[derive(Debug)]
pub struct MemoryHold {
    account: Arc<MemoryAccount>,
    bytes: usize,
}

impl MemoryAccount {
    /// Creates an account of this many bytes.
    pub fn new(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            held_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns the number of bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes held after one request holds `bytes` in place of `earlier`; `None` if that is too
    /// much.
    fn held_with(&self, held: usize, earlier: usize, bytes: usize) -> Option<usize> {
        let others = held.saturating_sub(earlier);
        let free = self.total_bytes.saturating_sub(others);
        (bytes <= earlier || bytes <= free / FREE_DIVISOR).then_some(others + bytes)
    }
}

impl MemoryHold {
    /// Creates the hold of a request that holds nothing yet.
    pub fn new(account: Arc<MemoryAccount>) -> Self {
        Self { account, bytes: 0 }
    }

    /// Sets how many bytes the request holds. Returns whether that was granted; what it held before remains if not.
    /// Fewer bytes are always granted.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes == self.bytes {
            return true;
        }
        let (account, earlier) = (&self.account, self.bytes);
        let updated =
            account
                .held_bytes
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                    account.held_with(held, earlier, bytes)
                });
        if updated.is_ok() {
            self.bytes = bytes;
        }
        updated.is_ok()
    }

    /// Returns how many bytes others must release before this hold can have `bytes` bytes; `None` if no request can
    /// have that much.
    pub fn missing_bytes(&self, bytes: usize) -> Option<usize> {
        let free_needed = bytes.saturating_mul(FREE_DIVISOR);
        if free_needed > self.account.total_bytes {
            return None;
        }
        let others = self.account.held_bytes().saturating_sub(self.bytes);
        Some((free_needed + others).saturating_sub(self.account.total_bytes))
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.resize(0);
    }
}
