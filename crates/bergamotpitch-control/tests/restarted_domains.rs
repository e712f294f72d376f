//! Who reads the platform's store for a failure domain of which all instances have just started.

use std::time::Duration;

use bergamotpitch_control::traffic::dispatchers::{Candidate, Options, Role, role_of};
use bergamotpitch_control::traffic::watch_roles::is_watcher;

/// The roles of all instances of a domain that hear each other, of which some know all that they need.
fn roles(count: u32, is_eligible: impl Fn(u32) -> bool) -> Vec<Role> {
    let now = Duration::from_secs(1);
    let candidate = |instance| Candidate {
        instance,
        processor_millis: if instance <= 10 { 500 } else { 120 },
        last_seen: now,
        is_eligible: is_eligible(instance),
        is_warmed_up: false,
        is_dispatching: false,
    };
    let all: Vec<Candidate> = (1..=count).map(candidate).collect();
    let role = |own: &Candidate| {
        let others: Vec<Candidate> =
            all.iter().filter(|other| other.instance != own.instance).copied().collect();
        role_of(own, &others, now, &Options::default())
    };
    all.iter().map(role).collect()
}

fn watchers(roles: &[Role], starting_for: Option<Duration>) -> usize {
    roles.iter().filter(|role| is_watcher(role, starting_for)).count()
}

/// Guards against a fleet that serves nobody for a minute after all of it was killed: none of its instances knows
/// the list, each takes itself for the first, and all read it at once from the store.
#[test]
fn all_killed() {
    for count in [30, 165, 330] {
        let roles = roles(count, |_| false);
        assert_eq!(watchers(&roles, Some(Duration::ZERO)), 2, "{count}");
        assert_eq!(roles.iter().filter(|role| role.is_standby).count(), 3, "{count}");
        assert!(roles.iter().all(|role| role.dispatcher.is_none()));
    }
}

/// Guards against a domain whose first instances are cut off from the store: others read it instead, a few
/// more each second.
#[test]
fn first_cut_off() {
    let roles = roles(165, |_| false);
    let counts = [1, 2, 5, 20].map(|s| watchers(&roles, Some(Duration::from_secs(s))));
    assert_eq!(counts, [4, 6, 12, 42]);
}

/// Guards against standbys without end: where only instances that come late in the order know enough to decide,
/// those before them do not all tell the whole domain.
#[test]
fn few_eligible() {
    let roles = roles(165, |instance| 160 < instance);
    assert_eq!(roles[164].dispatcher, Some(161));
    let standbys = roles.iter().filter(|role| role.is_standby).count();
    assert!(standbys <= 6, "{standbys}");
    assert_eq!(watchers(&roles[160..], None), 2);
}
