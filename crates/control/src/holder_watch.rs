//! When this leader last heard the processes that may run suspected work. Not replicated: a new leader grants each of them a
//! whole silence.

use crate::state::suspicions::SuspicionTable;
use saddlerelay_types::gateway::TrialEnd;
use saddlerelay_types::identity::Incarnation;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Relays as this leader has heard them, by their starts.
#[derive(Debug, Default)]
pub struct HolderWatch {
    term: u64,
    /// `None` for an earlier start of a relay that has started anew.
    heard: BTreeMap<Incarnation, Option<Duration>>,
    /// The start that each relay last asked under.
    starts: BTreeMap<String, Incarnation>,
}

impl HolderWatch {
    /// A relay has asked, at this leader or at another replica.
    pub fn hear(&mut self, relay: &str, start: Incarnation, now: Duration) {
        let before = self.starts.insert(relay.to_string(), start);
        if let Some(before) = before.filter(|before| *before != start) {
            self.heard.insert(before, None);
        }
        self.hear_start(start, now);
    }

    /// A start of a relay has asked for a right.
    pub fn hear_start(&mut self, start: Incarnation, now: Duration) {
        self.heard.insert(start, Some(now));
    }

    /// The rights of relays that have not been heard for `limit`, or that have started anew.
    pub fn abandoned(
        &mut self,
        term: u64,
        suspicions: &SuspicionTable,
        now: Duration,
        limit: Duration,
    ) -> Vec<TrialEnd> {
        if self.term != term {
            *self = Self { term, ..Self::default() };
        }
        let held = suspicions.trials().filter(|trial| Some(trial.id.holder) != suspicions.coordinator());
        let held: Vec<TrialEnd> = held.collect();
        let holders: BTreeSet<Incarnation> = held.iter().map(|trial| trial.id.holder).collect();
        for holder in &holders {
            self.heard.entry(*holder).or_insert(Some(now));
        }
        let lives = |at: &Option<Duration>| at.is_some_and(|at| now < at + limit);
        self.heard.retain(|start, at| lives(at) || holders.contains(start));
        self.starts.retain(|_, start| self.heard.contains_key(start));
        held.into_iter().filter(|trial| !self.heard.get(&trial.id.holder).is_some_and(lives)).collect()
    }
}
