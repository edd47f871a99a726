//! Single faults on the product's real processes, each chosen for a failure that a soak once showed.

use anyhow::{Result, ensure};
use saddlerelay_soak_runner::deployment::Deployment;
use saddlerelay_soak_runner::faults::Faults;
use saddlerelay_soak_runner::journal::Journal;
use saddlerelay_soak_runner::operator::Operator;
use saddlerelay_soak_runner::plan::Fault;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// For hangs only.
const PATIENCE: Duration = Duration::from_secs(60);

struct Soaked {
    deployment: Rc<Deployment>,
    faults: Faults,
    operator: Operator,
    journal: Journal,
    folder: PathBuf,
}

impl Soaked {
    async fn start(name: &str) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("saddlerelay-soak-{name}-{}", std::process::id()));
        let executable = PathBuf::from(env!("CARGO_BIN_EXE_saddlerelay-soak"));
        let journal = Journal::default();
        let deployment = Deployment::start(executable, &folder, journal.clone(), 0).await?;
        let operator = Operator::new(deployment.addresses.clone(), journal.clone());
        let faults = Faults::new(deployment.clone(), Vec::new(), journal.clone());
        let soaked = Self { deployment, faults, operator, journal, folder };
        soaked.accepts_a_change().await?;
        Ok(soaked)
    }

    async fn accepts_a_change(&self) -> Result<()> {
        let until = Instant::now() + PATIENCE;
        ensure!(self.operator.change(|| Instant::now() < until).await, "no document was accepted");
        Ok(())
    }

    fn violations(&self) -> Vec<String> {
        self.journal.read(|records| records.violations.iter().map(|violation| violation.seen.clone()).collect())
    }
}

impl Drop for Soaked {
    fn drop(&mut self) {
        // What is left behind is the system's temporary folder's.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn block_on(future: impl Future<Output = Result<()>>) -> Result<()> {
    compio::runtime::Runtime::new()?.block_on(future)
}

#[test]
fn a_disk_that_takes_no_more_bytes_ends_no_process() -> Result<()> {
    block_on(async {
        let soaked = Soaked::start("refused-writes").await?;
        for number in 0..3 {
            let fault = Fault::RefuseWrites { number, time: Duration::from_millis(300) };
            let refused = soaked.faults.cause(fault);
            let changed = soaked.accepts_a_change();
            let (refused, changed) = futures::future::join(refused, changed).await;
            refused?;
            changed?;
            soaked.deployment.watch()?;
        }
        assert_eq!(soaked.violations(), Vec::<String>::new());
        soaked.accepts_a_change().await
    })
}
