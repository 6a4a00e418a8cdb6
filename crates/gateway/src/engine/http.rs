//! Engine client over HTTP with JSON and server-sent events.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::Method;
use actix_web::http::header::{CONTENT_TYPE, HeaderValue};
use berylknot_border::engine::{
    CancelRequest, CancelResponse, DecodeRequest, EngineError, PrefillRequest, PrefillResponse,
};
use berylknot_border::event::Event;
use berylknot_border::sse::Decoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Cancel, Decode, Error, Events, Prefill, Result};
use crate::endpoint::{self, Answer};

/// Timeout of a cancel call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the response headers of a decode; the engine imports the KV cache in this time.
const DECODE_START_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of an answer in JSON.
const MAX_JSON_BYTES: usize = 64 << 10;

/// Client of engines.
#[derive(Clone, Debug)]
pub(crate) struct Http {
    prefill_timeout: Duration,
    event_timeout: Duration,
}

impl Http {
    /// Creates a client with timeouts for prefills and for the gap between events.
    pub(crate) fn new(prefill_timeout: Duration, event_timeout: Duration) -> Self {
        Self {
            prefill_timeout,
            event_timeout,
        }
    }

    /// Sends JSON and waits for the head of a success.
    async fn post<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
        body: &T,
    ) -> Result<Answer> {
        let body = serde_json::to_vec(body).map_err(|error| Error::Broken(error.to_string()))?;
        let headers = [(CONTENT_TYPE, HeaderValue::from_static("application/json"))];
        let request = endpoint::Request {
            method: &Method::POST,
            target: path,
            headers: &headers,
            body: body.into(),
        };
        let exchange = async {
            let mut answer = endpoint::send(address, request).await?;
            if answer.status.is_success() {
                return Ok(answer);
            }
            // A refusal whose code is lost may be that of a running request that was cancelled.
            let body = answer.read(MAX_JSON_BYTES).await?;
            let code = match serde_json::from_slice::<EngineError>(&body) {
                Ok(error) => error.code,
                Err(_) => answer.status.to_string(),
            };
            Err(Error::Refused { code })
        };
        actix_rt::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(Error::Timeout))
    }

    /// Sends JSON and reads JSON, both within the timeout.
    async fn exchange<T: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
        body: &T,
    ) -> Result<A> {
        let exchange = async {
            let mut answer = self.post(address, path, timeout, body).await?;
            read_json(&mut answer).await
        };
        actix_rt::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(Error::Timeout))
    }
}

async fn read_json<A: DeserializeOwned>(answer: &mut Answer) -> Result<A> {
    let body = answer.read(MAX_JSON_BYTES).await?;
    serde_json::from_slice(&body).map_err(|error| Error::Broken(error.to_string()))
}

impl From<endpoint::Error> for Error {
    fn from(error: endpoint::Error) -> Self {
        match error {
            endpoint::Error::NotSent(error) => Self::Unreachable(error.to_string()),
            error => Self::Broken(error.to_string()),
        }
    }
}

impl Prefill for Http {
    async fn prefill(
        &self,
        address: SocketAddr,
        request: &PrefillRequest,
    ) -> Result<PrefillResponse> {
        self.exchange(address, "/v1/prefill", self.prefill_timeout, request)
            .await
    }
}

impl Decode for Http {
    type Events = Stream;

    async fn decode(&self, address: SocketAddr, request: &DecodeRequest) -> Result<Stream> {
        let answer = self
            .post(address, "/v1/decode", DECODE_START_TIMEOUT, request)
            .await?;
        Ok(Stream {
            answer,
            decoder: Decoder::default(),
            timeout: self.event_timeout,
        })
    }
}

impl Cancel for Http {
    async fn cancel(&self, address: SocketAddr, request_id: &str) -> Result<bool> {
        let body = CancelRequest {
            request_id: request_id.to_owned(),
        };
        let answer: CancelResponse = self
            .exchange(address, "/v1/cancel", CANCEL_TIMEOUT, &body)
            .await?;
        Ok(answer.known)
    }
}

/// Decode events, parsed from a response body.
pub(crate) struct Stream {
    answer: Answer,
    decoder: Decoder,
    timeout: Duration,
}

impl Events for Stream {
    async fn next(&mut self) -> Result<Option<Event<'_>>> {
        // The loop only checks whether an event is complete: the borrow checker rejects an early
        // return of a borrowed event from inside it.
        while !self.decoder.has_data() {
            let received = actix_rt::time::timeout(self.timeout, self.answer.next()).await;
            let Some(bytes) = received.map_err(|_| Error::Timeout)?? else {
                return Ok(None);
            };
            self.decoder
                .feed(&bytes)
                .map_err(|error| Error::Broken(error.to_string()))?;
        }
        let Some(data) = self.decoder.next_data() else {
            return Ok(None);
        };
        Event::try_from(data)
            .map(Some)
            .map_err(|error| Error::Broken(error.to_string()))
    }
}
