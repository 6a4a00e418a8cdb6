//! HTTP client for the entry hosts, the metrics and the stand-ins' controls.

use std::net::SocketAddr;
use std::time::Duration;

use berylknot_border::sse::Decoder;
use eyre::eyre;
use futures_util::StreamExt;
use serde::Serialize;
use serde_json::Value;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Complete response to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `x-berylknot-outcome` header; empty when it is missing.
    pub outcome: String,
    /// Value of the `Retry-After` header in seconds; `None` when it is missing or not a number.
    pub retry_after: Option<u64>,
    /// Body as JSON; null when it is not JSON.
    pub body: Value,
}

impl Answer {
    /// Error code in the body; empty when the request was served.
    #[must_use]
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }
}

/// Part of a streamed completion that the caller has received.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    /// Concatenated text of all token events.
    pub text: String,
    /// Number of token events with text.
    pub tokens: u32,
    /// Whether the final `[DONE]` event arrived.
    pub done: bool,
    /// Error code of a refusal or an error event; empty when there was none.
    pub error: String,
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(REQUEST_TIMEOUT).finish()
}

/// Sends a request with an optional API key and JSON body and reads the whole response.
///
/// # Errors
/// Fails when the connection fails or times out.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    headers: &[(&str, &str)],
    body: Option<&Value>,
) -> eyre::Result<Answer> {
    let method = awc::http::Method::from_bytes(method.as_bytes())?;
    let mut request = client().request(method, format!("http://{address}{path}"));
    if let Some(key) = key {
        request = request.insert_header(("authorization", format!("Bearer {key}")));
    }
    for header in headers {
        request = request.insert_header(*header);
    }
    let sent = match body {
        Some(body) => request.send_json(body).await,
        None => request.send().await,
    };
    let mut response = sent.map_err(|error| eyre!("failed to send the request: {error}"))?;
    let outcome = response.headers().get("x-berylknot-outcome");
    let outcome = outcome
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let bytes = response
        .body()
        .await
        .map_err(|error| eyre!("failed to read the response: {error}"))?;
    let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Ok(Answer {
        status: response.status().as_u16(),
        outcome,
        retry_after,
        body,
    })
}

/// Body of a completion request for the deployment's model.
#[must_use]
pub fn completion(prompt: &str, max_tokens: u32, stream: bool) -> Value {
    serde_json::json!({
        "model": "dossier-reader", "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
    })
}

/// Streams a completion; disconnects after `disconnect_after` tokens, if given.
///
/// # Errors
/// Fails when the connection breaks. A refusal is no failure: its code is in [`Streamed::error`].
pub async fn stream(
    address: SocketAddr,
    key: &str,
    prompt: &str,
    max_tokens: u32,
    disconnect_after: Option<u32>,
) -> eyre::Result<Streamed> {
    let request = client()
        .post(format!("http://{address}/v1/completions"))
        .insert_header(("authorization", format!("Bearer {key}")))
        .send_json(&completion(prompt, max_tokens, true));
    let mut response = request
        .await
        .map_err(|error| eyre!("failed to send the request: {error}"))?;
    let mut streamed = Streamed::default();
    if !response.status().is_success() {
        let body: Value = response
            .json()
            .await
            .map_err(|error| eyre!("failed to read the response: {error}"))?;
        streamed.error = body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        return Ok(streamed);
    }
    let mut decoder = Decoder::default();
    while let Some(bytes) = response.next().await {
        decoder.feed(&bytes.map_err(|error| eyre!("failed to read the stream: {error}"))?)?;
        while let Some(data) = decoder.next_data() {
            streamed.apply_event(data);
        }
        if disconnect_after.is_some_and(|limit| streamed.tokens >= limit) {
            break;
        }
    }
    Ok(streamed)
}

impl Streamed {
    fn apply_event(&mut self, data: &[u8]) {
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let event: Value = serde_json::from_slice(data).unwrap_or(Value::Null);
        if let Some(code) = event["error"]["code"].as_str() {
            self.error = code.to_owned();
            return;
        }
        let text = event["choices"][0]["text"].as_str().unwrap_or_default();
        if !text.is_empty() {
            self.tokens += 1;
            self.text.push_str(text);
        }
    }
}

/// Complete answer of the stand-in engine to a prompt.
#[must_use]
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    let seed = standins::engine::prompt_seed(prompt);
    (0..max_tokens)
        .map(|index| standins::engine::token_text(seed, index))
        .collect()
}

/// Requests JSON from a stand-in or daemon; the status is not checked.
///
/// # Errors
/// Fails when the connection fails or the response is not JSON.
pub async fn get(address: SocketAddr, path: &str) -> eyre::Result<Value> {
    let sent = client().get(format!("http://{address}{path}")).send().await;
    let mut response = sent.map_err(|error| eyre!("failed to send the request: {error}"))?;
    response
        .json()
        .await
        .map_err(|error| eyre!("failed to read the response: {error}"))
}

/// Sends JSON to a stand-in, by POST to `/control` and by PUT to any other path.
///
/// # Errors
/// Fails when the connection fails or the status is not a success.
pub async fn put<T: Serialize>(address: SocketAddr, path: &str, body: &T) -> eyre::Result<()> {
    let method = if path == "/control" {
        awc::http::Method::POST
    } else {
        awc::http::Method::PUT
    };
    let sent = client()
        .request(method, format!("http://{address}{path}"))
        .send_json(body)
        .await;
    let response = sent.map_err(|error| eyre!("failed to send the request: {error}"))?;
    eyre::ensure!(
        response.status().is_success(),
        "stand-in refused {path} with status {}",
        response.status()
    );
    Ok(())
}

/// Sum of a metric over all series whose label text contains `labels`; zero without such a series.
///
/// # Errors
/// Fails when the connection fails or times out.
pub async fn metric(address: SocketAddr, name: &str, labels: &str) -> eyre::Result<f64> {
    let sent = client()
        .get(format!("http://{address}/metrics"))
        .send()
        .await;
    let mut response = sent.map_err(|error| eyre!("failed to send the request: {error}"))?;
    let bytes = response
        .body()
        .await
        .map_err(|error| eyre!("failed to read the response: {error}"))?;
    let mut sum = 0.0;
    for line in String::from_utf8_lossy(&bytes).lines() {
        let Some((series, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let (series_name, series_labels) = series.split_once('{').unwrap_or((series, ""));
        if series_name != name || !series_labels.contains(labels) {
            continue;
        }
        sum += value.parse::<f64>().unwrap_or_default();
    }
    Ok(sum)
}
