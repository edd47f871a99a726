//! `saddlerelay admin`: command-line client of the administration API.

use crate::table::table;
use crate::{CommandError, Exit};
use hyper::{Method, StatusCode};
use lexopt::prelude::*;
use saddlerelay_http::client::{BufferedResponse, call};
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Parsed command line.
#[derive(Default)]
struct AdminArguments {
    address: Option<SocketAddr>,
    token: String,
    json: bool,
    if_match: Option<u64>,
    if_absent: bool,
    key: Option<String>,
    /// The command and its positional arguments.
    command: Vec<String>,
}

/// A call to the administration API, and how its response is displayed.
struct ApiCall {
    method: Method,
    path: String,
    body: Vec<u8>,
    columns: &'static [(&'static str, &'static str)],
    /// The response field that contains the rows; empty if the response itself is the list.
    rows: &'static str,
}

const MEMBER_COLUMNS: &[(&str, &str)] = &[
    ("REPLICA", "id"),
    ("ADDRESS", "address"),
    ("VOTER", "voter"),
    ("MATCHED", "matched"),
    ("HEARD MS AGO", "heard_milliseconds_ago"),
];
const RELAY_COLUMNS: &[(&str, &str)] = &[
    ("RELAY", "description.name"),
    ("ZONE", "description.zone"),
    ("ADDRESS", "description.address"),
    ("REVISION", "revision"),
    ("RENEWED MS AGO", "renewed_milliseconds_ago"),
];
const ENGINE_COLUMNS: &[(&str, &str)] = &[
    ("ENGINE", "description.id"),
    ("ZONE", "description.zone"),
    ("MODEL", "description.model"),
    ("SLOTS", "description.slots"),
    ("AVAILABILITY", "availability"),
    ("WEIGHTS", "weights.state"),
    ("VERSION", "weights.version"),
];
const DUTY_COLUMNS: &[(&str, &str)] =
    &[("SERVICE", "place.service"), ("ZONE", "place.zone"), ("WANTED", "wanted"), ("PRESENT", "present")];
const SUSPICION_COLUMNS: &[(&str, &str)] = &[("WORK", "work"), ("ENGINES ENDED", "engines"), ("LAST AT", "last_at")];
const OBJECT_COLUMNS: &[(&str, &str)] = &[("NAME", "name"), ("REVISION", "revision"), ("VALUE", "value")];

/// Response fields that are displayed below the table.
const SUMMARY_FIELDS: [&str; 9] = [
    "term",
    "committed",
    "revision",
    "revision_in_force",
    "leader",
    "holder",
    "newest_reported",
    "unreported",
    "uncounted",
];

/// Runs an administration command.
pub fn run(parser: &mut lexopt::Parser) -> Result<(), CommandError> {
    let arguments = parse(parser)?;
    let address =
        arguments.address.ok_or_else(|| CommandError::new(Exit::Usage, "flag --address IP:PORT is missing"))?;
    let runtime =
        compio::runtime::Runtime::new().map_err(|error| CommandError::new(Exit::Failed, error.to_string()))?;
    runtime.block_on(async {
        for api_call in api_calls(&arguments)? {
            let response = send(address, &arguments, &api_call).await?;
            print_response(&arguments, &api_call, &response)?;
        }
        Ok(())
    })
}

fn parse(parser: &mut lexopt::Parser) -> Result<AdminArguments, CommandError> {
    let mut arguments = AdminArguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("address") => arguments.address = Some(parser.value()?.parse()?),
            Long("token") => arguments.token = parser.value()?.string()?,
            Long("token-file") => arguments.token = read_token(&PathBuf::from(parser.value()?))?,
            Long("json") => arguments.json = true,
            Long("if-match") => arguments.if_match = Some(parser.value()?.parse()?),
            Long("if-absent") => arguments.if_absent = true,
            Long("key") => arguments.key = Some(parser.value()?.string()?),
            Value(value) => arguments.command.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

fn read_token(file: &Path) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandError::new(Exit::Usage, format!("{}: {error}", file.display())))?;
    Ok(text.trim().to_string())
}

fn get(path: &str, columns: &'static [(&'static str, &'static str)], rows: &'static str) -> ApiCall {
    ApiCall { method: Method::GET, path: path.to_string(), body: Vec::new(), columns, rows }
}

fn post(path: String) -> ApiCall {
    ApiCall { method: Method::POST, path, body: Vec::new(), columns: &[], rows: "" }
}

fn api_calls(arguments: &AdminArguments) -> Result<Vec<ApiCall>, CommandError> {
    let command: Vec<&str> = arguments.command.iter().map(String::as_str).collect();
    let group = || get("group", MEMBER_COLUMNS, "replicas");
    let relays = || get("relays", RELAY_COLUMNS, "relays");
    let engines = || get("engines", ENGINE_COLUMNS, "");
    let calls = match command.as_slice() {
        ["initialize"] => vec![post("initialize".to_string())],
        ["dump-log"] => vec![post("dump-log".to_string())],
        ["status"] => vec![group(), relays(), engines()],
        ["members"] => vec![group()],
        ["relays"] => vec![relays()],
        ["engines"] => vec![engines()],
        ["suspicions"] => vec![get("suspicions", SUSPICION_COLUMNS, "suspicions")],
        ["release", work] => {
            vec![ApiCall { method: Method::DELETE, ..get(&format!("suspicions/{work}"), &[], "") }]
        }
        ["duties"] => vec![get("duties", DUTY_COLUMNS, "engines")],
        ["templates" | "tenants"] => vec![get("configuration", OBJECT_COLUMNS, "objects")],
        ["trainer", tenant] => vec![get(&format!("trainers/{tenant}"), &[], "")],
        ["drain", engine] => vec![post(format!("engines/{engine}/drain"))],
        [kind @ ("template" | "tenant"), "get", id] => vec![get(&format!("{kind}s/{id}"), &[], "")],
        [kind @ ("template" | "tenant"), "delete", id] => {
            vec![ApiCall { method: Method::DELETE, ..get(&format!("{kind}s/{id}"), &[], "") }]
        }
        [kind @ ("template" | "tenant"), "put", id, file] => {
            let body = read_object(Path::new(file))?;
            vec![ApiCall { method: Method::PUT, body, ..get(&format!("{kind}s/{id}"), &[], "") }]
        }
        _ => return Err(CommandError::new(Exit::Usage, "unknown administration command; see saddlerelay --help")),
    };
    Ok(calls)
}

/// Reads a template or tenant from a TOML or JSON file and returns it as JSON.
fn read_object(file: &Path) -> Result<Vec<u8>, CommandError> {
    let usage_error = |reason: String| CommandError::new(Exit::Usage, format!("{}: {reason}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|error| usage_error(error.to_string()))?;
    if file.extension().is_some_and(|extension| extension == "json") {
        return Ok(text.into_bytes());
    }
    let value: toml::Table = text.parse().map_err(|error: toml::de::Error| usage_error(error.to_string()))?;
    serde_json::to_vec(&value).map_err(|error| usage_error(error.to_string()))
}

async fn send(
    address: SocketAddr,
    arguments: &AdminArguments,
    api_call: &ApiCall,
) -> Result<BufferedResponse, CommandError> {
    let authorization = format!("Bearer {}", arguments.token);
    let if_match = arguments.if_match.map(|revision| format!("\"{revision}\""));
    let mut headers = vec![("authorization", authorization.as_str())];
    if let Some(if_match) = &if_match {
        headers.push(("if-match", if_match));
    }
    if arguments.if_absent {
        headers.push(("if-none-match", "*"));
    }
    if let Some(key) = &arguments.key {
        headers.push(("idempotency-key", key));
    }
    let path = format!("/admin/v1/{}", api_call.path);
    let response = call(address, api_call.method.clone(), &path, &headers, api_call.body.clone()).await;
    response.map_err(|error| CommandError::new(Exit::TryAgain, format!("{address}: {error}")))
}

fn print_response(
    arguments: &AdminArguments,
    api_call: &ApiCall,
    response: &BufferedResponse,
) -> Result<(), CommandError> {
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if !response.status.is_success() {
        let is_unavailable = response.status == StatusCode::SERVICE_UNAVAILABLE;
        let exit = if is_unavailable { Exit::TryAgain } else { Exit::Refused };
        return Err(CommandError::new(exit, format!("{}: {text}", response.status)));
    }
    let value: Json = serde_json::from_slice(&response.body).unwrap_or(Json::String(text));
    if arguments.json || api_call.columns.is_empty() {
        println!("{}", serde_json::to_string_pretty(&value).unwrap_or_default());
        return Ok(());
    }
    let rows = if api_call.rows.is_empty() { &value } else { &value[api_call.rows] };
    let empty = Vec::new();
    print!("{}", table(rows_of_kind(arguments, rows.as_array().unwrap_or(&empty)).as_slice(), api_call.columns));
    for name in SUMMARY_FIELDS {
        if let Some(value) = value.get(name) {
            println!("{name}: {value}");
        }
    }
    println!();
    Ok(())
}

/// Filters the configuration objects by kind for `templates` and `tenants`.
fn rows_of_kind(arguments: &AdminArguments, rows: &[Json]) -> Vec<Json> {
    let kind = match arguments.command.first().map(String::as_str) {
        Some("templates") => "template",
        Some("tenants") => "tenant",
        _ => return rows.to_vec(),
    };
    rows.iter().filter(|row| row["name"].get(kind).is_some()).cloned().collect()
}
