//! Authentication of callers.

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use actix_web::http::header::AUTHORIZATION;
use berylknot_settings::Fleet;
use berylknot_settings::fleet::CustomerKey;

use crate::refusal::Refusal;
use crate::state::Shared;

/// An authenticated caller.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// Customer that owns the API key.
    pub(crate) customer: CustomerKey,
    /// Public id of the API key.
    pub(crate) key_id: String,
}

/// API key from the `authorization: Bearer` header.
pub(crate) fn presented_key(request: &HttpRequest) -> Option<&str> {
    let value = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

/// Authenticates a request by its API key.
pub(crate) fn authenticate(
    request: &HttpRequest,
    fleet: &Fleet,
    shared: &Shared,
) -> Result<Caller, Refusal> {
    let unauthorized =
        |code, message: &str| Refusal::not_run(code, StatusCode::UNAUTHORIZED, message);
    let presented = presented_key(request)
        .ok_or_else(|| unauthorized("key_missing", "the request carries no bearer key"))?;
    shared.accepts_keys()?;
    let key = fleet
        .find_key(presented, &shared.pepper)
        .ok_or_else(|| unauthorized("key_unknown", "the key is not known"))?;
    if key.withdrawn {
        return Err(unauthorized("key_withdrawn", "the key was withdrawn"));
    }
    Ok(Caller {
        customer: key.customer,
        key_id: key.id.clone(),
    })
}
