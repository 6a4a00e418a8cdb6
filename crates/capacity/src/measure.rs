//! Counting of allocated bytes and timing of small operations.

use std::cell::Cell;
use std::time::{Duration, Instant};

thread_local! {
    static ALLOCATED: Cell<isize> = const { Cell::new(0) };
}

/// System allocator that counts the bytes in use by the thread.
pub(crate) struct Counting;

// SAFETY: every call is passed on to the system allocator unchanged.
#[expect(
    unsafe_code,
    reason = "an allocator can only be implemented with unsafe code"
)]
unsafe impl std::alloc::GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: std::alloc::Layout) -> *mut u8 {
        let _ = ALLOCATED.try_with(|bytes| bytes.set(bytes.get() + layout.size() as isize));
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { std::alloc::System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: std::alloc::Layout) {
        let _ = ALLOCATED.try_with(|bytes| bytes.set(bytes.get() - layout.size() as isize));
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { std::alloc::System.dealloc(pointer, layout) }
    }
}

/// Bytes that a value keeps allocated.
pub(crate) fn bytes_of<T>(make: impl FnOnce() -> T) -> usize {
    let before = ALLOCATED.get();
    let value = make();
    let after = ALLOCATED.get();
    drop(value);
    usize::try_from(after - before).unwrap_or_default()
}

/// Shortest time of one operation, over several rounds of many operations.
pub(crate) fn time_of(mut operation: impl FnMut()) -> Duration {
    const ROUNDS: u32 = 20;
    const OPERATIONS: u32 = 500;
    let mut best = Duration::MAX;
    for _ in 0..ROUNDS {
        let started = Instant::now();
        for _ in 0..OPERATIONS {
            operation();
        }
        best = best.min(started.elapsed() / OPERATIONS);
    }
    best
}
