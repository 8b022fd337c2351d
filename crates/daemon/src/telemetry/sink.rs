use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cadence::{MetricSink, UdpMetricSink};

/// Upper bounds of the buckets of durations, in microseconds.
const BUCKETS: [u64; 14] = [
    100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000,
    1_000_000, 5_000_000,
];

/// Keeps the present values of all metrics, and passes them on to a statsd address if there is
/// one. Clones share the values.
#[derive(Clone)]
pub(super) struct MemorySink {
    values: Arc<Mutex<BTreeMap<Key, Value>>>,
    statsd: Option<Arc<UdpMetricSink>>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    name: String,
    /// Labels as the text form shows them, without braces.
    labels: String,
}

#[derive(Clone, Debug)]
enum Value {
    Counter(u64),
    Gauge(u64),
    Histogram { count: u64, sum: u64, buckets: [u64; BUCKETS.len()] },
}

impl MemorySink {
    /// An empty sink.
    ///
    /// # Errors
    ///
    /// Fails when no socket for the statsd address can be opened.
    pub(super) fn new(statsd: Option<SocketAddr>) -> io::Result<MemorySink> {
        let statsd = statsd.map(open_statsd).transpose()?;
        Ok(MemorySink { values: Arc::default(), statsd })
    }

    /// All metrics in the text form of the usual scrapers.
    pub(super) fn render(&self) -> String {
        let mut text = String::new();
        let mut last_name = "";
        for (Key { name, labels }, value) in self.lock().iter() {
            let kind = match value {
                Value::Counter(_) => "counter",
                Value::Gauge(_) => "gauge",
                Value::Histogram { .. } => "histogram",
            };
            if name != last_name {
                // Writing to a string cannot fail.
                let _ = writeln!(text, "# TYPE {name} {kind}");
            }
            let _ = match value {
                Value::Counter(n) | Value::Gauge(n) => line(&mut text, name, labels, *n),
                Value::Histogram { count, sum, buckets } => {
                    histogram(&mut text, name, labels, (*count, *sum), buckets)
                }
            };
            last_name = name;
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Key, Value>> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, metric: &str) -> Option<()> {
        let mut parts = metric.split('|');
        let (name, number) = parts.next()?.rsplit_once(':')?;
        let number: u64 = number.parse().ok()?;
        let kind = parts.next()?;
        let tags = parts.find_map(|it| it.strip_prefix('#')).unwrap_or_default();
        let key = Key { name: name.replace('.', "_"), labels: labels(tags) };
        let mut values = self.lock();
        match kind {
            "c" => match values.entry(key).or_insert(Value::Counter(0)) {
                Value::Counter(n) => *n += number,
                Value::Gauge(_) | Value::Histogram { .. } => return None,
            },
            "g" => {
                values.insert(key, Value::Gauge(number));
            }
            "h" => {
                let empty = Value::Histogram { count: 0, sum: 0, buckets: [0; BUCKETS.len()] };
                match values.entry(key).or_insert(empty) {
                    Value::Histogram { count, sum, buckets } => {
                        *count += 1;
                        *sum += number;
                        for (bound, n) in BUCKETS.iter().zip(buckets) {
                            *n += u64::from(number <= *bound);
                        }
                    }
                    Value::Counter(_) | Value::Gauge(_) => return None,
                }
            }
            _ => return None,
        }
        Some(())
    }
}

impl MetricSink for MemorySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.add(metric).ok_or(io::ErrorKind::InvalidInput)?;
        if let Some(statsd) = &self.statsd {
            // Statsd is a datagram protocol: a lost metric is of no consequence.
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

fn line(text: &mut String, name: &str, labels: &str, number: u64) -> std::fmt::Result {
    if labels.is_empty() {
        writeln!(text, "{name} {number}")
    } else {
        writeln!(text, "{name}{{{labels}}} {number}")
    }
}

fn histogram(
    text: &mut String,
    name: &str,
    labels: &str,
    (count, sum): (u64, u64),
    buckets: &[u64],
) -> std::fmt::Result {
    let comma = if labels.is_empty() { "" } else { "," };
    for (bound, n) in BUCKETS.iter().zip(buckets) {
        writeln!(text, "{name}_bucket{{{labels}{comma}le=\"{bound}\"}} {n}")?;
    }
    writeln!(text, "{name}_bucket{{{labels}{comma}le=\"+Inf\"}} {count}")?;
    line(text, &format!("{name}_sum"), labels, sum)?;
    line(text, &format!("{name}_count"), labels, count)
}
