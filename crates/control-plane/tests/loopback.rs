//! The control service on sockets, between a discovery and proxies of our own on loopback.

mod support;

use control_plane::{Options, ServeError};
use query_router::config::Config;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{address, config, entry, options};
use test_servers::{Discovery, Proxy, Script};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::oneshot;

/// A service that runs until it is dropped or stopped.
struct Running {
    at: SocketAddr,
    stop: oneshot::Sender<()>,
    task: tokio::task::JoinHandle<Result<(), ServeError>>,
}

impl Running {
    async fn start(discovery: &Discovery, cells: usize, text: &str) -> Running {
        Running::start_with(discovery.at, cells, options(&format!("listen = 127.0.0.1:0\n{text}"))).await
    }

    async fn start_with(discovery: SocketAddr, cells: usize, options: Options) -> Running {
        let config = Config { discovery, ..config(cells, cells.min(2), Vec::new()) };
        let ((ready, at), (stop, stopped)) = (oneshot::channel(), oneshot::channel());
        let task = tokio::spawn(control_plane::run(config, None, options, ready, stopped));
        Running { at: at.await.expect("it listens"), stop, task }
    }

    async fn stop(self) {
        self.stop.send(()).expect("it runs");
        self.task.await.expect("a task").expect("a gentle end");
    }

    /// Its counters, asked as an operator would.
    async fn counters(&self) -> String {
        let ask = async {
            let mut stream = tokio::net::TcpStream::connect(self.at).await?;
            stream.write_all(b"GET /-/counters HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n").await?;
            let mut text = String::new();
            stream.read_to_string(&mut text).await.map(|_| text)
        };
        let asked: std::io::Result<String> =
            tokio::time::timeout(Duration::from_secs(10), ask).await.expect("an answer in time");
        asked.expect("an answer")
    }
}

fn fleet(nodes: usize, cells: usize) -> Discovery {
    Discovery::start(7, (0..nodes).map(|node| entry(node, cells, "ready", 0)).collect())
}

fn proxy(at: SocketAddr, script: Script) -> Arc<Proxy> {
    let proxy = Arc::new(Proxy::new(at, script));
    let running = proxy.clone();
    tokio::spawn(async move { running.run(None).await });
    proxy
}

#[tokio::test(flavor = "multi_thread")]
async fn no_proxy_uses_a_drained_node_after_half_a_second() {
    let discovery = fleet(24, 4);
    let service = Running::start(&discovery, 4, "").await;
    let lag = |i: u64| Duration::from_millis(i % 4 * 100);
    let proxies = (0..24).map(|i| {
        let script = Script {
            lag: lag(i),
            ..Script::new(&format!("p{i}"), support::ZONES[i as usize % 3], i % 2 == 0)
        };
        proxy(service.at, script)
    });
    let proxies: Vec<_> = proxies.collect();
    for proxy in &proxies {
        proxy.until("a whole view", |view| view.whole() && view.uses(address(5))).await;
    }
    // A fifth of the fleet, one after the other.
    for node in 0..5 {
        let told = Instant::now();
        discovery.tell(vec![entry(node, 4, "draining", 0)]);
        for proxy in &proxies {
            proxy.until("the drain", |view| !view.uses(address(node))).await;
        }
        assert!(told.elapsed() < Duration::from_millis(500), "{node}: {:?}", told.elapsed());
    }
    assert!(proxies.iter().all(|proxy| proxy.view().gaps.is_empty()));
    let counters = service.counters().await;
    assert!(
        counters.contains("application/openmetrics-text") && counters.contains("proxies 24\n"),
        "{counters}"
    );
    assert!(counters.contains("invariants_broken_total 0\n"), "{counters}");
    service.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn proxies_serve_on_while_the_service_or_discovery_is_away() {
    let discovery = fleet(12, 4);
    let service = Running::start(&discovery, 4, "expected = 3").await;
    let proxies: Vec<_> = (0..3)
        .map(|i| Arc::new(Proxy::new(service.at, Script::new(&format!("p{i}"), support::ZONES[i], true))))
        .collect();
    let runs: Vec<_> = proxies
        .iter()
        .map(|proxy| {
            let proxy = proxy.clone();
            tokio::spawn(async move { proxy.run(None).await })
        })
        .collect();
    for proxy in &proxies {
        proxy.until("a whole view", |view| view.whole()).await;
    }
    // Discovery goes down and comes back: what is told after that arrives.
    discovery.set_down(true);
    let calls = discovery.calls();
    while discovery.calls() < calls + 1 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(proxies.iter().all(|proxy| proxy.view().whole()));
    discovery.set_down(false);
    discovery.tell(vec![entry(3, 4, "draining", 0)]);
    for proxy in &proxies {
        proxy.until("the drain", |view| !view.uses(address(3))).await;
    }
    for _ in 0..3 {
        let counters = service.counters().await;
        assert!(
            counters.contains("departures_late 0\n") && !counters.contains("lists_failed_total 0\n"),
            "{counters}"
        );
    }
    // The service ends: streams end, views stay. Its successor has nothing to say to them.
    service.stop().await;
    for run in runs {
        run.await.expect("a task");
    }
    let successor = Running::start(&discovery, 4, "expected = 3").await;
    let again: Vec<_> = proxies
        .iter()
        .map(|before| {
            let after = Proxy::new(successor.at, before.script.clone());
            after.hold(before.view());
            let after = Arc::new(after);
            let runs = after.clone();
            tokio::spawn(async move { runs.run(None).await });
            after
        })
        .collect();
    discovery.tell(vec![entry(4, 4, "draining", 0)]);
    for (before, after) in proxies.iter().zip(&again) {
        let view = after.until("the next drain", |view| !view.uses(address(4))).await;
        let fresh = view.log[before.view().log.len()..].iter();
        let endpoints =
            fresh.filter(|message| message.0.ends_with("Assignment")).flat_map(|message| &message.1);
        // Nodes 3 and 4 hold the shards of sets 2, 3 and 0; what the fourth set says did not change.
        let others: Vec<_> = endpoints.filter(|name| *name == "shards-1").collect();
        assert!(others.is_empty(), "{others:?}");
        assert!(view.whole());
    }
    successor.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reports_of_most_proxies_bar_a_node() {
    let discovery = fleet(8, 4);
    let service = Running::start(&discovery, 4, "report_every = 100ms").await;
    let proxies: Vec<_> =
        (0..3).map(|i| proxy(service.at, Script::new(&format!("p{i}"), "east", true))).collect();
    for proxy in &proxies {
        proxy.until("a whole view", |view| view.whole()).await;
    }
    let (bad, good) = ((address(2), [0, 40, 0, 40]), (address(2), [40, 0, 0, 40]));
    let mut reporters = Vec::new();
    for (i, proxy) in proxies.iter().enumerate() {
        let rows = vec![if i == 0 { good } else { bad }, (address(1), [40, 0, 1, 40])];
        reporters.push(proxy.report(1, rows).await.expect("it asks for reports"));
    }
    for reporter in &reporters[1..] {
        reporter.send(1, vec![bad]).await;
    }
    for proxy in &proxies {
        let view = proxy.until("the bar", |view| !view.uses(address(2))).await;
        assert!(view.uses(address(1)));
    }
    service.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_out_of_reach_from_here_is_barred() {
    let discovery = Discovery::start(7, (0..4).map(|node| entry(node, 4, "ready", 0)).collect());
    // One node answers, at an address of its own; at the others nothing listens.
    let node = test_servers::data_node();
    let there = test_servers::member("n0000", &node.to_string(), "east", 0, "ready", 0);
    discovery.tell(vec![there]);
    let service = Running::start(&discovery, 4, "probe_every = 100ms\nreport_every = 100ms").await;
    let proxy = proxy(service.at, Script::new("p", "east", true));
    proxy.until("the bar", |view| view.uses(node) && !view.uses(address(1)) && !view.uses(address(2))).await;
    service.stop().await;
}

/// Bytes on the port that are no xDS, and connections that say nothing, end without harm to others.
#[tokio::test(flavor = "multi_thread")]
async fn noise_on_the_port_harms_nobody() {
    let discovery = fleet(8, 4);
    let service = Running::start(&discovery, 4, "").await;
    let steady = proxy(service.at, Script::new("steady", "east", true));
    steady.until("a whole view", |view| view.whole()).await;
    let mut rng = fastrand::Rng::with_seed(5);
    let silent: Vec<_> = (0..50).map(|_| TcpStream::connect(service.at).expect("a connection")).collect();
    for i in 0..50 {
        let mut stream = TcpStream::connect(service.at).expect("a connection");
        let mut bytes: Vec<u8> = (0..rng.usize(1..5000)).map(|_| rng.u8(..)).collect();
        if i % 2 == 0 {
            bytes.splice(0..0, *b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        }
        // It may close before all is written.
        let _ = stream.write_all(&bytes);
    }
    // A message of the right service that is no message, and one of more than the service takes.
    let channel = steady.channel().await.expect("a connection");
    for size in [100, 5 << 20] {
        let names = vec!["x".repeat(size)];
        let status = test_servers::odd_request(channel.clone(), "odd", names).await;
        assert!(!matches!(status.code(), tonic::Code::Ok), "{status:?}");
    }
    discovery.tell(vec![entry(1, 4, "draining", 0)]);
    steady.until("the drain", |view| !view.uses(address(1))).await;
    drop(silent);
    service.stop().await;
}

/// An authority and what it signs, as PEM: its own certificate, and by name a certificate and its key.
fn signed(names: &[&str]) -> (String, Vec<(String, String)>) {
    let mut params = rcgen::CertificateParams::new(Vec::new()).expect("parameters");
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let key = rcgen::KeyPair::generate().expect("a key");
    let authority = params.self_signed(&key).expect("a certificate");
    let issuer = rcgen::Issuer::from_params(&params, &key);
    let of = |name: &&str| {
        let params = rcgen::CertificateParams::new(vec![name.to_string()]).expect("parameters");
        let key = rcgen::KeyPair::generate().expect("a key");
        (params.signed_by(&key, &issuer).expect("a certificate").pem(), key.serialize_pem())
    };
    (authority.pem(), names.iter().map(of).collect())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_certificate_says_which_proxy_one_may_be() {
    let folder = std::env::temp_dir().join(format!("yewpier-control-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = |name: &str| folder.join(name).to_str().expect("a path").to_string();
    let write = |(authority, certificates): &(String, Vec<(String, String)>)| {
        std::fs::write(path("authority.pem"), authority).expect("a file");
        std::fs::write(path("key.pem"), &certificates[0].1).expect("a file");
        std::fs::write(path("certificate.pem"), &certificates[0].0).expect("a file");
    };
    let first = signed(&["control", "p"]);
    write(&first);
    let files = format!(
        "certificate = {}\nkey = {}\nauthority = {}",
        path("certificate.pem"),
        path("key.pem"),
        path("authority.pem")
    );
    let discovery = fleet(8, 4);
    let service = Running::start(&discovery, 4, &files).await;
    let script = |id: &str, with: &(String, Vec<(String, String)>)| {
        let (certificate, key) = with.1[1].clone();
        Script {
            tls: Some((with.0.clone(), certificate, key, "control".into())),
            ..Script::new(id, "east", true)
        }
    };
    let p = proxy(service.at, script("p", &first));
    p.until("a whole view", |view| view.whole()).await;
    // The same certificate does not make it another proxy; one of another authority is none; nor is none at all.
    let status = Proxy::new(service.at, script("q", &first)).run(None).await;
    assert_eq!(status.code(), tonic::Code::PermissionDenied);
    let second = signed(&["control", "p"]);
    let status = Proxy::new(service.at, script("p", &second)).run(None).await;
    assert_eq!(status.code(), tonic::Code::Unavailable);
    let status = Proxy::new(service.at, Script::new("p", "east", true)).run(None).await;
    assert_ne!(status.code(), tonic::Code::Ok);
    // Another set of files takes effect by itself; one that can't be read changes nothing.
    std::fs::write(path("key.pem"), "no key").expect("a file");
    let third = signed(&["control", "p"]);
    write(&third);
    let later = Proxy::new(service.at, script("p", &third));
    let since = Instant::now();
    while later.channel().await.is_err() {
        assert!(since.elapsed() < Duration::from_secs(20), "the files were not read anew");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    discovery.tell(vec![entry(1, 4, "draining", 0)]);
    p.until("the drain, on the connection from before", |view| !view.uses(address(1))).await;
    service.stop().await;
    std::fs::remove_dir_all(&folder).expect("the folder");
}

#[tokio::test(flavor = "multi_thread")]
async fn it_says_why_it_does_not_start() {
    let discovery = fleet(1, 1);
    let config = || Config { discovery: discovery.at, ..config(1, 1, Vec::new()) };
    let run = |text: &str| {
        let (ready, stop) = (oneshot::channel().0, oneshot::channel());
        let options = options(text);
        async move {
            let _keep = stop.0;
            control_plane::run(config(), None, options, ready, stop.1).await
        }
    };
    assert_eq!(
        run("").await.map_err(|error| error.to_string()),
        Err("[control] listen: it is not set, so the control service is off".to_string())
    );
    let files = "certificate = /nowhere/c\nkey = /nowhere/k\nauthority = /nowhere/a";
    let error = run(&format!("listen = 127.0.0.1:0\n{files}")).await.expect_err("no files").to_string();
    assert!(error.starts_with("/nowhere/"), "{error}");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("an address");
    let error = run(&format!("listen = {at}")).await.expect_err("the port is taken").to_string();
    assert!(error.starts_with(&format!("listen on {at}")), "{error}");
}
