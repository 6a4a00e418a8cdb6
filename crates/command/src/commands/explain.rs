//! `berylknot explain`: asks an entry host where a request would go now, and why.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::timeout;
use awc::Client;
use awc::http::Uri;
use berylknot_wire::explanation::{Candidate, Explanation, Outcome, PATH, Question};

use crate::args::Explain;
use crate::config::Usage;
use crate::platform::Unreachable;
use crate::report::{Code, Report};

/// Timeout of the question; the host may have to ask the leader.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer: some hundred bytes for each endpoint of a service.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

pub(crate) async fn run(arguments: &Explain) -> eyre::Result<Report> {
    let host = address(&arguments.address)?;
    let question = question(arguments)?;
    let explanation = ask(host, &question).await?;
    let is_refused = matches!(explanation.placement.outcome, Outcome::Refused { .. });
    let code = if is_refused {
        Code::Findings
    } else {
        Code::Success
    };
    let json = serde_json::to_value(&explanation)?;
    Ok(Report::with_json(code, text(&explanation), json))
}

fn address(text: &str) -> Result<SocketAddr, Usage> {
    let address = text.trim_start_matches("http://").trim_end_matches('/');
    address.parse().map_err(|_| {
        Usage(format!(
            "{text}: expected the metrics address of an entry host, such as 10.0.1.1:7501"
        ))
    })
}

/// The question that the arguments ask.
fn question(arguments: &Explain) -> Result<Question, Usage> {
    let url: Uri = arguments
        .url
        .parse()
        .map_err(|error| Usage(format!("{}: {error}", arguments.url)))?;
    let host = url.host().ok_or_else(|| {
        Usage(format!(
            "{}: expected a URL with a host name, such as http://shop.example/orders/7",
            arguments.url
        ))
    })?;
    let mut headers = Vec::new();
    for header in &arguments.header {
        let Some((name, value)) = header.split_once(':') else {
            return Err(Usage(format!("{header}: expected NAME:VALUE")));
        };
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let path = url.path_and_query();
    Ok(Question {
        host: host.to_owned(),
        path: path.map_or_else(|| "/".to_owned(), ToString::to_string),
        headers,
        customer: arguments.customer.clone(),
    })
}

async fn ask(host: SocketAddr, question: &Question) -> eyre::Result<Explanation> {
    let unreachable = |reason: String| Unreachable(format!("host {host}: {reason}"));
    let exchange = async {
        let mut response = Client::default()
            .post(format!("http://{host}{PATH}"))
            .send_json(question)
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let status = response.status();
        if status.is_success() {
            let parsed = serde_json::from_slice(&body);
            // An older release answers any path with its metrics.
            return parsed.map_err(|error| {
                unreachable(format!("no explanation in the answer: {error}")).into()
            });
        }
        let reason = String::from_utf8_lossy(&body).into_owned();
        if status.is_client_error() {
            return Err(Usage(reason).into());
        }
        Err(unreachable(reason).into())
    };
    timeout(ANSWER_TIMEOUT, exchange)
        .await
        .map_err(|_| unreachable(format!("no answer within {} s", ANSWER_TIMEOUT.as_secs())))?
}

fn text(explanation: &Explanation) -> String {
    let Explanation {
        host,
        configuration,
        request,
        placement,
    } = explanation;
    let mut lines = Vec::new();
    lines.push(match configuration {
        Some(version) => format!("host {host}, configuration {version}"),
        None => format!("host {host} has no configuration yet"),
    });
    if let Some(request) = request {
        let customer = request.customer.as_deref().unwrap_or("none");
        lines.push(format!(
            "route {} ({}), priority {}, {} ms; customer {customer}, {} tokens",
            request.route, request.kind, request.priority, request.deadline_ms, request.tokens
        ));
        let services = request.services.iter();
        let services: Vec<String> = services
            .map(|(name, weight)| format!("{name} (weight {weight})"))
            .collect();
        lines.push(format!(
            "service {} of {}",
            request.service,
            services.join(", ")
        ));
    }
    lines.push(format!(
        "{}; decided by {}",
        outcome(&placement.outcome),
        placement.decided_by
    ));
    let mut text = lines.join("\n") + "\n";
    for endpoint in &placement.endpoints {
        let written = writeln!(text, "  {}", candidate(endpoint));
        written.expect("writing to a string cannot fail");
    }
    text
}

fn outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Sent {
            endpoint,
            prefill,
            admitted_share,
            needs_permit,
        } => {
            let mut text = format!("would be sent to {endpoint}");
            if let Some(prefill) = prefill {
                text += &format!(", its prompt read by {prefill}");
            }
            if *admitted_share < 1.0 {
                let share = (admitted_share * 100.0).round();
                text += &format!("; {share} % of such requests are admitted, the others refused");
            }
            if *needs_permit {
                text += "; if the leader permits it, since the endpoint limits its requests";
            }
            text
        }
        Outcome::Queued {
            ahead,
            expected_wait_ms,
        } => format!("would wait for an engine: {ahead} ahead, about {expected_wait_ms} ms"),
        Outcome::Refused {
            status,
            reason,
            retry_after_ms,
        } => {
            let retry = retry_after_ms.map_or_else(
                || "a retry cannot help".to_owned(),
                |after| format!("retry after about {after} ms"),
            );
            format!("would be refused: {status} {reason}, {retry}")
        }
        _ => "has an outcome that this release does not know".to_owned(),
    }
}

fn candidate(endpoint: &Candidate) -> String {
    let mut parts = vec![endpoint.id.clone(), endpoint.data_centre.clone()];
    parts.extend(endpoint.stage.clone());
    parts.push(match (&endpoint.cost, &endpoint.excluded) {
        (Some(cost), _) => format!("cost {cost:.2}"),
        (None, Some(reason)) => format!("left out: {reason}"),
        (None, None) => "left out".to_owned(),
    });
    parts.push(format!("{} requests", endpoint.requests));
    if let Some(pace) = endpoint.pace {
        parts.push(format!("pace {pace:.2}"));
    }
    if let Some(end) = endpoint.end_ms {
        parts.push(format!("answers in {end} ms"));
    }
    if let Some(limit) = endpoint.limit_per_s {
        parts.push(format!("takes {limit:.1}/s"));
    }
    if endpoint.is_cold {
        parts.push("cold".to_owned());
    }
    if endpoint.held_tokens > 0 {
        parts.push(format!("holds {} prompt tokens", endpoint.held_tokens));
    }
    parts.join(", ")
}
