//! What the requests of the traffic thread share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use http::HeaderName;
use leadstage_lib::gateway::leaving_announcements::LeavingAnnouncements;
use leadstage_lib::gateway::replica_backoffs::ReplicaBackoffs;
use leadstage_lib::gateway::retry_window::RetryShare;
use leadstage_lib::gateway::retry_window::RetryWindow;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::sound_runs::SoundRuns;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::ids::UpstreamId;

use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::StreamHandle;
use crate::gateway::peers::peer_message::Wanted;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::RunGuard;
use crate::gateway::shared::Shared;
use crate::gateway::stop;
use crate::gateway::upstream::connections::Connections;

/// Nodes that share the retry budget at least: a node that is cut off from the others must
/// not take all of it.
const LEAST_NODES: usize = 6;

/// What the requests of the traffic thread share.
#[derive(Clone)]
pub struct Traffic {
    /// What both threads share.
    pub shared: Arc<Shared>,
    /// Unused connections to replicas.
    pub connections: Rc<Connections>,
    retries: Rc<RefCell<HashMap<ServiceId, RetryWindow>>>,
    /// Requests that replicas answered lately.
    pub sound_runs: Rc<RefCell<SoundRuns>>,
    /// Replicas that said in an answer to this node that they leave.
    pub leaving_announcements: Rc<RefCell<LeavingAnnouncements>>,
    /// Replicas that asked this node for rest.
    pub rests: Rc<RefCell<ReplicaBackoffs>>,
    /// The headers of replicas' answers that have been looked at.
    pub seen_headers: Rc<RefCell<HashSet<HeaderName>>>,
}

impl Traffic {
    /// Nothing is open yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Traffic {
            shared,
            connections: Rc::default(),
            retries: Rc::default(),
            sound_runs: Rc::default(),
            leaving_announcements: Rc::default(),
            rests: Rc::default(),
            seen_headers: Rc::default(),
        }
    }

    /// Whether a request that was sent to `sent` replicas may be sent to one more; if so, that is
    /// taken from the retry budget.
    pub async fn may_send_again(&self, req: &CallerRequest, sent: u32) -> bool {
        let policy = self.shared.settings.policy;
        let is_on = if req.route.resumable { policy.resume_streams } else { policy.repeat };
        is_on && req.may_repeat(sent) && self.may_risk_another(req).await && self.take_retry(&req.service)
    }

    fn take_retry(&self, service: &ServiceId) -> bool {
        let now = self.shared.now();
        let bounds = self.shared.bounds();
        let share = RetryShare {
            window: bounds.retry_window,
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack / self.shared.nodes().max(LEAST_NODES) as f64,
        };
        let allowed = self.with_window(service, |window| window.take(now, &share));
        self.shared.metrics.on_retry(allowed);
        allowed
    }

    /// Asks for an engine that reads a request's prompt, other than some.
    pub async fn place_generation(
        &self,
        req: &CallerRequest,
        handle: &StreamHandle,
        exclude: &[UpstreamId],
    ) -> Result<RunGuard, NoRoom> {
        let request = PlaceRequest {
            request: req.id().to_owned(),
            wanted: Wanted {
                service: req.service.clone(),
                size: Some(req.generation_size()),
                produced: 0,
                from: None,
                hall: self.shared.settings.hall.clone(),
                exclude: exclude.to_vec(),
                resting: Vec::new(),
                regions: req.regions(),
            },
            priority: req.priority(),
            patience: req.first_event_due(),
            leaves_after: stop::may_wait(&self.shared, req),
            stream: Some(handle.clone()),
        };
        self.place(request).await
    }

    /// A request for a service came: it adds to the retry budget.
    pub fn on_request(&self, service: &ServiceId) {
        let now = self.shared.now();
        self.with_window(service, |window| window.on_request(now));
    }

    fn with_window<T>(&self, service: &ServiceId, act: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let mut windows = self.retries.borrow_mut();
        act(windows.entry(service.clone()).or_default())
    }
}
