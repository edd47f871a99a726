//! The product's builds that a soak runs: the one under test, and an older one that it replaces.

use crate::links::Party;
use anyhow::{Context, Result};
use saddlerelay_fleet_runner::process::Program;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// A build of the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The one under test.
    Newest,
    /// The one that it replaces.
    Production,
}

/// The builds' executables, and which of them each process runs.
#[derive(Debug)]
pub struct Builds {
    /// The soak's own executable, which holds the product.
    newest: PathBuf,
    /// An executable of the product.
    production: Option<PathBuf>,
    current: RefCell<BTreeMap<Party, Build>>,
}

impl Builds {
    /// Every process runs the newest build at first, or the one in production if that is given.
    pub fn new(newest: PathBuf, production: Option<PathBuf>) -> Self {
        Self { newest, production, current: RefCell::default() }
    }

    /// What `party` runs.
    pub fn of(&self, party: Party) -> Build {
        let first = if self.production.is_some() { Build::Production } else { Build::Newest };
        self.current.borrow().get(&party).copied().unwrap_or(first)
    }

    /// From its next start on, `party` runs `build`.
    pub fn choose(&self, party: Party, build: Build) {
        self.current.borrow_mut().insert(party, build);
    }

    /// Executable and program that `party` starts with.
    pub fn program(&self, party: Party) -> Result<(PathBuf, Program)> {
        match self.of(party) {
            Build::Newest => Ok((self.newest.clone(), Program::Product)),
            Build::Production => {
                let production = self.production.clone().context("no build in production was given")?;
                Ok((production, Program::Whole))
            }
        }
    }
}
