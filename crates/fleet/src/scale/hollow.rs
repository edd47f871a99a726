//! Hollow processes: many engines or relays in one process, for scale runs.
//!
//! Hollow engines are stand-in engines that receive no prompts; they load weights and report their status. Hollow
//! relays run the relay's own code without the HTTP server: they hold leases and apply configurations. They can commit
//! claims at a given rate, as keyed requests do.

use anyhow::{Context, Result, bail};
use compio::net::TcpListener;
use hdrhistogram::Histogram;
use lexopt::prelude::*;
use saddlerelay_engine_client::{BackendAddresses, HttpBackends};
use saddlerelay_http::limits::ListenerLimits;
use saddlerelay_http::server::serve;
use saddlerelay_policies::PolicyName;
use saddlerelay_relay::config::RelayConfig;
use saddlerelay_relay::{Relay, RelayOptions};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_standins::engine::{Engine, EngineOptions, WeightSource};
use saddlerelay_standins::http::engine::EngineServer;
use saddlerelay_standins::recorder::Recorder;
use saddlerelay_types::claim::{ClaimKey, ClaimRequest, ClaimResult};
use saddlerelay_types::engine::EngineDescription;
use saddlerelay_types::identity::{
    BodyDigest, CallerId, IdempotencyKey, Incarnation, ModelName, TenantId, WeightVersion, Zone,
};
use saddlerelay_types::membership::RelayDescription;
use saddlerelay_types::protocol::{ClaimCommand, Command, CommandOutcome, MembershipCommand};
use saddlerelay_types::request::{Generation, Repeatability};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time that a hollow engine takes to fetch weights.
const FETCH_TIME: Duration = Duration::from_millis(200);
/// Time for which a hollow engine pauses to swap weights.
const SWAP_PAUSE: Duration = Duration::from_millis(100);
/// Interval between writes of the statistics file.
const STATISTICS_INTERVAL: Duration = Duration::from_millis(500);
/// Lifetime of a claim's idempotency key, in milliseconds.
const KEY_LIFETIME_MS: u64 = 600_000;
/// Timeout of a claim's commit.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Totals over all hollow relays of the process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Statistics {
    /// Bytes exchanged with the control group.
    pub bytes: u64,
    /// Frames exchanged with the control group.
    pub frames: u64,
    /// Claims granted and finished.
    pub claims: u64,
    /// Claims that were rejected or timed out.
    pub claims_failed: u64,
    /// Median time of a grant, in microseconds.
    pub grant_p50: u64,
    /// 99th percentile of the time of a grant, in microseconds.
    pub grant_p99: u64,
}

/// What a hollow process runs, read from a JSON file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HollowPlan {
    /// Engines to run.
    pub engines: Vec<EngineDescription>,
    /// Number of relays to run.
    pub relays: usize,
    /// Zones that the relays are spread over.
    pub zones: Vec<Zone>,
    /// Addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// The deployment's shared secret.
    pub secret: String,
    /// Claims per second over all relays.
    pub claims_per_second: u64,
    /// Tokens in the response stored with each claim.
    pub answer_tokens: u32,
    /// Folder for the relays' data.
    pub data_folder: PathBuf,
    /// File for the statistics.
    pub statistics: PathBuf,
}

/// Runs the plan in the file given in `arguments` until the process is killed.
pub fn run(arguments: Vec<OsString>) -> Result<()> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let file = match parser.next()? {
        Some(Value(file)) => PathBuf::from(file),
        _ => bail!("the plan file argument is missing"),
    };
    let plan: HollowPlan = serde_json::from_slice(&std::fs::read(&file)?).context("the plan file is malformed")?;
    compio::runtime::Runtime::new()?.block_on(async {
        run_engines(&plan).await?;
        run_relays(&plan).await?;
        std::future::pending().await
    })
}

/// A weight source whose fetches always succeed after [`FETCH_TIME`].
#[derive(Clone)]
struct DelayedWeights(CompioRuntime);

impl WeightSource for DelayedWeights {
    async fn fetch(&self, _model: ModelName, _version: WeightVersion) -> bool {
        self.0.sleep(FETCH_TIME).await;
        true
    }
}

async fn run_engines(plan: &HollowPlan) -> Result<()> {
    let platform = CompioRuntime::new(plan.data_folder.clone());
    for description in plan.engines.iter().cloned() {
        let listener = TcpListener::bind(description.address).await?;
        let options = EngineOptions {
            token_time: Duration::ZERO,
            prefill_time: Duration::ZERO,
            cached_prefixes: 1,
            swap_pause: SWAP_PAUSE,
            report_lag: Duration::ZERO,
            queue_limit: 0,
            description,
        };
        let weights = DelayedWeights(platform.clone());
        let engine = Engine::start(platform.clone(), options, weights, Recorder::new(drop));
        platform.spawn(serve(listener, Rc::new(EngineServer { engine }), ListenerLimits::default()));
    }
    Ok(())
}

async fn run_relays(plan: &HollowPlan) -> Result<()> {
    let mut relays = Vec::new();
    for index in 0..plan.relays {
        relays.push(start_relay(plan, index).await?);
    }
    if relays.is_empty() {
        return Ok(());
    }
    let claims = Rc::new(RefCell::new(ClaimTimes::new()?));
    let relays = Rc::new(relays);
    if plan.claims_per_second > 0 {
        let (relays, claims, plan) = (relays.clone(), claims.clone(), plan.clone());
        compio::runtime::spawn(commit_claims(plan, relays, claims)).detach();
    }
    let file = plan.statistics.clone();
    compio::runtime::spawn(async move {
        loop {
            // Retried at the next interval.
            let _ = write_statistics(&file, &relays, &claims.borrow());
            compio::time::sleep(STATISTICS_INTERVAL).await;
        }
    })
    .detach();
    Ok(())
}

/// A hollow relay and the runtime that counts its traffic.
struct HollowRelay {
    platform: CompioRuntime,
    relay: Relay<CompioRuntime, HttpBackends>,
}

async fn start_relay(plan: &HollowPlan, index: usize) -> Result<HollowRelay> {
    let name = format!("hollow-{index}");
    let folder = plan.data_folder.join(&name);
    std::fs::create_dir_all(&folder)?;
    let platform = CompioRuntime::new(folder);
    let backends = HttpBackends::new(BackendAddresses { scorer: None, platform: None });
    let options = RelayOptions {
        zone: plan.zones[index % plan.zones.len()].clone(),
        name,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        control: plan.control.clone(),
        secret: plan.secret.clone(),
        policy: PolicyName::PrefixAffinity,
        config: RelayConfig::default(),
    };
    let relay = Relay::start(platform.clone(), backends, options).await?;
    Ok(HollowRelay { platform, relay })
}

struct ClaimTimes {
    grants: Histogram<u64>,
    finished: u64,
    failed: u64,
}

impl ClaimTimes {
    fn new() -> Result<Self> {
        Ok(Self { grants: Histogram::new(3)?, finished: 0, failed: 0 })
    }
}

/// Commits claims at the plan's rate, round-robin over the relays.
async fn commit_claims(plan: HollowPlan, relays: Rc<Vec<HollowRelay>>, times: Rc<RefCell<ClaimTimes>>) {
    let holder = Incarnation(fastrand::u64(..));
    register_holder(&relays[0].relay, holder).await;
    let interval = Duration::from_secs(1) / plan.claims_per_second as u32;
    let started = Instant::now();
    for number in 0u64.. {
        let scheduled_at = interval * number as u32;
        compio::time::sleep(scheduled_at.saturating_sub(started.elapsed())).await;
        let (relays, times) = (relays.clone(), times.clone());
        let index = number as usize % relays.len();
        compio::runtime::spawn(async move {
            let finished = commit_claim(&relays[index], holder, number, plan.answer_tokens, &times).await;
            let mut times = times.borrow_mut();
            times.finished += u64::from(finished.is_some());
            times.failed += u64::from(finished.is_none());
        })
        .detach();
    }
}

/// Registers a relay as the holder of the claims, which need a live one.
async fn register_holder(relay: &Relay<CompioRuntime, HttpBackends>, incarnation: Incarnation) {
    let description = RelayDescription {
        name: "claims".to_string(),
        incarnation,
        zone: Zone::new("none"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    };
    let command = Command::Membership(MembershipCommand::RelayJoined(description));
    // On failure, all claims fail and are counted in the statistics.
    let _ = relay.control().execute(command, CLAIM_TIMEOUT).await;
}

async fn commit_claim(
    hollow: &HollowRelay,
    holder: Incarnation,
    number: u64,
    answer_tokens: u32,
    times: &RefCell<ClaimTimes>,
) -> Option<()> {
    let key = ClaimKey {
        tenant: TenantId::new("prices"),
        caller: CallerId::new("tellers"),
        key: IdempotencyKey(format!("redemption-{holder}-{number}")),
    };
    let request = ClaimRequest {
        key: key.clone(),
        digest: BodyDigest::of(&number.to_le_bytes()),
        expires_at: hollow.platform.unix_milliseconds() + KEY_LIFETIME_MS,
        holder,
        arrival: number,
        repeatability: Repeatability::NotRepeatable,
    };
    let control = hollow.relay.control();
    let started_at = Instant::now();
    let granted = control.execute(Command::Claim(ClaimCommand::Acquire(request)), CLAIM_TIMEOUT).await.ok()?;
    if !matches!(granted, CommandOutcome::Claim(saddlerelay_types::claim::ClaimOutcome::Granted)) {
        return None;
    }
    times.borrow_mut().grants.saturating_record(started_at.elapsed().as_micros() as u64);
    let mut generation = Generation::empty();
    let tokens: Vec<u32> = (0..answer_tokens).collect();
    generation.extend(&tokens, &"word ".repeat(answer_tokens as usize), WeightVersion(1));
    let result = ClaimResult::Answered(generation);
    let finish = ClaimCommand::Finish { key, arrival: number, result };
    control.execute(Command::Claim(finish), CLAIM_TIMEOUT).await.ok().map(drop)
}

fn write_statistics(file: &Path, relays: &[HollowRelay], claims: &ClaimTimes) -> Result<()> {
    let mut statistics = Statistics {
        claims: claims.finished,
        claims_failed: claims.failed,
        grant_p50: claims.grants.value_at_quantile(0.5),
        grant_p99: claims.grants.value_at_quantile(0.99),
        ..Statistics::default()
    };
    for hollow in relays {
        let traffic = hollow.platform.traffic();
        statistics.bytes += traffic.sent_bytes + traffic.received_bytes;
        statistics.frames += traffic.sent_frames + traffic.received_frames;
    }
    let temporary = file.with_extension("new");
    std::fs::write(&temporary, serde_json::to_vec(&statistics)?)?;
    Ok(std::fs::rename(temporary, file)?)
}
