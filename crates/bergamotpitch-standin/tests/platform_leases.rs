//! Leases of the stand-in platform lapse unless they are renewed, by virtual time.

use std::time::Duration;

use bergamotpitch_standin::stores::{
    PutCondition, Store, create_session, put, read, renew_session,
};
use tokio::time::Instant;

const TTL: Duration = Duration::from_secs(10);

fn acquire(session: &str) -> PutCondition {
    PutCondition { acquire: Some(session.to_owned()), ..PutCondition::default() }
}

/// The holder is paused past the end of its lease and another takes the lock. The holder's renewal
/// must fail, and its number must be lower than that of the new holder.
#[test]
fn lapsed_lease() {
    let start = Instant::now();
    let mut store = Store::default();
    let old = create_session(&mut store, TTL, Duration::ZERO, start);
    assert!(put(&mut store, "lock", "old".into(), &acquire(&old), start));
    assert!(renew_session(&mut store, &old, start + TTL / 2).is_some());
    let before = start + TTL / 2 + TTL - Duration::from_millis(1);
    let new = create_session(&mut store, TTL, Duration::ZERO, before);
    assert!(!put(&mut store, "lock", "new".into(), &acquire(&new), before));
    let after = start + TTL / 2 + TTL;
    assert!(put(&mut store, "lock", "new".into(), &acquire(&new), after));
    assert!(renew_session(&mut store, &old, after).is_none());
    let (_, entries) = read(&mut store, "lock", false, after);
    assert_eq!((entries[0].1.lock_index, entries[0].1.session.as_ref()), (2, Some(&new)));
}

#[test]
fn lock_delay() {
    let start = Instant::now();
    let mut store = Store::default();
    let delay = Duration::from_secs(5);
    let old = create_session(&mut store, TTL, delay, start);
    assert!(put(&mut store, "lock", "old".into(), &acquire(&old), start));
    let lapsed = start + TTL;
    let new = create_session(&mut store, TTL, delay, lapsed);
    assert!(!put(&mut store, "lock", "new".into(), &acquire(&new), lapsed));
    assert!(put(&mut store, "lock", "new".into(), &acquire(&new), lapsed + delay));
}

#[test]
fn release_by_another() {
    let start = Instant::now();
    let mut store = Store::default();
    let session = create_session(&mut store, TTL, Duration::ZERO, start);
    assert!(put(&mut store, "lock", "1".into(), &acquire(&session), start));
    let release = |session: &str| PutCondition {
        release: Some(session.to_owned()),
        ..PutCondition::default()
    };
    assert!(!put(&mut store, "lock", "2".into(), &release("other"), start));
    assert!(put(&mut store, "lock", "2".into(), &release(&session), start));
    let (_, entries) = read(&mut store, "lock", false, start);
    assert_eq!(entries[0].1.session, None);
}
