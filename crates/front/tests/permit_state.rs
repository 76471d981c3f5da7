//! Permit state file: permits of previous incarnations and the state of the acceptor, by their stored names.

mod common;

use common::*;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

/// Permits from the file are read and retained while they are not returned, and the acceptor's state is
/// written beside them. Guards against a renamed field, by which an upgraded front would forget both.
#[tokio::test]
async fn permit_state_file_keeps_its_field_names() {
    let dir = temp_dir("permit-state");
    let (store, key, state_file) = (dir.join("store"), dir.join("key"), dir.join("store.out"));
    std::fs::write(&key, "00".repeat(16)).unwrap();
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
    std::fs::write(&state_file, r#"{"boot":"","owed":[7],"clerk":null}"#).unwrap();
    // This front is one of the witnesses; the others do not answer. Without discovery it is not in service,
    // so it returns no permit yet.
    let settings = format!(
        "keep: {{file: \"{}\"}}\nout: {{fleet: 1}}\n\
         members: {{listen: \"127.0.0.1:0\", address: \"127.0.0.1:1\", \
         witnesses: [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"], keys: [{{id: 1, file: \"{}\"}}]}}",
        store.display(),
        key.display()
    );
    let unused_address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let front = start_front(unused_address, &settings).await;
    let side = front.front.side_address.unwrap();
    let page = send_raw(side, "GET /v1/fleet HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert!(page.contains("\"owed\":1"), "the permit in the file is read: {page}");
    front.front.wait_for_leave_permit(Duration::from_millis(100)).await;
    let written = async {
        loop {
            let state: serde_json::Value =
                serde_json::from_slice(&std::fs::read(&state_file).unwrap()).unwrap();
            if state["owed"].as_array().expect("a list of incarnations").len() == 2 {
                return state;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let state = tokio::time::timeout(TEST_TIMEOUT, written).await.expect("the requested permit is recorded");
    assert_eq!(state["owed"][0], 7, "the permit of the previous incarnation is retained: {state}");
    assert!(state["clerk"].is_object(), "the acceptor's state: {state}");
    front.front.stop().await;
}
