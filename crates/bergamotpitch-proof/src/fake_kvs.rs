//! Fake key-value service in virtual time: compare-and-swap, outages, slowness, a limited rate, and
//! answers that are lost after the write took effect.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::units::Timestamp;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::randoms;

/// Time after which a client gives a call up.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// `FakeKv` is the service.
#[derive(Debug, Clone, Default)]
pub struct FakeKv {
    /// Faults that are in force for a time.
    pub faults: Vec<FaultSpan>,
    /// Time that a call needs for each way.
    pub way: Duration,
    /// Writes a second above which writes are refused; none are while it is 0.
    pub write_rate: f64,
    /// Reads a second above which reads are refused; none are while it is 0.
    pub read_rate: f64,
    /// Calls that took effect or were refused, by kind.
    pub counts: CallCounts,
    entries: HashMap<String, FakeEntry>,
    last_index: u64,
    writes: Bucket,
    reads: Bucket,
}

impl FakeKv {
    /// `new` makes an empty service.
    pub fn new(way: Duration, faults: Vec<FaultSpan>) -> Self {
        Self { faults, way, ..Self::default() }
    }
}

/// `FakeEntry` is a key's value and the index of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FakeEntry {
    /// The value.
    pub value: Vec<u8>,
    /// Index of the last change.
    pub modify_index: u64,
}

/// `Bucket` holds the calls that may be made now; it fills with the rate, for a second at most.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Bucket {
    calls: f64,
    filled: Timestamp,
}

/// `CallCounts` counts what reached the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Writes that lost against another.
    pub conflicts: u64,
    /// Calls over the rate.
    pub refused: u64,
    /// Bytes of the values read and written.
    pub value_bytes: u64,
}

/// `FaultSpan` is a fault and when it is in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultSpan {
    /// When it begins.
    pub from: Timestamp,
    /// When it is over.
    pub until: Timestamp,
    /// The fault.
    pub fault: Fault,
}

/// `Fault` is what is wrong with the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// No call takes effect; half of them are refused at once, the others are never answered.
    Outage,
    /// Every other way takes up to this much longer; a write may land after its client gave it up,
    /// and later calls overtake it.
    Slow(Duration),
    /// Every call is over the rate.
    RateLimited,
    /// So many of a hundred answers are lost after the call took effect.
    LostAnswers(f64),
}

/// `CallPlan` is what becomes of a call that is made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPlan {
    /// It is refused over the rate.
    OverRate {
        /// When the client hears it.
        at: Timestamp,
    },
    /// It is refused without an effect.
    Refused {
        /// When the client hears it.
        at: Timestamp,
    },
    /// It never reaches the service, and the client gives it up.
    Swallowed {
        /// When the client gives up.
        at: Timestamp,
    },
    /// It reaches the service.
    Lands {
        /// When it takes effect.
        at: Timestamp,
        /// When the answer comes or the client gives up.
        reply_at: Timestamp,
        /// True when the client gives up without an answer.
        lost: bool,
    },
}

/// `plan_call` decides what becomes of a call.
pub fn plan_call(
    kv: &mut FakeKv,
    now: Timestamp,
    is_write: bool,
    random: &mut Xoshiro256PlusPlus,
) -> CallPlan {
    let is_over_rate = !take_call(kv, now, is_write);
    let mut there = jittered(kv.way, random);
    let mut back = jittered(kv.way, random);
    if is_over_rate {
        kv.counts.refused += 1;
        return CallPlan::OverRate { at: now + there + back };
    }
    let mut lost = false;
    for span in kv.faults.iter().filter(|span| span.from <= now && now < span.until) {
        match span.fault {
            Fault::Outage if randoms::unit(random) < 0.5 => {
                return CallPlan::Refused { at: now + there + back };
            }
            Fault::Outage => return CallPlan::Swallowed { at: now + CALL_TIMEOUT },
            Fault::RateLimited => return CallPlan::OverRate { at: now + there + back },
            Fault::Slow(most) => {
                there += slowness(most, random);
                back += slowness(most, random);
            }
            Fault::LostAnswers(percent) => lost |= randoms::unit(random) * 100.0 < percent,
        }
    }
    let answered = now + there + back;
    let lost = lost || now + CALL_TIMEOUT < answered;
    let reply_at = if lost { now + CALL_TIMEOUT } else { answered };
    CallPlan::Lands { at: now + there, reply_at, lost }
}

fn take_call(kv: &mut FakeKv, now: Timestamp, is_write: bool) -> bool {
    let (rate, bucket) =
        if is_write { (kv.write_rate, &mut kv.writes) } else { (kv.read_rate, &mut kv.reads) };
    if rate == 0.0 {
        return true;
    }
    // A tenth of a second's calls may come at once.
    let filled = (now - bucket.filled).as_secs_f64() * rate;
    bucket.calls = (bucket.calls + filled).min(rate / 10.0);
    bucket.filled = now;
    if bucket.calls < 1.0 {
        return false;
    }
    bucket.calls -= 1.0;
    true
}

/// `read` reads a key.
pub fn read(kv: &mut FakeKv, key: &str) -> Option<FakeEntry> {
    let entry = kv.entries.get(key).cloned();
    kv.counts.reads += 1;
    kv.counts.value_bytes += entry.as_ref().map_or(0, |entry| entry.value.len() as u64);
    entry
}

/// `peek` reads a key for a checker; nothing is counted.
pub fn peek<'a>(kv: &'a FakeKv, key: &str) -> Option<&'a FakeEntry> {
    kv.entries.get(key)
}

/// `write` writes a key if its index is still the base index, 0 for an absent key.
pub fn write(kv: &mut FakeKv, key: &str, value: Vec<u8>, base_index: u64) -> bool {
    let index = kv.entries.get(key).map_or(0, |entry| entry.modify_index);
    if index != base_index {
        kv.counts.conflicts += 1;
        return false;
    }
    kv.counts.writes += 1;
    kv.counts.value_bytes += value.len() as u64;
    // As in the real service, a write that changes nothing leaves the index as it is.
    if kv.entries.get(key).is_some_and(|entry| entry.value == value) {
        return true;
    }
    kv.last_index += 1;
    let entry = FakeEntry { value, modify_index: kv.last_index };
    kv.entries.insert(key.to_owned(), entry);
    true
}

/// `delete` removes a key.
pub fn delete(kv: &mut FakeKv, key: &str) {
    kv.entries.remove(key);
}

/// `random_faults` draws a schedule of faults within a time, some of them at once.
pub fn random_faults(
    random: &mut Xoshiro256PlusPlus,
    count: usize,
    until: Duration,
) -> Vec<FaultSpan> {
    (0..count)
        .map(|_| {
            let from = until.mul_f64(randoms::unit(random) * 0.9);
            let length = until.mul_f64(0.02 + randoms::unit(random) * 0.15);
            let fault = match (randoms::unit(random) * 4.0) as u32 {
                0 => Fault::Outage,
                1 => Fault::Slow(CALL_TIMEOUT.mul_f64(randoms::unit(random) * 4.0)),
                2 => Fault::RateLimited,
                _ => Fault::LostAnswers(20.0 + randoms::unit(random) * 60.0),
            };
            FaultSpan { from, until: from + length, fault }
        })
        .collect()
}

fn slowness(most: Duration, random: &mut Xoshiro256PlusPlus) -> Duration {
    let length = randoms::unit(random);
    if randoms::unit(random) < 0.5 { most.mul_f64(length) } else { Duration::ZERO }
}

fn jittered(way: Duration, random: &mut Xoshiro256PlusPlus) -> Duration {
    way.mul_f64(0.5 + randoms::unit(random))
}
