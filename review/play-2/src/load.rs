//! Clients and the record of what they sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::{Answer, Connection};
use crate::upstream::Run;

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub machine: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// Whether its connection had carried another request before.
    pub kept: bool,
    /// What the client saw: a status, `closed`, `not sent` or `timeout`.
    pub end: String,
}

/// All requests of the clients.
pub type SentLog = Arc<Mutex<Vec<Sent>>>;

/// What a client sends.
#[derive(Clone)]
pub struct ClientOptions {
    pub name: String,
    pub machine: usize,
    pub address: SocketAddr,
    /// Method and path prefix.
    pub method: &'static str,
    pub prefix: &'static str,
    pub host: &'static str,
    pub body_len: usize,
    pub deadline: Duration,
    /// Time from one request to the next.
    pub interval: Duration,
    /// Whether it keeps its connection for many requests.
    pub keeps: bool,
    /// Speed of its line in bytes a second, if that matters.
    pub rate: Option<usize>,
    /// Time until its first request.
    pub delay: Duration,
}

/// Starts a client that sends one request after the other until `stop` is set.
pub fn spawn_client(
    options: ClientOptions,
    log: &SentLog,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (log, stop) = (Arc::clone(log), Arc::clone(stop));
    std::thread::spawn(move || {
        let mut connection: Option<Connection> = None;
        let mut used = 0;
        let body = vec![b'x'; options.body_len];
        let mut next = Instant::now() + options.delay;
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            next = Instant::now().max(next + options.interval);
            number += 1;
            if connection.is_none() {
                connection = Connection::open(options.address, Duration::from_secs(1)).ok();
                used = 0;
            }
            let id = format!("{}-{number}", options.name);
            let sent_at = Instant::now();
            let answer = match &mut connection {
                Some(connection) => send(&options, &id, &body, connection),
                None => Answer::Closed { sent: false },
            };
            // A refused client honours the time that it is told, up to a third of the time it has.
            if let Answer::Whole(message) = &answer
                && let Some(wait) = message.header("retry-after")
                && let Ok(seconds) = wait.parse::<f64>()
            {
                next = next.max(
                    Instant::now()
                        + Duration::from_secs_f64(
                            seconds.min(options.deadline.as_secs_f64() / 3.0),
                        ),
                );
            }
            let kept = used > 0;
            used += 1;
            let closes = match &answer {
                Answer::Whole(message) => message.header("connection") == Some("close"),
                _ => true,
            };
            if closes || !options.keeps {
                connection = None;
            }
            let end = match answer {
                Answer::Whole(message) => message.status().to_string(),
                Answer::Closed { sent: true } => "closed".to_owned(),
                Answer::Closed { sent: false } => "not sent".to_owned(),
                Answer::TimedOut => "timeout".to_owned(),
            };
            let ended_at = Instant::now();
            let machine = options.machine;
            log.lock().expect("log").push(Sent { id, machine, sent_at, ended_at, kept, end });
        }
    })
}

fn send(options: &ClientOptions, id: &str, body: &[u8], connection: &mut Connection) -> Answer {
    let deadline = options.deadline.as_millis().to_string();
    let headers = [("Host", options.host), ("X-Request-Id", id), ("X-Deadline-Ms", &*deadline)];
    let line = format!("{} {}{id} HTTP/1.1", options.method, options.prefix);
    let timeout = options.deadline + Duration::from_millis(500);
    connection.call_paced(&line, &headers, body, options.rate, timeout)
}

/// Writes what was sent, answered and run, in seconds since `start`.
pub fn describe(start: Instant, sent: &[Sent], runs: &[Run]) -> String {
    let at = |time: Instant| {
        let after = time.saturating_duration_since(start).as_secs_f64();
        let before = start.saturating_duration_since(time).as_secs_f64();
        after - before
    };
    let mut runs_of: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        runs_of.entry(&run.id).or_default().push(run);
    }
    let mut sent: Vec<&Sent> = sent.iter().collect();
    sent.sort_by_key(|sent| sent.sent_at);
    let mut text =
        String::from("sent_s machine id end ended_s | run at upstream, second, answered\n");
    for sent in sent {
        text.push_str(&format!(
            "{:.3} {} {} {}{} {:.3} |",
            at(sent.sent_at),
            sent.machine + 1,
            sent.id,
            sent.end,
            if sent.kept { "" } else { " (new connection)" },
            at(sent.ended_at),
        ));
        for run in runs_of.get(&*sent.id).into_iter().flatten() {
            let (time, answered) = (at(run.arrived_at), run.answered);
            text.push_str(&format!(" {} {time:.3} {answered}", run.upstream));
        }
        text.push('\n');
    }
    text
}
