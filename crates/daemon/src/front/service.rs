use std::{convert::Infallible, net::SocketAddr, panic::AssertUnwindSafe};

use compact_str::{CompactString, format_compact};
use gotham::{helpers::http::Body, router::Router, service::call_handler, state::State};
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use rosemarybank_protocol::{error::ErrorKind, id::ServiceId};
use slog::error;

use super::{answer, fail::Fail, router::RequestContext, shared::Shared};
use crate::{
    http_server::Handler,
    in_flight::{InFlightRequest, InFlightRequests},
    lifecycle::{Phase, PhaseWatch},
    telemetry::{Hop, Record, RequestRecord, Span},
    trace::{TRACEPARENT, TraceContext},
};

/// Runs callers' requests through the router.
#[derive(Clone)]
pub(super) struct FrontService {
    /// What all requests share.
    pub(super) shared: Shared,
    /// The callers' paths.
    pub(super) router: Router,
    /// Requests in flight.
    pub(super) in_flight: InFlightRequests,
    /// Phases of the process.
    pub(super) phase: PhaseWatch,
}

impl Handler for FrontService {
    async fn handle(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<Response<Body>, Infallible> {
        let shared = &self.shared;
        let arrived = shared.clock.now();
        let trace = TraceContext::continue_from(req.headers().get(TRACEPARENT));
        let (method, version) = (req.method().clone(), req.version());
        let path = CompactString::from(req.uri().path());
        let description = format_compact!("{method} {path}");
        let _in_flight =
            self.in_flight.track(InFlightRequest { description, trace, arrived_at: arrived });
        let mut state = State::from_request(req, peer);
        state.put(RequestContext { shared: shared.clone(), trace, arrived });
        let router = self.router.clone();
        let mut response = match call_handler(router, AssertUnwindSafe(state)).await {
            Ok(response) => answer::complete(response, trace),
            Err(err) => {
                error!(shared.log, "a handler failed"; "error" => %err);
                answer::error(Fail::new(ErrorKind::Internal, "the handler failed"), trace)
            }
        };
        if version <= Version::HTTP_11 && self.phase.current() > Phase::Running {
            // The caller then sends its next request on another connection, to another instance.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let end = shared.clock.now();
        let status = response.status().as_u16();
        let service = known_service(shared, &path);
        let took = end.saturating_sub(arrived);
        shared.recorder.record(Record::Request(RequestRecord { service, status, took }));
        let detail = format_compact!("{method} {path} {status}");
        let span = Span { trace, hop: Hop::Front, start: arrived, end, detail };
        shared.recorder.record(Record::Span(span));
        Ok(response)
    }
}

/// The service that a path names, if there is one. Unknown names would make endless metrics.
fn known_service(shared: &Shared, path: &str) -> ServiceId {
    let named = path.strip_prefix("/v1/services/").and_then(|rest| rest.split('/').next());
    let known = shared.config().ok().and_then(|config| {
        named.and_then(|it| config.services.get(it)).map(|service| service.name.clone())
    });
    known.unwrap_or_else(|| "-".into())
}
