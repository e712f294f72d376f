//! Which part of prompts is taken for what crashes upstreams, when, and until when.

use bergamotpitch_control::traffic::crash_suspects::{
    CrashSuspects, Evidence, PartKey, TRIAL_WINDOW_MS, Turn, Verdict,
};
use bergamotpitch_control::traffic::facts::PartId;
use bergamotpitch_control::traffic::fleet_members::Members;
use bergamotpitch_control::traffic::sound_parts::Moment;
use bergamotpitch_core::ids::{ServiceId, UpstreamId};

const SERVICE: ServiceId = 5;
const BAD: PartId = 0xbad;
const START: PartId = 1;

fn crash(part: PartId, life: UpstreamId, at: Moment) -> Evidence {
    Evidence { part: (SERVICE, part), life, has_begun: true, at }
}

fn verdict(suspects: &CrashSuspects, part: PartId, now: Moment) -> Verdict {
    suspects.verdict(SERVICE, [START, part].into_iter(), now)
}

fn is_blocked(suspects: &CrashSuspects, part: PartId, now: Moment) -> bool {
    matches!(verdict(suspects, part, now), Verdict::Block(_))
}

fn answered(suspects: &mut CrashSuspects, part: PartId, at: Moment) -> Vec<PartKey> {
    suspects.note_answered(SERVICE, [part].into_iter(), at)
}

/// Guards against a third engine: two that crash one after the other under a part that none has answered
/// tell enough.
#[test]
fn second_crash() {
    let mut suspects = CrashSuspects::default();
    assert_eq!(verdict(&suspects, BAD, 0), Verdict::Admit);
    assert!(suspects.note_crash(crash(BAD, 1, 1_000)));
    assert_eq!(verdict(&suspects, BAD, 1_000), Verdict::Confine(BAD));
    assert!(suspects.note_crash(crash(BAD, 2, 1_500)));
    assert!(is_blocked(&suspects, BAD, 1_500) && is_blocked(&suspects, BAD, 31_499));
    assert_eq!(suspects.verdict(SERVICE + 1, [BAD].into_iter(), 1_500), Verdict::Admit);
}

/// Guards against one crash that counts as many, as several instances saw it, or see it again.
#[test]
fn one_crash_of_many() {
    let mut suspects = CrashSuspects::default();
    for instance in 0..6 {
        suspects.note_crash(crash(BAD, 1, 1_000 + 150 * instance));
    }
    assert!(!is_blocked(&suspects, BAD, 2_000));
    assert!(!suspects.note_crash(crash(BAD, 1, 9_000)), "it is no news");
}

/// Guards against a part that is blocked as it was in hand at engines which ended together: a rack, a
/// failure domain.
#[test]
fn ended_together() {
    let mut suspects = CrashSuspects::default();
    for life in 1..=9 {
        suspects.note_crash(crash(7, life, 1_000 + 10 * Moment::from(life)));
    }
    assert_eq!(verdict(&suspects, 7, 1_100), Verdict::Confine(7));
}

/// Guards against a part that sound requests share, and that is blocked as some of them were in hand at
/// each of several crashes.
#[test]
fn shared_part() {
    let mut suspects = CrashSuspects::default();
    for number in 0..20 {
        let at = 1_000 + 500 * Moment::from(number);
        suspects.note_crash(crash(START, number, at));
        suspects.note_crash(crash(BAD, number, at));
        let cleared = answered(&mut suspects, START, at + 100);
        assert_eq!(cleared, [(SERVICE, START)]);
        assert_eq!(verdict(&suspects, START, at + 100), Verdict::Admit);
    }
    assert!(is_blocked(&suspects, BAD, 11_000));
}

/// Guards against a part that is blocked with the one that crashes upstreams, as no sound request had
/// shown yet that it is sound: a request without the bad one is let in, and shows it.
#[test]
fn two_candidates() {
    let mut suspects = CrashSuspects::default();
    for life in 1..=2 {
        let at = 1_000 * Moment::from(life);
        for part in [START, BAD] {
            suspects.note_crash(crash(part, life, at));
        }
    }
    assert!(is_blocked(&suspects, BAD, 2_000), "it holds both");
    assert_eq!(verdict(&suspects, 7, 2_000), Verdict::Confine(START));
    answered(&mut suspects, START, 3_000);
    assert_eq!(verdict(&suspects, 7, 3_000), Verdict::Admit);
    let alone = suspects.verdict(SERVICE, [BAD].into_iter(), 3_000);
    assert!(matches!(alone, Verdict::Block(_)));
}

/// Guards against a part that was answered for long, and then crashes all the same: it takes more crashes,
/// and none is answered between them.
#[test]
fn gone_bad() {
    let mut suspects = CrashSuspects::default();
    answered(&mut suspects, BAD, 900);
    for number in 0..4 {
        assert_eq!(verdict(&suspects, BAD, 5_000), Verdict::Admit);
        suspects.note_crash(crash(BAD, number, 1_000 + 500 * Moment::from(number)));
    }
    assert!(is_blocked(&suspects, BAD, 2_500));
    assert!(!suspects.note_crash(crash(BAD, 9, 800)), "it was answered after that");
}

/// Guards against a part of which an instance has seen no answer, and that others have.
#[test]
fn answered_elsewhere() {
    let mut suspects = CrashSuspects::default();
    suspects.note_crash(crash(7, 1, 1_000));
    assert_eq!(answered(&mut suspects, 7, 500), [], "the crash came after that");
    suspects.note_crash(crash(7, 2, 2_000));
    assert_eq!(verdict(&suspects, 7, 2_000), Verdict::Admit);
}

/// Guards against an instance that starts and takes all crashes before its start for one.
#[test]
fn before_the_start() {
    let mut suspects = CrashSuspects::default();
    suspects.note_crash(crash(BAD, 1, -4_000));
    suspects.note_crash(crash(BAD, 2, -3_000));
    assert!(is_blocked(&suspects, BAD, 100));
}

/// Guards against engines that are lost for good to one part: each block that is over costs one engine at
/// most, as instances try in turn, and each further crash makes the next block longer.
#[test]
fn block_ends() {
    let mut suspects = CrashSuspects::default();
    suspects.note_crash(crash(BAD, 1, 0));
    suspects.note_crash(crash(BAD, 2, 1_000));
    let turn = |place| Verdict::Try(Turn { part: BAD, round: 4, place });
    assert_eq!(verdict(&suspects, BAD, 31_000), turn(0));
    assert_eq!(verdict(&suspects, BAD, 31_000 + TRIAL_WINDOW_MS), turn(1));
    suspects.note_crash(crash(BAD, 3, 31_500));
    assert!(is_blocked(&suspects, BAD, 31_500 + 119_999));
    assert!(!is_blocked(&suspects, BAD, 31_500 + 120_000));
    assert_eq!(answered(&mut suspects, BAD, 152_000), [(SERVICE, BAD)]);
    assert!(suspects.is_empty());
    let members = Members::new([(11, 1), (12, 1), (13, 2)].into_iter());
    let order = |round| [0, 1, 2, 3].map(|place| members.whose_turn(BAD ^ round, place, 10));
    let mut first = order(4);
    assert_eq!(members.whose_turn(BAD ^ 4, 4, 10), first[0], "it begins anew");
    first.sort_unstable();
    assert_eq!(first, [10, 11, 12, 13]);
}

/// Guards against a part that stays under suspicion because links to sound engines were refused.
#[test]
fn living_upstream() {
    let mut suspects = CrashSuspects::default();
    suspects.note_crash(crash(7, 1, 1_000));
    suspects.note_crash(crash(7, 2, 2_000));
    assert!(!suspects.retract(1, 1_100), "it may have been written before");
    assert!(suspects.retract(1, 1_300));
    assert_eq!(verdict(&suspects, 7, 2_000), Verdict::Confine(7));
    assert!(!suspects.retract(1, 1_400));
    assert!(suspects.retract(2, 3_000) && suspects.is_empty());
}

/// A part that only waited at engines that crashed weighs half as much.
#[test]
fn only_waited() {
    let waited = |life, at| Evidence { has_begun: false, ..crash(7, life, at) };
    let mut suspects = CrashSuspects::default();
    for life in 1..=3 {
        suspects.note_crash(waited(life, 1_000 * Moment::from(life)));
        assert!(!is_blocked(&suspects, 7, 4_000));
    }
    suspects.note_crash(waited(4, 4_000));
    assert!(is_blocked(&suspects, 7, 4_000));
    let mut once = CrashSuspects::default();
    once.note_crash(waited(1, 1_000));
    once.step(61_001);
    assert!(once.is_empty());
}

/// Guards against a table that thousands of parts fill, which are tried on purpose: what is known of the
/// one that crashes engines stays.
#[test]
fn tried_on_purpose() {
    let mut suspects = CrashSuspects::default();
    suspects.note_crash(crash(BAD, 1, 0));
    suspects.note_crash(crash(BAD, 2, 1_000));
    for part in 0..5_000 {
        suspects.note_crash(crash(10_000 + part, 3, 2_000));
    }
    assert_eq!(suspects.suspicions().len(), 1_024);
    assert!(is_blocked(&suspects, BAD, 2_000));
    suspects.step(31_000 + 600_001);
    assert!(suspects.is_empty());
}
