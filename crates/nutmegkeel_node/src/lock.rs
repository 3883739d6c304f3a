//! Locks whose holders may have panicked.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a thread panicked while it held the lock: what it guards is whole between any
/// two statements here, and one thread's fault must not stop the others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
