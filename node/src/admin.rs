//! The admin port: health, readiness, metrics, status and the decisions for `leadstage explain`.

use std::sync::Arc;

use leadstage_lib::status::BurnStatus;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::ResponseBody;
use xitca_web::handler::handler_service;
use xitca_web::http::HeaderValue;
use xitca_web::http::WebResponse;

use crate::late_port::Port;
use crate::locks;
use crate::settings::Settings;
use crate::shared::Readiness;
use crate::shared::Shared;
use crate::status_report::readiness_text;

/// Serves the admin port until the process ends.
pub fn serve(settings: &Settings, shared: Arc<Shared>) -> std::io::Result<()> {
    let port = Port { name: "admin", address: settings.admin };
    let server = port.bind_blocking(|| {
        App::new()
            .with_state(shared.clone())
            .at("/{*path}", handler_service(handle))
            .serve()
            .disable_signal()
            .worker_threads(1)
            .bind(port.address)
    })?;
    server.run().wait()
}

async fn handle(cx: &WebContext<'_, Arc<Shared>>) -> WebResponse {
    let shared = cx.state();
    let uri = cx.req().uri();
    match uri.path() {
        "/healthz" => respond(200, "text/plain", "ok".to_owned()),
        "/readyz" => readyz(shared),
        "/metrics" => respond(200, "text/plain; version=0.0.4", shared.metrics.text()),
        "/status" => json(&shared.status()),
        "/burn" => json(&burn(shared)),
        "/explain" => explain(shared, uri.query().unwrap_or("")),
        _ => respond(404, "text/plain", "no such path".to_owned()),
    }
}

fn readyz(shared: &Shared) -> WebResponse {
    let readiness = shared.readiness();
    let status = if readiness == Readiness::Ready { 200 } else { 503 };
    respond(status, "text/plain", readiness_text(readiness).to_owned())
}

fn burn(shared: &Shared) -> BurnStatus {
    let levels = shared.bundle().map(|b| b.service_levels.clone()).unwrap_or_default();
    BurnStatus { counts: shared.burn(), levels }
}

fn explain(shared: &Shared, query: &str) -> WebResponse {
    let id = query.strip_prefix("id=").and_then(|id| u64::from_str_radix(id, 16).ok());
    let log = locks::lock(&shared.decisions);
    match id.and_then(|id| log.get(id)) {
        Some(decisions) => json(&decisions),
        None => respond(404, "text/plain", "unknown request".to_owned()),
    }
}

fn json<T: serde::Serialize>(value: &T) -> WebResponse {
    let body = serde_json::to_string(value).expect("plain data serialises");
    respond(200, "application/json", body)
}

fn respond(status: u16, content_type: &'static str, body: String) -> WebResponse {
    let mut res = WebResponse::new(ResponseBody::from(body));
    *res.status_mut() = status.try_into().expect("a valid status");
    res.headers_mut().insert("content-type", HeaderValue::from_static(content_type));
    res
}
