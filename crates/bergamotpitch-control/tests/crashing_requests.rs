//! Which request is taken for what crashes upstreams, when, and until when.

use bergamotpitch_control::traffic::crash_suspects::{
    CrashSuspects, Evidence, SuspectId, Turn, Verdict,
};
use bergamotpitch_control::traffic::facts::PartId;
use bergamotpitch_control::traffic::request_digests::RequestDigest;
use bergamotpitch_control::traffic::sound_parts::Moment;
use bergamotpitch_core::ids::{ServiceId, UpstreamId};

const SERVICE: ServiceId = 5;
const BAD: RequestDigest = 0xbad;
/// The time after which callers come back at the latest: a third of what they wait for.
const LATEST_RETURN_MS: Moment = 20_000;
/// For how long a request counts as suspected after one crash.
const SUSPICION_MS: Moment = 60_000;
/// How long a request runs until it crashes its upstream.
const RUN_MS: Moment = 20;

fn id(request: RequestDigest) -> SuspectId {
    SuspectId::Request(request)
}

fn crash(request: RequestDigest, life: UpstreamId, at: Moment) -> Evidence {
    Evidence { suspect: id(request), life, is_strong: true, at, sent_at: at - RUN_MS }
}

fn weak(request: RequestDigest, life: UpstreamId, at: Moment) -> Evidence {
    Evidence { is_strong: false, ..crash(request, life, at) }
}

fn suspects_after(crashes: &[Evidence]) -> CrashSuspects {
    let mut suspects = CrashSuspects::default();
    crashes.iter().for_each(|crash| assert!(suspects.note_crash(*crash, 0)));
    suspects
}

fn verdict(suspects: &CrashSuspects, request: RequestDigest, now: Moment) -> Verdict {
    suspects.verdict(SERVICE, std::iter::empty(), Some(request), now)
}

fn is_blocked(suspects: &CrashSuspects, request: RequestDigest, now: Moment) -> bool {
    matches!(verdict(suspects, request, now), Verdict::Block(_))
}

/// Guards against a third upstream: two that crash one after the other as they begin on a request tell
/// enough, a tenth of a second apart or less, of whichever service.
#[test]
fn second_upstream() {
    let mut suspects = CrashSuspects::default();
    assert_eq!(verdict(&suspects, BAD, 0), Verdict::Admit);
    suspects.note_crash(crash(BAD, 1, 1_000), 0);
    assert_eq!(verdict(&suspects, BAD, 1_000), Verdict::Confine(id(BAD)));
    suspects.note_crash(crash(BAD, 2, 1_040), 0);
    assert!(is_blocked(&suspects, BAD, 1_040));
    assert!(is_blocked(&suspects, BAD, 1_040 + LATEST_RETURN_MS));
    assert_eq!(verdict(&suspects, BAD + 1, 1_040), Verdict::Admit);
    let elsewhere = suspects.verdict(SERVICE + 1, std::iter::empty(), Some(BAD), 1_040);
    assert!(matches!(elsewhere, Verdict::Block(_)), "its route may send it to another service");
}

/// Guards against one crash that counts twice, as it was seen by several instances or under several attempts.
#[test]
fn one_crash_of_many() {
    let mut suspects = suspects_after(&[crash(BAD, 1, 1_000)]);
    for instance in 1..6 {
        assert!(!suspects.note_crash(crash(BAD, 1, 1_000 + 30 * instance), 0), "it is no news");
    }
    assert_eq!(verdict(&suspects, BAD, 2_000), Verdict::Confine(id(BAD)));
}

/// Guards against a request that is blocked at the instance which saw its crashes alone: where they are told of, the
/// second upstream seems to have got it before the first one ended, by the way of a message.
#[test]
fn told_late() {
    for (late, is_apart) in [(0, true), (8, true), (40, false)] {
        let second = Evidence { sent_at: 1_000 - late, ..crash(7, 2, 1_030) };
        let suspects = suspects_after(&[crash(7, 1, 1_000), second]);
        assert_eq!(is_blocked(&suspects, 7, 1_030), is_apart, "{late} ms");
    }
}

/// Guards against a sound request of many callers that is refused, as several of its attempts were in hand at
/// upstreams which ended together: a rack, a failure domain.
#[test]
fn ended_together() {
    let in_hand = |life, at| Evidence { sent_at: 950, ..crash(7, life, at) };
    let mut suspects = suspects_after(&[in_hand(1, 1_000), in_hand(2, 1_010), in_hand(3, 1_090)]);
    assert_eq!(verdict(&suspects, 7, 1_100), Verdict::Confine(id(7)));
    suspects.note_crash(Evidence { sent_at: 1_020, ..crash(7, 4, 1_050) }, 0);
    assert!(is_blocked(&suspects, 7, 1_100), "it was sent on, and had another one to itself");
}

/// Guards against a sound stream that is refused, as one upstream ended long after it had begun there, and the
/// next one as it began; the third one is the last.
#[test]
fn long_answered() {
    let mut suspects = suspects_after(&[weak(7, 1, 1_000), crash(7, 2, 1_500)]);
    assert_eq!(verdict(&suspects, 7, 1_500), Verdict::Confine(id(7)));
    suspects.note_crash(weak(7, 3, 3_000), 0);
    assert!(is_blocked(&suspects, 7, 3_000));
}

/// Guards against a sound request that stays refused: its first full answer clears it everywhere, whoever
/// tells of the crashes afterwards.
#[test]
fn answered_once() {
    let crashes = [crash(7, 1, 1_000), crash(7, 2, 1_500)];
    let mut suspects = suspects_after(&crashes);
    assert!(suspects.lift(id(7), 2_000) && suspects.is_empty());
    for crash in crashes {
        assert!(!suspects.note_crash(crash, 0), "it came before the answer");
    }
    assert!(suspects.note_crash(crash(7, 3, 2_500), 0));
    assert_eq!(verdict(&suspects, 7, 2_500), Verdict::Confine(id(7)));
}

/// Guards against sound requests that are refused with a bad part of others, beside which they were in hand.
#[test]
fn explained_by_part() {
    const BAD_PART: PartId = 0xbad;
    let of_part = |life, at| Evidence {
        suspect: SuspectId::Part(SERVICE, BAD_PART),
        life,
        is_strong: true,
        at,
        sent_at: at,
    };
    let mut suspects = suspects_after(&[crash(7, 1, 1_000), crash(7, 2, 2_000)]);
    assert!(is_blocked(&suspects, 7, 2_000));
    (1..=5).for_each(|life| {
        suspects.note_crash(of_part(life, 1_000 * life as Moment), 0);
    });
    assert_eq!(verdict(&suspects, 7, 5_000), Verdict::Admit);
    let with_part = suspects.verdict(SERVICE, [BAD_PART].into_iter(), Some(7), 5_000);
    assert!(matches!(with_part, Verdict::Block(_)));
}

/// Guards against upstreams that are lost for good to a request which somebody sends for ever: a block that is
/// over costs one at most, and each further one makes the next block longer.
#[test]
fn sent_for_ever() {
    let mut suspects = suspects_after(&[crash(BAD, 1, 0), crash(BAD, 2, 100)]);
    let turn = Verdict::Try(Turn { suspect: id(BAD), round: 4, place: 0 });
    assert_eq!(verdict(&suspects, BAD, 30_100), turn);
    suspects.note_crash(crash(BAD, 3, 30_200), 0);
    assert!(is_blocked(&suspects, BAD, 30_200 + 119_999));
    assert!(!is_blocked(&suspects, BAD, 30_200 + 120_000));
}

/// Guards against a table that thousands of requests fill which were in hand when upstreams ended: what is
/// known of the one that crashes them stays, and so does what is known of parts.
#[test]
fn many_in_hand() {
    let mut suspects = suspects_after(&[crash(BAD, 1, 1_000), crash(BAD, 2, 1_100)]);
    let part = SuspectId::Part(SERVICE, 1);
    suspects.note_crash(Evidence { suspect: part, ..crash(0, 1, 1_000) }, 0);
    for request in 0..5_000 {
        suspects.note_crash(crash(10_000 + request, 3, 2_000), 0);
    }
    assert_eq!(suspects.suspicions().len(), 1_025);
    assert!(is_blocked(&suspects, BAD, 2_000) && suspects.suspicion_of(part).is_some());
    let told: Vec<_> = suspects.evidence_to_tell(4).into_iter().map(|(told, _)| told).collect();
    assert_eq!(told[..2].iter().map(|told| told.suspect).collect::<Vec<_>>(), [id(BAD); 2]);
    assert_eq!(
        (told[2].suspect, told.len()),
        (part, 4),
        "of what is not blocked, parts come first"
    );
    suspects.step(2_000 + SUSPICION_MS + 1);
    assert_eq!(suspects.suspicions().len(), 2, "their callers have left");
}
