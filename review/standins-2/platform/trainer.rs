//! A trainer: hands a batch job in, reads its results and ends it.

use crate::deployment::{Deployment, HOST};
use crate::http::{Message, call};
use crate::json::Json;
use std::thread;
use std::time::{Duration, Instant};

/// An item of a batch job.
pub struct Item {
    pub id: String,
    pub group: String,
    /// What the engine is to make of it.
    pub body: String,
}

/// A result as it was read.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub state: String,
    pub events: usize,
    pub versions: Vec<u64>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = (0..3).fold(0, |number, index| number << 8 | u32::from(*part.get(index).unwrap_or(&0)));
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= part.len() { digit } else { '=' });
        }
    }
    text
}

/// Makes a call at the front machines in turn until one gives an answer other than a 5xx.
pub fn call_fronts(
    deployment: &Deployment,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Message, String> {
    let deadline = Instant::now() + limit;
    let mut last = String::new();
    let mut index = 0;
    while Instant::now() < deadline {
        let headers = [&[("Host", HOST), ("Content-Type", "application/json")], headers].concat();
        match call(deployment.front(index % 3), method, path, &headers, body, Duration::from_millis(2_500)) {
            Ok(answer) if answer.status() / 100 != 5 => return Ok(answer),
            Ok(answer) => last = answer.status().to_string(),
            Err(error) => last = error.to_string(),
        }
        index += 1;
        thread::sleep(Duration::from_millis(100));
    }
    Err(format!("{method} {path}: {last}"))
}

/// Hands a batch job in; an error if it was not accepted.
pub fn submit(
    deployment: &Deployment,
    job: &str,
    model: &str,
    minimum_version: u64,
    wanted_groups: usize,
    items: &[Item],
) -> Result<(), String> {
    let item = |item: &Item| {
        format!(
            r#"{{"id":"{}","path":"/rollouts/{}","headers":{{"X-Saddlerelay-Model":"{model}","X-Saddlerelay-Token-Count":"300,9000"}},"body":"{}","tokens":9300,"group":"{}"}}"#,
            item.id,
            item.id,
            base64(item.body.as_bytes()),
            item.group
        )
    };
    let items: Vec<String> = items.iter().map(item).collect();
    let body = format!(
        r#"{{"step":{minimum_version},"model":"{model}","min_version":{minimum_version},"desired_count":{wanted_groups},"items":[{}]}}"#,
        items.join(",")
    );
    let headers = [("X-Saddlerelay-Request-Id", job)];
    let path = format!("/rollouts/{job}");
    let answer = call_fronts(deployment, ("POST", &path), &headers, body.as_bytes(), Duration::from_secs(10))?;
    deployment.record.note(
        "trainer",
        "handed-in",
        &[("job", job.to_string()), ("answer", answer.status().to_string())],
    );
    if answer.status() == 202 { Ok(()) } else { Err(format!("the job was answered {}", answer.status())) }
}

/// Reads the results that are listed from a position on.
pub fn read(deployment: &Deployment, job: &str, after: usize) -> Result<Vec<Listed>, String> {
    let path = format!("/lots/{job}?after={after}");
    let headers = [("X-Saddlerelay-Wait-Ms", "100")];
    let answer = call_fronts(deployment, ("GET", &path), &headers, b"", Duration::from_secs(5))?;
    if answer.status() != 200 {
        return Err(format!("the read was answered {}", answer.status()));
    }
    let page = Json::read(&answer.body).ok_or("the page is not JSON")?;
    let listed = page.get("results").list().iter().map(|result| Listed {
        id: result.get("id").text().to_string(),
        state: result.get("state").text().to_string(),
        events: result.get("text").text().lines().count(),
        versions: result.get("versions").list().iter().filter_map(Json::number).collect(),
    });
    let listed: Vec<Listed> = listed.collect();
    for result in &listed {
        let fields = [
            ("item", result.id.clone()),
            ("state", result.state.clone()),
            ("events", result.events.to_string()),
            ("versions", format!("{:?}", result.versions)),
        ];
        deployment.record.note("trainer", "read", &fields);
    }
    Ok(listed)
}

/// Ends a batch job.
pub fn end(deployment: &Deployment, job: &str) -> Result<(), String> {
    let path = format!("/lots/{job}");
    let answer = call_fronts(deployment, ("DELETE", &path), &[], b"", Duration::from_secs(5))?;
    deployment.record.note("trainer", "ended", &[("job", job.to_string()), ("answer", answer.status().to_string())]);
    Ok(())
}
