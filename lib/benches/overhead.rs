//! Measures the overhead of the gateway under the load of one instance at the target size.
//!
//! Callers send 45 requests/s and keep about 700 streams open, which carry about 20,000 tokens/s
//! through the gateway. Under this load, pairs of probes measure the time to the first token
//! through the gateway and directly, in random order, at a second engine that serves only probes.
//! The CPU time is that of the threads of the gateway.
//!
//! ```sh
//! cargo bench -p fulmarford-lib --bench overhead -- --seconds 30 --seed 1
//! ```

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::gateway::Timeouts;
use fulmarford_lib::metrics::Metrics;
use fulmarford_lib::upstream::Call;
use fulmarford_lib::upstream::Client;
use fulmarford_testutils::fake_engine::EngineSettings;
use fulmarford_testutils::fake_engine::FakeEngine;
use fulmarford_testutils::fixture::CHAT;
use fulmarford_testutils::fixture::KEY;
use fulmarford_testutils::stack;
use fulmarford_testutils::stack::Stack;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use serde_json::json;

/// Default of `--rate`.
const ARRIVALS_PER_SECOND: u64 = 45;

/// Default of `--workers`, the number of worker threads of the gateway.
const WORKERS: u64 = 4;

/// Number of tokens of a stream.
const TOKENS_PER_STREAM: u32 = 445;

/// Time between two tokens of a stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(35);

/// Time after which the number of open streams is stable.
const WARM_UP: Duration = Duration::from_secs(18);

/// Pause between two pairs of probes.
const PROBE_PAUSE: Duration = Duration::from_millis(25);

/// Unit of the CPU times in `/proc/self/task/*/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Counters of the generated load.
#[derive(Default)]
struct Load {
    open: AtomicU64,
    tokens: AtomicU64,
    failed: AtomicU64,
    done: AtomicU64,
}

/// Returns the value of a command-line option, or the default if it is absent or not a number.
fn argument(name: &str, default: u64) -> u64 {
    let mut arguments = std::env::args().skip_while(|a| a != name);
    arguments
        .nth(1)
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

fn main() {
    let seconds = argument("--seconds", 30);
    let seed = argument("--seed", 1);
    let rate = argument("--rate", ARRIVALS_PER_SECOND) as f64;
    let warm_up = if rate > 0.0 { WARM_UP } else { Duration::ZERO };
    let load_engine = FakeEngine::start(EngineSettings {
        first_token: Duration::from_millis(5),
        token_interval: TOKEN_INTERVAL,
        batch_slowdown: 0.0,
        slots: 4096,
        workers: 2,
        ..EngineSettings::default()
    })
    .expect("engine starts");
    let probe_engine = FakeEngine::start(EngineSettings {
        first_token: Duration::from_millis(2),
        slots: 4096,
        ..EngineSettings::default()
    })
    .expect("engine starts");
    let rules = format!(
        "workspace w # bench\n\
         key k workspace=w hash={} # bench\n\
         class c tier=1 first=10s idempotent=yes # bench\n\
         route r workspace=w class=c model=m endpoints=e1 # bench\n\
         route p workspace=w class=c model=p endpoints=e2 # bench\n\
         endpoint e1 address={} zone=z models=m slots=4096 # bench\n\
         endpoint e2 address={} zone=z models=p slots=4096 # bench\n",
        stack::key_hash(KEY),
        load_engine.address(),
        probe_engine.address()
    );
    let before = threads();
    let control = stack::control(&rules);
    let workers = argument("--workers", WORKERS) as usize;
    let stack =
        Stack::start_with_workers(&control, Timeouts::default(), Metrics::default(), workers);
    let gateway_threads: HashSet<_> = threads().difference(&before).copied().collect();
    let load = Arc::new(Load::default());
    let end = Instant::now() + warm_up + Duration::from_secs(seconds);
    let arrivals = {
        let (load, address) = (load.clone(), stack.address());
        thread::spawn(move || block_on(generate_load(address, load, end, seed, rate)))
    };
    thread::sleep(warm_up);
    let (cpu, tokens, start) = (
        cpu_time(&gateway_threads),
        load.tokens.load(Ordering::Relaxed),
        Instant::now(),
    );
    let open = load.open.load(Ordering::Relaxed);
    let addresses = [stack.address(), probe_engine.address()];
    let probes = thread::spawn(move || block_on(probe(addresses, end, seed)));
    let [mut gateway, mut direct] = probes.join().expect("probes end");
    let elapsed = start.elapsed().as_secs_f64();
    let [user, system] = cpu_time(&gateway_threads);
    let (user, system) = (user - cpu[0], system - cpu[1]);
    let cpu = user + system;
    let tokens = load.tokens.load(Ordering::Relaxed) - tokens;
    println!("seed {seed}, {elapsed:.1} s after a warm-up of {warm_up:?}, {workers} workers");
    println!(
        "open streams {open} at the start, {} at the end; {} done, {} failed",
        load.open.load(Ordering::Relaxed),
        load.done.load(Ordering::Relaxed),
        load.failed.load(Ordering::Relaxed)
    );
    println!(
        "{:.0} tokens/s on {:.2} cores ({:.1} us per token; {:.0} % in the kernel)",
        tokens as f64 / elapsed,
        cpu / elapsed,
        cpu * 1e6 / tokens as f64,
        100.0 * system / cpu
    );
    let mut differences: Vec<_> = gateway.iter().zip(&direct).map(|(g, d)| g - d).collect();
    print_quantiles("first token through the gateway", &mut gateway);
    print_quantiles("first token directly", &mut direct);
    print_quantiles("difference of pairs", &mut differences);
    println!(
        "added: median {:.3} ms, p99 {:.3} ms (difference of the quantiles)",
        quantile(&gateway, 0.5) - quantile(&direct, 0.5),
        quantile(&gateway, 0.99) - quantile(&direct, 0.99)
    );
    arrivals.join().expect("arrivals end");
}

fn block_on<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts")
        .block_on(work)
}

/// Opens streams at random intervals until `end`; streams that are still open are then dropped.
async fn generate_load(address: SocketAddr, load: Arc<Load>, end: Instant, seed: u64, rate: f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let client = Client::default();
    let mut next = Instant::now();
    while next < end && rate > 0.0 {
        tokio::time::sleep_until(next.into()).await;
        let (client, load) = (client.clone(), load.clone());
        let prompt = format!("prompt {}", rng.random::<u64>());
        tokio::spawn(async move {
            load.open.fetch_add(1, Ordering::Relaxed);
            let tokens = stream(&client, address, "m", &prompt, TOKENS_PER_STREAM, &load).await;
            load.open.fetch_sub(1, Ordering::Relaxed);
            let counter = if tokens == Some(TOKENS_PER_STREAM) {
                &load.done
            } else {
                &load.failed
            };
            counter.fetch_add(1, Ordering::Relaxed);
        });
        let interval = -(1.0 - rng.random::<f64>()).ln() / rate;
        next += Duration::from_secs_f64(interval);
    }
}

/// Reads a stream to its end and returns the number of tokens received, or `None` if the request
/// failed.
async fn stream(
    client: &Client,
    address: SocketAddr,
    model: &str,
    prompt: &str,
    tokens: u32,
    load: &Load,
) -> Option<u32> {
    let mut answer = client
        .send(call(address, model, prompt, tokens))
        .await
        .ok()?;
    let mut received = 0;
    while let Ok(Some(bytes)) = answer.next().await {
        let new = count_tokens(&bytes);
        load.tokens.fetch_add(u64::from(new), Ordering::Relaxed);
        received += new;
    }
    Some(received)
}

/// Counts the non-empty `content` fields in a part of a stream of the fake engine.
fn count_tokens(bytes: &[u8]) -> u32 {
    let found = bytes
        .windows(12)
        .filter(|w| w.starts_with(b"\"content\":\"") && w[11] != b'"');
    found.count() as u32
}

fn call(address: SocketAddr, model: &str, prompt: &str, tokens: u32) -> Call<'static> {
    let messages = json!([{"role": "user", "content": prompt}]);
    let body = json!({"model": model, "stream": true, "max_tokens": tokens, "messages": messages});
    let mut headers = HeaderMap::new();
    let key =
        HeaderValue::from_str(&format!("Bearer {KEY}")).expect("the key is a valid header value");
    headers.insert("authorization", key);
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    Call {
        address,
        method: Method::POST,
        path: CHAT,
        headers,
        body: body.to_string().into(),
        pooled: true,
        echo: None,
    }
}

/// Measures pairs of first-token times in milliseconds: through the gateway, and directly.
async fn probe(addresses: [SocketAddr; 2], end: Instant, seed: u64) -> [Vec<f64>; 2] {
    let mut rng = StdRng::seed_from_u64(seed ^ 1);
    let client = Client::default();
    let mut times = [Vec::new(), Vec::new()];
    while Instant::now() < end {
        let first = usize::from(rng.random::<bool>());
        for target in [first, 1 - first] {
            let prompt = format!("probe {}", rng.random::<u64>());
            let start = Instant::now();
            let call = call(addresses[target], "p", &prompt, 1);
            let mut answer = client.send(call).await.expect("the target answers");
            let mut time = None;
            while let Some(bytes) = answer.next().await.expect("the answer is complete") {
                if count_tokens(&bytes) > 0 {
                    time.get_or_insert(start.elapsed());
                }
            }
            let time = time.expect("the answer has a token").as_secs_f64();
            times[target].push(time * 1e3);
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
    times
}

/// Returns a quantile of sorted values.
fn quantile(sorted: &[f64], q: f64) -> f64 {
    let index = (sorted.len() as f64 * q) as usize;
    sorted[index.min(sorted.len() - 1)]
}

fn print_quantiles(name: &str, times: &mut [f64]) {
    times.sort_by(f64::total_cmp);
    println!(
        "{name}: median {:.3} ms, p99 {:.3} ms, max {:.3} ms of {}",
        quantile(times, 0.5),
        quantile(times, 0.99),
        quantile(times, 1.0),
        times.len()
    );
}

/// Returns the ids of all threads of this process.
fn threads() -> HashSet<u64> {
    let tasks = std::fs::read_dir("/proc/self/task").expect("the system lists threads");
    tasks
        .filter_map(|t| t.ok()?.file_name().to_str()?.parse().ok())
        .collect()
}

/// Returns the CPU time of threads in seconds, in user mode and in kernel mode.
fn cpu_time(threads: &HashSet<u64>) -> [f64; 2] {
    let mut sum = [0.0; 2];
    for thread in threads {
        let stat = std::fs::read_to_string(format!("/proc/self/task/{thread}/stat"));
        let stat = stat.unwrap_or_default();
        let fields: Vec<_> = stat.rsplit_once(')').map_or(Vec::new(), |(_, fields)| {
            fields.split_whitespace().collect()
        });
        for (mode, total) in sum.iter_mut().enumerate() {
            let ticks: f64 = fields
                .get(11 + mode)
                .and_then(|t| t.parse().ok())
                .unwrap_or(0.0);
            *total += ticks / TICKS_PER_SECOND;
        }
    }
    sum
}
