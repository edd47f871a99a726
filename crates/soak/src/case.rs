//! A soak case and its textual form: `SEED`, `KIND:SEED` or `KIND:SEED:COORDINATORS+GATEWAYS`.

use crate::deployment::{SEED_COORDINATORS, Size};
use crate::trainer::StepShape;
use crate::workload::Features;
use anyhow::{Context, Result, ensure};
use std::fmt;
use std::str::FromStr;

/// Kind of fault plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanKind {
    /// Independent faults, each of one party.
    Single,
    /// As `Single`, plus series of overlapping signals and process suspensions.
    Overlapping,
    /// As `Overlapping`; at the end, the group's members are replaced by coordinators that the settings do not list.
    Replaced,
    /// Pairs of faults: engines end, hang or are cut off, and shortly after a fault hits a process that holds state.
    Paired,
    /// As `Paired`, and each text of an item comes from a single weight version.
    SingleVersion,
    /// Processes are upgraded one by one from an older build.
    Upgrade,
    /// The leader's zone loses packets on its links to all other zones, and all coordinators are killed during it.
    Lossy,
}

/// Number of coordinators in the lossy plan: two in the lossy zone, and the group's five voters in the other zones.
const LOSSY_COORDINATORS: u8 = 7;

/// Number of coordinators in the replacement plan: the seeds, as many replacement voters, one learner and one more.
const REPLACED_COORDINATORS: u8 = 2 * SEED_COORDINATORS + 2;

impl PlanKind {
    const ALL: [Self; 7] = [
        Self::Single,
        Self::Overlapping,
        Self::Replaced,
        Self::Paired,
        Self::SingleVersion,
        Self::Upgrade,
        Self::Lossy,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Single => "single",
            Self::Overlapping => "overlapping",
            Self::Replaced => "replaced",
            Self::Paired => "paired",
            Self::SingleVersion => "single-version",
            Self::Upgrade => "upgrade",
            Self::Lossy => "lossy",
        }
    }

    /// Shape of the trainer's steps.
    pub fn step_shape(self) -> StepShape {
        match self {
            Self::Single | Self::Overlapping | Self::Replaced | Self::Upgrade | Self::Lossy => StepShape::SHORT,
            Self::Paired | Self::SingleVersion => StepShape::LONG,
        }
    }

    /// Product features that the load uses.
    pub fn features(self) -> Features {
        match self {
            Self::Single | Self::Overlapping | Self::Replaced | Self::Paired | Self::Lossy => Features::All,
            Self::SingleVersion => Features::SingleVersion,
            Self::Upgrade => Features::Common,
        }
    }

    /// Number of simultaneous disk losses that the group tolerates.
    pub fn tolerated_losses(self) -> u8 {
        match self {
            Self::Single | Self::Overlapping | Self::Replaced | Self::Paired | Self::SingleVersion | Self::Upgrade => 1,
            // With three voters, the two in one zone would form a quorum and keep the leader there.
            Self::Lossy => 2,
        }
    }

    /// Default deployment size.
    pub fn size(self) -> Size {
        match self {
            Self::Single | Self::Overlapping | Self::Paired | Self::SingleVersion | Self::Upgrade => Size::SMALL,
            Self::Lossy => Size { coordinators: LOSSY_COORDINATORS, ..Size::SMALL },
            Self::Replaced => Size { coordinators: REPLACED_COORDINATORS, ..Size::SMALL },
        }
    }
}

impl FromStr for PlanKind {
    type Err = anyhow::Error;

    fn from_str(name: &str) -> Result<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name).with_context(|| format!("unknown plan kind `{name}`"))
    }
}

impl FromStr for Size {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self> {
        let (coordinators, gateways) = text.split_once('+').context("size must be COORDINATORS+GATEWAYS")?;
        let size = Self { coordinators: coordinators.parse()?, gateways: gateways.parse()? };
        let Self { coordinators: max_coordinators, gateways: max_gateways } = Self::LARGEST;
        ensure!(
            (SEED_COORDINATORS..=max_coordinators).contains(&size.coordinators),
            "coordinators: 3 to {max_coordinators}"
        );
        ensure!((1..=max_gateways).contains(&size.gateways), "gateways: 1 to {max_gateways}");
        Ok(size)
    }
}

/// One soak case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Case {
    /// Seed of the fault plan.
    pub seed: u64,
    /// Kind of fault plan.
    pub kind: PlanKind,
    /// Number of coordinators and gateways.
    pub size: Size,
}

impl FromStr for Case {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self> {
        let parts: Vec<&str> = text.split(':').collect();
        let (kind, seed, size) = match parts[..] {
            [seed] => (PlanKind::Single, seed, None),
            [kind, seed] => (kind.parse()?, seed, None),
            [kind, seed, size] => (kind.parse()?, seed, Some(size.parse()?)),
            _ => anyhow::bail!("invalid case `{text}`"),
        };
        let seed = seed.parse().with_context(|| format!("invalid seed `{seed}`"))?;
        Ok(Self { seed, kind, size: size.unwrap_or(kind.size()) })
    }
}

impl fmt::Display for Case {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.kind.name(), self.seed)?;
        if self.size != self.kind.size() {
            write!(formatter, ":{}+{}", self.size.coordinators, self.size.gateways)?;
        }
        Ok(())
    }
}
