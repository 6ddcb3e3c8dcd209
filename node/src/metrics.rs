//! The OpenTelemetry metrics, exported in the Prometheus text format. docs/OPERATIONS.md lists them. The sets
//! of label values are bounded: codes, and organisations of the bundle.

use std::time::Duration;

use leadstage_lib::code::Code;
use log::warn;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::metrics::UpDownCounter;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the buckets of the time histograms, in seconds.
const TIME_BUCKETS_SECONDS: [f64; 14] =
    [0.001, 0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Creates instruments and exports their registry.
pub struct Instruments {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Instruments {
    /// Creates an empty registry.
    pub fn new() -> Result<Self, Box<dyn std::error::Error>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Instruments { registry, provider })
    }

    fn meter(&self) -> Meter {
        self.provider.meter("leadstage")
    }

    /// Creates a counter.
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        self.meter().u64_counter(name).with_description(description).build()
    }

    /// Creates a histogram of times in seconds.
    pub fn seconds(&self, name: &'static str, description: &'static str) -> Histogram<f64> {
        let meter = self.meter();
        let builder = meter.f64_histogram(name).with_unit("s").with_description(description);
        builder.with_boundaries(TIME_BUCKETS_SECONDS.to_vec()).build()
    }

    /// Creates a gauge.
    pub fn gauge(&self, name: &'static str, description: &'static str) -> Gauge<u64> {
        self.meter().u64_gauge(name).with_description(description).build()
    }

    /// Creates a gauge for an age in seconds.
    pub fn age(&self, name: &'static str, description: &'static str) -> Gauge<f64> {
        self.meter().f64_gauge(name).with_unit("s").with_description(description).build()
    }

    /// Creates a counter that can increase and decrease.
    pub fn up_down(&self, name: &'static str, description: &'static str) -> UpDownCounter<i64> {
        self.meter().i64_up_down_counter(name).with_description(description).build()
    }

    /// Exports all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(err) => {
                warn!(event = "metrics_unreadable", reason:% = err; "cannot export the metrics as text");
                String::new()
            }
        }
    }
}

/// The metrics of a node.
pub struct Metrics {
    instruments: Instruments,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    resumes: Counter<u64>,
    open: UpDownCounter<i64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    stall: Histogram<f64>,
    call: Histogram<f64>,
}

impl Metrics {
    /// Creates the metrics in a new registry.
    pub fn new() -> Result<Self, Box<dyn std::error::Error>> {
        let instruments = Instruments::new()?;
        let counter = |name, description| instruments.counter(name, description);
        let seconds = |name, description| instruments.seconds(name, description);
        Ok(Metrics {
            requests: counter("leadstage.requests", "Requests answered, by organisation and result code"),
            tokens: counter("leadstage.stream.tokens", "Tokens passed on to callers"),
            resumes: counter("leadstage.stream.resumes", "Engine links resumed after a break or a stall"),
            open: instruments.up_down("leadstage.requests.open", "Requests open"),
            first_token: seconds("leadstage.stream.first_token", "From the request to its first token"),
            token_gap: seconds("leadstage.stream.token_gap", "Between two tokens of a stream"),
            stall: seconds("leadstage.stream.stall", "Time without progress, for each stream"),
            call: seconds("leadstage.call.duration", "Plain calls"),
            instruments,
        })
    }

    /// Counts an answered request.
    pub fn on_answer(&self, organisation: &str, code: Code) {
        let labels = [
            KeyValue::new("organisation", organisation.to_owned()),
            KeyValue::new("code", i64::from(code.number())),
        ];
        self.requests.add(1, &labels);
    }

    /// Counts tokens sent to callers.
    pub fn on_tokens(&self, tokens: u64) {
        self.tokens.add(tokens, &[]);
    }

    /// Counts the resumption of an engine link.
    pub fn on_resume(&self) {
        self.resumes.add(1, &[]);
    }

    /// Adjusts the number of open requests: `change` is 1 when one opens and -1 when one closes.
    pub fn on_open(&self, change: i64) {
        self.open.add(change, &[]);
    }

    /// Records the time from a request to its first token.
    pub fn on_first_token(&self, after: Duration) {
        self.first_token.record(after.as_secs_f64(), &[]);
    }

    /// Records the time between two tokens.
    pub fn on_token_gap(&self, gap: Duration) {
        self.token_gap.record(gap.as_secs_f64(), &[]);
    }

    /// Records the total time without progress of a stream that ended.
    pub fn on_stall(&self, stall: Duration) {
        self.stall.record(stall.as_secs_f64(), &[]);
    }

    /// Records the duration of an answered plain call.
    pub fn on_call(&self, took: Duration) {
        self.call.record(took.as_secs_f64(), &[]);
    }

    /// Exports all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.instruments.text()
    }
}
