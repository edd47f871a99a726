//! What a soak is made from, and how it is written: `SEED`, `KIND:SEED` or `KIND:SEED:COORDINATORS+GATEWAYS`.

use crate::deployment::{NAMED_COORDINATORS, Size};
use crate::trainer::StepShape;
use crate::workload::Demands;
use anyhow::{Context, Result, ensure};
use std::fmt;
use std::str::FromStr;

/// Which faults a soak causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanKind {
    /// Faults of one party each.
    Single,
    /// The same, with series of signals that overlap, and suspensions.
    Overlapping,
    /// The same; at last the group's members are replaced by coordinators that the settings don't name.
    Replaced,
    /// Engines end, hang or are cut off, and soon after it a fault meets those who hold state; pair after pair.
    Paired,
    /// A newer build takes the place of an older one, process after process.
    Upgrade,
    /// The leader's zone loses packets to all others; in the midst of it all coordinators are killed.
    Lossy,
}

/// Coordinators of a deployment one of whose zones loses packets: two there, and in the other zones a group's five voters.
const LOSSY_COORDINATORS: u8 = 7;

/// Coordinators of a deployment whose named ones are to be replaced: as many again vote, one learns and one is spare.
const REPLACED_COORDINATORS: u8 = 2 * NAMED_COORDINATORS + 2;

impl PlanKind {
    const ALL: [Self; 6] = [Self::Single, Self::Overlapping, Self::Replaced, Self::Paired, Self::Upgrade, Self::Lossy];

    fn word(self) -> &'static str {
        match self {
            Self::Single => "single",
            Self::Overlapping => "overlapping",
            Self::Replaced => "replaced",
            Self::Paired => "paired",
            Self::Upgrade => "upgrade",
            Self::Lossy => "lossy",
        }
    }

    /// The steps that the trainer makes.
    pub fn steps(self) -> StepShape {
        match self {
            Self::Single | Self::Overlapping | Self::Replaced | Self::Upgrade | Self::Lossy => StepShape::SHORT,
            Self::Paired => StepShape::LONG,
        }
    }

    /// What is asked of the deployment.
    pub fn demands(self) -> Demands {
        match self {
            Self::Single | Self::Overlapping | Self::Replaced | Self::Paired | Self::Lossy => Demands::All,
            Self::Upgrade => Demands::Common,
        }
    }

    /// Disks that the group bears to lose at once.
    pub fn tolerated_losses(self) -> u8 {
        match self {
            Self::Single | Self::Overlapping | Self::Replaced | Self::Paired | Self::Upgrade => 1,
            // Of three voters two in one zone are a quorum, and the lead is best there.
            Self::Lossy => 2,
        }
    }

    /// The size of a deployment for it, unless told otherwise.
    pub fn size(self) -> Size {
        match self {
            Self::Single | Self::Overlapping | Self::Paired | Self::Upgrade => Size::SMALL,
            Self::Lossy => Size { coordinators: LOSSY_COORDINATORS, ..Size::SMALL },
            Self::Replaced => Size { coordinators: REPLACED_COORDINATORS, ..Size::SMALL },
        }
    }
}

impl FromStr for PlanKind {
    type Err = anyhow::Error;

    fn from_str(word: &str) -> Result<Self> {
        Self::ALL.into_iter().find(|kind| kind.word() == word).with_context(|| format!("`{word}` is no kind of plan"))
    }
}

impl FromStr for Size {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self> {
        let (coordinators, gateways) = text.split_once('+').context("a size is COORDINATORS+GATEWAYS")?;
        let size = Self { coordinators: coordinators.parse()?, gateways: gateways.parse()? };
        let Self { coordinators: most_coordinators, gateways: most_gateways } = Self::LARGEST;
        ensure!(
            (NAMED_COORDINATORS..=most_coordinators).contains(&size.coordinators),
            "coordinators: 3 to {most_coordinators}"
        );
        ensure!((1..=most_gateways).contains(&size.gateways), "gateways: 1 to {most_gateways}");
        Ok(size)
    }
}

/// What a soak is made from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Case {
    /// What its faults are drawn from.
    pub seed: u64,
    /// Which faults.
    pub kind: PlanKind,
    /// How many processes.
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
            _ => anyhow::bail!("`{text}` is no case"),
        };
        let seed = seed.parse().with_context(|| format!("`{seed}` is no seed"))?;
        Ok(Self { seed, kind, size: size.unwrap_or(kind.size()) })
    }
}

impl fmt::Display for Case {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.kind.word(), self.seed)?;
        if self.size != self.kind.size() {
            write!(formatter, ":{}+{}", self.size.coordinators, self.size.gateways)?;
        }
        Ok(())
    }
}
