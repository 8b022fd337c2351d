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
    admin::{AdminService, AdminToControl, Shown},
    metrics::Metrics,
    names::Counter,
    record::Record,
    sink::MemorySink,
    spans::Spans,
};
use crate::{
    http_server::{self, ConnectionObserver, HttpLimits},
    lifecycle::{Phase, PhaseWatch, Readiness},
    settings::Settings,
    shared_sender::SharedSender,
};

/// Limits of the admin port: few clients, small requests.
const ADMIN_LIMITS: HttpLimits = HttpLimits {
    max_connections: 64,
    streams_per_connection: 16,
    max_head_bytes: 8_192,
    head_timeout: Duration::from_secs(5),
    drain_from: Phase::Exiting,
};

/// Time between two looks at the number of dropped records.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What the telemetry thread needs.
pub struct TelemetrySetup {
    /// Settings of the instance.
    pub settings: Arc<Settings>,
    /// The bound admin port.
    pub listener: std::net::TcpListener,
    /// Rings of records, one from each other thread.
    pub records: Vec<Receiver<Record>>,
    /// Number of records that found their ring full.
    pub dropped: Arc<AtomicU64>,
    /// Ring to control.
    pub to_control: Sender<AdminToControl>,
    /// Whether the instance has what it needs to take requests.
    pub readiness: Readiness,
    /// Log.
    pub log: Logger,
    /// Phases of the process.
    pub phase: PhaseWatch,
}

/// Collects records and serves the admin port until the phase [`Phase::Exiting`].
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
    let shown = Shown {
        sink: sink.clone(),
        spans: Arc::new(Mutex::new(Spans::new(settings.metrics.spans as usize))),
        status: Arc::default(),
        readiness,
        phase: phase.clone(),
        control: control.clone(),
    };
    let metrics = Arc::new(Metrics::new(sink));
    for ring in records {
        tokio::spawn(collect(ring, Arc::clone(&metrics), shown.clone()));
    }
    tokio::spawn(report_drops(dropped, metrics));
    tokio::spawn(control.pump());
    let service = AdminService::new(shown);
    http_server::serve(listener, ADMIN_LIMITS, service, Unobserved, phase, log).await;
    Ok(())
}

async fn collect(mut ring: Receiver<Record>, metrics: Arc<Metrics>, shown: Shown) {
    while let Some(record) = ring.recv().await {
        match record {
            Record::Span(span) => {
                metrics.span(&span);
                shown.spans.lock().unwrap_or_else(PoisonError::into_inner).push(span);
            }
            Record::Request(request) => metrics.request(&request),
            Record::Count(counter, n) => metrics.count(counter, n),
            Record::Gauge(gauge, value) => metrics.gauge(gauge, value),
            Record::Status(status) => {
                *shown.status.lock().unwrap_or_else(PoisonError::into_inner) = *status;
            }
        }
    }
}

async fn report_drops(dropped: Arc<AtomicU64>, metrics: Arc<Metrics>) {
    loop {
        tokio::time::sleep(DROP_REPORT_INTERVAL).await;
        metrics.count(Counter::RecordsDropped, dropped.swap(0, Ordering::Relaxed));
    }
}

#[derive(Clone)]
struct Unobserved;

impl ConnectionObserver for Unobserved {
    fn accepted(&self) {}

    fn closed_as_idle(&self) {}
}
