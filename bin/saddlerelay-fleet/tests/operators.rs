//! The administration API and its command line, on real processes.

mod common;

use common::{Deployment, MODEL, TENANT, block_on, executable, json_of};
use hyper::{Method, StatusCode};
use saddlerelay_fleet_runner::deploy::OPERATOR_TOKEN;
use saddlerelay_http::client::call;
use serde_json::json;
use std::path::PathBuf;
use std::process::Command;

#[test]
fn requests_without_the_operator_token_are_unauthorized() {
    block_on(async {
        let deployment = Deployment::start().await;
        for path in ["configuration", "tenants/prices", "group", "engines", "relays", "dump-log", "initialize"] {
            for token in ["", "Bearer ", "Bearer wrong-token-0123456789", OPERATOR_TOKEN] {
                let headers = [("authorization", token)];
                let path = format!("/admin/v1/{path}");
                let answer = call(deployment.control(), Method::GET, &path, &headers, Vec::new()).await;
                assert_eq!(
                    answer.expect("the server sent no response").status,
                    StatusCode::UNAUTHORIZED,
                    "{path} `{token}`"
                );
            }
        }
    });
}

#[test]
fn of_two_changes_of_one_revision_the_second_gets_the_current_state() {
    block_on(async {
        let deployment = Deployment::start().await;
        let path = format!("tenants/{TENANT}");
        let current = deployment.admin(Method::GET, &path, &[], json!(null)).await;
        let tag = current.headers["etag"].to_str().expect("the value is not UTF-8 text").to_string();
        let change = |bound: u64| json!({"template": "team", "values": {"model": MODEL, "staleness_bound": bound}});
        let first = deployment.admin(Method::PUT, &path, &[("if-match", &tag)], change(3)).await;
        assert_eq!(first.status, StatusCode::OK);
        let second = deployment.admin(Method::PUT, &path, &[("if-match", &tag)], change(4)).await;
        assert_eq!(second.status, StatusCode::PRECONDITION_FAILED);
        assert_eq!(second.headers["etag"], first.headers["etag"]);
        assert_eq!(json_of(&second)["value"]["tenant"]["values"]["staleness_bound"], 3);
    });
}

#[test]
fn a_retried_change_gets_its_first_outcome() {
    block_on(async {
        let deployment = Deployment::start().await;
        let path = format!("tenants/{TENANT}");
        let change = json!({"template": "team", "values": {"model": MODEL, "staleness_bound": 3}});
        let key = [("idempotency-key", "operator-7")];
        let first = deployment.admin(Method::PUT, &path, &key, change.clone()).await;
        deployment.put_tenant(json!({"model": MODEL, "staleness_bound": 4})).await;
        let resent = deployment.admin(Method::PUT, &path, &key, change).await;
        assert_eq!(first.body, resent.body);
        let now = json_of(&deployment.admin(Method::GET, &path, &[], json!(null)).await);
        assert_eq!(now["value"]["tenant"]["values"]["staleness_bound"], 4);
    });
}

#[test]
fn invalid_parameter_values_are_rejected_with_all_errors() {
    block_on(async {
        let deployment = Deployment::start().await;
        let answer = deployment.put_tenant(json!({"model": 7, "staleness_bound": 1000, "idle_weight": 101})).await;
        assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(json_of(&answer)["errors"].as_array().map(Vec::len), Some(3));
        let unknown = deployment.put_tenant(json!({"colour": "red"})).await;
        assert_eq!(unknown.status, StatusCode::BAD_REQUEST);
        let no_template = json!({"template": "none", "values": {}});
        let answer = deployment.admin(Method::PUT, "tenants/other", &[], no_template).await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND);
    });
}

fn run(arguments: &[&str]) -> (i32, String, String) {
    let output =
        Command::new(executable()).arg("run-product").args(arguments).output().expect("failed to run the program");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (output.status.code().unwrap_or(-1), text(output.stdout), text(output.stderr))
}

fn example(file: &str) -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file).display().to_string()
}

#[test]
fn the_command_line_applies_the_examples_of_both_deployments() {
    block_on(async {
        let deployment = Deployment::start().await;
        let address = deployment.control().to_string();
        let admin = |arguments: &[&str]| {
            run(&[&["admin", "--address", address.as_str(), "--token", OPERATOR_TOKEN], arguments].concat())
        };
        for (folder, tenants) in [("andino", ["plan-training", "clinic"]), ("fund", ["notice-training", "prices"])] {
            let (code, _, error) = admin(&["template", "put", "team", &example(&format!("{folder}/template.toml"))]);
            assert_eq!((code, error.as_str()), (0, ""));
            for tenant in tenants {
                let file = example(&format!("{folder}/tenant-{tenant}.toml"));
                let (code, _, error) = admin(&["tenant", "put", tenant, &file]);
                assert_eq!((code, error.as_str()), (0, ""), "{file}");
            }
        }
        let (code, text, _) = admin(&["tenants"]);
        assert!(code == 0 && text.contains("notice-training") && text.contains("clinic"), "{text}");
        let (code, text, _) = admin(&["status"]);
        assert!(code == 0 && text.contains("revision_in_force"), "{text}");
        let (code, _, error) = admin(&["tenant", "put", "prices", &example("fund/tenant-prices.toml"), "--if-absent"]);
        assert_eq!(code, 4, "{error}");
        let (code, _, _) = admin(&["tenant", "get", "nobody"]);
        assert_eq!(code, 4);
        let (code, text, _) = admin(&["dump-log"]);
        assert!(code == 0 && text.contains("log-ring.txt"), "{text}");
        let unauthorized = run(&["admin", "--address", &address, "--token", "wrong", "status"]);
        assert_eq!(unauthorized.0, 4);
        let unreachable = run(&["admin", "--address", "127.0.0.1:1", "--token", OPERATOR_TOKEN, "status"]);
        assert_eq!(unreachable.0, 5);
    });
}

#[test]
fn invalid_flags_and_settings_are_reported_with_their_exit_code() {
    let (code, _, error) = run(&["serve"]);
    assert!(code == 2 && error.contains("--config"), "{error}");
    let (code, _, error) = run(&["fly"]);
    assert!(code == 2 && error.contains("fly"), "{error}");
    let (code, _, error) = run(&["check-config", "no-such-file.toml"]);
    assert!(code == 3 && error.contains("no-such-file.toml"), "{error}");
    for file in ["andino/control.toml", "andino/relay.toml", "fund/control.toml", "fund/relay.toml"] {
        let (code, text, error) = run(&["check-config", &example(file)]);
        assert!(code == 0 && text.ends_with("ok\n"), "{error}");
    }
    let (code, text, _) = run(&["--help"]);
    assert!(code == 0 && text.contains("Exit codes"));
}
