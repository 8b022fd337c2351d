use std::{rc::Rc, time::Duration};

use rosemarybank_protocol::{id::Time, platform::DataCentreStatus};
use tokio::task::spawn_local;

use super::{
    input::{Input, InputSender},
    shared::Shared,
    store_calls,
};

/// Minimum time between two writes of the status object.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Writes the status object of the data centre while membership assigns that to this instance.
pub(super) struct StatusWriter {
    shared: Rc<Shared>,
    inputs: InputSender,
    /// The last status that this instance has written.
    written: Option<DataCentreStatus>,
    /// The status whose write is in progress.
    writing: Option<DataCentreStatus>,
    /// Earliest time of the next write.
    next_write: Time,
}

impl StatusWriter {
    /// Creates a writer that has not written a status yet.
    pub(super) fn new(shared: Rc<Shared>, inputs: InputSender) -> StatusWriter {
        StatusWriter { shared, inputs, written: None, writing: None, next_write: Time::ZERO }
    }

    /// Starts writing the status if it has changed and no write is in progress or too recent.
    /// `None` means that another instance writes the status.
    pub(super) fn update(&mut self, status: Option<DataCentreStatus>) {
        let Some(status) = status else {
            self.written = None;
            return;
        };
        let now = self.shared.clock.now();
        if self.writing.is_some() || now < self.next_write || self.written.as_ref() == Some(&status)
        {
            return;
        }
        self.next_write = now + WRITE_INTERVAL;
        self.writing = Some(status.clone());
        let (shared, inputs) = (Rc::clone(&self.shared), self.inputs.clone());
        spawn_local(async move {
            let is_written = store_calls::write_status(&shared, &status).await;
            let _ = inputs.send(Input::StatusWritten { is_written });
        });
    }

    /// Handles the end of a write. A failed write is retried at the next update.
    pub(super) fn handle_written(&mut self, is_written: bool) {
        let status = self.writing.take();
        if is_written {
            self.written = status;
        }
    }
}
