//! Counts open requests, from their headers to the last byte of their responses.

use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::dev::{Service, ServiceRequest, ServiceResponse};
use actix_web::http::ConnectionType;
use bytes::Bytes;

use super::Counter;
use crate::state::Shared;

/// Counts one open request until it is dropped.
#[derive(Debug)]
struct Guard(Counter);

impl Guard {
    fn new(counter: &Counter) -> Self {
        counter.0.fetch_add(1, Ordering::Relaxed);
        Self(counter.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Response body that keeps its request counted as open until the body is dropped.
#[derive(Debug)]
struct Body {
    body: BoxBody,
    _guard: Option<Guard>,
}

impl MessageBody for Body {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}

/// Counts a request. While the gateway drains, new requests are refused and not counted, and
/// connections close after the response.
pub(crate) fn count<S>(
    shared: &Shared,
    request: ServiceRequest,
    service: &S,
) -> impl Future<Output = Result<ServiceResponse<BoxBody>, actix_web::Error>> + use<S>
where
    S: Service<ServiceRequest, Response = ServiceResponse<BoxBody>, Error = actix_web::Error>,
{
    let draining = shared.draining.clone();
    let guard = (!draining.load(Ordering::Relaxed)).then(|| Guard::new(&shared.open));
    let answered = service.call(request);
    async move {
        let mut response = answered.await?;
        if draining.load(Ordering::Relaxed) {
            let head = response.response_mut().head_mut();
            head.set_connection_type(ConnectionType::Close);
        }
        Ok(response.map_body(|_, body| {
            let _guard = guard;
            BoxBody::new(Body { body, _guard })
        }))
    }
}
