//! An operator: the configuration, and the version of a model's weights.

use crate::deployment::{Deployment, HOST, SERVICE};
use std::time::Duration;

/// Time in which a named version has to be acknowledged.
const NAME_LIMIT: Duration = Duration::from_secs(10);

/// One rollout route and its service, with the figures of andino-relay.
pub fn config(single_version: bool, slots: u32, models: &[&str]) -> String {
    let models: Vec<String> = models.iter().map(|model| format!(r#"{{"name":"{model}"}}"#)).collect();
    let models = models.join(",");
    format!(
        r#"{{"version":1,"routes":[{{"name":"rollouts","host":"{HOST}","path_prefix":"/rollouts/","kind":"rollout","timeout_ms":10000,"slo_ms":400,"priority":1,"service":"{SERVICE}","max_attempts":3,"max_queue_s":40.0,"run_target_ms":7500,"single_version":{single_version},"sticky":true,"resumable":true}}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":170,"protocol":"h1","tls":false,"engine":{{"slots":{slots},"kv_capacity":90000,"kv_token_bytes":163840,"link_mbps":4400000.0,"backups":true,"stride":58,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{models}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Names a version of a model's weights; an error if it is not acknowledged.
pub fn name_version(deployment: &Deployment, model: &str, version: u64) -> Result<(), String> {
    let body = format!(r#"{{"model":"{model}","version":{version}}}"#);
    deployment.operator("POST", "/version-put", body.as_bytes(), NAME_LIMIT).map(|_| ())
}
