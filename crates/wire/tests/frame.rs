//! Frames: only authentic frames of a supported protocol version are accepted.

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

/// Guards against accepting a frame that was forged or modified in transit.
#[test]
fn forged_and_modified_frames_are_rejected() {
    let secret = Secret::new(*b"secret");
    let sealed = sealed(&secret);
    assert!(Frame::<Request>::open(&sealed, &secret).is_ok());
    let forged = Frame::<Request>::open(&sealed, &Secret::new(*b"other"));
    assert!(matches!(forged, Err(Error::Authentication)));
    for index in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[index] ^= 1;
        let opened = Frame::<Request>::open(&changed, &secret);
        assert!(matches!(opened, Err(Error::Authentication)), "byte {index}");
    }
}

/// Guards against an answer that breaks off and is taken for a shorter one.
#[test]
fn truncated_frames_are_rejected() {
    let secret = Secret::new(*b"secret");
    let sealed = sealed(&secret);
    for length in 0..sealed.len() {
        let opened = Frame::<Request>::open(&sealed[..length], &secret);
        assert!(opened.is_err(), "{length} of {} bytes", sealed.len());
    }
}

/// Guards against network input that crashes the process.
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

/// Guards against accepting frames of a protocol version that this release does not know.
#[test]
fn unsupported_versions_are_rejected() {
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
        Err(Error::UnsupportedVersion { .. })
    ));
}
