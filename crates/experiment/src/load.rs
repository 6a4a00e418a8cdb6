//! Bounded load on real processes: latency, CPU time and memory that the gateway adds.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{OptionExt, WrapErr, eyre};
use futures_util::StreamExt;
use futures_util::future::join_all;
use hdrhistogram::Histogram;

/// Rounds of a run. Each one makes direct calls, then calls through the gateway, so that other load on
/// the machine affects both alike.
const ROUNDS: usize = 4;

/// Maximum number of calls of a run.
const REQUEST_LIMIT: usize = 1_000_000;
/// Maximum number of concurrent calls, and of open streams.
const CONCURRENCY_LIMIT: usize = 1_024;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Clock ticks per second in `/proc/<id>/stat`, fixed by Linux for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Target and size of the load.
#[derive(Clone)]
pub struct Load {
    /// Address of the gateway for callers.
    pub gateway: SocketAddr,
    /// Address of a service behind the route `counter`.
    pub service: SocketAddr,
    /// API key of a customer.
    pub key: String,
    /// Process id of the gateway.
    pub gateway_pid: u32,
    /// Number of calls through the gateway, and of direct calls.
    pub requests: usize,
    /// Number of concurrent calls.
    pub concurrency: usize,
    /// Number of open streams for the memory measurement; zero skips it.
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

/// Results of the direct calls or of the calls through the gateway.
#[derive(Debug)]
struct Series {
    latency_us: Histogram<u64>,
    elapsed: Duration,
    failed: u64,
}

impl Series {
    fn new() -> eyre::Result<Self> {
        const SIGNIFICANT_DIGITS: u8 = 3;
        Ok(Self {
            latency_us: Histogram::new(SIGNIFICANT_DIGITS)?,
            elapsed: Duration::ZERO,
            failed: 0,
        })
    }

    fn row(&self, name: &str) -> String {
        let quantile = |fraction| self.latency_us.value_at_quantile(fraction);
        let (median, p99, max) = (quantile(0.5), quantile(0.99), self.latency_us.max());
        let rate = self.latency_us.len() as f64 / self.elapsed.as_secs_f64();
        let failed = self.failed;
        format!("| {name} | {rate:.0} | {median} | {p99} | {max} | {failed} |")
    }
}

/// Runs the load and returns the measurements as a Markdown table and text.
///
/// # Errors
/// Fails when a limit is exceeded, a stream request cannot be sent or `/proc` of the gateway cannot be
/// read.
pub async fn run(load: &Load) -> eyre::Result<String> {
    eyre::ensure!(
        load.requests <= REQUEST_LIMIT
            && (1..=CONCURRENCY_LIMIT).contains(&load.concurrency)
            && load.streams <= CONCURRENCY_LIMIT,
        "load out of range: at most {REQUEST_LIMIT} requests, concurrency from 1 to {CONCURRENCY_LIMIT}, at most {CONCURRENCY_LIMIT} streams"
    );
    let (mut direct, mut through) = (Series::new()?, Series::new()?);
    let direct_url = format!("http://{}/names/load", load.service);
    let url = format!("http://{}/services/counter/names/load", load.gateway);
    let client = client();
    let mut cpu_s = 0.0;
    for _ in 0..ROUNDS {
        calls(&client, &direct_url, load, &mut direct).await;
        let before = cpu_seconds(load.gateway_pid)?;
        calls(&client, &url, load, &mut through).await;
        cpu_s += cpu_seconds(load.gateway_pid)? - before;
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
        cpu_s * 1e6 / calls.max(1) as f64,
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
        .timeout(CALL_TIMEOUT)
        .finish()
}

/// Makes the calls of one round; each caller sends its calls sequentially.
async fn calls(client: &awc::Client, url: &str, load: &Load, series: &mut Series) {
    let calls_per_caller = load.requests / ROUNDS / load.concurrency;
    let started = Instant::now();
    let callers = (0..load.concurrency).map(|_| async {
        let mut latencies = Vec::with_capacity(calls_per_caller);
        for _ in 0..calls_per_caller {
            let sent = Instant::now();
            let answered = call(client, url, &load.key).await;
            latencies.push(answered.then(|| sent.elapsed()));
        }
        latencies
    });
    let latencies = join_all(callers).await;
    series.elapsed += started.elapsed();
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

/// Compares the gateway's resident memory before opening streams and while they are open.
async fn memory(client: &awc::Client, load: &Load) -> eyre::Result<String> {
    let before = resident_kib(load.gateway_pid)?;
    let url = format!("http://{}/v1/completions", load.gateway);
    let opening = (0..load.streams).map(|_| async {
        let body = serde_json::json!({
            "model": "dossier-reader", "prompt": "load", "max_tokens": 2_000, "stream": true,
        });
        let request = client.post(&url).bearer_auth(&load.key);
        let mut response = request
            .send_json(&body)
            .await
            .map_err(|error| eyre!("stream request to the gateway failed: {error}"))?;
        let started = response.status().is_success() && response.next().await.is_some();
        Ok::<_, eyre::Report>(started.then_some(response))
    });
    let mut open = Vec::new();
    for response in join_all(opening).await {
        open.extend(response?);
    }
    let streams = open.len();
    let during = resident_kib(load.gateway_pid)?;
    drop(open);
    let each = during.saturating_sub(before) as f64 / streams.max(1) as f64;
    Ok(format!(
        "Memory: {before} KiB resident before, {during} KiB with {streams} of {} streams open: {each:.1} KiB per stream.\n",
        load.streams
    ))
}

/// CPU time of a process since its start, in user and kernel mode.
fn cpu_seconds(process: u32) -> eyre::Result<f64> {
    let stat = read_proc(process, "stat")?;
    // The second column, the process name in parentheses, may contain spaces.
    let (_, columns) = stat
        .rsplit_once(')')
        .ok_or_eyre("/proc/<pid>/stat of the gateway has no process name in parentheses")?;
    let mut times = columns.split_whitespace().skip(11);
    let mut ticks = || times.next().and_then(|column| column.parse::<f64>().ok());
    let user = ticks().ok_or_eyre("/proc/<pid>/stat of the gateway has no valid user time")?;
    let kernel = ticks().ok_or_eyre("/proc/<pid>/stat of the gateway has no valid kernel time")?;
    Ok((user + kernel) / TICKS_PER_SECOND)
}

/// Resident memory of a process in KiB.
fn resident_kib(process: u32) -> eyre::Result<u64> {
    let status = read_proc(process, "status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value
        .ok_or_eyre("/proc/<pid>/status of the gateway has no VmRSS")?
        .parse()
        .wrap_err("VmRSS in /proc/<pid>/status of the gateway is not a number")
}

fn read_proc(process: u32, file: &str) -> eyre::Result<String> {
    std::fs::read_to_string(format!("/proc/{process}/{file}"))
        .wrap_err_with(|| format!("cannot read /proc/{process}/{file} of the gateway"))
}
