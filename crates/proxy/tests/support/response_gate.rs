//! A gate that blocks the responses of fake backends until the test opens it.

use std::sync::{mpsc, Arc, Mutex};

/// Opens the gate that was created together with it.
pub struct GateOpener {
    /// Nothing is sent on it. Dropping it ends the wait of every receiver.
    _sender: mpsc::Sender<()>,
}

impl GateOpener {
    /// Opens the gate: all current and later calls of [`ResponseGate::wait`] return.
    pub fn open(self) {
        drop(self);
    }
}

/// A gate to wait at. Clones refer to the same gate.
#[derive(Clone)]
pub struct ResponseGate {
    receiver: Arc<Mutex<mpsc::Receiver<()>>>,
}

impl ResponseGate {
    /// Creates a closed gate and its opener. The gate also opens when the opener is dropped.
    pub fn closed() -> (GateOpener, ResponseGate) {
        let (sender, receiver) = mpsc::channel();
        let receiver = Arc::new(Mutex::new(receiver));
        let opener = GateOpener { _sender: sender };
        (opener, ResponseGate { receiver })
    }

    /// Blocks until the gate is open.
    pub fn wait(&self) {
        let _ = self.receiver.lock().unwrap().recv(); // an error says that the opener was dropped
    }
}
