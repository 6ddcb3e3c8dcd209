//! Which organisation a request belongs to, by its bearer token.

use std::sync::Arc;

use leadstage_lib::bundle::Bundle;
use leadstage_lib::bundle::Organisation;
use leadstage_lib::code::Code;
use leadstage_lib::signing::sha256_hex;
use xitca_web::http::HeaderMap;

use crate::refusal::Refusal;
use crate::shared::Shared;

/// A request of a known organisation, under the bundle that was in force when it came.
#[derive(Clone, Debug)]
pub struct Authenticated {
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// The organisation, as the bundle has it.
    pub organisation: Organisation,
}

/// Finds the organisation; the bundle holds only hashes of the tokens.
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
