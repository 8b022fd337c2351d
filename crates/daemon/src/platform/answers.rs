//! Answers to clients: rendering and logging.

use std::time::Duration;

use rosemarybank_adapter::HEADERS;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Answer, RequestKey};

use crate::platform::{
    client::{ClientState, PendingRequest},
    event_loop::{Conn, EventLoop, error_name},
    journal::{LineKind, excerpt},
};

impl EventLoop {
    /// Answers a request that was submitted to the forwarder.
    pub(super) fn answer_request(&mut self, request: RequestKey, answer: Answer) {
        let index = self.request_conns.remove(&request);
        let client = index.and_then(|it| match self.conns.get_mut(it) {
            Some(Conn::Client(client)) => Some((it, client)),
            _ => None,
        });
        let Some((index, client)) = client else {
            return self.drop_answer("the client has left");
        };
        match std::mem::replace(&mut client.state, ClientState::ReadingHead) {
            ClientState::AwaitingAnswer(key, pending) if key == request => {
                self.send_answer(index, &pending, answer);
            }
            state => {
                client.state = state;
                self.drop_answer("its connection waits for no answer to it");
            }
        }
    }

    /// Counts and logs an answer that no connection waits for.
    fn drop_answer(&mut self, reason: &str) {
        self.metrics.answers_dropped += 1;
        self.journal.log(
            self.now,
            LineKind::Failure,
            "answer_dropped",
            format_args!(r#""reason":{reason:?}"#),
        );
    }

    /// Logs an answer and writes it to the client.
    pub(super) fn send_answer(&mut self, index: usize, pending: &PendingRequest, answer: Answer) {
        self.log_answer(pending, &answer);
        match answer {
            Answer::Relay(reply) => {
                self.write_answer(index, reply.status, &reply.fields, &reply.body);
            }
            Answer::Merged { stamps, missing, body } => {
                let fields = format!(
                    "{}: {}\r\n{}: {}\r\n{}: {missing}\r\n",
                    HEADERS.request_id,
                    pending.head.request_id,
                    HEADERS.part_stamps,
                    stamps.join(", "),
                    HEADERS.missing_parts,
                );
                self.write_answer(index, 200, fields.as_bytes(), &body);
            }
            Answer::Refused { kind, retry_after } => {
                let fields = error_fields(retry_after);
                let body = error_body(kind, &error_name(kind));
                self.write_answer(index, status_of(kind), fields.as_bytes(), &body);
            }
        }
    }

    fn log_answer(&mut self, pending: &PendingRequest, answer: &Answer) {
        let elapsed = self.now.saturating_sub(pending.arrived_at);
        let ms = elapsed.as_millis();
        let (id, sends) = (&pending.head.request_id, pending.sends);
        let version = self.forwarder.table().map_or(0, |it| it.version);
        let common = format_args!(
            r#""request":{:?},"host":{:?},"path":{:?},"took_ms":{ms},"sends":{sends},"config":{version}"#,
            excerpt(id),
            excerpt(&pending.head.host),
            excerpt(&pending.head.path),
        );
        let (kind, event, detail) = match answer {
            Answer::Relay(reply) if reply.status < 400 => {
                (LineKind::Answer, "relayed", format!(r#""status":{}"#, reply.status))
            }
            Answer::Relay(reply) => {
                (LineKind::Failure, "relayed_failure", format!(r#""status":{}"#, reply.status))
            }
            Answer::Merged { stamps, missing, .. } => {
                let kind = if *missing == 0 { LineKind::Answer } else { LineKind::Attempt };
                (kind, "merged", format!(r#""parts":{},"missing":{missing}"#, stamps.len()))
            }
            Answer::Refused { kind, retry_after } => {
                let retry_after = retry_after.map_or(0, |it| it.as_millis());
                let reason = error_name(*kind);
                let status = status_of(*kind);
                let detail = format!(
                    r#""status":{status},"reason":"{reason}","retry_after_ms":{retry_after}"#
                );
                (LineKind::Failure, "refused", detail)
            }
        };
        self.metrics.count_answer(answer, elapsed);
        self.journal.log(self.now, kind, event, format_args!("{common},{detail}"));
    }
}

/// HTTP status of a refusal. A quarantined request gets 503, which guarantees to clients of the
/// platform that the request did not run. The query tier's own interface uses 422 for it.
fn status_of(kind: ErrorKind) -> u16 {
    match kind {
        ErrorKind::Quarantined => ErrorKind::Overloaded.spec().status,
        _ => kind.spec().status,
    }
}

/// Header fields of an error response.
pub(super) fn error_fields(retry_after: Option<Duration>) -> String {
    let mut fields = String::from("content-type: application/json\r\n");
    if let Some(wait) = retry_after {
        fields.push_str(&format!("retry-after: {:.3}\r\n", wait.as_secs_f32()));
    }
    fields
}

/// JSON body of an error response.
pub(super) fn error_body(kind: ErrorKind, message: &str) -> Vec<u8> {
    let body = ErrorBody::new(kind, message);
    // Text and numbers always serialize.
    serde_json::to_vec(&body).unwrap_or_default()
}
