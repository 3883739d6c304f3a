//! Locks whose holders may have panicked.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if a thread panicked while it held the lock. The guarded values are
/// consistent between any two statements here, and a panic of one thread must not stop the others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
