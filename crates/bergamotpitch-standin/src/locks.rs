//! Locks that outlive a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// `lock` gives access to a value, also after a panic elsewhere: a stand-in goes on.
///
/// ```
/// use std::sync::Mutex;
/// assert_eq!(*bergamotpitch_standin::locks::lock(&Mutex::new(1)), 1);
/// ```
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
