//! Identifies the organisation of a request by its bearer token.

use std::sync::Arc;

use leadstage_lib::bundle::Bundle;
use leadstage_lib::bundle::Organisation;
use leadstage_lib::code::Code;
use leadstage_lib::signing::sha256_hex;
use xitca_web::http::HeaderMap;

use crate::refusal::Refusal;
use crate::shared::Shared;

/// The organisation of a request, with the bundle that was in force when the request arrived.
#[derive(Clone, Debug)]
pub struct Authenticated {
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// The organisation, as defined in the bundle.
    pub organisation: Organisation,
}

/// Looks the organisation up by the hash of the token; the bundle holds only hashes.
pub fn authenticate(shared: &Shared, headers: &HeaderMap) -> Result<Authenticated, Refusal> {
    let bundle = shared.bundle().ok_or_else(|| Refusal::new(Code::NotReady))?;
    let header = headers.get("authorization").ok_or_else(|| Refusal::new(Code::Unauthorised))?;
    let text = header.to_str().map_err(|_| Refusal::new(Code::BadHeader))?;
    let token = text.strip_prefix("Bearer ").ok_or_else(|| Refusal::new(Code::Unauthorised))?;
    let hash = sha256_hex(token.trim().as_bytes());
    let found = bundle.organisations.iter().find(|o| o.token_hashes.contains(&hash)).cloned();
    let organisation = found.ok_or_else(|| Refusal::new(Code::Unauthorised))?;
    Ok(Authenticated { bundle, organisation })
}
