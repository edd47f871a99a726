//! The account that is built from log lines.

use saddlerelay_command_line::account::of_lines;
use saddlerelay_telemetry::line::LogLine;

const LOG: &str = r#"
time=100.000 level=info node=s-1 event="job taken up" job=a step=0 items=3 minimum_version=1 model=m listed=0
time=101.500 level=info node=s-1 event="weights ordered" instance=i-1 model=m held=1 version=2 lasted_ms=1000 done=true
time=102.000 level=info node=s-1 event="item attempt ended" item=x job=a instance=i-1 versions="{1, 2}" events=4 lasted_ms=2000 outcome=Whole
time=102.500 level=info node=s-1 event="item attempt ended" item=y job=a instance=i-1 versions={2} events=1 lasted_ms=500 outcome=Silent
time=102.600 level=info node=s-1 event="item moved" job=a index=1 instance=i-1 events=1
time=103.000 level=info node=s-2 event="job taken up" job=b step=1 items=2 minimum_version=1 model=m listed=0
time=103.100 level=info node=s-2 event="job taken up" job=a step=0 items=3 minimum_version=1 model=m listed=1
time=104.000 level=info node=s-2 event="job dropped" job=a items=3
time=105.000 level=info node=s-2 event="item attempt ended" item=z job=b
a line that is cut sho
time=106.000 level=info node=s-2 event="job dropped" job=unknown items=3
"#;

fn lines(log: &str) -> Vec<LogLine> {
    log.lines().filter_map(LogLine::parse).collect()
}

#[test]
fn a_step_is_accounted_for_across_leader_changes() {
    let account = of_lines(&lines(LOG)).expect("the log contains no steps");
    assert_eq!(account.models(), ["m"]);
    let [first, second] = &account.steps[..] else {
        panic!("expected two steps: {:?}", account.steps);
    };
    assert_eq!((first.leaders, first.completed, first.failed_attempts, first.moves), (2, 1, 1, 1));
    assert_eq!((first.open.from, first.open.to), (0.0, 4.0));
    assert_eq!((first.first_start, first.last_start, first.last_completed), (Some(0.0), Some(2.0), Some(2.0)));
    assert_eq!(first.versions_behind, 1);
    // The second step is still open at the last line; the line of its attempt lacks duration and outcome.
    assert_eq!((second.open.from, second.open.to, second.failed_attempts), (3.0, 6.0, 1));
    assert_eq!(account.attempts.by_second(3), [1.0, 1.0, 0.5]);
    assert_eq!(account.loads.by_second(3), [0.5, 0.5, 0.0]);
}

#[test]
fn overlapping_steps_count_once_in_a_trainers_waiting_time() {
    let table = of_lines(&lines(LOG)).expect("the log contains no steps").table();
    assert!(table.contains(&"m                2       6.0             1.00".to_string()), "{table:#?}");
}

#[test]
fn logs_without_steps_are_rejected_with_a_hint() {
    let error = of_lines(&lines("time=1.0 level=info node=n event=start\nno line"))
        .expect_err("a log without steps was accepted");
    assert!(error.message.contains("name those of the coordinators"), "{}", error.message);
}
