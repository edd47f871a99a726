//! Builds of the product: the one under test, and an older one that it replaces.

use crate::links::Party;
use anyhow::{Context, Result};
use saddlerelay_fleet_runner::process::Program;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// A build of the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The build under test.
    Newest,
    /// The older build that it replaces.
    Production,
}

/// Executables of the builds, and the build that each process runs.
#[derive(Debug)]
pub struct Builds {
    /// The soak's own executable, which contains the product.
    newest: PathBuf,
    /// Executable of the older build.
    production: Option<PathBuf>,
    current: RefCell<BTreeMap<Party, Build>>,
}

impl Builds {
    /// All processes run the production build initially if there is one, and the newest build otherwise.
    pub fn new(newest: PathBuf, production: Option<PathBuf>) -> Self {
        Self { newest, production, current: RefCell::default() }
    }

    /// The build that `party` runs.
    pub fn of(&self, party: Party) -> Build {
        let initial = if self.production.is_some() { Build::Production } else { Build::Newest };
        self.current.borrow().get(&party).copied().unwrap_or(initial)
    }

    /// Sets the build that `party` runs from its next start.
    pub fn set(&self, party: Party, build: Build) {
        self.current.borrow_mut().insert(party, build);
    }

    /// Executable and program that `party` is started with.
    pub fn program(&self, party: Party) -> Result<(PathBuf, Program)> {
        match self.of(party) {
            Build::Newest => Ok((self.newest.clone(), Program::Product)),
            Build::Production => {
                let production = self.production.clone().context("no production build was given")?;
                Ok((production, Program::Executable))
            }
        }
    }
}
