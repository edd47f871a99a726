//! What a relay knows of work under which engines have ended: what the control group has told, and what the relay has seen
//! itself and not handed over yet.

use crate::trials::{NoAnswer, TrialGroup, TrialGuard, TrialKeeper};
use crate::{ControlClient, GatewayError};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest, TrialRequest};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{
    EngineLoss, HeldTrial, MOST_ENGINES_ENDED, SuspicionList, TRIAL_RENEWAL, TrialAnswer, WorkEvidence,
};
use saddlerelay_types::work::WorkDigest;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Longest time to hand evidence over before it is tried again.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(1_000);

/// Pause after evidence could not be handed over.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long suspected work is held back until the group has the evidence, so that it does not meet an engine or a relay that
/// others' evidence would have kept it from: some times as long as a commit takes.
const KNOWN_TO_GROUP_LIMIT: Duration = Duration::from_millis(100);

/// How long work that one engine more would quarantine is sent to none, unless the settings say otherwise: about as long as
/// engines take to come back. Measured in inc1: 2.9 to 3.5 s from a crash to the new instance.
pub const LAST_TRIAL_PAUSE: Duration = Duration::from_secs(5);

/// Longest wait for the right to run suspected work: some times as long as a commit takes. Without it, the client is told
/// to come back.
const TRIAL_ANSWER_LIMIT: Duration = Duration::from_millis(150);

/// Losses that wait to be handed over; more than engines can end while no leader is to be found.
const LOSSES_KEPT: usize = 1_024;

/// What is to be done with a request, by what is known of its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent on.
    Send,
    /// It is not sent on for so long.
    Pause(Duration),
    /// It is sent to no engine.
    Quarantine,
}

/// Suspected work.
#[derive(Debug, Default)]
struct Suspect {
    engines: BTreeSet<InstanceId>,
    /// When this relay learned of the last of them, by its own clock.
    learned_at: Duration,
}

impl Suspect {
    fn learn(&mut self, engine: InstanceId, now: Duration) {
        if self.engines.insert(engine) {
            self.learned_at = now;
        }
    }
}

/// The knowledge. Empty on a calm day.
#[derive(Debug, Default)]
pub struct Suspicions {
    revision: u64,
    /// What the group has told and what this relay has seen.
    suspects: BTreeMap<WorkDigest, Suspect>,
    /// What is not handed over yet.
    evidence: WorkEvidence,
}

impl Suspicions {
    /// The revision of the group's list that is held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether no work is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How many kinds of work are suspected.
    pub fn suspected(&self) -> usize {
        self.suspects.len()
    }

    /// How many engines have ended under `work` since it was last served.
    pub fn engines_ended(&self, work: &WorkDigest) -> usize {
        self.suspects.get(work).map_or(0, |suspect| suspect.engines.len())
    }

    /// What is to be done with a request for `work` at `now`.
    ///
    /// Work that one engine more would quarantine is sent to none for `last_trial_pause`: the engines that have ended are
    /// back then, and its last trial does not take the last engine.
    pub fn verdict(&self, work: &WorkDigest, now: Duration, last_trial_pause: Duration) -> Verdict {
        let Some(suspect) = self.suspects.get(work) else {
            return Verdict::Send;
        };
        let left = (suspect.learned_at + last_trial_pause).saturating_sub(now);
        match suspect.engines.len() {
            ended if ended >= MOST_ENGINES_ENDED => Verdict::Quarantine,
            ended if ended + 1 == MOST_ENGINES_ENDED && !left.is_zero() => Verdict::Pause(left),
            _ => Verdict::Send,
        }
    }

    /// An engine has ended under work, as this relay has seen at `now`.
    pub fn note_loss(&mut self, loss: EngineLoss, now: Duration) {
        if self.evidence.losses.len() >= LOSSES_KEPT || self.evidence.losses.contains(&loss) {
            return;
        }
        self.suspects.entry(loss.work).or_default().learn(loss.instance.clone(), now);
        self.evidence.losses.push(loss);
    }

    /// An engine has served work; returns whether it was suspected.
    pub fn note_served(&mut self, work: &WorkDigest) -> bool {
        let suspected = self.suspects.remove(work).is_some();
        if suspected {
            self.evidence.losses.retain(|loss| loss.work != *work);
            self.evidence.served.push(*work);
        }
        suspected
    }

    /// What is not handed over yet.
    pub fn evidence(&self) -> &WorkEvidence {
        &self.evidence
    }

    /// The group has taken this evidence.
    pub fn handed_over(&mut self, taken: &WorkEvidence) {
        self.evidence.losses.retain(|loss| !taken.losses.contains(loss));
        self.evidence.served.retain(|work| !taken.served.contains(work));
    }

    /// Takes the group's list at `now`, unless a newer one is held.
    pub fn take(&mut self, list: SuspicionList, now: Duration) {
        if list.revision <= self.revision {
            return;
        }
        self.revision = list.revision;
        let mut before = std::mem::take(&mut self.suspects);
        for suspicion in list.suspicions {
            let mut suspect = before.remove(&suspicion.work).unwrap_or_default();
            suspect.engines.retain(|engine| suspicion.engines.contains(engine));
            suspicion.engines.into_iter().for_each(|engine| suspect.learn(engine, now));
            self.suspects.insert(suspicion.work, suspect);
        }
        for work in &self.evidence.served {
            self.suspects.remove(work);
        }
        for loss in &self.evidence.losses {
            let at = before.get(&loss.work).map_or(now, |suspect| suspect.learned_at);
            self.suspects.entry(loss.work).or_default().learn(loss.instance.clone(), at);
        }
    }
}

/// The knowledge of one relay, and its way to and from the control group.
pub struct SuspicionKeeper<P: Runtime> {
    platform: P,
    control: ControlClient<P>,
    last_trial_pause: Duration,
    /// The rights to run suspected work that this relay holds.
    trials: Rc<TrialKeeper<P, ControlClient<P>>>,
    suspicions: RefCell<Suspicions>,
    /// There is evidence to hand over.
    waiting: Signal,
    /// Evidence has been handed over.
    handed_over: Signal,
}

impl<P: Runtime> SuspicionKeeper<P> {
    /// Knows nothing yet. Hands evidence over to the group behind `control` until the process ends.
    pub fn start(platform: P, control: ControlClient<P>, last_trial_pause: Duration) -> Rc<Self> {
        let keeper = Rc::new(Self {
            platform: platform.clone(),
            control: control.clone(),
            last_trial_pause,
            trials: TrialKeeper::start(platform.clone(), control),
            suspicions: RefCell::default(),
            waiting: Signal::default(),
            handed_over: Signal::default(),
        });
        platform.spawn(hand_over(keeper.clone()));
        keeper
    }

    /// How many kinds of work are suspected.
    pub fn suspected(&self) -> usize {
        self.suspicions.borrow().suspected()
    }

    /// The revision of the group's list that is held.
    pub fn revision(&self) -> u64 {
        self.suspicions.borrow().revision()
    }

    /// How many engines have ended under `work` since it was last served. Here and below the digest is made only if some
    /// work is suspected.
    pub fn engines_ended(&self, work: impl FnOnce() -> WorkDigest) -> usize {
        let suspicions = self.suspicions.borrow();
        if suspicions.is_empty() { 0 } else { suspicions.engines_ended(&work()) }
    }

    /// What is to be done with a request for `work` at this moment.
    pub fn verdict(&self, work: impl FnOnce() -> WorkDigest) -> Verdict {
        let suspicions = self.suspicions.borrow();
        if suspicions.is_empty() {
            return Verdict::Send;
        }
        suspicions.verdict(&work(), self.platform.monotonic(), self.last_trial_pause)
    }

    /// Asks the group for the right to run suspected work, for `limit` at most; `None` while another try of it runs, or
    /// while no leader is to be found.
    pub async fn begin_trial(&self, work: WorkDigest, limit: Duration) -> Option<RelayTrial<P>> {
        self.trials.begin(work, limit).await
    }

    /// An engine has ended under work.
    pub fn note_loss(&self, loss: EngineLoss) {
        self.suspicions.borrow_mut().note_loss(loss, self.platform.monotonic());
        self.waiting.notify();
    }

    /// An engine has served work to its end.
    pub fn note_served(&self, work: impl FnOnce() -> WorkDigest) {
        let mut suspicions = self.suspicions.borrow_mut();
        if !suspicions.is_empty() && suspicions.note_served(&work()) {
            self.waiting.notify();
        }
    }

    /// Takes the group's list, unless a newer one is held.
    pub fn take(&self, list: SuspicionList) {
        self.suspicions.borrow_mut().take(list, self.platform.monotonic());
    }

    /// Waits until the group knows what this relay has seen of `work`, but not for long.
    pub async fn await_known_to_group(&self, work: &WorkDigest) {
        let is_waiting = || self.suspicions.borrow().evidence().losses.iter().any(|loss| loss.work == *work);
        let known = async {
            while is_waiting() {
                self.handed_over.changed(self.handed_over.count()).await;
            }
        };
        // Without the group, the client is told all the same.
        let _ = timeout(&self.platform, KNOWN_TO_GROUP_LIMIT, known).await;
    }
}

/// The right of a relay's request to run suspected work.
pub type RelayTrial<P> = TrialGuard<P, ControlClient<P>>;

impl<P: Runtime> TrialGroup for ControlClient<P> {
    async fn begin(&self, request: TrialRequest) -> Result<TrialAnswer, NoAnswer> {
        let request = GatewayRequest::BeginTrial(request);
        match self.gateway(request, TRIAL_ANSWER_LIMIT, TRIAL_ANSWER_LIMIT).await {
            Ok(GatewayReply::Trial(answer)) => Ok(answer),
            // The group keeps no rights yet: work runs as if nobody suspected it.
            Err(GatewayError::NotUnderstood) => Ok(TrialAnswer::Granted),
            other => Err(format!("{other:?}")),
        }
    }

    async fn renew(&self, held: Vec<HeldTrial>) -> Result<Vec<HeldTrial>, NoAnswer> {
        match self.gateway(GatewayRequest::RenewTrials(held), TRIAL_RENEWAL, TRIAL_RENEWAL).await {
            Ok(GatewayReply::TrialsLost(lost)) => Ok(lost),
            Err(GatewayError::NotUnderstood) => Ok(Vec::new()),
            other => Err(format!("{other:?}")),
        }
    }

    async fn end(&self, held: HeldTrial) -> Result<(), NoAnswer> {
        let HeldTrial { work, id } = held;
        let answer = self.gateway(GatewayRequest::EndTrial { work, id }, HAND_OVER_LIMIT, HAND_OVER_LIMIT).await;
        answer.map(|_| ()).map_err(|error| format!("{error:?}"))
    }
}

/// Hands evidence over to the control group until the process ends.
async fn hand_over<P: Runtime>(keeper: Rc<SuspicionKeeper<P>>) {
    loop {
        let seen = keeper.waiting.count();
        let evidence = keeper.suspicions.borrow().evidence().clone();
        if evidence.is_empty() {
            keeper.waiting.changed(seen).await;
            continue;
        }
        let request = GatewayRequest::TakeEvidence(evidence.clone());
        match keeper.control.gateway(request, HAND_OVER_LIMIT, HAND_OVER_LIMIT).await {
            Ok(GatewayReply::Suspicions(list)) => {
                keeper.suspicions.borrow_mut().handed_over(&evidence);
                keeper.take(list);
                keeper.handed_over.notify();
            }
            Err(GatewayError::NotUnderstood) => {
                spdlog::info!("evidence not kept by an older build", kv: { losses = evidence.losses.len() });
                keeper.suspicions.borrow_mut().handed_over(&evidence);
                keeper.handed_over.notify();
            }
            other => {
                spdlog::warn!("evidence not handed over", kv: {
                    losses = evidence.losses.len(), reason = format!("{other:?}").as_str()
                });
                keeper.platform.sleep(RETRY_PAUSE).await;
            }
        }
    }
}
