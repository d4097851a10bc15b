//! Tests of the operator API over HTTP, on a single process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::clock::SystemClock;
use fulmarford_lib::control::Control;
use fulmarford_lib::control_core::MAX_DIRECT_POLLERS;
use fulmarford_lib::control_core::PeerAddress;
use fulmarford_lib::control_thread;
use fulmarford_lib::control_thread::ControlThread;
use fulmarford_lib::evacuation::MAX_ZONE_BYTES;
use fulmarford_lib::ids::ZoneId;
use fulmarford_lib::operator::MAX_CHANGE_BYTES;
use fulmarford_lib::operator::Operator;
use fulmarford_lib::operator::Tokens;
use fulmarford_lib::operator_client::ClientError;
use fulmarford_lib::operator_client::OperatorClient;
use fulmarford_lib::peer::Secrets;
use fulmarford_lib::server::Request;
use fulmarford_lib::server::Response;
use fulmarford_lib::server::Server;
use fulmarford_lib::server::Service;
use fulmarford_lib::simple_storage::SimpleStorage;
use fulmarford_lib::view::Version;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

const TOKEN: &str = "operator-token-of-the-test";

struct OperatorService(Arc<Operator>);

impl Service for OperatorService {
    async fn call(&self, mut request: Request) -> std::io::Result<Response> {
        Ok(self.0.handle(&mut request).await)
    }
}

struct Process {
    server: Server,
    _control: ControlThread,
}

fn start(tokens: Option<&str>) -> Process {
    let listener = control_thread::listen(([127, 0, 0, 1], 0).into()).expect("bound");
    let address = listener.local_addr().expect("bound");
    let control = ControlThread::start(control_thread::Config {
        instance: "a".into(),
        listener,
        address,
        peers: vec![PeerAddress {
            name: "a".into(),
            address,
        }],
        store: Some(Box::new(SimpleStorage::default())),
        bootstrap: false,
        rules: Vec::new(),
        secrets: Secrets::parse("secret-of-the-test-cluster").expect("valid"),
        secret_file: None,
        discover: false,
        max_direct_pollers: MAX_DIRECT_POLLERS,
        terms: fulmarford_lib::command::UsageTerms::default(),
        clock: Arc::new(SystemClock),
    })
    .expect("starts");
    let end = Instant::now() + Duration::from_secs(5);
    while control.control().view(Instant::now()).is_err() {
        assert!(Instant::now() < end, "the process does not become ready");
        std::thread::sleep(Duration::from_millis(10));
    }
    let tokens = tokens.map(|text| Tokens::parse(text).expect("valid"));
    let operator = Operator::new(control.control(), tokens);
    let address = ([127, 0, 0, 1], 0).into();
    let server = Server::start(address, 1, Arc::new(OperatorService(operator))).expect("starts");
    Process {
        server,
        _control: control,
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(20)))
        .build()
        .new_agent()
}

fn read(mut response: http::Response<ureq::Body>) -> (u16, Value) {
    let text = response.body_mut().read_to_string().expect("complete body");
    let value = serde_json::from_str(&text).expect("JSON");
    (response.status().as_u16(), value)
}

fn get(address: SocketAddr, path: &str, token: &str) -> (u16, Value) {
    let request = agent().get(format!("http://{address}{path}"));
    let response = request.header("authorization", format!("Bearer {token}"));
    read(response.call().expect("answers"))
}

fn post(address: SocketAddr, body: &str) -> (u16, Value) {
    let request = agent().post(format!("http://{address}/control/changes"));
    let response = request.header("authorization", format!("Bearer {TOKEN}"));
    read(response.send(body).expect("answers"))
}

/// Guards against access without a valid token.
#[gtest]
fn handle_wrong_token() {
    let process = start(Some(&format!("another-operator-token\n{TOKEN}\n")));
    let address = process.server.address();
    for token in [
        "",
        "operator-token-of-the-tesT",
        "secret-of-the-test-cluster",
    ] {
        let (status, body) = get(address, "/control/status", token);
        expect_that!(status, eq(401));
        expect_that!(body["error"]["code"].as_u64(), some(eq(1101)));
    }
    expect_that!(get(address, "/control/status", TOKEN).0, eq(200));
    let closed = start(None);
    expect_that!(
        get(closed.server.address(), "/control/status", TOKEN).0,
        eq(401)
    );
}

/// Guards against responses that do not match the effect of a change.
#[gtest]
fn handle_changes() {
    let process = start(Some(TOKEN));
    let address = process.server.address();
    let change = json!({
        "id": "one", "expected": 0, "author": "Ana",
        "set": ["workspace w # Ana", "workspace v # Ana"],
    });
    let accepted = json!({"version": 1, "in_force": true});
    for _ in 0..2 {
        let (status, body) = post(address, &change.to_string());
        expect_that!((status, &body), eq((200, &accepted)));
    }
    let late = json!({"id": "two", "expected": 0, "author": "Eva", "set": ["workspace u # Eva"]});
    let (status, body) = post(address, &late.to_string());
    expect_that!(status, eq(409));
    expect_that!(body["error"]["code"].as_u64(), some(eq(1601)));
    let other = json!({"id": "one", "expected": 0, "author": "Eva", "set": ["workspace u # Eva"]});
    expect_that!(post(address, &other.to_string()).0, eq(422));
    let removal = json!({"id": "three", "expected": 1, "author": "Ana", "remove": ["workspace v"]});
    expect_that!(post(address, &removal.to_string()).0, eq(200));
    let (_, rules) = get(address, "/control/rules", TOKEN);
    expect_that!(
        rules,
        eq(&json!({"version": 2, "rules": ["workspace w # Ana"], "evacuated": []}))
    );
    let (_, history) = get(address, "/control/history?count=1", TOKEN);
    let changes = history["changes"].as_array().expect("a list");
    expect_that!(changes.len(), eq(1));
    expect_that!(changes[0]["id"], eq(&json!("three")));
    expect_that!(changes[0]["edits"], eq(&json!([{"remove": "workspace v"}])));
    let (_, status) = get(address, "/control/status", TOKEN);
    expect_that!(status["role"], eq(&json!("leader")));
    expect_that!(status["in_force"], eq(&json!(2)));
}

/// Guards against malformed requests that have an effect or terminate the process.
#[gtest]
fn handle_malformed_changes() {
    let process = start(Some(TOKEN));
    let address = process.server.address();
    let cases = [
        ("{", 400),
        (r#"{"id":"a","expected":0,"author":"x"}"#, 400),
        (
            r#"{"id":"a","expected":0,"author":"x","st":["workspace w # t"]}"#,
            400,
        ),
        (
            r#"{"id":"a","expected":0,"author":"x","set":["workspace w"]}"#,
            422,
        ),
        (
            r#"{"id":"a","expected":0,"author":"x","remove":["planet w"]}"#,
            422,
        ),
        (
            r#"{"id":"b","expected":0,"author":"x","remove":["workspace w"]}"#,
            422,
        ),
    ];
    for (body, expected) in cases {
        expect_that!(post(address, body).0, eq(expected));
    }
    let large = " ".repeat(MAX_CHANGE_BYTES + 1);
    expect_that!(post(address, &large).0, eq(413));
    expect_that!(get(address, "/control/changes", TOKEN).0, eq(405));
    expect_that!(get(address, "/control/other", TOKEN).0, eq(404));
    let (_, rules) = get(address, "/control/rules", TOKEN);
    expect_that!(rules["version"], eq(&json!(0)));
}

/// Guards against an order to evacuate a zone that has no effect, that a resend breaks, or that the rules, the status
/// and the history do not show.
#[gtest]
fn handle_evacuation() {
    let process = start(Some(TOKEN));
    let address = process.server.address();
    let client = OperatorClient::new(&address.to_string(), TOKEN);
    for _ in 0..2 {
        let accepted = client.set_evacuation("norte 1/ñ", true).expect("accepted");
        expect_that!(
            (accepted.version, accepted.in_force),
            eq((Version(1), true))
        );
    }
    let list = client.rules().expect("rules");
    expect_that!(
        list.evacuated,
        elements_are![eq(&ZoneId::from("norte 1/ñ"))]
    );
    expect_that!(list.rules, is_empty());
    let status = client.status().expect("status");
    expect_that!(status["evacuated"], eq(&json!(["norte 1/ñ"])));
    client.set_evacuation("norte 1/ñ", false).expect("accepted");
    expect_that!(client.rules().expect("rules").evacuated, is_empty());
    let history = client.history(5).expect("history");
    let edits: Vec<_> = history.iter().flat_map(|change| &change.edits).collect();
    expect_that!(edits[1], eq(&json!({"set": "evacuation norte 1/ñ"})));
    let long = "z".repeat(MAX_ZONE_BYTES + 1);
    for zone in ["", long.as_str()] {
        let refused = client.set_evacuation(zone, true);
        expect_that!(
            refused,
            err(matches_pattern!(ClientError::Refused {
                code: eq(&1001),
                ..
            }))
        );
    }
    let (status, _) = get(address, "/control/evacuations/z", TOKEN);
    expect_that!(status, eq(405));
}
