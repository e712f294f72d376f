//! Block records: what is kept beyond the instances of parts of prompts that crash upstreams.
//!
//! Load pattern: which part is blocked is known to all instances, in their memory, and requests with it go on
//! coming. All instances end at once, and those that start let upstream after upstream crash until they know it
//! anew, after each such end. A block is rare, and its record costs a few calls.

use std::cell::RefCell;
use std::time::Duration;

use bergamotpitch_control::traffic::crash_evidence::recorded_block;
use bergamotpitch_control::traffic::crash_suspects::SuspectId;
use bergamotpitch_control::traffic::facts::PartId;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::id_of_name;
use bergamotpitch_core::units::Timestamp;

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
    /// Until when the blocks last that this instance has recorded.
    recorded: RefCell<HashMap<SuspectId, Timestamp>>,
}

impl Gateway {
    /// `keep_block_records` sets where the records are kept.
    pub fn keep_block_records(&self, store: BlockStore) {
        *self.block_records.store.borrow_mut() = Some(store);
    }

    /// `record_block` records that a part is blocked for some time, where no record outlasts that.
    pub(crate) fn record_block(&self, suspect: SuspectId, blocked_for: Duration) {
        let until = self.now() + blocked_for;
        let mut recorded = self.block_records.recorded.borrow_mut();
        let is_recorded =
            recorded.get(&suspect).is_some_and(|recorded| until < *recorded + RECORD_MARGIN);
        if blocked_for.is_zero() || is_recorded {
            return;
        }
        if let (Some(part), Some(store)) =
            (self.recorded_part(suspect), &*self.block_records.store.borrow())
        {
            recorded.insert(suspect, until);
            (store.write)(part, blocked_for + RECORD_MARGIN);
        }
    }

    /// `forget_block` takes the record of a part away that is not blocked any more.
    pub(crate) fn forget_block(&self, suspect: SuspectId) {
        self.block_records.recorded.borrow_mut().remove(&suspect);
        if let (Some(part), Some(store)) =
            (self.recorded_part(suspect), &*self.block_records.store.borrow())
        {
            (store.remove)(part);
        }
    }

    /// The part that a suspect is, where this instance is one of those that record it and knows its service.
    fn recorded_part(&self, suspect: SuspectId) -> Option<BlockedPart> {
        let SuspectId::Part(service, part) = suspect else { return None };
        let own = self.options.instance;
        let members = self.members.borrow();
        let mut recorders = (0..RECORDERS).map(|place| members.whose_turn(part, place, own));
        let service = self.catalog()?.service_of_id(service)?.name.clone();
        recorders.any(|recorder| recorder == own).then_some(BlockedPart { service, part })
    }

    /// `note_recorded_blocks` takes in which parts were blocked before this process started: one request at a time
    /// tries them.
    pub fn note_recorded_blocks(&self, blocked: &[BlockedPart]) {
        for BlockedPart { service, part } in blocked {
            log::info!("event=block_record_read service={service} part={part:x}");
            self.note_crashes(&recorded_block(id_of_name(service), *part), 0);
        }
    }
}
