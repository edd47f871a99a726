//! Runs a small deployment without load, to try its interfaces.

use crate::deploy::{OPERATOR_TOKEN, Plan};
use crate::launch::Fleet;
use crate::process::own_executable;
use crate::run::{configure, new_operator, run_folder};
use anyhow::{Context, Result};
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_scenarios::deployment::Deployment;
use saddlerelay_standins::recorder::Recorder;

/// Number of the signal that Ctrl-C sends.
const SIGINT: i32 = 2;

/// Starts `deployment`, prints its addresses and token, and stops it on Ctrl-C.
pub async fn run(deployment: Deployment) -> Result<()> {
    let folder = run_folder();
    let fleet = Fleet::start(Plan::new(deployment, &own_executable()?, &folder, "")?).await?;
    let platform = CompioRuntime::new(folder.clone());
    let operator = new_operator(&fleet, &platform, &Recorder::new(drop), "setup");
    configure(&fleet, &operator).await?;
    print!("{}", connection_details(&fleet, &folder));
    compio::signal::unix::signal(SIGINT).await.context("cannot wait for Ctrl-C")?;
    drop(fleet);
    Ok(std::fs::remove_dir_all(&folder)?)
}

fn connection_details(fleet: &Fleet, folder: &std::path::Path) -> String {
    let plan = &fleet.plan;
    let mut text = format!("OPERATOR_TOKEN={OPERATOR_TOKEN}\n");
    text += &format!("CONTROL={}\nRELAY={}\n", plan.control_http[0], plan.relays[0]);
    for tenant in &plan.deployment.tenants {
        text += &format!("tenant {} is served by model {}\n", tenant.id, tenant.model);
    }
    text += &format!("files: {}\nCtrl-C stops it\n", folder.display());
    text
}
