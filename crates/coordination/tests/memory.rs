//! Guards against sources whose answers never end and that leave other sources no memory, and against
//! claims that wait for each other or for memory that is free.

use berylknot_coordination::memory::{Limits, Memory, Ticket};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: Limits = Limits {
    total: 20,
    source: 10,
};

fn claim(memory: &mut Memory<char>, source: char, bytes: usize) -> Ticket {
    memory.claim(source, bytes).expect("no more than the share")
}

#[test]
fn a_source_that_keeps_its_share_leaves_the_rest_to_others() {
    let mut memory = Memory::new(LIMITS);
    let kept: Vec<_> = (0..5).map(|_| claim(&mut memory, 'a', 10)).collect();
    assert!(memory.is_granted(kept[0]) && !memory.is_granted(kept[1]));
    for _ in 0..3 {
        let other = claim(&mut memory, 'b', 10);
        assert!(memory.is_granted(other));
        assert_eq!(memory.release(other), []);
    }
    assert_eq!(memory.release(kept[0]), [kept[1]]);
}

#[test]
fn more_than_the_share_of_a_source_is_never_granted() {
    let mut memory = Memory::new(LIMITS);
    assert_eq!(memory.claim('a', 11), None);
    let huge = Limits {
        total: 5,
        source: 10,
    };
    assert_eq!(Memory::new(huge).claim('a', 6), None);
}

#[test]
fn a_large_claim_is_not_overtaken_by_later_ones() {
    let mut memory = Memory::new(LIMITS);
    let first = claim(&mut memory, 'a', 10);
    let second = claim(&mut memory, 'b', 5);
    let large = claim(&mut memory, 'c', 10);
    let small = claim(&mut memory, 'd', 1);
    assert!(!memory.is_granted(large) && !memory.is_granted(small));
    assert_eq!(memory.release(second), [large]);
    assert_eq!(memory.release(first), [small]);
}

#[test]
fn what_a_claim_does_not_need_goes_to_the_next() {
    let mut memory = Memory::new(LIMITS);
    let first = claim(&mut memory, 'a', 10);
    let second = claim(&mut memory, 'a', 8);
    assert_eq!(memory.shrink(first, 2), [second]);
    assert_eq!(memory.used(), 10);
    // A claim does not grow.
    assert_eq!(memory.shrink(first, 9), []);
    assert_eq!(memory.used(), 10);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Claim(u8, usize),
    /// Ends one of the claims.
    Release(usize),
    Shrink(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u8, 0..12_usize).prop_map(|(source, bytes)| Step::Claim(source, bytes)),
        any::<usize>().prop_map(Step::Release),
        (any::<usize>(), 0..12_usize).prop_map(|(claim, bytes)| Step::Shrink(claim, bytes)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whatever is claimed and given back: the limits hold, the count is that of the granted claims, and
    /// the first claim that waits does so for lack of memory.
    #[test]
    fn the_limits_hold_and_no_claim_waits_for_free_memory(steps in prop::collection::vec(step(), 1..80)) {
        let mut memory = Memory::new(LIMITS);
        let mut claims: Vec<(Ticket, u8, usize)> = Vec::new();
        for step in steps {
            match step {
                Step::Claim(source, bytes) => {
                    let ticket = memory.claim(source, bytes);
                    prop_assert_eq!(ticket.is_some(), bytes <= LIMITS.source);
                    claims.extend(ticket.map(|ticket| (ticket, source, bytes)));
                }
                Step::Release(index) if !claims.is_empty() => {
                    let (ticket, ..) = claims.remove(index % claims.len());
                    memory.release(ticket);
                }
                Step::Shrink(index, bytes) if !claims.is_empty() => {
                    let index = index % claims.len();
                    let claim = &mut claims[index];
                    if memory.is_granted(claim.0) {
                        claim.2 = claim.2.min(bytes);
                    }
                    memory.shrink(claim.0, bytes);
                }
                Step::Release(_) | Step::Shrink(..) => {}
            }
            let held = |source: Option<u8>| -> usize {
                let granted = claims.iter().filter(|claim| memory.is_granted(claim.0));
                let of_source = granted.filter(|claim| source.is_none_or(|source| source == claim.1));
                of_source.map(|claim| claim.2).sum()
            };
            prop_assert_eq!(memory.used(), held(None));
            prop_assert!(held(None) <= LIMITS.total);
            for source in 0..4 {
                prop_assert!(held(Some(source)) <= LIMITS.source);
            }
            if let Some((_, source, bytes)) = claims.iter().find(|claim| !memory.is_granted(claim.0)) {
                let free = (LIMITS.total - held(None)).min(LIMITS.source - held(Some(*source)));
                prop_assert!(*bytes > free);
            }
        }
    }
}
