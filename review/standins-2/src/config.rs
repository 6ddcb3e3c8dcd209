//! The operator's configuration.

/// The key of the only tenant.
pub const KEY: &str = "key-1";
/// The host of all routes.
pub const HOST: &str = "desk.example";

/// A configuration with a route of each kind: `/book/`, `/read/` and `/chat/`. `more` holds further fields of all
/// routes, and `service` of both services, each with a comma before it.
pub fn text(more: &str, service: &str) -> String {
    let route = |name: &str, kind: &str, of: &str, attempts: u32, timeout: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":{timeout},"targetLatencyMs":500,"priority":1,"service":"{of}","maxAttempts":{attempts},"public":false,"gap_aim_ms":180{more}}}"#
        )
    };
    let routes = [
        route("book", "non_idempotent", "booking", 1, 1_500),
        route("read", "idempotent", "booking", 2, 1_500),
        route("chat", "streaming", "model", 1, 6_000),
    ];
    let engine = r#""engine":{"slots":24,"kvCacheTokens":34000,"kvTokenBytes":1000,"linkMbps":1000.0,"moves":true,"backups":false,"stride":4}"#;
    format!(
        r#"{{"version":1,"routes":[{}],"services":[{{"name":"booking","healthPath":"/healthz","maxConnections":110{service}}},{{"name":"model","healthPath":"/healthz","maxConnections":240{service},{engine}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"tenant-1","apiKeys":["{KEY}"],"priority":0}}]}}"#,
        routes.join(",")
    )
}

/// The text of a client's request. `headers` holds further headers.
pub fn request(method: &str, route: &str, id: &str, deadline_ms: u32, headers: &str, body: &str) -> String {
    format!(
        "{method} /{route}/1 HTTP/1.1\r\nHost: {HOST}\r\nLeadstage-Request-Id: {id}\r\nLeadstage-Deadline-Ms: \
         {deadline_ms}\r\nAuthorization: Token {KEY}\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
