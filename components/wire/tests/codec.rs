//! Messages of another version and broken ones are told apart.

use proptest::prelude::*;
use wire::{CodecError, Outcome, Ran, Reason, decode, encode};

#[test]
fn round_trip() {
    let outcome = Outcome::may_have_run(Reason::Deadline);
    let bytes = encode(&outcome).unwrap();
    assert_eq!(decode::<Outcome>(&bytes).unwrap(), outcome);
}

#[test]
fn other_version() {
    let mut bytes = encode(&Ran::No).unwrap().to_vec();
    bytes[1] += 1;
    let told = decode::<Ran>(&bytes);
    assert!(matches!(told, Err(CodecError::Version { theirs: 2 })));
}

proptest! {
    #[test]
    fn broken_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<Outcome>(&bytes);
        let mut framed = vec![0, 1];
        framed.extend(bytes);
        let _ = decode::<Outcome>(&framed);
    }
}
