//! A stand-in for an engine as an HTTP server: OpenAI-compatible streams with generation ids and token
//! indexes, resumption, cancellation, lagging load reports, cache events with gaps, fenced orders and fault
//! injection.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::Stream;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;
use xitca_web::http::WebResponse;

use crate::engine_model::EngineConfig;
use crate::engine_model::EngineEvent;
use crate::engine_model::EngineLoad;
use crate::engine_model::EngineModel;
use crate::engine_model::FinishReason;
use crate::engine_model::GenerationId;
use crate::engine_model::Submission;
use crate::http_server::Handler;
use crate::http_server::Request;
use crate::http_server::respond;
use crate::http_server::respond_json;
use crate::http_server::respond_stream;
use crate::lengths::Lengths;

/// Characters of a prompt that count as one token.
const CHARS_PER_TOKEN: u64 = 4;
/// Characters of the cached prefix of a prompt.
const PREFIX_CHARS: u64 = 1_024;
/// Time for which an ended generation can still be resumed.
const ENDED_RETENTION: Duration = Duration::from_secs(120);
/// One cache event in this many is lost.
const CACHE_EVENTS_PER_LOSS: u64 = 10;
/// Maximum number of past loads kept for lagging reports.
const MAX_LOADS: usize = 5_000;
/// Time between two checks for work of an idle or frozen engine.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Settings of the engine's stand-in.
#[derive(Clone, Copy, Debug)]
pub struct EngineServerConfig {
    /// Capacity and speed of the engine.
    pub engine: EngineConfig,
    /// Age of the reported load.
    pub load_lag: Duration,
    /// Output lengths of requests that set none.
    pub outputs: Lengths,
    /// Whether to reject orders with an outdated fence.
    pub checks_fences: bool,
    /// Seed of the random output lengths.
    pub seed: u64,
}

/// Progress of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Progress {
    produced: u64,
    finished: Option<FinishReason>,
    cancelled: bool,
}

struct GenerationState {
    organisation: String,
    progress: watch::Sender<Progress>,
    ended: Option<Instant>,
}

struct State {
    model: EngineModel,
    generations: HashMap<GenerationId, GenerationState>,
    loads: VecDeque<(Instant, EngineLoad)>,
    cache_events: VecDeque<(Instant, u64, bool)>,
    cache_sequence: u64,
    preemptions: u64,
    started: u64,
    cancelled: u64,
    rng: SmallRng,
    fence: u64,
    orders: Vec<String>,
    loaded: Vec<String>,
}

/// The engine's stand-in; clones share their state.
#[derive(Clone)]
pub struct EngineServer {
    config: EngineServerConfig,
    state: Arc<Mutex<State>>,
    frozen: Arc<AtomicBool>,
    reclaimed: Arc<AtomicBool>,
    cut_count: Arc<AtomicU64>,
    stall_count: Arc<AtomicU64>,
}

#[derive(Deserialize)]
struct GenerateBody {
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    model: String,
    /// Exact output length for experiments; not part of the OpenAI API.
    stand_in_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    action: String,
}

impl EngineServer {
    /// Returns a stand-in and starts the thread that steps the engine.
    pub fn start(config: EngineServerConfig) -> Self {
        let state = State {
            model: EngineModel::new(config.engine),
            generations: HashMap::new(),
            loads: VecDeque::new(),
            cache_events: VecDeque::new(),
            cache_sequence: 0,
            preemptions: 0,
            started: 0,
            cancelled: 0,
            rng: SmallRng::seed_from_u64(config.seed),
            fence: 0,
            orders: Vec::new(),
            loaded: Vec::new(),
        };
        let server = EngineServer {
            config,
            state: Arc::new(Mutex::new(state)),
            frozen: Arc::default(),
            reclaimed: Arc::default(),
            cut_count: Arc::default(),
            stall_count: Arc::default(),
        };
        let stepping_server = server.clone();
        std::thread::spawn(move || stepping_server.run_steps());
        server
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn run_steps(&self) {
        let mut due = Instant::now();
        loop {
            if self.frozen.load(Ordering::Relaxed) {
                std::thread::sleep(IDLE_POLL_INTERVAL);
                continue;
            }
            let outcome = self.lock().model.step();
            let idle = outcome.events.is_empty() && outcome.duration.is_zero();
            due = (due + outcome.duration).max(Instant::now());
            std::thread::sleep(due - Instant::now());
            self.lock().publish_step(&outcome.events);
            if idle {
                std::thread::sleep(IDLE_POLL_INTERVAL);
            }
        }
    }

    async fn wait_while_frozen(&self) {
        while self.frozen.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn handle_generate(&self, req: &Request, chat: bool) -> WebResponse {
        let body: GenerateBody = match serde_json::from_slice(&req.body) {
            Ok(body) => body,
            Err(err) => return respond_json(400, &json!({"error": {"message": err.to_string()}})),
        };
        let Some(generation) = req.header("x-generation-id").and_then(parse_generation_id) else {
            return respond_json(400, &json!({"error": {"message": "x-generation-id missing"}}));
        };
        let organisation = req.header("x-organisation").unwrap_or("").to_owned();
        let priority = req.header("x-priority").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.lock().submit(generation, organisation, priority, &body, &self.config);
        if body.stream {
            return self.stream_response(generation, 0, chat, body.model);
        }
        self.full_response(generation, chat, body.model)
    }

    fn full_response(&self, generation: GenerationId, chat: bool, model: String) -> WebResponse {
        let Some(mut rx) = self.subscribe(generation) else {
            return respond(404, "unknown generation");
        };
        let stream = channel_stream(move |tx| async move {
            while rx.borrow_and_update().finished.is_none() {
                if rx.changed().await.is_err() {
                    return;
                }
            }
            let produced = rx.borrow().produced;
            let text: String = (0..produced).map(|index| token_text(generation, index)).collect();
            let body = completion_body(generation, &model, &text, chat, produced);
            let _ = tx.send(Ok(Bytes::from(body))).await;
        });
        let mut res = respond_stream(stream);
        let json = "application/json".parse().expect("a valid header");
        res.headers_mut().insert("content-type", json);
        res
    }

    fn subscribe(&self, generation: GenerationId) -> Option<watch::Receiver<Progress>> {
        let state = self.lock();
        state.generations.get(&generation).map(|t| t.progress.subscribe())
    }

    fn stream_response(&self, generation: GenerationId, from: u64, chat: bool, model: String) -> WebResponse {
        let Some(mut rx) = self.subscribe(generation) else {
            return respond_json(404, &json!({"error": {"message": "unknown generation"}}));
        };
        let organisation = self.lock().generations[&generation].organisation.clone();
        let cut_count = self.cut_count.clone();
        let stall_count = self.stall_count.clone();
        let (initial_cuts, initial_stalls) =
            (cut_count.load(Ordering::Relaxed), stall_count.load(Ordering::Relaxed));
        let stream = channel_stream(move |tx| async move {
            let mut next = from;
            loop {
                let progress = *rx.borrow_and_update();
                if stall_count.load(Ordering::Relaxed) != initial_stalls {
                    std::future::pending::<()>().await;
                }
                if cut_count.load(Ordering::Relaxed) != initial_cuts {
                    let _ = tx.send(Err(std::io::Error::other("cut"))).await;
                    return;
                }
                let mut chunk = String::new();
                while next < progress.produced {
                    chunk.push_str(&token_event(generation, next, &model, chat));
                    next += 1;
                }
                if let Some(reason) = progress.finished {
                    chunk.push_str(&final_events(generation, next, &model, chat, reason));
                }
                if !chunk.is_empty() && tx.send(Ok(Bytes::from(chunk))).await.is_err() {
                    return;
                }
                if progress.finished.is_some() || progress.cancelled {
                    return;
                }
                tokio::select! {
                    changed = rx.changed() => if changed.is_err() { return },
                    () = tokio::time::sleep(Duration::from_millis(50)) => {}
                }
            }
        });
        let mut res = respond_stream(stream);
        if let Ok(value) = organisation.parse() {
            res.headers_mut().insert("x-organisation", value);
        }
        res
    }

    fn inject_fault(&self, kind: &str, req: &Request) -> WebResponse {
        match kind {
            "die" => std::process::exit(1),
            "freeze" => self.frozen.store(true, Ordering::Relaxed),
            "reclaim" => self.reclaimed.store(true, Ordering::Relaxed),
            "thaw" => self.frozen.store(false, Ordering::Relaxed),
            "cut" => _ = self.cut_count.fetch_add(1, Ordering::Relaxed),
            "stall" => _ = self.stall_count.fetch_add(1, Ordering::Relaxed),
            "slow" => {
                let factor = req.query_value("factor").and_then(|v| v.parse().ok()).unwrap_or(2.0);
                self.lock().model.set_slowdown(factor);
            }
            "fill" => {
                let blocks = req.query_value("blocks").and_then(|v| v.parse().ok()).unwrap_or(u64::MAX);
                self.lock().model.disable_blocks(blocks);
            }
            _ => return respond(404, "unknown fault"),
        }
        respond(200, "ok")
    }

    fn handle_order(&self, req: &Request) -> WebResponse {
        let Ok(order) = serde_json::from_slice::<Order>(&req.body) else {
            return respond(400, "order");
        };
        let mut state = self.lock();
        if self.config.checks_fences && order.fence < state.fence {
            return respond_json(409, &json!({"fence": state.fence}));
        }
        state.fence = state.fence.max(order.fence);
        state.orders.push(format!("{}:{}", order.fence, order.action));
        if let Some(adapter) = order.action.strip_prefix("load:") {
            state.loaded.push(adapter.to_owned());
        }
        respond_json(200, &json!({"fence": state.fence}))
    }

    fn on_generation(&self, req: &Request, rest: &str) -> WebResponse {
        let (id, tail) = rest.split_once('/').unwrap_or((rest, ""));
        let Some(generation) = parse_generation_id(id) else {
            return respond(400, "generation id");
        };
        match (req.method.as_str(), tail) {
            ("GET", _) => {
                let from = req.query_value("from").and_then(|v| v.parse().ok()).unwrap_or(0);
                let chat = req.query_value("chat") != Some("0");
                let model = req.query_value("model").unwrap_or("").to_owned();
                self.stream_response(generation, from, chat, model)
            }
            ("DELETE", _) => {
                let known = self.lock().cancel(generation);
                respond(if known { 200 } else { 404 }, "")
            }
            ("POST", "priority") => {
                let priority = req.query_value("value").and_then(|v| v.parse().ok()).unwrap_or(0);
                self.lock().model.set_priority(generation, priority);
                respond(200, "")
            }
            _ => respond(405, "method"),
        }
    }
}

impl State {
    fn submit(
        &mut self,
        generation: GenerationId,
        organisation: String,
        priority: i32,
        body: &GenerateBody,
        config: &EngineServerConfig,
    ) {
        if self.generations.contains_key(&generation) {
            return;
        }
        let messages = body.messages.iter().flatten().map(|m| m.content.as_str());
        let prompt: String = body.prompt.as_deref().into_iter().chain(messages).collect();
        let chars = prompt.len();
        let limit = body.max_tokens.unwrap_or(u64::MAX >> 1);
        let drawn = config.outputs.draw(&mut self.rng, limit.max(1));
        self.model.submit(Submission {
            generation,
            prompt_tokens: (chars as u64).div_ceil(CHARS_PER_TOKEN).max(1),
            output_tokens: body.stand_in_tokens.unwrap_or(drawn).min(limit).max(1),
            priority,
            prefix: prefix_hash(&prompt),
            prefix_tokens: PREFIX_CHARS / CHARS_PER_TOKEN,
        });
        self.started += 1;
        let progress = watch::Sender::new(Progress::default());
        self.generations.insert(generation, GenerationState { organisation, progress, ended: None });
    }

    fn cancel(&mut self, generation: GenerationId) -> bool {
        let known = self.model.cancel(generation);
        if let Some(tracked) = self.generations.get_mut(&generation) {
            tracked.progress.send_modify(|p| p.cancelled = true);
            tracked.ended = Some(Instant::now());
        }
        self.cancelled += u64::from(known);
        known
    }

    /// Publishes the events of a step after its duration has passed.
    fn publish_step(&mut self, events: &[EngineEvent]) {
        let now = Instant::now();
        self.generations.retain(|_, t| t.ended.is_none_or(|at| now - at < ENDED_RETENTION));
        for event in events {
            self.publish_event(*event, now);
        }
        self.loads.push_back((now, self.model.load()));
        while self.loads.len() > MAX_LOADS {
            self.loads.pop_front();
        }
    }

    fn publish_event(&mut self, event: EngineEvent, now: Instant) {
        match event {
            EngineEvent::Token { generation, .. } => {
                if let Some(tracked) = self.generations.get(&generation) {
                    tracked.progress.send_modify(|p| p.produced += 1);
                }
            }
            EngineEvent::Finished { generation, reason } => {
                if let Some(tracked) = self.generations.get_mut(&generation) {
                    tracked.ended = Some(now);
                    tracked.progress.send_modify(|p| p.finished = Some(reason));
                }
            }
            EngineEvent::Preempted { .. } => self.preemptions += 1,
            EngineEvent::PrefixStored { prefix } => self.push_cache_event(now, prefix, true),
            EngineEvent::PrefixEvicted { prefix } => self.push_cache_event(now, prefix, false),
        }
    }

    fn push_cache_event(&mut self, now: Instant, prefix: u64, stored: bool) {
        self.cache_sequence += 1;
        if !self.cache_sequence.is_multiple_of(CACHE_EVENTS_PER_LOSS) {
            self.cache_events.push_back((now, prefix, stored));
        }
        if self.cache_events.len() > 1_000 {
            self.cache_events.pop_front();
        }
    }

    /// Returns the latest load that is at least `lag` old.
    fn lagged_load(&self, lag: Duration) -> EngineLoad {
        let now = Instant::now();
        let known = self.loads.iter().rev().find(|(at, _)| now - *at >= lag);
        known.map_or_else(
            || EngineLoad { total_blocks: self.model.config().blocks, ..EngineLoad::default() },
            |l| l.1,
        )
    }
}

impl Handler for EngineServer {
    async fn handle(&self, req: Request) -> WebResponse {
        if let Some(kind) = req.path.strip_prefix("/fault/") {
            return self.inject_fault(kind, &req);
        }
        self.wait_while_frozen().await;
        if let Some(rest) = req.path.strip_prefix("/v1/generations/") {
            return self.on_generation(&req, rest);
        }
        match req.path.as_str() {
            "/v1/chat/completions" => self.handle_generate(&req, true),
            "/v1/completions" => self.handle_generate(&req, false),
            "/v1/load" => {
                let state = self.lock();
                let load = state.lagged_load(self.config.load_lag);
                let leaving = self.reclaimed.load(Ordering::Relaxed);
                respond_json(200, &load_body(&load, &state, &self.config, leaving))
            }
            "/v1/cache_events" => {
                let state = self.lock();
                let events: Vec<_> =
                    state.cache_events.iter().map(|e| json!({"prefix": e.1, "stored": e.2})).collect();
                respond_json(200, &events)
            }
            "/v1/orders" => self.handle_order(&req),
            "/stand-in/orders" => respond_json(200, &self.lock().orders),
            _ => respond(404, "no such path"),
        }
    }
}

fn load_body(
    load: &EngineLoad,
    state: &State,
    config: &EngineServerConfig,
    leaving: bool,
) -> serde_json::Value {
    json!({
        "leaving": leaving,
        "loaded": state.loaded,
        "running": load.running,
        "waiting": load.waiting,
        "used_blocks": load.used_blocks,
        "total_blocks": load.total_blocks,
        "block_tokens": config.engine.block_tokens,
        "max_batch": config.engine.max_batch,
        "step_us": load.step.as_micros() as u64,
        "preemptions": state.preemptions,
        "started": state.started,
        "cancelled": state.cancelled,
    })
}

/// Returns the hash of a prompt's prefix; 0 if the prompt is too short to be cached.
fn prefix_hash(prompt: &str) -> u64 {
    let Some(start) = prompt.as_bytes().get(..PREFIX_CHARS as usize) else {
        return 0;
    };
    let mut hasher = DefaultHasher::new();
    start.hash(&mut hasher);
    hasher.finish().max(1)
}

fn parse_generation_id(text: &str) -> Option<GenerationId> {
    u64::from_str_radix(text, 16).ok()
}

/// Returns the text of a token, which depends only on the generation and the index.
pub fn token_text(generation: GenerationId, index: u64) -> String {
    format!("{:x}.{index} ", generation & 0xffff)
}

fn token_event(generation: GenerationId, index: u64, model: &str, chat: bool) -> String {
    let text = token_text(generation, index);
    let data = if chat {
        format!(
            r#"{{"id":"{generation:016x}","object":"chat.completion.chunk","model":"{model}","choices":[{{"index":0,"delta":{{"content":"{text}"}},"finish_reason":null}}]}}"#
        )
    } else {
        format!(
            r#"{{"id":"{generation:016x}","object":"text_completion","model":"{model}","choices":[{{"index":0,"text":"{text}","finish_reason":null}}]}}"#
        )
    };
    format!("id: {generation:016x}:{index}\ndata: {data}\n\n")
}

fn final_events(
    generation: GenerationId,
    next: u64,
    model: &str,
    chat: bool,
    reason: FinishReason,
) -> String {
    let reason = match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    };
    let object = if chat { "chat.completion.chunk" } else { "text_completion" };
    let empty = if chat { r#""delta":{}"# } else { r#""text":"""# };
    format!(
        "id: {generation:016x}:{next}\ndata: {{\"id\":\"{generation:016x}\",\"object\":\"{object}\",\"model\":\"{model}\",\"choices\":[{{\"index\":0,{empty},\"finish_reason\":\"{reason}\"}}]}}\n\ndata: [DONE]\n\n"
    )
}

fn completion_body(generation: GenerationId, model: &str, text: &str, chat: bool, produced: u64) -> String {
    let choice = if chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"})
    } else {
        json!({"index": 0, "text": text, "finish_reason": "stop"})
    };
    json!({
        "id": format!("{generation:016x}"),
        "object": if chat { "chat.completion" } else { "text_completion" },
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": produced},
    })
    .to_string()
}

/// Spawns the future that `producer` returns and streams the items that it sends.
fn channel_stream<F, Fut>(producer: F) -> impl Stream<Item = std::io::Result<Bytes>>
where
    F: FnOnce(tokio::sync::mpsc::Sender<std::io::Result<Bytes>>) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    let (tx, rx) = tokio::sync::mpsc::channel(4);
    let task = producer(tx);
    tokio::task::spawn_local(task);
    futures::stream::unfold(rx, |mut rx| async move { rx.recv().await.map(|item| (item, rx)) })
}
