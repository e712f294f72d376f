//! Block records: what is kept beyond the instances of parts of prompts that crash upstreams.
//!
//! Load pattern: which part is blocked is known to all instances, in their memory, and requests with it go on
//! coming. All instances end at once, and those that start let upstream after upstream crash until they know it
//! anew, after each such end. A block is rare, and its record costs a few calls.

use std::cell::RefCell;
use std::time::Duration;

use bergamotpitch_control::traffic::crash_evidence::{CLUSTER_MS, CRASHES_MAX};
use bergamotpitch_control::traffic::crash_suspects::{Evidence, SuspectId};
use bergamotpitch_control::traffic::facts::PartId;
use bergamotpitch_control::traffic::sound_parts::Moment;
use bergamotpitch_core::ids::id_of_name;

use crate::gateways::Gateway;

/// `RECORD_MARGIN` is for how long a record outlasts its block: until somebody has tried the part.
const RECORD_MARGIN: Duration = Duration::from_secs(60);

/// `RECORDERS` is how many instances record a block: one of them may be about to end.
const RECORDERS: usize = 2;

/// `BlockedPart` is a part of the prompts for a service that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BlockedPart {
    /// Name of the service.
    pub service: String,
    /// The part.
    pub part: PartId,
}

/// `BlockStore` keeps the records.
pub struct BlockStore {
    /// Records a part for some time.
    pub write: Box<dyn Fn(BlockedPart, Duration)>,
    /// Takes the record of a part away.
    pub remove: Box<dyn Fn(BlockedPart)>,
}

/// `BlockRecords` are the records of all parts.
#[derive(Default)]
pub(crate) struct BlockRecords {
    store: RefCell<Option<BlockStore>>,
}

impl Gateway {
    /// `keep_block_records` sets where the records are kept.
    pub fn keep_block_records(&self, store: BlockStore) {
        *self.block_records.store.borrow_mut() = Some(store);
    }

    /// `record_block` records that a part is blocked for some time.
    pub(crate) fn record_block(&self, suspect: SuspectId, blocked_for: Duration) {
        if let (Some(part), Some(store)) =
            (self.recorded_part(suspect), &*self.block_records.store.borrow())
        {
            (store.write)(part, blocked_for + RECORD_MARGIN);
        }
    }

    /// `forget_block` takes the record of a part away that is not blocked any more.
    pub(crate) fn forget_block(&self, suspect: SuspectId) {
        if let (Some(part), Some(store)) =
            (self.recorded_part(suspect), &*self.block_records.store.borrow())
        {
            (store.remove)(part);
        }
    }

    /// The part that a suspect is, where this instance is one of those that record it.
    fn recorded_part(&self, suspect: SuspectId) -> Option<BlockedPart> {
        let SuspectId::Part(service, part) = suspect else { return None };
        let own = self.options.instance;
        let members = self.members.borrow();
        let mut recorders = (0..RECORDERS).map(|place| members.whose_turn(part, place, own));
        let service = self.name_of_service(service);
        recorders.any(|recorder| recorder == own).then_some(BlockedPart { service, part })
    }

    /// `note_recorded_blocks` takes in which parts were blocked before this process started: they are again, from
    /// its start on, as if as many upstreams had crashed as block a part at any rate.
    pub fn note_recorded_blocks(&self, blocked: &[BlockedPart]) {
        for BlockedPart { service, part } in blocked {
            log::info!("event=block_record_read service={service} part={part:x}");
            let suspect = SuspectId::Part(id_of_name(service), *part);
            let evidence: Vec<Evidence> = (1..=CRASHES_MAX as Moment)
                .map(|number| {
                    // The same at each instance, so that it counts once.
                    let life = id_of_name(&format!("{service}/{part:x}/{number}"));
                    let at = -number * CLUSTER_MS;
                    Evidence { suspect, life, is_strong: true, at, sent_at: at }
                })
                .collect();
            self.note_crashes(&evidence, 0);
        }
    }
}
