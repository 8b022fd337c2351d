use std::{rc::Rc, time::Duration};

use rosemarybank_protocol::{id::Time, platform::DataCentreStatus};
use tokio::task::spawn_local;

use super::{
    input::{Input, Inputs},
    shared::Shared,
    store_calls,
};

/// Shortest time between two writes of the status object.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Writes the status object of the data centre while this instance is the chosen one.
pub(super) struct StatusWriter {
    shared: Rc<Shared>,
    inputs: Inputs,
    /// What the store holds, as far as this instance wrote it.
    written: Option<DataCentreStatus>,
    writing: Option<DataCentreStatus>,
    next: Time,
}

impl StatusWriter {
    /// Nothing is written yet.
    pub(super) fn new(shared: Rc<Shared>, inputs: Inputs) -> StatusWriter {
        StatusWriter { shared, inputs, written: None, writing: None, next: Time::ZERO }
    }

    /// Writes the status if it is new and the last write is long enough ago. `None` means that
    /// another instance writes.
    pub(super) fn offer(&mut self, status: Option<DataCentreStatus>) {
        let Some(status) = status else {
            self.written = None;
            return;
        };
        let now = self.shared.clock.now();
        if self.writing.is_some() || now < self.next || self.written.as_ref() == Some(&status) {
            return;
        }
        self.next = now + WRITE_INTERVAL;
        self.writing = Some(status.clone());
        let (shared, inputs) = (Rc::clone(&self.shared), self.inputs.clone());
        spawn_local(async move {
            let is_written = store_calls::write_status(&shared, &status).await;
            let _ = inputs.send(Input::StatusWritten { is_written });
        });
    }

    /// Takes the end of a write. A failed one is repeated at the next offer.
    pub(super) fn written(&mut self, is_written: bool) {
        let status = self.writing.take();
        if is_written {
            self.written = status;
        }
    }
}
