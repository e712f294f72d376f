//! A datagram is taken once, while it is fresh, and never by a later life of its receiver.

mod common;

use arbtest::arbtest;
use bergamotpitch_wire::DropReason;
use bergamotpitch_wire::receivers::{FRESHNESS, accept};
use bergamotpitch_wire::seals::seal_message;
use bergamotpitch_wire::windows::{WINDOW_SEQUENCES, Window};
use common::{NOW_MS, address, heartbeat, keys, receiver, sealed, sender};

/// The network delivers a datagram twice, or someone on it records one and sends it again. Taken
/// twice, a grant would be spent twice.
#[test]
fn repeats() {
    let mut receiver = receiver(2, NOW_MS);
    let datagram = sealed(9, NOW_MS, &heartbeat(0..1)).remove(0);
    assert!(accept(&mut receiver, &keys().datagram, NOW_MS, address(1), &datagram).is_ok());
    let again = accept(&mut receiver, &keys().datagram, NOW_MS + 1, address(1), &datagram);
    assert_eq!(again, Err(DropReason::Repeated));
}

/// Datagrams come in any order and some come twice: each number is taken once at the most, and each
/// that is not far behind is taken.
#[test]
fn any_order() {
    for seed in 1..100 {
        arbtest(|random| {
            let mut window = Window::default();
            let mut seen = std::collections::BTreeSet::new();
            let mut highest = 0_u64;
            for _ in 0..300 {
                let leap = if random.ratio(1, 20)? { 3_000 } else { 40 };
                let sequence = (highest + random.int_in_range(0..=leap)?).saturating_sub(leap / 2);
                highest = highest.max(sequence);
                let in_window = highest - sequence < WINDOW_SEQUENCES;
                assert_eq!(window.admit(sequence), in_window && seen.insert(sequence));
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// An instance restarts and has lost its windows. Someone sends it datagrams recorded before the
/// restart, or a peer's datagrams from long ago. Taken, they would show a peer that is gone as
/// alive, and requests would wait for it.
#[test]
fn restarted_receiver() {
    let recorded = sealed(9, NOW_MS, &heartbeat(0..1)).remove(0);
    let mut restarted = receiver(2, NOW_MS + 1);
    let accepted = accept(&mut restarted, &keys().datagram, NOW_MS + 2, address(1), &recorded);
    assert_eq!(accepted, Err(DropReason::Stale));

    let mut running = receiver(2, NOW_MS);
    let late_ms = NOW_MS + FRESHNESS.as_millis() as u64 + 1;
    let accepted = accept(&mut running, &keys().datagram, late_ms, address(1), &recorded);
    assert_eq!(accepted, Err(DropReason::Stale));
}

/// A peer restarts under the same name, and datagrams of its earlier life arrive after the first of
/// its new one. Taken, they would bring back counters that the new life has replaced.
#[test]
fn earlier_life() {
    let mut receiver = receiver(2, NOW_MS);
    let earlier = sealed(9, NOW_MS, &heartbeat(0..1)).remove(0);
    let mut sequence = 1;
    let later = seal_message(
        &keys().datagram,
        &sender(1, 6),
        address(2),
        &mut sequence,
        NOW_MS,
        &heartbeat(0..1),
    )
    .expect("the message is small enough")
    .remove(0);
    assert!(accept(&mut receiver, &keys().datagram, NOW_MS, address(1), &later).is_ok());
    let accepted = accept(&mut receiver, &keys().datagram, NOW_MS, address(1), &earlier);
    assert_eq!(accepted, Err(DropReason::EarlierLife));
}

/// Thousands of instances come and go. A table that kept each of them would grow until the process
/// is ended for its memory.
#[test]
fn departed_senders() {
    let mut receiver = receiver(2, NOW_MS);
    for number in 0..3_000 {
        let now_ms = NOW_MS + u64::from(number) * 1_000;
        let mut sequence = 1;
        let datagram = seal_message(
            &keys().datagram,
            &sender(number, 5),
            address(2),
            &mut sequence,
            now_ms,
            &heartbeat(0..1),
        )
        .expect("the message is small enough")
        .remove(0);
        assert!(
            accept(&mut receiver, &keys().datagram, now_ms, address(number), &datagram).is_ok()
        );
    }
    let most = 3 * FRESHNESS.as_secs() as usize + 2;
    assert!(receiver.known_senders() <= most, "{}", receiver.known_senders());
}
