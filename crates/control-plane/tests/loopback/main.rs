//! Tests of the control plane on loopback sockets, with a test discovery server and test proxies.

mod discovery;
mod flooding_proxies;
mod running_server;
#[path = "../support/mod.rs"]
mod support;

use control_plane::ServeError;
use query_router::config::Config;
use running_server::{RunningServer, drain, start_discovery, wait_for_complete_views};
use std::io::Write;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{ZONES, address, config, options};
use test_servers::{EndpointLoad, Proxy, ProxyTls, Script};
use tokio::sync::oneshot;

/// Time within which proxies must stop sending new requests to a drained node.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

#[tokio::test(flavor = "multi_thread")]
async fn no_proxy_uses_a_drained_node_after_the_drain_grace() {
    let discovery = start_discovery(24, 4);
    let server = RunningServer::start(&discovery, 4, "").await;
    let script = |index: usize| {
        let delay = Duration::from_millis(index as u64 % 4 * 100);
        let zone = ZONES[index % ZONES.len()];
        Script { delay, ..Script::new(&format!("p{index}"), zone, index.is_multiple_of(2)) }
    };
    let proxies: Vec<_> = (0..24).map(|index| server.start_proxy(script(index))).collect();
    for proxy in &proxies {
        proxy.wait_for_view("a complete view", |view| view.is_complete() && view.uses(address(5))).await;
    }
    // Drains a fifth of the nodes, one after the other.
    for node in 0..5 {
        let drained_at = Instant::now();
        drain(&discovery, node, 4);
        for proxy in &proxies {
            proxy.wait_for_view("the drain", |view| !view.uses(address(node))).await;
        }
        assert!(
            drained_at.elapsed() < DRAIN_GRACE,
            "node {node}: in use until {:?} after its drain",
            drained_at.elapsed()
        );
    }
    assert!(proxies.iter().all(|proxy| proxy.view().unresolved_clusters.is_empty()));
    let metrics = server.metrics().await;
    assert!(
        metrics.contains("application/openmetrics-text") && metrics.contains("proxies 24\n"),
        "{metrics}"
    );
    assert!(metrics.contains("invariants_broken_total 0\n"), "{metrics}");
    server.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn proxies_keep_their_views_while_the_control_plane_or_discovery_is_unavailable() {
    let discovery = start_discovery(12, 4);
    let server = RunningServer::start(&discovery, 4, "expected = 3").await;
    let script = |index: usize| Script::new(&format!("p{index}"), ZONES[index], true);
    let proxies: Vec<Arc<Proxy>> =
        (0..3).map(|index| Arc::new(Proxy::new(server.address, script(index)))).collect();
    let tasks = proxies.iter().cloned().map(|proxy| tokio::spawn(async move { proxy.run(None).await }));
    let tasks: Vec<_> = tasks.collect();
    wait_for_complete_views(&proxies).await;
    // Discovery is unavailable for a while. Proxies receive the changes that it sends after that.
    discovery.set_down(true);
    let requests_before = discovery.requests();
    while discovery.requests() < requests_before + 1 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(proxies.iter().all(|proxy| proxy.view().is_complete()));
    discovery.set_down(false);
    drain(&discovery, 3, 4);
    for proxy in &proxies {
        proxy.wait_for_view("the drain", |view| !view.uses(address(3))).await;
    }
    for _ in 0..3 {
        let metrics = server.metrics().await;
        let has_failed_updates = !metrics.contains("lists_failed_total 0\n");
        assert!(metrics.contains("departures_late 0\n") && has_failed_updates, "{metrics}");
    }
    // The control plane stops. Its streams end, and the proxies keep their views. The next control plane sends them
    // no resources that they already have.
    server.stop().await;
    for task in tasks {
        task.await.expect("the task of a proxy");
    }
    let successor = RunningServer::start(&discovery, 4, "expected = 3").await;
    let reconnected: Vec<_> = proxies
        .iter()
        .map(|before| successor.start_proxy_with_view(before.script.clone(), before.view()))
        .collect();
    drain(&discovery, 4, 4);
    for (before, after) in proxies.iter().zip(&reconnected) {
        let view = after.wait_for_view("the next drain", |view| !view.uses(address(4))).await;
        let messages = view.received_responses[before.view().received_responses.len()..].iter();
        let assignments = messages.filter(|(type_url, _)| type_url.ends_with("Assignment"));
        let endpoints = assignments.flat_map(|(_, names)| names);
        // Nodes 3 and 4 hold the shards of replica sets 2, 3 and 0; the endpoints of replica set 1 did not change.
        let resent: Vec<_> = endpoints.filter(|name| *name == "shards-1").collect();
        assert!(resent.is_empty(), "unchanged endpoints were sent again: {resent:?}");
        assert!(view.is_complete());
    }
    successor.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failures_reported_by_most_proxies_eject_a_node() {
    let discovery = start_discovery(8, 4);
    let server = RunningServer::start(&discovery, 4, "report_every = 100ms").await;
    let script = |index| Script::new(&format!("p{index}"), "east", true);
    let proxies: Vec<_> = (0..3).map(|index| server.start_proxy(script(index))).collect();
    wait_for_complete_views(&proxies).await;
    let failed = EndpointLoad { address: address(2), succeeded: 0, failed: 40, in_progress: 0, issued: 40 };
    let succeeded = EndpointLoad { succeeded: 40, failed: 0, ..failed };
    let other = EndpointLoad { address: address(1), in_progress: 1, ..succeeded };
    let mut reporters = Vec::new();
    for (index, proxy) in proxies.iter().enumerate() {
        let loads = vec![if index == 0 { succeeded } else { failed }, other];
        reporters.push(proxy.report(1, loads).await.expect("the control plane requests load reports"));
    }
    for reporter in &reporters[1..] {
        reporter.send(1, vec![failed]).await;
    }
    for proxy in &proxies {
        let view = proxy.wait_for_view("the ejection", |view| !view.uses(address(2))).await;
        assert!(view.uses(address(1)));
    }
    server.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_probes_cannot_reach_is_ejected() {
    let discovery = start_discovery(4, 4);
    // Node 0 gets the address of a test server that accepts connections; nothing listens at the other addresses.
    let reachable = test_servers::data_node();
    let entry = test_servers::member("n0000", &reachable.to_string(), "east", 0, "ready", 0);
    discovery.publish(vec![entry]);
    let server = RunningServer::start(&discovery, 4, "probe_every = 100ms\nreport_every = 100ms").await;
    let proxy = server.start_proxy(Script::new("p", "east", true));
    let unreachable = [address(1), address(2)];
    let is_ejected = |view: &test_servers::View| !unreachable.iter().any(|&node| view.uses(node));
    proxy.wait_for_view("the ejection", |view| view.uses(reachable) && is_ejected(view)).await;
    server.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_bytes_and_idle_connections_do_not_affect_other_proxies() {
    let discovery = start_discovery(8, 4);
    let server = RunningServer::start(&discovery, 4, "").await;
    let proxy = server.start_proxy(Script::new("steady", "east", true));
    proxy.wait_for_view("a complete view", |view| view.is_complete()).await;
    let connect = || TcpStream::connect(server.address).expect("a connection");
    let mut random = fastrand::Rng::with_seed(5);
    let idle_connections: Vec<TcpStream> = (0..50).map(|_| connect()).collect();
    for index in 0..50 {
        let mut stream = connect();
        let mut bytes: Vec<u8> = (0..random.usize(1..5000)).map(|_| random.u8(..)).collect();
        if index % 2 == 0 {
            bytes.splice(0..0, *b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        }
        // The server may close the connection before all bytes are written.
        let _ = stream.write_all(&bytes);
    }
    // Requests for an unknown resource type, the second of them larger than the server accepts.
    let channel = proxy.channel().await.expect("a connection");
    for size in [100, 5 << 20] {
        let names = vec!["x".repeat(size)];
        let status = test_servers::request_unknown_type(channel.clone(), "odd", names).await;
        assert!(!matches!(status.code(), tonic::Code::Ok), "{status:?}");
    }
    drain(&discovery, 1, 4);
    proxy.wait_for_view("the drain", |view| !view.uses(address(1))).await;
    drop(idle_connections);
    server.stop().await;
}

/// A certificate and its private key in PEM format.
#[derive(Clone)]
struct Certificate {
    certificate: String,
    key: String,
}

/// The certificate of an authority in PEM format, and the certificates that it signed for the control plane and for
/// proxy `p`.
struct Certificates {
    authority: String,
    control_plane: Certificate,
    proxy: Certificate,
}

impl Certificates {
    fn generate() -> Certificates {
        let mut params = rcgen::CertificateParams::new(Vec::new()).expect("certificate parameters");
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let key = rcgen::KeyPair::generate().expect("a key pair");
        let authority = params.self_signed(&key).expect("a signed certificate");
        let issuer = rcgen::Issuer::from_params(&params, &key);
        let sign = |name: &str| {
            let params =
                rcgen::CertificateParams::new(vec![name.to_string()]).expect("certificate parameters");
            let key = rcgen::KeyPair::generate().expect("a key pair");
            let certificate = params.signed_by(&key, &issuer).expect("a signed certificate").pem();
            Certificate { certificate, key: key.serialize_pem() }
        };
        Certificates { authority: authority.pem(), control_plane: sign("control"), proxy: sign("p") }
    }

    /// Writes the files that the control plane's options name.
    fn write(&self, directory: &Path) {
        let files = [
            ("authority.pem", &self.authority),
            ("key.pem", &self.control_plane.key),
            ("certificate.pem", &self.control_plane.certificate),
        ];
        for (name, content) in files {
            std::fs::write(directory.join(name), content).expect("the file is written");
        }
    }

    /// Returns the script of a proxy with this ID that presents the certificate of proxy `p`.
    fn script(&self, id: &str) -> Script {
        let Certificate { certificate, key } = self.proxy.clone();
        let tls = Some(ProxyTls {
            authority: self.authority.clone(),
            certificate,
            key,
            server_name: "control".into(),
        });
        Script { tls, ..Script::new(id, "east", true) }
    }
}

/// Creates a directory for the files of mutual TLS. Returns it and the options that name the files.
fn create_tls_directory() -> (PathBuf, String) {
    let directory = std::env::temp_dir().join(format!("yewpier-control-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let path = |name: &str| directory.join(name).to_str().expect("a UTF-8 path").to_string();
    let option_lines = format!(
        "certificate = {}\nkey = {}\nauthority = {}",
        path("certificate.pem"),
        path("key.pem"),
        path("authority.pem")
    );
    (directory, option_lines)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_proxy_may_only_use_ids_in_its_certificate_and_changed_files_are_loaded() {
    let (directory, option_lines) = create_tls_directory();
    let original = Certificates::generate();
    original.write(&directory);
    let discovery = start_discovery(8, 4);
    let server = RunningServer::start(&discovery, 4, &option_lines).await;
    let proxy = server.start_proxy(original.script("p"));
    proxy.wait_for_view("a complete view", |view| view.is_complete()).await;
    // Proxy ID `q` is not in the certificate.
    let status = Proxy::new(server.address, original.script("q")).run(None).await;
    assert_eq!(status.code(), tonic::Code::PermissionDenied);
    // A certificate of another authority and a connection without TLS are rejected.
    let untrusted = Certificates::generate();
    let status = Proxy::new(server.address, untrusted.script("p")).run(None).await;
    assert_eq!(status.code(), tonic::Code::Unavailable);
    let status = Proxy::new(server.address, Script::new("p", "east", true)).run(None).await;
    assert_ne!(status.code(), tonic::Code::Ok);
    // Changed files are loaded without a restart; a file that is not valid PEM changes nothing.
    std::fs::write(directory.join("key.pem"), "no key").expect("the file is written");
    let replacement = Certificates::generate();
    replacement.write(&directory);
    let new_proxy = Proxy::new(server.address, replacement.script("p"));
    let written_at = Instant::now();
    while new_proxy.channel().await.is_err() {
        assert!(written_at.elapsed() < Duration::from_secs(20), "the changed files were not loaded");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    drain(&discovery, 1, 4);
    proxy
        .wait_for_view("the drain, on the connection from before the change", |view| !view.uses(address(1)))
        .await;
    server.stop().await;
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_error_states_why_the_control_plane_does_not_start() {
    let discovery = start_discovery(1, 1);
    let run = |option_lines: &str| {
        let config = Config { discovery: discovery.address, ..config(1, 1, Vec::new()) };
        let (ready, _address) = oneshot::channel();
        let (stop, stop_requested) = oneshot::channel();
        let options = options(option_lines);
        async move {
            let _stop = stop;
            let result: Result<(), ServeError> =
                control_plane::run(config, None, options, ready, stop_requested).await;
            result.expect_err("the control plane does not start").to_string()
        }
    };
    assert_eq!(run("").await, "[control] listen: not set, so the control plane is disabled");
    let files = "certificate = /nowhere/c\nkey = /nowhere/k\nauthority = /nowhere/a";
    let error = run(&format!("listen = 127.0.0.1:0\n{files}")).await;
    assert!(error.starts_with("/nowhere/"), "{error}");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken_address = listener.local_addr().expect("a bound address");
    let error = run(&format!("listen = {taken_address}")).await;
    assert!(error.starts_with(&format!("listen on {taken_address}")), "{error}");
}
