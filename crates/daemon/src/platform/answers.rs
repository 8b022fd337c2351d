//! Answers of the forwarder as messages, and the log lines that explain them.

use rosemarybank_adapter::HEADERS;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Answer, RequestKey};

use crate::platform::{
    client::{Pending, State},
    journal::Kind,
    node::{Conn, Node, error_text},
};

impl Node {
    /// Answers a request whose client waits.
    pub(super) fn answer(&mut self, request: RequestKey, answer: Answer) {
        let Some(index) = self.requests.remove(request) else { return };
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        let State::Waiting(_, pending) = std::mem::replace(&mut client.state, State::Head) else {
            return;
        };
        self.deliver(index, &pending, answer);
    }

    /// Writes an answer and its log line.
    pub(super) fn deliver(&mut self, index: usize, pending: &Pending, answer: Answer) {
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
                let mut fields = String::from("content-type: application/json\r\n");
                if let Some(wait) = retry_after {
                    fields.push_str(&format!("retry-after: {:.3}\r\n", wait.as_secs_f32()));
                }
                let body = error_body(kind, &error_text(kind));
                self.write_answer(index, status_of(kind), fields.as_bytes(), &body);
            }
        }
    }

    fn log_answer(&mut self, pending: &Pending, answer: &Answer) {
        let took = self.now.saturating_sub(pending.arrived);
        let ms = took.as_millis();
        let (id, sends) = (&pending.head.request_id, pending.sends);
        let version = self.forwarder.table().map_or(0, |it| it.version);
        let common = format_args!(
            r#""request":{:?},"host":{:?},"path":{:?},"took_ms":{ms},"sends":{sends},"config":{version}"#,
            id.as_str(),
            pending.head.host.as_str(),
            pending.head.path.as_str(),
        );
        let (kind, event, detail) = match answer {
            Answer::Relay(reply) if reply.status < 400 => {
                (Kind::Answer, "relayed", format!(r#""status":{}"#, reply.status))
            }
            Answer::Relay(reply) => {
                (Kind::Failure, "relayed_failure", format!(r#""status":{}"#, reply.status))
            }
            Answer::Merged { stamps, missing, .. } => {
                let kind = if *missing == 0 { Kind::Answer } else { Kind::Attempt };
                (kind, "merged", format!(r#""parts":{},"missing":{missing}"#, stamps.len()))
            }
            Answer::Refused { kind, retry_after } => {
                let wait = retry_after.map_or(0, |it| it.as_millis());
                let text = error_text(*kind);
                let status = status_of(*kind);
                let detail =
                    format!(r#""status":{status},"reason":"{text}","retry_after_ms":{wait}"#);
                (Kind::Failure, "refused", detail)
            }
        };
        self.metrics.count_answer(answer, took);
        self.journal.line(self.now, kind, event, format_args!("{common},{detail}"));
    }
}

/// Status of a refusal. A request in quarantine is well-formed and did not run, which the tier's own
/// interface states by 422; here 503 is the status that promises it.
fn status_of(kind: ErrorKind) -> u16 {
    match kind {
        ErrorKind::Quarantined => ErrorKind::Overloaded.answer().status,
        _ => kind.answer().status,
    }
}

/// JSON body of an answer that reports an error.
pub(super) fn error_body(kind: ErrorKind, message: &str) -> Vec<u8> {
    let body = ErrorBody::new(kind, message);
    // The type holds only text and numbers, which JSON can express.
    serde_json::to_vec(&body).unwrap_or_default()
}
