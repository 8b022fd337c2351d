use std::{convert::Infallible, net::SocketAddr, panic::AssertUnwindSafe};

use compact_str::{CompactString, format_compact};
use gotham::{helpers::http::Body, router::Router, service::call_handler, state::State};
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use rosemarybank_protocol::{error::ErrorKind, id::ServiceId};
use slog::error;

use super::{request_error::RequestError, response, router::RequestContext, shared::SharedState};
use crate::{
    http_server::Handler,
    in_flight::{InFlightRequest, InFlightRequests},
    lifecycle::{Phase, PhaseWatch},
    telemetry::{Hop, Record, RequestRecord, Span},
    trace::{TRACEPARENT, TraceContext},
};

/// HTTP service of the callers' port: routes requests and reports telemetry for them.
#[derive(Clone)]
pub(super) struct FrontService {
    /// State shared by all requests.
    pub(super) shared: SharedState,
    /// Router of the callers' port.
    pub(super) router: Router,
    /// Registry of the requests in flight.
    pub(super) in_flight: InFlightRequests,
    /// Lifecycle phase of the process.
    pub(super) phase: PhaseWatch,
}

impl Handler for FrontService {
    async fn handle(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<Response<Body>, Infallible> {
        let shared = &self.shared;
        let arrived_at = shared.clock.now();
        let trace = TraceContext::continue_from(req.headers().get(TRACEPARENT));
        let (method, version) = (req.method().clone(), req.version());
        let path = CompactString::from(req.uri().path());
        let description = format_compact!("{method} {path}");
        let _in_flight = self.in_flight.track(InFlightRequest { description, trace, arrived_at });
        let mut state = State::from_request(req, peer);
        state.put(RequestContext { shared: shared.clone(), trace, arrived_at });
        let router = self.router.clone();
        let mut response = match call_handler(router, AssertUnwindSafe(state)).await {
            Ok(response) => response::add_error_body(response, trace),
            Err(err) => {
                error!(shared.log, "request handler failed"; "error" => %err);
                response::error(RequestError::new(ErrorKind::Internal, "the handler failed"), trace)
            }
        };
        if version <= Version::HTTP_11 && self.phase.current() > Phase::Running {
            // Makes the caller open a new connection, to another instance, for its next request.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let end = shared.clock.now();
        let status = response.status().as_u16();
        let service = service_label(shared, &path);
        let duration = end.saturating_sub(arrived_at);
        shared.recorder.record(Record::Request(RequestRecord { service, status, duration }));
        let detail = format_compact!("{method} {path} {status}");
        let span = Span { trace, hop: Hop::Front, start: arrived_at, end, detail };
        shared.recorder.record(Record::Span(span));
        Ok(response)
    }
}

/// Returns the service that a path names, or `-` if it is not configured. Reporting unknown names
/// would let callers create an unlimited number of metric series.
fn service_label(shared: &SharedState, path: &str) -> ServiceId {
    let name = path.strip_prefix("/v1/services/").and_then(|rest| rest.split('/').next());
    let configured = shared.config().ok().and_then(|config| {
        name.and_then(|it| config.services.get(it)).map(|service| service.name.clone())
    });
    configured.unwrap_or_else(|| "-".into())
}
