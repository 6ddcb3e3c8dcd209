//! Checks whether replicas still run, for requests that wait for them or depend on how they ended a response.

use std::time::Duration;

use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_platform::health;
use leadstage_platform::health::Health;
use log::info;

use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::traffic::Traffic;

/// Timeout of a replica's answer to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of the answer to the check of a replica that has ended a response: its caller waits meanwhile. An open
/// connection alone shows that a process listens; one that took over the address answers soon.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of checks of a replica that has ended a response.
const MAX_END_CHECKS: u32 = 3;
/// Delay before a check is repeated whose connection broke: a process that is ending may still accept one.
const END_CHECK_DELAY: Duration = Duration::from_millis(20);

impl Traffic {
    /// Checks the health of a replica of the request's service; `None` if the service is unknown.
    pub async fn check_health(&self, req: &CallerRequest, replica: &ReplicaRecord) -> Option<Health> {
        self.check_health_within(req, replica, HEALTH_CHECK_TIMEOUT).await
    }

    async fn check_health_within(
        &self,
        req: &CallerRequest,
        replica: &ReplicaRecord,
        limit: Duration,
    ) -> Option<Health> {
        let service = req.table.service(&req.service)?;
        let dialer = self.dialer(&replica.service);
        Some(health::check(dialer, replica, &service.health_path, limit).await)
    }

    /// Whether a replica runs on after it has ended a response that has neither a length nor chunks. The kernel
    /// closes the connections of a process that ends like the process itself does after a whole response.
    pub async fn outlives_response(&self, req: &CallerRequest, replica: &ReplicaRecord) -> bool {
        let mut health = None;
        for check in 0..MAX_END_CHECKS {
            if check > 0 {
                tokio::time::sleep(END_CHECK_DELAY).await;
            }
            // On the heap: each of the futures around this one would hold it, for every open request.
            health = Box::pin(self.check_health_within(req, replica, END_CHECK_TIMEOUT)).await;
            if health != Some(Health::Broken) {
                break;
            }
        }
        let lives = match health {
            Some(Health::Well { .. } | Health::Unwell | Health::Leaving) => true,
            // A process accepts connections there, and is busy or has too many.
            Some(Health::Silent | Health::Broken) => true,
            Some(Health::Other | Health::Closed | Health::Unreached) | None => false,
        };
        info!(event = "end_checked", request = req.id(), upstream = &*replica.id, health:? = health, lives; "checked whether a replica outlives its unframed response");
        lives
    }
}
