//! Digests decode to what was encoded and stay small.

use proptest::prelude::*;
use routing::Digest;

fn digest(loads: Vec<u8>, leases: Vec<u8>) -> Digest {
    Digest {
        domain: Some("suva-a".parse().unwrap()),
        loads,
        leases,
        ..Digest::default()
    }
}

fn encode(digest: &Digest) -> Vec<u8> {
    rmp_serde::to_vec(digest).unwrap()
}

proptest! {
    #[test]
    fn any_counts(
        loads in prop::collection::vec(0..20u8, 0..300),
        leases in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let sent = digest(loads, leases);
        prop_assert_eq!(rmp_serde::from_slice::<Digest>(&encode(&sent)).unwrap(), sent);
    }

    /// Decoding arbitrary bytes does not panic.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = rmp_serde::from_slice::<Digest>(&bytes);
    }
}

#[test]
fn half_bytes() {
    for len in [0, 1, 2, 165, 166] {
        let small = digest(vec![8; len], vec![15; len]);
        let empty = encode(&digest(Vec::new(), Vec::new())).len();
        assert_eq!(
            rmp_serde::from_slice::<Digest>(&encode(&small)).unwrap(),
            small
        );
        assert!(encode(&small).len() <= empty + 2 * len.div_ceil(2) + 2);
    }
}

#[test]
fn free_capacity_only() {
    let whole = Digest {
        free: 7,
        slots: 1328,
        ..digest(vec![1; 166], vec![2; 166])
    };
    let reduced = whole.capacity_only();
    assert_eq!((reduced.free, reduced.slots), (7, 1328));
    assert_eq!(reduced.domain, whole.domain);
    assert!(encode(&reduced).len() < 40);
}
