//! What a relay adds to a request, and how many requests one core carries: the same generation asked of a stand-in
//! engine directly and through a relay, in turn, in the same run.

use crate::deploy::Plan;
use crate::launch::Fleet;
use crate::process::own_executable;
use crate::run::{configure, new_operator, run_folder};
use anyhow::{Context, Result, ensure};
use futures::StreamExt;
use hdrhistogram::Histogram;
use saddlerelay_engine_client::{BackendAddresses, HttpBackends};
use saddlerelay_gateway::keys::KeyRing;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::{Backends, EngineConnection};
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_scenarios::deployment::{Deployment, smallest};
use saddlerelay_standins::access::{Access, CallerAnswer};
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

/// Tenants whose keys a check is made among: the size planned for.
const TENANTS: usize = 5_000;

/// Keys of each.
const KEYS_EACH: usize = 3;

/// Checks timed.
const KEY_CHECKS: usize = 200_000;

/// Requests of each kind that are timed one after another.
const TIMED: u64 = 2_000;
/// How long the throughput is measured.
const THROUGHPUT_TIME: Duration = Duration::from_secs(8);
/// Requests under way during it.
const CONCURRENCY: usize = 64;
/// Tokens in each answer.
const TOKENS: u32 = 4;
/// Sequences that an engine runs at once, so that engines set no limit.
const SLOTS: u32 = 64;

/// Percentiles of one kind of request, in microseconds.
fn line(name: &str, times: &Histogram<u64>) -> String {
    let value = |quantile| times.value_at_quantile(quantile);
    format!("{name:<44} p50 {:>6} us   p99 {:>6} us\n", value(0.5), value(0.99))
}

/// Runs the measurement and returns its table.
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
    let backends = HttpBackends::new(BackendAddresses { scorer: None, platform: None })?;
    let access = fleet.access();
    let mut direct = Histogram::<u64>::new(3)?;
    let mut through = Histogram::<u64>::new(3)?;
    let mut once = Histogram::<u64>::new(3)?;
    for number in 0..TIMED {
        record(&mut direct, ask_engine(&backends, &engine, number).await?);
        record(&mut through, ask_relay(&access, request(&fleet, &platform, number, false)).await?);
        record(&mut once, ask_relay(&access, request(&fleet, &platform, number, true)).await?);
    }
    let mut text = line("asked of the engine directly", &direct);
    text += &line("through a relay", &through);
    text += &line("through a relay, at most once (two commits)", &once);
    text += &throughput(&fleet, &platform, &access).await?;
    text += &key_check()?;
    Ok(text)
}

/// Checks a key among those of many tenants, known ones and others in turn.
fn key_check() -> Result<String> {
    let key = |tenant: usize, number: usize| format!("a key of twenty {tenant}-{number}");
    let tenants: Vec<TenantAccess> = (0..TENANTS)
        .map(|tenant| TenantAccess {
            name: TenantId::new(format!("tenant-{tenant}")),
            keys: (0..KEYS_EACH).map(|number| SecretDigest::of(key(tenant, number).as_bytes())).collect(),
            priority: None,
        })
        .collect();
    let began_at = Instant::now();
    let ring = KeyRing::new(&tenants);
    let indexed = began_at.elapsed();
    let mut times = Histogram::<u64>::new(3)?;
    for number in 0..KEY_CHECKS {
        let key = key(fastrand::usize(..TENANTS), number % (2 * KEYS_EACH));
        let asked = Instant::now();
        let known = ring.tenant(key.as_bytes()).is_some();
        times.saturating_record(asked.elapsed().as_nanos() as u64);
        ensure!(known == (number % (2 * KEYS_EACH) < KEYS_EACH), "a key was taken for another's");
    }
    let (half, most) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    let keys = TENANTS * KEYS_EACH;
    Ok(format!("check of a key among {keys}: p50 {half} ns, p99 {most} ns; indexed in {} us\n", indexed.as_micros()))
}

fn record(times: &mut Histogram<u64>, time: Duration) {
    times.saturating_record(time.as_micros() as u64);
}

async fn ask_engine(backends: &HttpBackends, engine: &EngineDescription, number: u64) -> Result<Duration> {
    let asked = Instant::now();
    let connection = backends.connect(engine).await.map_err(|error| anyhow::anyhow!("{error:?}"))?;
    let request = EngineRequest {
        attempt_id: number,
        prompt: "what a relay adds".to_string(),
        resume_tokens: Vec::new(),
        max_tokens: TOKENS,
        seed: number,
        priority: Priority::Interactive,
    };
    let mut chunks = connection.generate(request).await.map_err(|error| anyhow::anyhow!("{error:?}"))?;
    while let Some(chunk) = chunks.next().await {
        if chunk.map_err(|error| anyhow::anyhow!("{error:?}"))?.finish.is_some() {
            return Ok(asked.elapsed());
        }
    }
    anyhow::bail!("the engine's stream broke off")
}

fn request(fleet: &Fleet, platform: &CompioRuntime, number: u64, once: bool) -> CallerRequest {
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
        max_tokens: TOKENS,
        seed: number,
        key: once.then_some(key),
        repeatability: if once { Repeatability::NotRepeatable } else { Repeatability::Repeatable },
        priority: Priority::Interactive,
        deadline_milliseconds: 10_000,
    }
}

async fn ask_relay(access: &HttpAccess, request: CallerRequest) -> Result<Duration> {
    let asked = Instant::now();
    let answer = access.ask(0, &request).await;
    ensure!(matches!(answer, CallerAnswer::Whole { .. }), "the relay answered {answer:?}");
    Ok(asked.elapsed())
}

/// Requests a second through one relay, and how many its one core would carry.
async fn throughput(fleet: &Fleet, platform: &CompioRuntime, access: &HttpAccess) -> Result<String> {
    let relay = fleet.children.get("relay-0").context("the relay runs")?;
    let before = relay.usage().context("the relay's usage")?.1;
    let started = Instant::now();
    let done = Rc::new(Cell::new(0u64));
    let tasks: Vec<_> = (0..CONCURRENCY as u64)
        .map(|client| {
            let (access, done) = (access.clone(), done.clone());
            let request = request(fleet, platform, client, false);
            compio::runtime::spawn(async move {
                while started.elapsed() < THROUGHPUT_TIME {
                    if ask_relay(&access, request.clone()).await.is_ok() {
                        done.set(done.get() + 1);
                    }
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.map_err(|_| anyhow::anyhow!("a client's task failed"))?;
    }
    let seconds = started.elapsed().as_secs_f64();
    let (resident, after) = relay.usage().context("the relay's usage")?;
    let core = (after - before) as f64 / 1000.0;
    Ok(format!(
        "{CONCURRENCY} clients: {:.0} requests/s; the relay used {:.2} of a core: {:.0} requests for each second of a core\n\
         the relay's memory after it: {:.1} MB\n",
        done.get() as f64 / seconds,
        core / seconds,
        done.get() as f64 / core.max(0.001),
        resident as f64 / 1e6
    ))
}
