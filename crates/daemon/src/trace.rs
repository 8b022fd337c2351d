//! W3C trace context, as carried in the `traceparent` header.

use compact_str::{CompactString, format_compact};
use http::HeaderValue;

/// Name of the trace context header.
pub const TRACEPARENT: &str = "traceparent";

/// Trace of a request and its current span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Identifier of the trace; never 0.
    pub trace_id: u128,
    /// Identifier of the parent span; 0 for the root span.
    pub parent_id: u64,
    /// Identifier of the current span; never 0.
    pub span_id: u64,
    flags: u8,
}

impl TraceContext {
    /// Continues the trace of a `traceparent` header, or starts a new trace when the header is
    /// missing or malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use http::HeaderValue;
    /// use rosemarybank_daemon::trace::TraceContext;
    ///
    /// let header = HeaderValue::from_static(
    ///     "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    /// );
    /// let trace = TraceContext::continue_from(Some(&header));
    /// assert_eq!(trace.trace_id_hex(), "0af7651916cd43dd8448eb211c80319c");
    /// assert_eq!(trace.parent_id, 0xb7ad_6b71_6920_3331);
    /// ```
    #[must_use]
    pub fn continue_from(header: Option<&HeaderValue>) -> TraceContext {
        let parent = header.and_then(|it| it.to_str().ok()).and_then(parse);
        let span_id = new_span_id();
        match parent {
            Some((trace_id, parent_id, flags)) => {
                TraceContext { trace_id, parent_id, span_id, flags }
            }
            None => {
                let trace_id = fastrand::u128(1..);
                TraceContext { trace_id, parent_id: 0, span_id, flags: 1 }
            }
        }
    }

    /// Creates a child span.
    #[must_use]
    pub fn child(self) -> TraceContext {
        TraceContext { parent_id: self.span_id, span_id: new_span_id(), ..self }
    }

    /// Formats the current span as the value of a `traceparent` header.
    #[must_use]
    pub fn header_value(self) -> HeaderValue {
        let TraceContext { trace_id, span_id, flags, .. } = self;
        let text = format!("00-{trace_id:032x}-{span_id:016x}-{flags:02x}");
        HeaderValue::try_from(text).expect("hexadecimal digits and hyphens are valid in a header")
    }

    /// Formats the trace identifier as 32 hexadecimal digits.
    #[must_use]
    pub fn trace_id_hex(self) -> CompactString {
        format_compact!("{:032x}", self.trace_id)
    }
}

fn new_span_id() -> u64 {
    fastrand::u64(1..)
}

/// Parses a `traceparent` header into trace identifier, span identifier and flags.
fn parse(text: &str) -> Option<(u128, u64, u8)> {
    let mut parts = text.split('-');
    let (version, trace, span, flags) =
        (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    let is_hex = |part: &str, len: usize| {
        part.len() == len && part.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
    };
    if !is_hex(version, 2) || version == "ff" || (version == "00" && parts.next().is_some()) {
        return None;
    }
    if !is_hex(trace, 32) || !is_hex(span, 16) || !is_hex(flags, 2) {
        return None;
    }
    let trace_id = u128::from_str_radix(trace, 16).ok().filter(|it| *it != 0)?;
    let span_id = u64::from_str_radix(span, 16).ok().filter(|it| *it != 0)?;
    Some((trace_id, span_id, u8::from_str_radix(flags, 16).ok()?))
}
