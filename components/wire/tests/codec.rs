//! Tests the message encoding: round trip, other versions and malformed bytes.

use proptest::prelude::*;
use wire::{CodecError, decode, encode};

type Message = Vec<(u32, Option<String>)>;

#[test]
fn round_trip() {
    let message: Message = vec![(7, None), (8, Some("x".into()))];
    let bytes = encode(&message).unwrap();
    assert_eq!(decode::<Message>(&bytes).unwrap(), message);
}

#[test]
fn other_version() {
    let mut bytes = encode(&7u32).unwrap().to_vec();
    bytes[1] += 1;
    let result = decode::<u32>(&bytes);
    assert!(matches!(result, Err(CodecError::Version { theirs: 2 })));
}

proptest! {
    #[test]
    fn malformed_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<Message>(&bytes);
        let mut message = vec![0, 1];
        message.extend(bytes);
        let _ = decode::<Message>(&message);
    }
}
