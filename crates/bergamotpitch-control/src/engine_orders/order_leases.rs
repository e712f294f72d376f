//! Order leases: how an instance gets, keeps and leaves the lease under which it sends orders.

use bergamotpitch_core::units::Timestamp;

use crate::engine_orders::orders::OrderScheduler;

/// `OrderGuards` are the rules that a proof switches off one by one; all are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderGuards {
    /// The time is checked right before an order is sent.
    pub stops_before_expiry: bool,
    /// A new holder waits out the longest order in flight.
    pub waits_for_orders_in_flight: bool,
}

impl Default for OrderGuards {
    fn default() -> Self {
        Self { stops_before_expiry: true, waits_for_orders_in_flight: true }
    }
}

/// `Lease` is where this instance stands with the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lease {
    /// It has none.
    Absent {
        /// When it may ask for it.
        retry_at: Timestamp,
    },
    /// A session is being opened.
    Opening {
        /// When that was asked for.
        requested_at: Timestamp,
    },
    /// A session is open and the lock is asked for.
    Locking {
        /// The session.
        session: String,
        /// When the session was asked for; its time runs from then on at the earliest.
        renewed_at: Timestamp,
    },
    /// The lock is held.
    Held(Held),
}

/// `Held` is a lease that is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// The session.
    pub session: String,
    /// Fencing number.
    pub fencing: u64,
    /// When the lock was won, as this instance learned.
    pub acquired_at: Timestamp,
    /// Time from which on no order may be sent.
    pub valid_until: Timestamp,
    /// When the renewal under way was asked for.
    pub renewal_requested_at: Option<Timestamp>,
    /// When the next renewal is due.
    pub renew_at: Timestamp,
}

impl Default for Lease {
    fn default() -> Self {
        Self::Absent { retry_at: Timestamp::ZERO }
    }
}

/// `LeaseEffect` is a call that concerns the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Open a session.
    Open,
    /// Ask for the lock, then read whether the session holds it and its fencing number.
    Lock {
        /// The session.
        session: String,
    },
    /// Renew the session.
    Renew {
        /// The session.
        session: String,
    },
    /// End the session.
    Close {
        /// The session.
        session: String,
    },
}

/// `LeaseEvent` is the result of a call that concerns the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A session was opened.
    Opened {
        /// The session.
        session: String,
    },
    /// The lock was read after it was asked for, and this session holds it.
    Locked {
        /// Fencing number.
        fencing: u64,
    },
    /// Another session holds the lock.
    Taken,
    /// The session was renewed.
    Renewed,
    /// The session has ended.
    Ended,
    /// The call failed, and its effect is unknown.
    Failed,
}

/// `apply_lease_event` takes over the result of a call.
pub fn apply_lease_event(scheduler: &mut OrderScheduler, now: Timestamp, event: LeaseEvent) {
    let absent = Lease::Absent { retry_at: now + scheduler.options.retry_delay };
    let usable = scheduler.options.lease_ttl.saturating_sub(scheduler.options.lease_margin);
    let lease = std::mem::replace(&mut scheduler.lease, absent);
    scheduler.lease = match (lease, event) {
        (Lease::Opening { requested_at }, LeaseEvent::Opened { session }) => {
            Lease::Locking { session, renewed_at: requested_at }
        }
        (Lease::Locking { session, renewed_at }, LeaseEvent::Locked { fencing }) => {
            Lease::Held(Held {
                session,
                fencing,
                acquired_at: now,
                // The platform counts from when it took the call, which is later than the asking:
                // the holder's own end comes first.
                valid_until: renewed_at + usable,
                renewal_requested_at: None,
                renew_at: renewed_at + scheduler.options.renew_interval,
            })
        }
        (Lease::Held(held), LeaseEvent::Renewed) => {
            let renewed_at = held.renewal_requested_at.unwrap_or(held.acquired_at);
            Lease::Held(Held {
                valid_until: held.valid_until.max(renewed_at + usable),
                renewal_requested_at: None,
                renew_at: renewed_at + scheduler.options.renew_interval,
                ..held
            })
        }
        // A renewal whose answer was lost is asked for again; meanwhile the old end stands.
        (Lease::Held(held), LeaseEvent::Failed) if now < held.valid_until => Lease::Held(Held {
            renewal_requested_at: None,
            renew_at: now + scheduler.options.retry_delay,
            ..held
        }),
        (_, LeaseEvent::Taken) => Lease::Absent { retry_at: now + scheduler.options.lease_ttl / 2 },
        _ => return,
    };
}

/// `run_lease` makes the call that is due, if any.
pub(crate) fn run_lease(scheduler: &mut OrderScheduler, now: Timestamp) -> Option<LeaseEffect> {
    let ttl = scheduler.options.lease_ttl;
    let has_orders = scheduler.has_orders_in_flight();
    match &mut scheduler.lease {
        Lease::Absent { retry_at } if scheduler.is_candidate && *retry_at <= now => {
            scheduler.lease = Lease::Opening { requested_at: now };
            Some(LeaseEffect::Open)
        }
        // An order that was put out may be sent until its time is over: the lock must not be free
        // for another holder before that.
        Lease::Held(held) if !scheduler.is_candidate && !has_orders => {
            let session = held.session.clone();
            scheduler.lease = Lease::Absent { retry_at: now + ttl };
            Some(LeaseEffect::Close { session })
        }
        Lease::Held(held) if held.valid_until <= now => {
            // Its end has passed; whether the platform still sees it as held does not matter.
            let session = held.session.clone();
            scheduler.lease = Lease::Absent { retry_at: now + scheduler.options.retry_delay };
            Some(LeaseEffect::Close { session })
        }
        Lease::Held(held) if held.renewal_requested_at.is_none() && held.renew_at <= now => {
            held.renewal_requested_at = Some(now);
            Some(LeaseEffect::Renew { session: held.session.clone() })
        }
        _ => None,
    }
}

/// `lock_effect` is the call that follows when a session was opened.
pub fn lock_effect(scheduler: &OrderScheduler) -> Option<LeaseEffect> {
    match &scheduler.lease {
        Lease::Locking { session, .. } => Some(LeaseEffect::Lock { session: session.clone() }),
        _ => None,
    }
}
