//! The registry keeps sound upstreams through outages of the list and gives leaving ones no work.

use std::time::Duration;

use bergamotpitch_control::traffic::registries::{
    Change, LAPSE_GRACE, LeavingSource, Registration, Registry,
};

fn registration(id: &str, born_ms: u64) -> Registration {
    Registration {
        id: id.to_owned(),
        born_ms: Some(born_ms),
        service: "engines".to_owned(),
        address: "127.0.0.1:9000".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 8,
        is_leaving: false,
        cold_left: Some(Duration::ZERO),
        software: None,
    }
}

fn leaving(id: &str, born_ms: u64) -> Registration {
    Registration { is_leaving: true, ..registration(id, born_ms) }
}

/// An operator empties an engine. Work that still goes there is cut when the engine exits.
#[test]
fn leaving_stays() {
    let mut registry = Registry::default();
    registry.listed(registration("e", 1));
    let key = registry.key_of("e").unwrap();
    let changes = registry.listed(leaving("e", 1));
    assert_eq!(changes, [Change::Left(key, LeavingSource::List)]);
    // A late write of the time before must not bring it back.
    assert!(registry.listed(registration("e", 1)).is_empty());
    assert!(!registry.get(key).unwrap().takes_work());
}

/// An engine crashes and starts again under its id. What was known of the earlier life would send
/// requests to memory that is gone, and news of the earlier life would empty the new one.
#[test]
fn second_life() {
    let mut registry = Registry::default();
    registry.listed(registration("e", 1));
    let first = registry.key_of("e").unwrap();
    let changes = registry.listed(registration("e", 2));
    let second = registry.key_of("e").unwrap();
    assert_eq!(changes, [Change::Gone(first, "e".to_owned()), Change::Joined(second)]);
    assert_eq!(registry.left(first, LeavingSource::Answer), None);
    assert!(registry.listed(leaving("e", 1)).is_empty(), "a late write of the first life counts");
    assert!(registry.get(second).unwrap().takes_work());
    assert_eq!(registry.of_service("engines"), [second]);
}

/// The platform's list is down and its entries lapse. An instance that believed it would refuse
/// all callers although every engine works.
#[test]
fn lapsed_list() {
    let mut registry = Registry::default();
    registry.listed(registration("alive", 1));
    registry.listed(registration("dead", 1));
    registry.list_lost();
    let back = Duration::from_secs(10);
    registry.list_back(back);
    assert!(registry.list_replaced(&[], back).is_empty());
    assert!(registry.get(registry.key_of("alive").unwrap()).unwrap().takes_work());
    registry.listed(registration("alive", 1));
    assert!(registry.step(back + LAPSE_GRACE / 2).is_empty());
    let dead = registry.key_of("dead").unwrap();
    assert_eq!(registry.step(back + LAPSE_GRACE), [Change::Gone(dead, "dead".to_owned())]);
    assert!(registry.key_of("alive").is_some());
}

/// Outside an outage an entry that vanishes is an engine that has left.
#[test]
fn vanished_entry() {
    let mut registry = Registry::default();
    registry.listed(registration("e", 1));
    let key = registry.key_of("e").unwrap();
    assert_eq!(registry.unlisted("e", Duration::from_secs(1)), [Change::Gone(key, "e".to_owned())]);
    assert!(registry.unlisted("e", Duration::from_secs(1)).is_empty());
}

/// A leaving engine's entry is removed during an outage of the list: its end was announced before,
/// so it is no lapse.
#[test]
fn announced_end() {
    let mut registry = Registry::default();
    registry.listed(leaving("e", 1));
    registry.list_lost();
    assert_eq!(registry.unlisted("e", Duration::from_secs(1)).len(), 1);
}

/// Two of three upstreams are taken away at once, without a word. That looks like a lapse, and the list
/// was last heard 0.6 s before it told of it: kept for the whole grace from then on, they got
/// requests 2.5 s after they had gone.
#[test]
fn doubted_removals() {
    let mut registry = Registry::default();
    let ids = ["a", "b", "c"];
    ids.iter().for_each(|id| drop(registry.listed(registration(id, 1))));
    let (heard, told) = (Duration::from_millis(10_000), Duration::from_millis(10_600));
    registry.removals_doubted(heard);
    assert!(registry.unlisted("a", told).is_empty(), "it may have lapsed");
    assert!(registry.unlisted("b", told).is_empty());
    assert!(registry.step(told + Duration::from_millis(1_000)).is_empty());
    // The bound, less what a beat and a fetch take.
    let gone = registry.step(heard + Duration::from_millis(2_100));
    assert_eq!(gone.len(), 2, "{gone:?}");
}

/// Guards against an upstream that is out of use for good, as another one answered once at its address although it
/// stays listed; one that has said that it leaves does not come back.
#[test]
fn misdirected_upstream() {
    let mut registry = Registry::default();
    for id in ["stays", "leaves"] {
        registry.listed(registration(id, 1));
    }
    let keys = ["stays", "leaves"].map(|id| registry.key_of(id).unwrap());
    for key in keys {
        assert!(registry.left(key, LeavingSource::Answer).is_some());
    }
    assert!(registry.step(Duration::from_secs(1)).is_empty());
    assert_eq!(registry.listed(leaving("leaves", 1)), [Change::Left(keys[1], LeavingSource::List)]);
    assert!(registry.step(Duration::from_millis(10_900)).is_empty());
    assert_eq!(registry.step(Duration::from_secs(11)), [Change::Joined(keys[0])]);
    let takes_work = |key| registry.get(key).is_some_and(|upstream| upstream.takes_work());
    assert_eq!(keys.map(takes_work), [true, false]);
}
