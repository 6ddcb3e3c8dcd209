//! How the end of a response body is marked.

use http::HeaderMap;
use http::header;
use hyper::body::Body;

/// Whether a length or chunks mark the end of a body that has just begun; otherwise it ends with its connection.
pub fn is_framed(headers: &HeaderMap, body: &impl Body) -> bool {
    body.size_hint().exact().is_some() || is_chunked(headers)
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings =
        headers.get_all(header::TRANSFER_ENCODING).iter().filter_map(|value| value.to_str().ok());
    let last = codings.next_back().and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
