//! A guard that counts live objects, for example open sockets.

use std::cell::Cell;
use std::rc::Rc;

/// Counts one object. The guard is stored with the object that it counts. Dropping the guard
/// decrements the count.
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Increments `count` until the guard is dropped.
    pub fn new(count: &Rc<Cell<usize>>) -> CountGuard {
        count.set(count.get() + 1);
        CountGuard(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
