//! Conversion of engine instances and batch jobs; level one has neither start times nor owners.

use crate::level_one::gateway as one;
use saddlerelay_types::instance::{InstanceId, InstanceRecord, InstanceReport};
use saddlerelay_types::job::JobSubmission;

impl From<one::InstanceId> for InstanceId {
    fn from(id: one::InstanceId) -> Self {
        Self::without_start_time(id.0)
    }
}

impl From<&InstanceId> for one::InstanceId {
    /// Drops the start time.
    fn from(id: &InstanceId) -> Self {
        Self(id.name.clone())
    }
}

impl From<one::InstanceReport> for InstanceReport {
    fn from(report: one::InstanceReport) -> Self {
        Self {
            id: report.id.into(),
            service: report.service,
            address: report.address,
            zone: report.zone,
            slots: report.slots,
            leaving: report.leaving,
            models: report.models,
            sequence: report.sequence,
        }
    }
}

impl From<InstanceReport> for one::InstanceReport {
    fn from(report: InstanceReport) -> Self {
        Self {
            id: (&report.id).into(),
            service: report.service,
            address: report.address,
            zone: report.zone,
            slots: report.slots,
            leaving: report.leaving,
            models: report.models,
            sequence: report.sequence,
        }
    }
}

impl one::InstanceRecord {
    /// Converts the record, with the silent flag that level one sends separately.
    pub fn with_silence(self, silent: bool) -> InstanceRecord {
        InstanceRecord { report: self.report.into(), state: self.state, silent, revision: self.revision }
    }
}

impl From<InstanceRecord> for one::InstanceRecord {
    fn from(record: InstanceRecord) -> Self {
        Self { report: record.report.into(), state: record.state, revision: record.revision }
    }
}

impl From<one::JobSubmission> for JobSubmission {
    fn from(job: one::JobSubmission) -> Self {
        Self {
            id: job.id,
            host: job.host,
            path: job.path,
            model: job.model,
            step: job.step,
            minimum_version: job.minimum_version,
            wanted_groups: job.wanted_groups,
            items: job.items,
            owner: None,
        }
    }
}

impl one::JobSubmission {
    /// Converts the job; `None` if it has an owner.
    pub fn of(job: JobSubmission) -> Option<Self> {
        job.owner.is_none().then_some(Self {
            id: job.id,
            host: job.host,
            path: job.path,
            model: job.model,
            step: job.step,
            minimum_version: job.minimum_version,
            wanted_groups: job.wanted_groups,
            items: job.items,
        })
    }
}
