//! Suspect tables: a bounded number of suspects of each kind, of which those with the least evidence give way.
//!
//! Load pattern: a quarter of all upstreams crash at once, and what was in hand at them makes a thousand
//! suspects within a second. The table is searched for the weakest once with a step and not with each crash.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bergamotpitch_core::HashMap;

use crate::traffic::crash_evidence::{CrashRecord, Evidence, SuspectId};
use crate::traffic::sound_parts::Moment;

/// `SUSPECTS_MAX` bounds the parts, and the requests, in the table.
const SUSPECTS_MAX: usize = 1_024;

/// `Suspect` is what is held against one of them.
#[derive(Debug)]
pub(super) struct Suspect {
    pub record: CrashRecord,
    /// Requests that had been answered here before the first crash.
    pub answers_before: u64,
    /// Requests that were answered since then at another instance.
    pub answers_told: u64,
}

/// `Strength` orders suspects by the evidence against them.
type Strength = (u32, Moment, SuspectId);

impl Suspect {
    pub fn new(id: SuspectId, was_sound: bool, answers_before: u64) -> Self {
        Self { record: CrashRecord::new(id, was_sound), answers_before, answers_told: 0 }
    }

    fn strength(&self, id: SuspectId) -> Strength {
        (self.record.weight(), self.record.last_at(), id)
    }
}

/// `SuspectTable` holds the suspects.
#[derive(Debug, Default)]
pub(super) struct SuspectTable {
    suspects: HashMap<SuspectId, Suspect>,
    part_room: Room,
    request_room: Room,
}

/// `Room` is the room for suspects of one kind.
#[derive(Debug, Default)]
struct Room {
    /// How many more there may be.
    left: usize,
    /// Those that give way once there is none left, the weakest first. What has changed since is passed over.
    weakest: Option<BinaryHeap<Reverse<Strength>>>,
}

impl SuspectTable {
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    pub fn get(&self, id: SuspectId) -> Option<&Suspect> {
        self.suspects.get(&id)
    }

    pub fn get_mut(&mut self, id: SuspectId) -> Option<&mut Suspect> {
        self.suspects.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (SuspectId, &Suspect)> {
        self.suspects.iter().map(|(id, suspect)| (*id, suspect))
    }

    pub fn get_or_insert_with(
        &mut self,
        id: SuspectId,
        new: impl FnOnce() -> Suspect,
    ) -> &mut Suspect {
        self.suspects.entry(id).or_insert_with(new)
    }

    pub fn remove(&mut self, id: SuspectId) {
        self.suspects.remove(&id);
    }

    pub fn retain(&mut self, predicate: impl FnMut(&SuspectId, &mut Suspect) -> bool) {
        self.suspects.retain(predicate);
    }

    /// Takes in evidence against a suspect that may be a new one, and tells whether it was news.
    pub fn add(
        &mut self,
        evidence: Evidence,
        answers_told: u64,
        new: impl FnOnce() -> Suspect,
    ) -> bool {
        let id = evidence.suspect;
        if !self.suspects.contains_key(&id) {
            self.make_room(id.is_request());
        }
        let known = self.get_or_insert_with(id, new);
        known.answers_told = known.answers_told.max(answers_told);
        let is_news = known.record.add(evidence);
        let strength = known.strength(id);
        if let Some(weakest) = &mut self.room_mut(id.is_request()).weakest {
            weakest.push(Reverse(strength));
        }
        is_news
    }

    /// Lets the table be searched once more.
    pub fn step(&mut self) {
        (self.part_room, self.request_room) = (Room::default(), Room::default());
    }

    fn room_mut(&mut self, is_request: bool) -> &mut Room {
        if is_request { &mut self.request_room } else { &mut self.part_room }
    }

    /// Makes room for one more suspect of a kind; where there are too many of it, the one with the least evidence
    /// is dropped.
    fn make_room(&mut self, is_request: bool) {
        let room = self.room_mut(is_request);
        if let Some(left) = room.left.checked_sub(1) {
            room.left = left;
            return;
        }
        let Some(mut weakest) = room.weakest.take().filter(|weakest| !weakest.is_empty()) else {
            return self.search_room(is_request);
        };
        while let Some(Reverse(strength)) = weakest.pop() {
            let id = strength.2;
            if self.suspects.get(&id).is_some_and(|known| known.strength(id) == strength) {
                self.suspects.remove(&id);
                break;
            }
        }
        self.room_mut(is_request).weakest = Some(weakest);
    }

    fn search_room(&mut self, is_request: bool) {
        let of_kind = self.iter().filter(|(id, _)| id.is_request() == is_request);
        let strengths: Vec<_> = of_kind.map(|(id, known)| Reverse(known.strength(id))).collect();
        match SUSPECTS_MAX.checked_sub(strengths.len() + 1) {
            Some(left) => *self.room_mut(is_request) = Room { left, weakest: None },
            None => {
                let surplus = strengths.len() + 1 - SUSPECTS_MAX;
                let weakest = Some(BinaryHeap::from(strengths));
                *self.room_mut(is_request) = Room { left: 0, weakest };
                (0..surplus).for_each(|_| self.make_room(is_request));
            }
        }
    }
}
