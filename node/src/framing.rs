//! Whether a response is a final one, and how the end of its body is marked.

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use hyper::body::Body;

/// Whether a length or chunks mark the end of a body that has just begun; otherwise it ends with its connection.
pub fn is_framed(headers: &HeaderMap, body: &impl Body) -> bool {
    body.size_hint().exact().is_some() || is_chunked(headers)
}

/// Whether the body of a complete response is probably missing: a success that names neither a length nor chunks,
/// and whose connection was closed before the first byte of a body. A service that has no body to send says so with
/// a length of 0 or with status 204, as its connection could not be reused otherwise.
pub fn lacks_body(status: StatusCode, is_framed: bool, body: &Bytes) -> bool {
    let may_be_empty = matches!(status, StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT);
    status.is_success() && !may_be_empty && !is_framed && body.is_empty()
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings =
        headers.get_all(header::TRANSFER_ENCODING).iter().filter_map(|value| value.to_str().ok());
    let last = codings.next_back().and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Whether a status is that of a final response. HTTP libraries also pass on 101, which no request here asks for, and
/// statuses that HTTP does not define (600 to 999).
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
