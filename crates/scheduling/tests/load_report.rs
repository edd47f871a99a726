//! Parsing of load headers.

use saddlerelay_scheduling::LoadReport;

/// Guards against figures that are taken from malformed headers.
#[test]
fn malformed_headers_are_rejected() {
    for header in ["", "1", "1,2", "1,2,0", "a,2,3", "1,,3", "-1,2,3", "1,2,3,", "1,2,3,x", "1,2,3,0", "1.5,2,3"] {
        assert_eq!(LoadReport::parse(header), None, "{header:?}");
    }
}

/// Guards against a missing fourth figure being read as the usual speed.
#[test]
fn the_work_time_is_optional() {
    let three = LoadReport::parse("3,0,8").expect("the header has three figures");
    assert_eq!((three.running, three.waiting, three.slots, three.work_time_percent), (3, 0, 8, None));
    assert_eq!(three.slowdown(), None);
    let four = LoadReport::parse(" 6, 12 ,6, 250").expect("the header has four figures");
    assert_eq!((four.running, four.waiting, four.slots, four.work_time_percent), (6, 12, 6, Some(250)));
    assert_eq!(four.slowdown(), Some(2.5));
    assert_eq!(LoadReport::parse("3,0,8,100,7"), LoadReport::parse("3,0,8,100"));
}
