//! Where stand-ins put what they saw.

use saddlerelay_checker::record::Record;
use std::rc::Rc;

/// Takes records. Clones share the destination.
#[derive(Clone)]
pub struct Recorder {
    sink: Rc<dyn Fn(Record)>,
}

impl Recorder {
    /// A recorder that gives each record to `sink`.
    pub fn new(sink: impl Fn(Record) + 'static) -> Self {
        Self { sink: Rc::new(sink) }
    }

    /// Takes a record.
    pub fn record(&self, record: Record) {
        (self.sink)(record);
    }
}
