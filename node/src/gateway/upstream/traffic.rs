//! State shared by the requests of the traffic thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use http::HeaderName;
use leadstage_lib::gateway::leaving_announcements::LeavingAnnouncements;
use leadstage_lib::gateway::recent_successes::RecentSuccesses;
use leadstage_lib::gateway::replica_backoffs::ReplicaBackoffs;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::retry_window::RetryShare;
use leadstage_lib::gateway::retry_window::RetryWindow;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::ids::UpstreamId;

use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::StreamHandle;
use crate::gateway::peers::peer_message::Wanted;
use crate::gateway::replica_dialer::ReplicaDialer;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::RunGuard;
use crate::gateway::shared::Shared;
use crate::gateway::stop;
use crate::gateway::upstream::connections::IdleConnections;

/// The retry budget is divided among at least this many nodes: a node that is cut off from the others
/// must not use all of it.
const MIN_BUDGET_NODES: usize = 6;

/// State shared by the requests of the traffic thread.
#[derive(Clone)]
pub struct Traffic {
    /// State shared by the traffic thread and the control thread.
    pub shared: Arc<Shared>,
    /// Idle connections to replicas.
    pub connections: Rc<IdleConnections>,
    retries: Rc<RefCell<HashMap<ServiceId, RetryWindow>>>,
    /// Requests that replicas answered successfully in recent time.
    pub recent_successes: Rc<RefCell<RecentSuccesses>>,
    /// Replicas that announced in a response to this node that they are leaving.
    pub leaving_announcements: Rc<RefCell<LeavingAnnouncements>>,
    /// Replicas that requested a back-off from this node.
    pub backoffs: Rc<RefCell<ReplicaBackoffs>>,
    /// Replicas that said in their last answer to this node that they are brittle.
    pub brittle: Rc<RefCell<HashSet<Incarnation>>>,
    /// Names of response headers that have been checked already.
    pub seen_headers: Rc<RefCell<HashSet<HeaderName>>>,
}

impl Traffic {
    /// Returns the initial state, without connections.
    pub fn new(shared: Arc<Shared>) -> Self {
        Traffic {
            shared,
            connections: Rc::default(),
            retries: Rc::default(),
            recent_successes: Rc::default(),
            leaving_announcements: Rc::default(),
            backoffs: Rc::default(),
            brittle: Rc::default(),
            seen_headers: Rc::default(),
        }
    }

    /// Returns a dialer for connections to the replicas of a service.
    pub fn dialer(&self, service: &ServiceId) -> ReplicaDialer {
        ReplicaDialer::new(self.shared.clone(), service.clone())
    }

    /// Whether a request that was sent to `sent` replicas may be sent to one more; if so, that is taken
    /// from the retry budget.
    pub async fn may_retry(&self, req: &CallerRequest, sent: u32) -> bool {
        let policy = self.shared.settings.policy;
        let is_enabled = if req.route.resumable { policy.resume_streams } else { policy.repeat };
        is_enabled
            && req.allows_retry(sent)
            && self.may_retry_after_loss(req).await
            && self.spend_retry(&req.service)
    }

    fn spend_retry(&self, service: &ServiceId) -> bool {
        let now = self.shared.now();
        let bounds = self.shared.bounds();
        let share = RetryShare {
            window: bounds.retry_window,
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack / self.shared.nodes().max(MIN_BUDGET_NODES) as f64,
        };
        let allowed = self.with_retry_window(service, |window| window.take(now, &share));
        self.shared.metrics.on_retry(allowed);
        allowed
    }

    /// Requests a placement at an engine that runs the prefill of a request, other than the excluded
    /// ones.
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
                is_repeatable: req.route.is_repeatable(),
                organisation: req.organisation_name(),
                gap_objective: req.route.stated_gap_objective(),
            },
            priority: req.priority(),
            patience: req.first_event_due(),
            leaves_after: stop::max_placement_wait(&self.shared, req),
            stream: Some(handle.clone()),
        };
        self.place(request).await
    }

    /// Counts a request for a service, which adds to the retry budget.
    pub fn on_request(&self, service: &ServiceId) {
        let now = self.shared.now();
        self.with_retry_window(service, |window| window.on_request(now));
    }

    fn with_retry_window<T>(&self, service: &ServiceId, update: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let mut windows = self.retries.borrow_mut();
        update(windows.entry(service.clone()).or_default())
    }
}
