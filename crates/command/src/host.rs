//! Versions in force on the hosts, as their coordinators report them.

use std::fmt::Write;
use std::time::Duration;

use actix_rt::time::{Instant, sleep, timeout};
use awc::Client;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};

/// Default wait until a version is in force on every host; section 1.6 of the design states this
/// bound.
pub(crate) const CONFIRM_TIMEOUT_S: u64 = 14;

/// Timeout of one request to a coordinator.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between polls of all coordinators.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Answer of a coordinator to GET /status, without the fields that are not printed.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct Status {
    host: String,
    version: u64,
    age_ms: u64,
    ready: bool,
}

/// Coordinator with its status, or with the error of the request.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct Host {
    address: String,
    #[serde(flatten)]
    status: Option<Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

impl Host {
    /// Whether the host has this version or a later one in force.
    pub(crate) fn has(&self, version: u64) -> bool {
        self.status
            .as_ref()
            .is_some_and(|status| status.version >= version)
    }

    /// Whether the host has this version or a later one in force and accepts requests.
    pub(crate) fn is_current(&self, version: u64) -> bool {
        self.has(version) && self.status.as_ref().is_some_and(|status| status.ready)
    }
}

/// Requests the status of all coordinators concurrently.
pub(crate) async fn poll(addresses: &[String]) -> Vec<Host> {
    let client = Client::default();
    let requests = addresses.iter().map(|address| {
        let client = client.clone();
        async move {
            let (status, error) = match request_status(&client, address).await {
                Ok(status) => (Some(status), None),
                Err(error) => (None, Some(error)),
            };
            Host {
                address: address.clone(),
                status,
                error,
            }
        }
    });
    join_all(requests).await
}

/// Polls the coordinators until every host has the version in force or `wait` has passed.
pub(crate) async fn confirm(addresses: &[String], version: u64, wait: Duration) -> Vec<Host> {
    let deadline = Instant::now() + wait;
    loop {
        let hosts = poll(addresses).await;
        if hosts.iter().all(|host| host.has(version)) || Instant::now() >= deadline {
            return hosts;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Formats the hosts as text, one per line.
pub(crate) fn text(hosts: &[Host]) -> String {
    let mut text = String::new();
    for Host {
        address,
        status,
        error,
    } in hosts
    {
        let written = match status {
            Some(status) => {
                let Status {
                    host,
                    version,
                    age_ms,
                    ready,
                } = status;
                let ready = if *ready { "ready" } else { "not ready" };
                writeln!(
                    text,
                    "  {host} ({address}): version {version}, age {age_ms} ms, {ready}"
                )
            }
            None => {
                let error = error.as_deref().unwrap_or_default();
                writeln!(text, "  {address}: no status: {error}")
            }
        };
        written.expect("writing to a string cannot fail");
    }
    text
}

async fn request_status(client: &Client, address: &str) -> Result<Status, String> {
    let exchange = async {
        let mut response = client
            .get(format!("{address}/status"))
            .send()
            .await
            .map_err(|error| error.to_string())?;
        // A coordinator that is not ready may answer with an error code and its status in the body.
        let code = response.status();
        response.json::<Status>().await.map_err(|error| {
            if code.is_success() {
                error.to_string()
            } else {
                format!("answered {code}")
            }
        })
    };
    match timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err("no answer within 2 s".to_owned()),
    }
}
