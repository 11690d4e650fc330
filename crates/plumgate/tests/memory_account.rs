//! Memory that a node holds for requests.

use std::sync::Arc;

use plumgate::gateway::{MemoryAccount, MemoryHold};
use quickcheck::quickcheck;

const TOTAL: usize = 1_000_000;

quickcheck! {
    // Guards against memory that grows with the number of requests, and against bytes that are never released.
    fn total_is_never_exceeded(sizes: Vec<(u8, u32)>) -> bool {
        let account = Arc::new(MemoryAccount::new(TOTAL));
        let mut holds: Vec<MemoryHold> = (0..=u8::MAX).map(|_| MemoryHold::new(account.clone())).collect();
        let is_bounded = sizes.iter().all(|(hold, bytes)| {
            holds[usize::from(*hold)].resize(*bytes as usize % (TOTAL * 2));
            account.held_bytes() <= TOTAL
        });
        holds.clear();
        is_bounded && account.held_bytes() == 0
    }
}

/// Guards against large requests that leave nothing for small ones.
#[test]
fn small_requests_find_memory_where_large_ones_take_all_that_they_get() {
    let account = Arc::new(MemoryAccount::new(TOTAL));
    let mut large = Vec::new();
    for _ in 0..100 {
        let mut hold = MemoryHold::new(account.clone());
        let mut bytes = 0;
        while hold.resize(bytes + 1_000) {
            bytes += 1_000;
        }
        large.push(hold);
    }
    let mut small = MemoryHold::new(account);
    assert!(small.resize(200));
}
