//! Counts how many of a thing exist, open sockets for example.

use std::cell::Cell;
use std::rc::Rc;

/// Counts one thing for as long as the guard exists, which belongs to that thing.
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Adds one to the count until the guard is dropped.
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
