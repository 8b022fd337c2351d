use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cadence::{MetricSink, UdpMetricSink};

/// Upper bounds of the histogram buckets, in microseconds.
const BUCKET_BOUNDS_US: [u64; 14] = [
    100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000,
    1_000_000, 5_000_000,
];

/// Metric sink that keeps the current values of all metrics and forwards each update to a statsd
/// address, if one is configured. Clones share the values.
#[derive(Clone)]
pub(super) struct MemorySink {
    values: Arc<Mutex<BTreeMap<MetricKey, MetricValue>>>,
    statsd: Option<Arc<UdpMetricSink>>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MetricKey {
    name: String,
    /// Labels in the Prometheus text format, without braces.
    labels: String,
}

#[derive(Clone, Debug)]
enum MetricValue {
    Counter(u64),
    Gauge(u64),
    Histogram { count: u64, sum: u64, buckets: [u64; BUCKET_BOUNDS_US.len()] },
}

impl MemorySink {
    /// Creates an empty sink.
    ///
    /// # Errors
    ///
    /// Fails when no socket for the statsd address can be opened.
    pub(super) fn new(statsd: Option<SocketAddr>) -> io::Result<MemorySink> {
        let statsd = statsd.map(open_statsd).transpose()?;
        Ok(MemorySink { values: Arc::default(), statsd })
    }

    /// Renders all metrics in the Prometheus text format.
    pub(super) fn render(&self) -> String {
        let mut text = String::new();
        let mut last_name = "";
        for (MetricKey { name, labels }, value) in self.lock().iter() {
            let kind = match value {
                MetricValue::Counter(_) => "counter",
                MetricValue::Gauge(_) => "gauge",
                MetricValue::Histogram { .. } => "histogram",
            };
            if name != last_name {
                // Writing to a `String` never fails.
                let _ = writeln!(text, "# TYPE {name} {kind}");
            }
            let _ = match value {
                MetricValue::Counter(n) | MetricValue::Gauge(n) => {
                    write_sample(&mut text, name, labels, *n)
                }
                MetricValue::Histogram { count, sum, buckets } => {
                    write_histogram(&mut text, name, labels, (*count, *sum), buckets)
                }
            };
            last_name = name;
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<MetricKey, MetricValue>> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an update in statsd format. Returns `None` if it is malformed or the metric already
    /// exists with another type.
    fn apply(&self, metric: &str) -> Option<()> {
        let mut parts = metric.split('|');
        let (name, number) = parts.next()?.rsplit_once(':')?;
        let number: u64 = number.parse().ok()?;
        let kind = parts.next()?;
        let tags = parts.find_map(|it| it.strip_prefix('#')).unwrap_or_default();
        let key = MetricKey { name: name.replace('.', "_"), labels: labels(tags) };
        let mut values = self.lock();
        match kind {
            "c" => match values.entry(key).or_insert(MetricValue::Counter(0)) {
                MetricValue::Counter(n) => *n += number,
                MetricValue::Gauge(_) | MetricValue::Histogram { .. } => return None,
            },
            "g" => {
                values.insert(key, MetricValue::Gauge(number));
            }
            "h" => {
                let empty = MetricValue::Histogram {
                    count: 0,
                    sum: 0,
                    buckets: [0; BUCKET_BOUNDS_US.len()],
                };
                match values.entry(key).or_insert(empty) {
                    MetricValue::Histogram { count, sum, buckets } => {
                        *count += 1;
                        *sum += number;
                        for (bound, n) in BUCKET_BOUNDS_US.iter().zip(buckets) {
                            *n += u64::from(number <= *bound);
                        }
                    }
                    MetricValue::Counter(_) | MetricValue::Gauge(_) => return None,
                }
            }
            _ => return None,
        }
        Some(())
    }
}

impl MetricSink for MemorySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.apply(metric).ok_or(io::ErrorKind::InvalidInput)?;
        if let Some(statsd) = &self.statsd {
            // Statsd datagrams may be lost anyway, so errors are ignored.
            let _ = statsd.emit(metric);
        }
        Ok(metric.len())
    }
}

fn open_statsd(addr: SocketAddr) -> io::Result<Arc<UdpMetricSink>> {
    let any = if addr.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(addr, socket).map_err(io::Error::other)?;
    Ok(Arc::new(sink))
}

fn labels(tags: &str) -> String {
    let pairs = tags.split(',').filter_map(|it| it.split_once(':'));
    let pairs: Vec<_> = pairs.map(|(name, value)| format!("{name}=\"{value}\"")).collect();
    pairs.join(",")
}

fn write_sample(text: &mut String, name: &str, labels: &str, number: u64) -> std::fmt::Result {
    if labels.is_empty() {
        writeln!(text, "{name} {number}")
    } else {
        writeln!(text, "{name}{{{labels}}} {number}")
    }
}

fn write_histogram(
    text: &mut String,
    name: &str,
    labels: &str,
    (count, sum): (u64, u64),
    buckets: &[u64],
) -> std::fmt::Result {
    let comma = if labels.is_empty() { "" } else { "," };
    for (bound, n) in BUCKET_BOUNDS_US.iter().zip(buckets) {
        writeln!(text, "{name}_bucket{{{labels}{comma}le=\"{bound}\"}} {n}")?;
    }
    writeln!(text, "{name}_bucket{{{labels}{comma}le=\"+Inf\"}} {count}")?;
    write_sample(text, &format!("{name}_sum"), labels, sum)?;
    write_sample(text, &format!("{name}_count"), labels, count)
}
