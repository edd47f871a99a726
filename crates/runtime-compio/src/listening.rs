//! Finds out whether a process still listens at its address.

use compio::net::TcpStream;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest time to find out: some round trips between regions.
const LIMIT: Duration = Duration::from_millis(100);

/// How long an answer is good for everyone who asks about the same address: an engine that is overloaded resets many
/// connections, and must not be asked again for each.
const ANSWER_KEPT: Duration = Duration::from_millis(500);

/// Pause between looks at whether another one's question has been answered.
const ANSWER_POLL: Duration = Duration::from_millis(2);

/// Addresses whose answers are kept; all are dropped when there are more.
const ANSWERS_KEPT: usize = 4_096;

/// Whether the process that listened at `address` has ended, as its machine says by refusing a connection. One that cannot
/// be reached is not believed to have.
pub async fn has_ended(address: SocketAddr) -> bool {
    match compio::time::timeout(LIMIT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Asks about each address once in a while, however many want to know.
#[derive(Default)]
pub struct EndedChecks {
    answers: RefCell<BTreeMap<SocketAddr, Answer>>,
}

/// What is known of an address: when it was asked about, and the answer, unless it is still to come.
#[derive(Clone, Copy)]
struct Answer {
    asked_at: Instant,
    ended: Option<bool>,
}

impl EndedChecks {
    /// Whether the process that listened at `address` has ended, by an answer that may be some hundred milliseconds old.
    pub async fn has_ended(&self, address: SocketAddr) -> bool {
        loop {
            let known = self.answers.borrow().get(&address).copied();
            match known.filter(|answer| answer.asked_at.elapsed() < ANSWER_KEPT) {
                Some(Answer { ended: Some(ended), .. }) => return ended,
                // Whoever asked may have been dropped: a question is open for as long as an answer takes at most.
                Some(answer) if answer.asked_at.elapsed() < LIMIT + ANSWER_POLL => {
                    compio::time::sleep(ANSWER_POLL).await;
                }
                Some(_) | None => break,
            }
        }
        let asked_at = Instant::now();
        self.note(address, Answer { asked_at, ended: None });
        let ended = has_ended(address).await;
        self.note(address, Answer { asked_at, ended: Some(ended) });
        ended
    }

    fn note(&self, address: SocketAddr, answer: Answer) {
        let mut answers = self.answers.borrow_mut();
        if answers.len() >= ANSWERS_KEPT {
            answers.clear();
        }
        answers.insert(address, answer);
    }
}
