//! Frames between own processes: only authentic frames of supported versions are accepted.

use berylknot_wire::peer::Request;
use berylknot_wire::{Error, Frame, Secret};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

fn sealed(secret: &Secret) -> Vec<u8> {
    let body = Request::AskGrant {
        customer: "breeder".to_owned(),
        tokens: 7,
    };
    Frame::new("entry-001", 5, 9, body)
        .seal(secret)
        .expect("a frame can be sealed")
}

/// Guards against a frame that a stranger made or changed.
#[test]
fn changed_frames_are_refused() {
    let secret = Secret::new(*b"secret");
    let sealed = sealed(&secret);
    assert!(Frame::<Request>::open(&sealed, &secret).is_ok());
    let other = Frame::<Request>::open(&sealed, &Secret::new(*b"other"));
    assert!(matches!(other, Err(Error::Authentication)));
    for index in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[index] ^= 1;
        let opened = Frame::<Request>::open(&changed, &secret);
        assert!(matches!(opened, Err(Error::Authentication)), "byte {index}");
    }
}

/// Guards against input from the network that ends the process.
#[test]
fn arbitrary_bytes_never_panic() {
    let secret = Secret::new(*b"secret");
    let config = Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new(config)
        .run(&proptest::collection::vec(any::<u8>(), 0..200), |bytes| {
            prop_assert!(Frame::<Request>::open(&bytes, &secret).is_err());
            Ok(())
        })
        .expect("no input panics or is accepted");
}

/// Guards against a release that takes frames of a version it does not know.
#[test]
fn unknown_versions_are_refused() {
    let secret = Secret::new(*b"secret");
    let mut frame = Frame::new(
        "entry-001",
        5,
        9,
        Request::AskGrant {
            customer: String::new(),
            tokens: 0,
        },
    );
    frame.version = berylknot_wire::frame::VERSION + 1;
    let sealed = frame.seal(&secret).expect("a frame can be sealed");
    assert!(matches!(
        Frame::<Request>::open(&sealed, &secret),
        Err(Error::Version { .. })
    ));
}
