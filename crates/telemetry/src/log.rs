//! Structured logs on standard output, and the settings section that configures them.
//!
//! Logging never blocks the process: lines go through a bounded buffer to a writer thread, and
//! lines beyond the buffer's capacity or the rate limit are dropped and counted.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use serde::Deserialize;
use tracing::subscriber::Interest;
use tracing::{Event, Metadata};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::layer::{Context, Filter};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer};

/// Capacity of the buffer between the process and a slow reader of its output. At some 300 bytes a
/// line it takes about 1 MB.
const BUFFER_CAPACITY_LINES: usize = 4_096;
/// Default rate limit: several lines for each request at the peak load of a deployed host, some
/// hundred requests per second.
const DEFAULT_LINES_PER_S: u64 = 1_000;

/// Log section of a daemon's settings.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Whether events are written as JSON objects, one per line, instead of lines of text.
    pub json: bool,
    /// Filter in the directive syntax of `EnvFilter` from `tracing-subscriber`.
    pub filter: String,
    /// Maximum number of lines per second; further lines are dropped and counted.
    pub lines_per_s: u64,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            json: false,
            filter: "info".to_owned(),
            lines_per_s: DEFAULT_LINES_PER_S,
        }
    }
}

/// Keeps the log's writer thread alive; dropping the guard flushes the buffer.
#[derive(Debug)]
#[must_use]
pub struct Guard {
    _worker: WorkerGuard,
    limiter: Arc<Limiter>,
    buffer: ErrorCounter,
}

impl Guard {
    /// Counter of dropped lines, which stays up to date.
    #[must_use]
    pub fn dropped(&self) -> Dropped {
        Dropped {
            limiter: Arc::clone(&self.limiter),
            buffer: self.buffer.clone(),
        }
    }
}

/// Counter of lines that were dropped instead of written.
#[derive(Clone, Debug)]
pub struct Dropped {
    limiter: Arc<Limiter>,
    buffer: ErrorCounter,
}

impl Dropped {
    /// Lines dropped since the log was installed, by the rate limit or because the buffer was full.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.limiter.dropped.load(Ordering::Relaxed) + self.buffer.dropped_lines() as u64
    }
}

/// Rate limiter over fixed windows of one second.
#[derive(Debug)]
struct Limiter {
    start: Instant,
    lines_per_s: u64,
    /// Current window, in seconds since `start`.
    window_s: AtomicU64,
    /// Lines in the current window, including dropped ones.
    lines: AtomicU64,
    dropped: AtomicU64,
}

impl Limiter {
    fn new(lines_per_s: u64) -> Self {
        Self {
            start: Instant::now(),
            lines_per_s,
            window_s: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    /// Counts a line and says whether it may be written.
    fn admit(&self) -> bool {
        let window_s = self.start.elapsed().as_secs();
        if self.window_s.swap(window_s, Ordering::Relaxed) != window_s {
            self.lines.store(0, Ordering::Relaxed);
        }
        let admitted = self.lines.fetch_add(1, Ordering::Relaxed) < self.lines_per_s;
        if !admitted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }
}

/// Layer filter that drops events over the rate limit. Events that the configured filter rejects do
/// not count against the limit.
struct RateFilter(Arc<Limiter>);

impl<S> Filter<S> for RateFilter {
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn callsite_enabled(&self, _metadata: &'static Metadata<'static>) -> Interest {
        Interest::sometimes()
    }

    fn event_enabled(&self, _event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        self.0.admit()
    }
}

impl Log {
    /// Installs this log as the global `tracing` subscriber of the process.
    ///
    /// # Errors
    /// Fails when the filter is malformed or a subscriber is already installed.
    pub fn install(&self) -> eyre::Result<Guard> {
        let filter = EnvFilter::try_new(&self.filter)?;
        let (writer, worker) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(BUFFER_CAPACITY_LINES)
            .finish(std::io::stdout());
        let buffer = writer.error_counter();
        let limiter = Arc::new(Limiter::new(self.lines_per_s));
        let rate_filter = RateFilter(Arc::clone(&limiter));
        let layer = tracing_subscriber::fmt::layer()
            .with_ansi(false)
            .with_writer(writer);
        let registry = tracing_subscriber::registry().with(filter);
        let installed = if self.json {
            registry
                .with(layer.json().flatten_event(true).with_filter(rate_filter))
                .try_init()
        } else {
            registry.with(layer.with_filter(rate_filter)).try_init()
        };
        installed.map_err(|error| eyre::eyre!("log subscriber cannot be installed: {error}"))?;
        Ok(Guard {
            _worker: worker,
            limiter,
            buffer,
        })
    }
}
