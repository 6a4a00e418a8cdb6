//! Engine client over HTTP with JSON and server-sent events.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::dev::Payload;
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use berylknot_border::engine::{
    CancelRequest, CancelResponse, DecodeRequest, EngineError, PrefillRequest, PrefillResponse,
};
use berylknot_border::event::Event;
use berylknot_border::sse::Decoder;
use bytes::Bytes;
use futures_util::stream::{LocalBoxStream, StreamExt};
use serde::Serialize;

use super::{Cancel, Decode, Error, Events, Prefill, Result};
use crate::endpoint::Client;

/// Timeout of a cancel call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the response headers of a decode; the engine imports the KV cache in this time.
const DECODE_START_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of engines, one per thread.
#[derive(Clone)]
pub(crate) struct Http {
    client: Client,
    prefill_timeout: Duration,
    event_timeout: Duration,
}

impl std::fmt::Debug for Http {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Http").finish_non_exhaustive()
    }
}

impl Http {
    /// Creates a client with timeouts for prefills and for the gap between events.
    pub(crate) fn new(prefill_timeout: Duration, event_timeout: Duration) -> Self {
        Self {
            client: Client::new(),
            prefill_timeout,
            event_timeout,
        }
    }

    async fn post<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
        body: &T,
    ) -> Result<awc::ClientResponse<LocalBoxStream<'static, PayloadResult>>> {
        let request = self
            .client
            .request(Method::POST, &format!("http://{address}{path}"))
            .send_json(body);
        let sent = actix_rt::time::timeout(timeout, request)
            .await
            .map_err(|_| Error::Timeout)?;
        let mut response = sent.map_err(classify)?.map_body(|_, body| Payload::Stream {
            payload: body.boxed_local(),
        });
        if response.status().is_success() {
            return Ok(response);
        }
        let code = match response.json::<EngineError>().await {
            Ok(error) => error.code,
            Err(_) => response.status().to_string(),
        };
        Err(Error::Refused { code })
    }
}

type PayloadResult = std::result::Result<Bytes, awc::error::PayloadError>;

fn classify(error: SendRequestError) -> Error {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Error::Broken(error.to_string()),
        SendRequestError::Connect(error) => Error::Unreachable(error.to_string()),
        error => Error::Broken(error.to_string()),
    }
}

impl Prefill for Http {
    async fn prefill(
        &self,
        address: SocketAddr,
        request: &PrefillRequest,
    ) -> Result<PrefillResponse> {
        let mut response = self
            .post(address, "/v1/prefill", self.prefill_timeout, request)
            .await?;
        response
            .json()
            .await
            .map_err(|error| Error::Broken(error.to_string()))
    }
}

impl Decode for Http {
    type Events = Stream;

    async fn decode(&self, address: SocketAddr, request: &DecodeRequest) -> Result<Stream> {
        let response = self
            .post(address, "/v1/decode", DECODE_START_TIMEOUT, request)
            .await?;
        Ok(Stream {
            body: response.boxed_local(),
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
        let mut response = self
            .post(address, "/v1/cancel", CANCEL_TIMEOUT, &body)
            .await?;
        let answer: CancelResponse = response
            .json()
            .await
            .map_err(|error| Error::Broken(error.to_string()))?;
        Ok(answer.known)
    }
}

/// Decode events, parsed from a response body.
pub(crate) struct Stream {
    body: LocalBoxStream<'static, PayloadResult>,
    decoder: Decoder,
    timeout: Duration,
}

impl Events for Stream {
    async fn next(&mut self) -> Result<Option<Event<'_>>> {
        // The loop only checks whether an event is complete: the borrow checker rejects an early
        // return of a borrowed event from inside it.
        while !self.decoder.has_data() {
            let received = actix_rt::time::timeout(self.timeout, self.body.next()).await;
            match received.map_err(|_| Error::Timeout)? {
                Some(Ok(bytes)) => {
                    self.decoder
                        .feed(&bytes)
                        .map_err(|error| Error::Broken(error.to_string()))?;
                }
                Some(Err(error)) => return Err(Error::Broken(error.to_string())),
                None => return Ok(None),
            }
        }
        let Some(data) = self.decoder.next_data() else {
            return Ok(None);
        };
        Event::try_from(data)
            .map(Some)
            .map_err(|error| Error::Broken(error.to_string()))
    }
}
