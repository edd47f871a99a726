//! Measures the latency that a relay adds, by sending the same request alternately to an engine and through a relay,
//! and the throughput of a relay per core.

use crate::deploy::Plan;
use crate::launch::Fleet;
use crate::process::own_executable;
use crate::run::{configure, new_operator, run_folder};
use anyhow::{Context, Result, ensure};
use futures::StreamExt;
use hdrhistogram::Histogram;
use saddlerelay_engine_client::{BackendAddresses, HttpBackends};
use saddlerelay_gateway::keys::ApiKeyIndex;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::{Backends, EngineConnection};
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_scenarios::deployment::{Deployment, smallest};
use saddlerelay_standins::access::{Access, CallerResponse};
use saddlerelay_standins::http::access::HttpAccess;
use saddlerelay_standins::recorder::Recorder;
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::engine::{EngineDescription, EngineRequest};
use saddlerelay_types::identity::{CallerId, IdempotencyKey, ModelName, TenantId};
use saddlerelay_types::request::{CallerRequest, Priority, Repeatability, RequestKey};
use saddlerelay_types::tenancy::TenantAccess;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of tenants in the measurement of key lookups.
const TENANTS: usize = 5_000;

const KEYS_PER_TENANT: usize = 3;

/// Number of timed key lookups.
const KEY_LOOKUPS: usize = 200_000;

/// Number of timed requests of each kind, sent sequentially.
const TIMED_REQUESTS: u64 = 2_000;
/// Duration of the throughput measurement.
const THROUGHPUT_TIME: Duration = Duration::from_secs(8);
/// Concurrent requests during the throughput measurement.
const CONCURRENCY: usize = 64;
/// Tokens in each response.
const RESPONSE_TOKENS: u32 = 4;
/// Concurrent sequences per engine; enough that engines are not the bottleneck.
const SLOTS: u32 = 64;

/// Formats the percentiles of one kind of request, in microseconds.
fn format_percentiles(name: &str, times: &Histogram<u64>) -> String {
    let value = |quantile| times.value_at_quantile(quantile);
    format!("{name:<44} p50 {:>6} us   p99 {:>6} us\n", value(0.5), value(0.99))
}

/// Runs the measurements and returns a table of the results.
pub async fn run() -> Result<String> {
    let folder = run_folder();
    let text = measure(&folder).await;
    std::fs::remove_dir_all(&folder)?;
    text
}

fn fast_engines() -> Deployment {
    let mut deployment = smallest();
    deployment.control = 3;
    deployment.engines[0].slots = SLOTS;
    deployment.engines[0].token_time = Duration::ZERO;
    deployment
}

async fn measure(folder: &std::path::Path) -> Result<String> {
    let fleet = Fleet::start(Plan::new(fast_engines(), &own_executable()?, folder, "")?).await?;
    let platform = CompioRuntime::new(folder.to_path_buf());
    let operator = new_operator(&fleet, &platform, &Recorder::new(drop), "bench");
    configure(&fleet, &operator).await?;
    let engine = fleet.plan.engines[0].clone();
    let backends = HttpBackends::new(BackendAddresses { scorer: None, platform: None });
    let access = fleet.access();
    let mut direct = Histogram::<u64>::new(3)?;
    let mut through_relay = Histogram::<u64>::new(3)?;
    let mut at_most_once = Histogram::<u64>::new(3)?;
    for number in 0..TIMED_REQUESTS {
        record(&mut direct, time_engine_request(&backends, &engine, number).await?);
        record(&mut through_relay, time_relay_request(&access, request(&fleet, &platform, number, false)).await?);
        record(&mut at_most_once, time_relay_request(&access, request(&fleet, &platform, number, true)).await?);
    }
    let mut text = format_percentiles("directly to the engine", &direct);
    text += &format_percentiles("through a relay", &through_relay);
    text += &format_percentiles("through a relay, at most once (two commits)", &at_most_once);
    text += &throughput(&fleet, &platform, &access).await?;
    text += &time_key_lookups()?;
    Ok(text)
}

/// Times the lookup of valid and unknown API keys among those of many tenants.
fn time_key_lookups() -> Result<String> {
    let key = |tenant: usize, number: usize| format!("a key of twenty {tenant}-{number}");
    let tenants: Vec<TenantAccess> = (0..TENANTS)
        .map(|tenant| TenantAccess {
            name: TenantId::new(format!("tenant-{tenant}")),
            keys: (0..KEYS_PER_TENANT).map(|number| SecretDigest::of(key(tenant, number).as_bytes())).collect(),
            priority: None,
        })
        .collect();
    let indexing_started_at = Instant::now();
    let key_index = ApiKeyIndex::new(&tenants);
    let indexing_time = indexing_started_at.elapsed();
    let mut times = Histogram::<u64>::new(3)?;
    for number in 0..KEY_LOOKUPS {
        let key = key(fastrand::usize(..TENANTS), number % (2 * KEYS_PER_TENANT));
        let started_at = Instant::now();
        let is_valid = key_index.tenant(key.as_bytes()).is_some();
        times.saturating_record(started_at.elapsed().as_nanos() as u64);
        ensure!(
            is_valid == (number % (2 * KEYS_PER_TENANT) < KEYS_PER_TENANT),
            "the key lookup returned a wrong result"
        );
    }
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    let keys = TENANTS * KEYS_PER_TENANT;
    Ok(format!(
        "check of a key among {keys}: p50 {p50} ns, p99 {p99} ns; indexed in {} us\n",
        indexing_time.as_micros()
    ))
}

fn record(times: &mut Histogram<u64>, time: Duration) {
    times.saturating_record(time.as_micros() as u64);
}

async fn time_engine_request(backends: &HttpBackends, engine: &EngineDescription, number: u64) -> Result<Duration> {
    let started_at = Instant::now();
    let connection = backends.connect(engine).await.map_err(|error| anyhow::anyhow!("{error:?}"))?;
    let request = EngineRequest {
        attempt_id: number,
        prompt: "what a relay adds".to_string(),
        resume_tokens: Vec::new(),
        max_tokens: RESPONSE_TOKENS,
        seed: number,
        priority: Priority::Interactive,
    };
    let mut chunks = connection.generate(request).await.map_err(|error| anyhow::anyhow!("{error:?}"))?;
    while let Some(chunk) = chunks.next().await {
        if chunk.map_err(|error| anyhow::anyhow!("{error:?}"))?.finish.is_some() {
            return Ok(started_at.elapsed());
        }
    }
    anyhow::bail!("the engine's stream ended without a finish reason")
}

fn request(fleet: &Fleet, platform: &CompioRuntime, number: u64, at_most_once: bool) -> CallerRequest {
    let tenant = &fleet.plan.deployment.tenants[0];
    let key = RequestKey {
        key: IdempotencyKey(format!("bench-{number}")),
        expires_at: platform.unix_milliseconds() + 600_000,
    };
    CallerRequest {
        tenant: tenant.id.clone(),
        caller: CallerId::new("bench"),
        model: ModelName::new(tenant.model.as_str()),
        prompt: "what a relay adds".to_string(),
        max_tokens: RESPONSE_TOKENS,
        seed: number,
        key: at_most_once.then_some(key),
        repeatability: if at_most_once { Repeatability::NotRepeatable } else { Repeatability::Repeatable },
        priority: Priority::Interactive,
        deadline_milliseconds: 10_000,
    }
}

async fn time_relay_request(access: &HttpAccess, request: CallerRequest) -> Result<Duration> {
    let started_at = Instant::now();
    let response = access.send_request(0, &request).await;
    ensure!(matches!(response, CallerResponse::Complete { .. }), "the relay returned {response:?}");
    Ok(started_at.elapsed())
}

/// Measures requests per second through one relay, and requests per second of processor time.
async fn throughput(fleet: &Fleet, platform: &CompioRuntime, access: &HttpAccess) -> Result<String> {
    let relay = fleet.children.get("relay-0").context("relay-0 is not running")?;
    let before = relay.usage().context("cannot read the resource usage of the relay")?.1;
    let started = Instant::now();
    let completed = Rc::new(Cell::new(0u64));
    let tasks: Vec<_> = (0..CONCURRENCY as u64)
        .map(|client| {
            let (access, completed) = (access.clone(), completed.clone());
            let request = request(fleet, platform, client, false);
            compio::runtime::spawn(async move {
                while started.elapsed() < THROUGHPUT_TIME {
                    if time_relay_request(&access, request.clone()).await.is_ok() {
                        completed.set(completed.get() + 1);
                    }
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.map_err(|_| anyhow::anyhow!("a client task panicked"))?;
    }
    let seconds = started.elapsed().as_secs_f64();
    let (resident, after) = relay.usage().context("cannot read the resource usage of the relay")?;
    let core_seconds = (after - before) as f64 / 1000.0;
    Ok(format!(
        "{CONCURRENCY} clients: {:.0} requests/s; the relay used {:.2} of a core: {:.0} requests for each second of a core\n\
         the relay's memory after it: {:.1} MB\n",
        completed.get() as f64 / seconds,
        core_seconds / seconds,
        completed.get() as f64 / core_seconds.max(0.001),
        resident as f64 / 1e6
    ))
}
