//! The destination of the records that stand-ins write.

use saddlerelay_checker::record::Record;
use std::rc::Rc;

/// Writes records. Clones share the destination.
#[derive(Clone)]
pub struct Recorder {
    sink: Rc<dyn Fn(Record)>,
}

impl Recorder {
    /// Creates a recorder that passes each record to `sink`.
    pub fn new(sink: impl Fn(Record) + 'static) -> Self {
        Self { sink: Rc::new(sink) }
    }

    /// Passes `record` to the sink.
    pub fn record(&self, record: Record) {
        (self.sink)(record);
    }
}
