//! Bounded load on real processes: what the gateway adds to a call, and what it costs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{OptionExt, WrapErr, eyre};
use futures_util::StreamExt;
use futures_util::future::join_all;
use hdrhistogram::Histogram;

/// Parts of a run; direct calls and calls through the gateway take turns, so that other load on the
/// machine meets both alike.
const ROUNDS: usize = 4;

/// Highest number of calls, connections and streams of a run.
const REQUEST_LIMIT: usize = 1_000_000;
const CONCURRENCY_LIMIT: usize = 1_024;

/// Deadline of a call.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Clock ticks per second in `/proc/<id>/stat`, fixed by Linux for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// What to send and where.
#[derive(Clone)]
pub struct Load {
    /// Address of the gateway for callers.
    pub gateway: SocketAddr,
    /// Address of a service behind the route `counter`.
    pub service: SocketAddr,
    /// Key of a customer.
    pub key: String,
    /// Process id of the gateway.
    pub process: u32,
    /// Calls through the gateway, and as many without it.
    pub requests: usize,
    /// Calls at one time.
    pub concurrency: usize,
    /// Streams that are open at one time for the measurement of memory; zero leaves it out.
    pub streams: usize,
}

impl std::fmt::Debug for Load {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Load")
            .field("gateway", &self.gateway)
            .field("requests", &self.requests)
            .finish_non_exhaustive()
    }
}

/// Calls of one kind.
#[derive(Debug)]
struct Series {
    latency_us: Histogram<u64>,
    busy: Duration,
    failed: u64,
}

impl Series {
    fn new() -> eyre::Result<Self> {
        const SIGNIFICANT_DIGITS: u8 = 3;
        Ok(Self {
            latency_us: Histogram::new(SIGNIFICANT_DIGITS)?,
            busy: Duration::ZERO,
            failed: 0,
        })
    }

    fn row(&self, name: &str) -> String {
        let percentile = |percent| self.latency_us.value_at_quantile(percent);
        let (half, high, highest) = (percentile(0.5), percentile(0.99), self.latency_us.max());
        let rate = self.latency_us.len() as f64 / self.busy.as_secs_f64();
        let failed = self.failed;
        format!("| {name} | {rate:.0} | {half} | {high} | {highest} | {failed} |")
    }
}

/// Runs the load and returns the figures as text.
///
/// # Errors
/// Fails when the bounds are exceeded or the process cannot be observed.
pub async fn run(load: &Load) -> eyre::Result<String> {
    eyre::ensure!(
        load.requests <= REQUEST_LIMIT
            && (1..=CONCURRENCY_LIMIT).contains(&load.concurrency)
            && load.streams <= CONCURRENCY_LIMIT,
        "at most {REQUEST_LIMIT} requests, {CONCURRENCY_LIMIT} at one time"
    );
    let (mut direct, mut through) = (Series::new()?, Series::new()?);
    let direct_url = format!("http://{}/names/load", load.service);
    let url = format!("http://{}/services/counter/names/load", load.gateway);
    let client = client();
    let mut processor = 0.0;
    for _ in 0..ROUNDS {
        calls(&client, &direct_url, load, &mut direct).await;
        let before = processor_seconds(load.process)?;
        calls(&client, &url, load, &mut through).await;
        processor += processor_seconds(load.process)? - before;
    }
    let calls = through.latency_us.len() + through.failed;
    let mut text = format!(
        "| calls | calls/s | median µs | 99 % µs | highest µs | failed |\n|---|---|---|---|---|---|\n{}\n{}\n\n",
        direct.row("direct"),
        through.row("through the gateway"),
    );
    let added = |percent| {
        let [through, direct] =
            [&through, &direct].map(|series| series.latency_us.value_at_quantile(percent));
        through as f64 - direct as f64
    };
    text += &format!(
        "Added latency: median {:.0} µs, 99 % {:.0} µs. Processor time of the gateway: {:.0} µs per call.\n",
        added(0.5),
        added(0.99),
        processor * 1e6 / calls.max(1) as f64,
    );
    if load.streams > 0 {
        text += &memory(&client, load).await?;
    }
    Ok(text)
}

fn client() -> awc::Client {
    const UNLIMITED: usize = 0;
    let connector = awc::Connector::new().limit(UNLIMITED);
    awc::Client::builder()
        .connector(connector)
        .timeout(TIMEOUT)
        .finish()
}

/// Makes the calls of one round.
async fn calls(client: &awc::Client, url: &str, load: &Load, series: &mut Series) {
    let each = load.requests / ROUNDS / load.concurrency;
    let started = Instant::now();
    let callers = (0..load.concurrency).map(|_| async {
        let mut latencies = Vec::with_capacity(each);
        for _ in 0..each {
            let sent = Instant::now();
            let answered = call(client, url, &load.key).await;
            latencies.push(answered.then(|| sent.elapsed()));
        }
        latencies
    });
    let latencies = join_all(callers).await;
    series.busy += started.elapsed();
    for latency in latencies.into_iter().flatten() {
        let Some(latency) = latency else {
            series.failed += 1;
            continue;
        };
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        // The histogram grows with its values; saturating_record would cut them at 2 ms.
        if series.latency_us.record(micros).is_err() {
            series.failed += 1;
        }
    }
}

async fn call(client: &awc::Client, url: &str, key: &str) -> bool {
    let request = client.get(url).bearer_auth(key);
    let Ok(mut response) = request.send().await else {
        return false;
    };
    response.status().is_success() && response.body().await.is_ok()
}

/// Opens streams and compares the gateway's resident memory before and while they run.
async fn memory(client: &awc::Client, load: &Load) -> eyre::Result<String> {
    let before = resident_kib(load.process)?;
    let url = format!("http://{}/v1/completions", load.gateway);
    let opening = (0..load.streams).map(|_| async {
        let body = serde_json::json!({
            "model": "dossier-reader", "prompt": "load", "max_tokens": 2_000, "stream": true,
        });
        let request = client.post(&url).bearer_auth(&load.key);
        let mut response = request
            .send_json(&body)
            .await
            .map_err(|error| eyre!("stream is not opened: {error}"))?;
        let started = response.status().is_success() && response.next().await.is_some();
        Ok::<_, eyre::Report>(started.then_some(response))
    });
    let mut open = Vec::new();
    for response in join_all(opening).await {
        open.extend(response?);
    }
    let streams = open.len();
    let during = resident_kib(load.process)?;
    drop(open);
    let each = during.saturating_sub(before) as f64 / streams.max(1) as f64;
    Ok(format!(
        "Memory: {before} KiB resident before, {during} KiB with {streams} of {} streams open: {each:.1} KiB per stream.\n",
        load.streams
    ))
}

/// Processor time of a process so far, in user and kernel mode.
fn processor_seconds(process: u32) -> eyre::Result<f64> {
    let stat = read(process, "stat")?;
    // The second column, the name in parentheses, may contain spaces.
    let (_, columns) = stat.rsplit_once(')').ok_or_eyre("stat is malformed")?;
    let mut times = columns.split_whitespace().skip(11);
    let mut ticks = || times.next().and_then(|column| column.parse::<f64>().ok());
    let user = ticks().ok_or_eyre("stat has no user time")?;
    let kernel = ticks().ok_or_eyre("stat has no kernel time")?;
    Ok((user + kernel) / TICKS_PER_SECOND)
}

/// Resident memory of a process in KiB.
fn resident_kib(process: u32) -> eyre::Result<u64> {
    let status = read(process, "status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value
        .ok_or_eyre("status has no VmRSS")?
        .parse()
        .wrap_err("VmRSS is malformed")
}

fn read(process: u32, file: &str) -> eyre::Result<String> {
    std::fs::read_to_string(format!("/proc/{process}/{file}"))
        .wrap_err_with(|| format!("process {process} cannot be observed"))
}
