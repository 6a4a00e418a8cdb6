//! Heap accounting for one thread and timing of short operations.

use std::cell::Cell;
use std::time::{Duration, Instant};

thread_local! {
    static ALLOCATED_BYTES: Cell<isize> = const { Cell::new(0) };
}

/// System allocator that counts the live heap bytes of each thread.
pub(crate) struct Allocator;

// SAFETY: every call is forwarded to the system allocator unchanged.
#[expect(
    unsafe_code,
    reason = "an allocator can only be implemented with unsafe code"
)]
unsafe impl std::alloc::GlobalAlloc for Allocator {
    unsafe fn alloc(&self, layout: std::alloc::Layout) -> *mut u8 {
        let _ = ALLOCATED_BYTES.try_with(|bytes| bytes.set(bytes.get() + layout.size() as isize));
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { std::alloc::System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: std::alloc::Layout) {
        let _ = ALLOCATED_BYTES.try_with(|bytes| bytes.set(bytes.get() - layout.size() as isize));
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { std::alloc::System.dealloc(pointer, layout) }
    }
}

/// Heap bytes that the value made by `make` keeps allocated.
pub(crate) fn retained_bytes<T>(make: impl FnOnce() -> T) -> usize {
    let before = ALLOCATED_BYTES.get();
    let value = make();
    let after = ALLOCATED_BYTES.get();
    drop(value);
    usize::try_from(after - before).unwrap_or_default()
}

/// Mean time of one operation in the fastest of several rounds.
pub(crate) fn best_mean_time(mut operation: impl FnMut()) -> Duration {
    const ROUNDS: u32 = 20;
    const OPERATIONS_PER_ROUND: u32 = 500;
    let mut fastest = Duration::MAX;
    for _ in 0..ROUNDS {
        let started = Instant::now();
        for _ in 0..OPERATIONS_PER_ROUND {
            operation();
        }
        fastest = fastest.min(started.elapsed() / OPERATIONS_PER_ROUND);
    }
    fastest
}
