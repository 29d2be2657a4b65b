//! Choosing an upstream allocates no memory, whatever the number of upstreams.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use myrtle_route::{Scored, Upstreams};

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

struct CountingAllocator;

// SAFETY: every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|c| c.set(c.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[test]
fn choosing_allocates_no_memory() {
    let mut table = Upstreams::new(Scored, ChaCha8Rng::seed_from_u64(1));
    for _ in 0..1_400 {
        let upstream = table.add();
        table.set_slots(upstream, 8);
    }
    let before = ALLOCATIONS.with(Cell::get);
    for n in 0..50_000_u64 {
        let now = Duration::from_micros(n * 10);
        let ticket = table.take(now, None, 1).unwrap();
        table.done(ticket, now + Duration::from_micros(20_000 + n % 7_000));
    }
    assert_eq!(ALLOCATIONS.with(Cell::get) - before, 0);
}
