//! The load that an engine reports in a header of its answers.

/// Work time of an engine that works at its usual speed, in percent.
const USUAL_WORK_TIME_PERCENT: f64 = 100.0;

/// Figures of a load header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests being run.
    pub running: u32,
    /// Requests admitted but not started.
    pub waiting: u32,
    /// Requests that the engine runs concurrently.
    pub slots: u32,
    /// How long work takes at present, in percent of the usual time; only some engines report it.
    pub work_time_percent: Option<u32>,
}

impl LoadReport {
    /// Parses `running,waiting,slots` or `running,waiting,slots,percent`. Further figures are ignored; a header with a
    /// figure that is not a whole number, without slots, or with a work time of zero is rejected.
    pub fn parse(header: &str) -> Option<Self> {
        let mut figures = header.split(',').map(|figure| figure.trim().parse::<u32>());
        let mut next = || figures.next()?.ok();
        let (running, waiting, slots) = (next()?, next()?, next()?);
        let work_time_percent = match figures.next() {
            None => None,
            Some(percent) => Some(percent.ok()?),
        };
        (slots > 0 && work_time_percent != Some(0)).then_some(Self { running, waiting, slots, work_time_percent })
    }

    /// Present work time as a multiple of the usual one; `None` if the engine does not report it.
    pub fn slowdown(&self) -> Option<f64> {
        self.work_time_percent.map(|percent| f64::from(percent) / USUAL_WORK_TIME_PERCENT)
    }
}
