use std::{
    io,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rosemarybank_ring::{Receiver, Sender};
use slog::{Logger, info};
use tokio::net::TcpListener;

use super::{
    admin::{AdminService, AdminState, AdminToControl},
    metrics::Metrics,
    names::Counter,
    record::Record,
    sink::MemorySink,
    spans::SpanBuffer,
};
use crate::{
    http_server::{self, ConnectionObserver, HttpLimits},
    lifecycle::{Phase, PhaseWatch, Readiness},
    settings::Settings,
    shared_sender::SharedSender,
};

/// Limits of the admin port, which serves few clients and small requests.
const ADMIN_LIMITS: HttpLimits = HttpLimits {
    max_connections: 64,
    streams_per_connection: 16,
    max_head_bytes: 8_192,
    head_timeout: Duration::from_secs(5),
    drain_from: Phase::Exiting,
};

/// Interval at which the number of dropped records is reported.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Inputs of the telemetry thread.
pub struct TelemetrySetup {
    /// Settings of the instance.
    pub settings: Arc<Settings>,
    /// Listener of the admin port.
    pub listener: std::net::TcpListener,
    /// Receivers of records, one for each other thread.
    pub records: Vec<Receiver<Record>>,
    /// Number of records dropped because their ring buffer was full.
    pub dropped: Arc<AtomicU64>,
    /// Sends messages to the control thread.
    pub to_control: Sender<AdminToControl>,
    /// Whether the instance can serve requests.
    pub readiness: Readiness,
    /// Logger.
    pub log: Logger,
    /// Lifecycle phase of the process.
    pub phase: PhaseWatch,
}

/// Collects records and serves the admin port until the process reaches [`Phase::Exiting`].
///
/// # Errors
///
/// Fails when the listener or the statsd socket can't be used.
pub async fn run(setup: TelemetrySetup) -> io::Result<()> {
    let TelemetrySetup { settings, listener, records, dropped, to_control, readiness, log, phase } =
        setup;
    let listener = TcpListener::from_std(listener)?;
    info!(log, "the admin port is open"; "addr" => %listener.local_addr()?);
    let sink = MemorySink::new(settings.metrics.statsd)?;
    let control = SharedSender::new(to_control);
    let admin_state = AdminState {
        sink: sink.clone(),
        spans: Arc::new(Mutex::new(SpanBuffer::new(settings.metrics.spans as usize))),
        status: Arc::default(),
        readiness,
        phase: phase.clone(),
        control: control.clone(),
    };
    let metrics = Arc::new(Metrics::new(sink));
    for ring in records {
        tokio::spawn(collect(ring, Arc::clone(&metrics), admin_state.clone()));
    }
    tokio::spawn(report_dropped_records(dropped, metrics));
    tokio::spawn(control.pump());
    let service = AdminService::new(admin_state);
    http_server::serve(listener, ADMIN_LIMITS, service, NoObserver, phase, log).await;
    Ok(())
}

async fn collect(mut ring: Receiver<Record>, metrics: Arc<Metrics>, admin_state: AdminState) {
    while let Some(record) = ring.recv().await {
        match record {
            Record::Span(span) => {
                metrics.record_span(&span);
                admin_state.spans.lock().unwrap_or_else(PoisonError::into_inner).push(span);
            }
            Record::Request(request) => metrics.record_request(&request),
            Record::Count(counter, n) => metrics.count(counter, n),
            Record::Gauge(gauge, value) => metrics.set_gauge(gauge, value),
            Record::Status(status) => {
                *admin_state.status.lock().unwrap_or_else(PoisonError::into_inner) = *status;
            }
        }
    }
}

async fn report_dropped_records(dropped: Arc<AtomicU64>, metrics: Arc<Metrics>) {
    loop {
        tokio::time::sleep(DROP_REPORT_INTERVAL).await;
        metrics.count(Counter::RecordsDropped, dropped.swap(0, Ordering::Relaxed));
    }
}

#[derive(Clone)]
struct NoObserver;

impl ConnectionObserver for NoObserver {
    fn accepted(&self) {}

    fn closed_as_idle(&self) {}
}
