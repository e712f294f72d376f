//! Only what a peer sealed for this instance opens.

mod common;

use arbtest::arbtest;
use bergamotpitch_wire::receivers::accept;
use bergamotpitch_wire::seals::{DATAGRAM_BYTES, MESSAGE_BYTES, Route, open, seal_message};
use bergamotpitch_wire::{DropReason, Error, Keys};
use common::{NOW_MS, address, heartbeat, keys, receiver, sealed, sender};

const SEEDS: std::ops::Range<u64> = 1..200;

#[test]
fn round_trip() {
    for seed in SEEDS {
        arbtest(|random| {
            let message = heartbeat(0..random.int_in_range(0..=6_000)?);
            let mut receiver = receiver(2, NOW_MS);
            let mut datagrams = sealed(1, NOW_MS, &message);
            let last = datagrams.pop().expect("a message has a datagram");
            for datagram in datagrams {
                let accepted =
                    accept(&mut receiver, &keys().datagram, NOW_MS, address(1), &datagram);
                assert_eq!(accepted, Ok(None));
            }
            let accepted = accept(&mut receiver, &keys().datagram, NOW_MS, address(1), &last);
            assert_eq!(accepted, Ok(Some((sender(1, 5), message))));
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// A faulty network, or someone on it, sends bytes that no peer sealed: noise, a datagram cut
/// short, a datagram with some bits turned. If one of them opened, a stranger could take capacity
/// in another team's name; if one of them stopped the process, anybody could.
#[test]
fn changed_datagrams() {
    for seed in SEEDS {
        arbtest(|random| {
            let sealed = sealed(1, NOW_MS, &heartbeat(0..20)).remove(0);
            let noise: Vec<u8> = random.arbitrary()?;
            let cut = sealed[..random.choose_index(sealed.len())?].to_vec();
            let mut flipped = sealed.clone();
            let at = random.choose_index(sealed.len())?;
            flipped[at] ^= 1 << random.int_in_range(0..=7)?;
            let mut longer = sealed.clone();
            longer.push(random.arbitrary()?);
            for datagram in [noise, cut, flipped, longer] {
                let route = Route { from: address(1), to: address(2) };
                assert!(open(&keys().datagram, route, &datagram).is_err());
                let mut receiver = receiver(2, NOW_MS);
                assert!(
                    accept(&mut receiver, &keys().datagram, NOW_MS, address(1), &datagram).is_err()
                );
                assert_eq!(receiver.known_senders(), 0);
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// Someone without the fleet's secret writes a datagram in the right form, or redirects a peer's
/// datagram to an instance it was not meant for, or sends it on from an address of its own.
#[test]
fn strangers() {
    let foreign = Keys::from_shared_key("the secret of another fleet");
    let mut sequence = 1;
    let datagrams = seal_message(
        &foreign.datagram,
        &sender(1, 5),
        address(2),
        &mut sequence,
        NOW_MS,
        &heartbeat(0..1),
    )
    .expect("the message is small enough");
    let mut receiver = receiver(2, NOW_MS);
    let accepted = accept(&mut receiver, &keys().datagram, NOW_MS, address(1), &datagrams[0]);
    assert_eq!(accepted, Err(DropReason::Stranger));

    let redirected = sealed(1, NOW_MS, &heartbeat(0..1)).remove(0);
    let sent_on = accept(&mut receiver, &keys().datagram, NOW_MS, address(3), &redirected);
    assert_eq!(sent_on, Err(DropReason::Stranger));
    let mut other = common::receiver(3, NOW_MS);
    let accepted = accept(&mut other, &keys().datagram, NOW_MS, address(1), &redirected);
    assert_eq!(accepted, Err(DropReason::Stranger));
}

#[test]
fn size_bounds() {
    let mut receiver = receiver(2, NOW_MS);
    let large = vec![1; DATAGRAM_BYTES + 1];
    let accepted = accept(&mut receiver, &keys().datagram, NOW_MS, address(1), &large);
    assert_eq!(accepted, Err(DropReason::Oversize));

    let mut sequence = 1;
    let result = seal_message(
        &keys().datagram,
        &sender(1, 5),
        address(2),
        &mut sequence,
        NOW_MS,
        &heartbeat(0..40_000),
    );
    assert!(
        matches!(result, Err(Error::Oversize { limit_bytes: MESSAGE_BYTES, .. })),
        "{result:?}"
    );

    for datagram in sealed(1, NOW_MS, &heartbeat(0..10_000)) {
        assert!(datagram.len() <= DATAGRAM_BYTES);
    }
}
