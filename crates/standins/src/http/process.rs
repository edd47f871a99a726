//! The stand-in processes, one subcommand each.

use crate::callers::{CallerOptions, InFlight, run_callers};
use crate::engine::{Engine, EngineOptions};
use crate::http::access::HttpAccess;
use crate::http::engine::EngineServer;
use crate::http::records::file_recorder;
use crate::http::services::{MachineList, Scorer};
use crate::http::weights::{HttpWeights, WeightStore};
use crate::trainer::{TrainerOptions, run_trainer};
use anyhow::{Context, Result, bail};
use compio::net::TcpListener;
use lexopt::prelude::*;
use saddlerelay_http::limits::ListenerLimits;
use saddlerelay_http::server::serve;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_types::engine::EngineDescription;
use saddlerelay_types::identity::{EngineId, ModelName, TenantId, Zone};
use saddlerelay_types::request::Priority;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Output of `--help`.
pub const HELP: &str = "\
saddlerelay-standin: stand-ins for the systems around saddlerelay

  engine        a model engine       --id --listen --zone --model --slots --token-time-us --store --records
  weight-store  the weight store     --listen --fetch-time-ms
  platform      the machine list     --listen --lag-ms
  scorer        scores samples       --listen --time-ms
  trainer       a trainer            --tenant --model --relays --store --data --records --prompts --group-size
                                     --max-tokens --train-time-ms --steps-ahead
  callers       an application       --tenant --name --model --class --relays --records --interval-ms --max-tokens
                                     --deadline-ms --once-percent --prefixes

A trainer or an application ends after SIGTERM once everything it began has ended.
";

/// Prefill time of a prompt whose prefix is not cached.
const PREFILL_TIME: Duration = Duration::from_millis(40);
/// Maximum number of prefixes that an engine caches.
const CACHED_PREFIXES: usize = 8;
/// Time for which an engine pauses during a weight swap.
const SWAP_PAUSE: Duration = Duration::from_millis(120);
/// Age of an engine's reported load.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Maximum number of requests queued at an engine.
const QUEUE_LIMIT: usize = 64;
/// Polling interval while a stopping application drains.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Parsed command-line flags.
#[derive(Default)]
struct Flags {
    values: Vec<(String, String)>,
}

impl Flags {
    fn text(&self, name: &str) -> Result<&str> {
        let found = self.values.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str()).with_context(|| format!("flag --{name} is missing"))
    }

    fn number(&self, name: &str) -> Result<u64> {
        let text = self.text(name)?;
        text.parse().with_context(|| format!("flag --{name}: `{text}` is not a whole number"))
    }

    fn milliseconds(&self, name: &str) -> Result<Duration> {
        Ok(Duration::from_millis(self.number(name)?))
    }

    fn address(&self, name: &str) -> Result<SocketAddr> {
        let text = self.text(name)?;
        text.parse().with_context(|| format!("flag --{name}: `{text}` is not an address"))
    }

    fn addresses(&self, name: &str) -> Result<Vec<SocketAddr>> {
        let parse = |text: &str| text.parse().with_context(|| format!("flag --{name}: `{text}` is not an address"));
        self.text(name)?.split(',').map(parse).collect()
    }
}

/// Runs the subcommand in `arguments`.
pub fn run(arguments: Vec<std::ffi::OsString>) -> Result<()> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut command = None;
    let mut flags = Flags::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(());
            }
            Value(value) if command.is_none() => command = Some(value.string()?),
            Long(name) => {
                let name = name.to_string();
                let value = parser.value()?.string()?;
                flags.values.push((name, value));
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let command = command.context("the stand-in argument is missing; see --help")?;
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(async move {
        match command.as_str() {
            "engine" => engine(&flags).await,
            "weight-store" => {
                let store = WeightStore::new(flags.milliseconds("fetch-time-ms")?);
                serve(listener(&flags).await?, Rc::new(store), ListenerLimits::default()).await;
                Ok(())
            }
            "platform" => {
                let list = MachineList::new(flags.milliseconds("lag-ms")?);
                serve(listener(&flags).await?, Rc::new(list), ListenerLimits::default()).await;
                Ok(())
            }
            "scorer" => {
                let scorer = Scorer { time: flags.milliseconds("time-ms")? };
                serve(listener(&flags).await?, Rc::new(scorer), ListenerLimits::default()).await;
                Ok(())
            }
            "trainer" => trainer(&flags).await,
            "callers" => callers(&flags).await,
            other => bail!("unknown stand-in `{other}`; see --help"),
        }
    })
}

async fn listener(flags: &Flags) -> Result<TcpListener> {
    let address = flags.address("listen")?;
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

async fn engine(flags: &Flags) -> Result<()> {
    let address = flags.address("listen")?;
    let model = ModelName::new(flags.text("model")?);
    let options = EngineOptions {
        description: EngineDescription {
            id: EngineId::new(flags.text("id")?),
            address,
            zone: Zone::new(flags.text("zone")?),
            model: model.clone(),
            slots: flags.number("slots")? as u32,
        },
        token_time: Duration::from_micros(flags.number("token-time-us")?),
        prefill_time: PREFILL_TIME,
        cached_prefixes: CACHED_PREFIXES,
        swap_pause: SWAP_PAUSE,
        report_lag: REPORT_LAG,
        queue_limit: QUEUE_LIMIT,
    };
    let weights = HttpWeights { address: flags.address("store")?, model };
    let recorder = file_recorder(&PathBuf::from(flags.text("records")?))?;
    let platform = CompioRuntime::new(std::env::temp_dir());
    let listener = listener(flags).await?;
    let engine = Engine::start(platform, options, weights, recorder);
    serve(listener, Rc::new(EngineServer { engine }), ListenerLimits::default()).await;
    Ok(())
}

/// Returns a flag that is set on SIGTERM.
fn stop_on_signal() -> Rc<Cell<bool>> {
    let stop = Rc::new(Cell::new(false));
    let flag = stop.clone();
    compio::runtime::spawn(async move {
        // An error also stops the process.
        let _ = compio::signal::unix::signal(SIGTERM).await;
        flag.set(true);
    })
    .detach();
    stop
}

const SIGTERM: i32 = 15;

async fn trainer(flags: &Flags) -> Result<()> {
    let tenant = TenantId::new(flags.text("tenant")?);
    let options = TrainerOptions {
        tenant,
        prompts: flags.number("prompts")? as u32,
        group_size: flags.number("group-size")? as u32,
        max_tokens: flags.number("max-tokens")? as u32,
        train_time: flags.milliseconds("train-time-ms")?,
        steps_ahead: flags.number("steps-ahead")?,
    };
    let platform = CompioRuntime::new(PathBuf::from(flags.text("data")?));
    let access = HttpAccess::new(flags.addresses("relays")?, Vec::new(), String::new());
    let sink = HttpWeights { address: flags.address("store")?, model: ModelName::new(flags.text("model")?) };
    let recorder = file_recorder(&PathBuf::from(flags.text("records")?))?;
    let end = run_trainer(platform, access, sink, recorder, options, stop_on_signal()).await;
    println!("trainer ended: {end:?}");
    Ok(())
}

async fn callers(flags: &Flags) -> Result<()> {
    let class = match flags.text("class")? {
        "interactive" => Priority::Interactive,
        "batch" => Priority::Batch,
        other => bail!("flag --class: `{other}` is not `interactive` or `batch`"),
    };
    let options = CallerOptions {
        tenant: TenantId::new(flags.text("tenant")?),
        name: flags.text("name")?.to_string(),
        model: ModelName::new(flags.text("model")?),
        class,
        interval: flags.milliseconds("interval-ms")?,
        max_tokens: flags.number("max-tokens")? as u32,
        deadline: flags.milliseconds("deadline-ms")?,
        not_repeatable_percent: flags.number("once-percent")?,
        prefixes: flags.number("prefixes")?,
    };
    let platform = CompioRuntime::new(std::env::temp_dir());
    let access = HttpAccess::new(flags.addresses("relays")?, Vec::new(), String::new());
    let recorder = file_recorder(&PathBuf::from(flags.text("records")?))?;
    let in_flight = InFlight::default();
    run_callers(platform.clone(), access, recorder, options, stop_on_signal(), in_flight.clone()).await;
    while in_flight.get() > 0 {
        platform.sleep(STOP_POLL_INTERVAL).await;
    }
    Ok(())
}
