//! Sheet histories: which version was in force where and when, and the checks that versions never go
//! back and that an accepted one is in force everywhere in time.

use std::time::Duration;

use bergamotpitch_core::ids::SheetVersion;
use bergamotpitch_core::units::Timestamp;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// `InForce` notes that a version came into force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForce {
    /// When.
    pub at: Timestamp,
    /// Index of the router.
    pub router: usize,
    /// Life of the router, from 0.
    pub life: usize,
    /// The version.
    pub version: SheetVersion,
}

/// `SheetFault` is a promise that a history breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SheetFault {
    /// A router went back to an older version within its life.
    WentBack(InForce),
    /// A router that restarted began with an older version than it had before.
    BeganOlder(InForce),
    /// A router did not have the version in force in time.
    Late {
        /// Index of the router.
        router: usize,
        /// The version.
        version: SheetVersion,
    },
}

/// `check_versions` checks that versions only rise at each router, also over its restarts.
pub fn check_versions(history: &[InForce]) -> Vec<SheetFault> {
    let mut faults = Vec::new();
    for (index, entry) in history.iter().enumerate() {
        let earlier = history[..index].iter().rev().find(|earlier| earlier.router == entry.router);
        let Some(earlier) = earlier else { continue };
        if earlier.life == entry.life && entry.version <= earlier.version {
            faults.push(SheetFault::WentBack(*entry));
        }
        if earlier.life < entry.life && entry.version < earlier.version {
            faults.push(SheetFault::BeganOlder(*entry));
        }
    }
    faults
}

/// `check_times` checks that each of `routers` has a version or a newer one in force within a time
/// of its acceptance.
pub fn check_times(
    history: &[InForce],
    routers: &[usize],
    version: SheetVersion,
    accepted: Timestamp,
    limit: Duration,
) -> Vec<SheetFault> {
    let is_in_time = |router: &usize| {
        history.iter().any(|entry| {
            entry.router == *router && version <= entry.version && entry.at <= accepted + limit
        })
    };
    routers
        .iter()
        .filter(|router| !is_in_time(router))
        .map(|router| SheetFault::Late { router: *router, version })
        .collect()
}

/// `Applying` is one call of an operator to apply a sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applying {
    /// Version that it was based on.
    pub base: SheetVersion,
    /// What the operator was told.
    pub told: Told,
}

/// `Told` is what an operator was told of a sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The sheet was accepted under this version.
    Applied(SheetVersion),
    /// Another version is in force.
    Conflict(SheetVersion),
    /// Nothing is known.
    Unknown,
    /// Nothing was written.
    Failed,
}

/// `OperatorStep` is the beginning or the end of a call, in order of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorStep {
    /// The call of an operator began.
    Begun {
        /// Number of the call.
        call: usize,
        /// The call, with what it will be told.
        applying: Applying,
    },
    /// The call ended.
    Ended {
        /// Number of the call.
        call: usize,
        /// The call.
        applying: Applying,
    },
}

struct VersionRegister;

impl Specification for VersionRegister {
    type State = SheetVersion;
    type Operation = Applying;

    fn init() -> SheetVersion {
        0
    }

    fn apply(operation: &Applying, held: &SheetVersion) -> (bool, SheetVersion) {
        match operation.told {
            Told::Applied(version) => {
                let is_right = operation.base == *held && version == held + 1;
                (is_right, if is_right { version } else { *held })
            }
            Told::Conflict(version) => (version == *held && version != operation.base, *held),
            Told::Unknown if operation.base == *held => (true, held + 1),
            Told::Unknown | Told::Failed => (true, *held),
        }
    }
}

/// `is_linearizable` tells whether the calls of operators behave like one register of versions.
///
/// A call whose result is unknown may take effect at any time after its beginning, or never.
pub fn is_linearizable(steps: &[OperatorStep]) -> bool {
    let mut actions = Vec::new();
    let mut open = Vec::new();
    for step in steps {
        match *step {
            OperatorStep::Begun { call, applying } => {
                actions.push((call, Action::Call(applying)));
                open.push((call, applying));
            }
            OperatorStep::Ended { call, applying } if applying.told != Told::Unknown => {
                open.retain(|(other, _)| *other != call);
                actions.push((call, Action::Response(applying)));
            }
            OperatorStep::Ended { .. } => {}
        }
    }
    actions.extend(open.into_iter().map(|(call, applying)| (call, Action::Response(applying))));
    actions.is_empty()
        || WGLChecker::<VersionRegister>::is_linearizable(History::from_actions(actions))
}
