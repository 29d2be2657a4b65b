//! Answers clients: takes jobs, tells their states, cancels them, counts those that wait.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use log::{info, warn};
use tokio::time::{Instant, timeout};

use myrtle_adapter::{Configuration, Queue, headers, pending_body, read_job, state_body};
use myrtle_job::{JobId, Submission, encode};
use myrtle_peer::{Passed, Seen};

use crate::answer::{Answer, json, plain, refuse};
use crate::ask::{ask, counts, home, left};
use crate::clock::wall;
use crate::host::Host;
use crate::intake;
use crate::layout::Layout;

/// What is kept of a client's time for the way back.
const WAY_BACK: Duration = Duration::from_millis(60);

/// How long a client waits if neither it nor the queue says so.
const USUAL: Duration = Duration::from_secs(3);

/// What a client asked for.
struct Asked<'a> {
    queue: &'a Queue,
    rest: &'a str,
    end: Instant,
}

/// Answers one request.
pub async fn serve(host: Arc<Host>, request: Request<Incoming>) -> Answer {
    let began = Instant::now();
    let Some(configuration) = host.configuration() else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet");
    };
    if host.layout().is_none() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "the cells are not known yet");
    }
    let path = request.uri().path().to_string();
    let name = request.headers().get(HOST).and_then(|h| h.to_str().ok()).unwrap_or("");
    let Some(queue) = find(&configuration, name, &path) else {
        if !host.in_touch() {
            // A later configuration may know it.
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "the configuration may be out of date");
        }
        return plain(StatusCode::NOT_FOUND, "no queue has this host and path");
    };
    let asked_for = request.headers().get(headers::DEADLINE);
    let asked_for = asked_for.and_then(|h| h.to_str().ok()?.parse().ok());
    let limit = asked_for.or((queue.timeout > 0).then_some(queue.timeout));
    let limit = limit.map_or(USUAL, Duration::from_millis);
    let end = began + limit.saturating_sub(WAY_BACK);
    let rest = path.strip_prefix(&queue.prefix).unwrap_or("").to_string();
    let asked = Asked { queue, rest: &rest, end };
    let method = request.method().clone();
    let answer = match method {
        Method::POST => submit(&host, &configuration, &asked, request).await,
        Method::GET if rest.is_empty() => count(&host, &asked).await,
        Method::GET => look(&host, &asked).await,
        Method::DELETE => cancel(&host, &asked).await,
        _ => plain(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE"),
    };
    host.meter.took("myrtle_answer_micros", method.as_str(), began.elapsed());
    host.meter.count("myrtle_answers", answer.status().as_str());
    answer
}

/// The queue with the longest prefix of the path.
fn find<'a>(configuration: &'a Configuration, host: &str, path: &str) -> Option<&'a Queue> {
    let host = host.split(':').next().unwrap_or(host);
    let fits = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix);
    configuration.queues.iter().filter(fits).max_by_key(|q| q.prefix.len())
}

/// Takes a job.
async fn submit(
    host: &Host,
    configuration: &Configuration,
    asked: &Asked<'_>,
    request: Request<Incoming>,
) -> Answer {
    let Ok(job) = asked.rest.parse::<JobId>() else {
        return plain(StatusCode::BAD_REQUEST, "the path must end with 16 hexadecimal digits");
    };
    let body = match read_body(request, configuration, asked.end, job).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let spec = match read_job(&body) {
        Ok(spec) => spec,
        Err(e) => {
            info!("event=job-refused job={job} status=400 reason=\"{e}\"");
            return plain(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    let steps = spec.steps.len();
    let policy = asked.queue.policy.clone();
    let record = encode(&Submission { policy, spec, taken: wall() });
    let cell = home(host, job);
    let began = Instant::now();
    let passed = intake::accept(host, cell, job, record, left(asked.end)).await;
    let took = began.elapsed().as_millis();
    let queue = &asked.queue.policy.queue;
    let version = configuration.version;
    info!(
        "event=job-taken job={job} queue={queue} cell={cell} steps={steps} version={version} \
         outcome={passed:?} took_ms={took} store_age_ms={}",
        host.store_age()
    );
    match passed {
        Passed::Kept => Response::new(Full::default()),
        Passed::Refused => refuse(StatusCode::SERVICE_UNAVAILABLE, "the store can't be reached"),
        Passed::Unknown => plain(StatusCode::GATEWAY_TIMEOUT, "the job may have been taken"),
    }
}

/// Reads the body of a job; an answer to the client if that fails.
async fn read_body(
    request: Request<Incoming>,
    configuration: &Configuration,
    end: Instant,
    job: JobId,
) -> Result<Bytes, Answer> {
    let limited = Limited::new(request.into_body(), configuration.limits.body);
    match timeout(left(end), limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is over the limit"))
        }
        Ok(Err(e)) => {
            info!("event=body-broken job={job} reason=\"{e}\"");
            Err(plain(StatusCode::BAD_REQUEST, "the body broke off"))
        }
        Err(_) => Err(plain(StatusCode::REQUEST_TIMEOUT, "the body came too slowly")),
    }
}

/// Tells the state of a job.
async fn look(host: &Host, asked: &Asked<'_>) -> Answer {
    let Ok(job) = asked.rest.parse::<JobId>() else {
        return plain(StatusCode::GONE, "no such job");
    };
    match ask(host, job, false, asked.end).await {
        Some(Seen::Job(state)) => json(state_body(state)),
        Some(_) => plain(StatusCode::GONE, "no such job"),
        None => {
            warn!("event=state-unknown job={job} reason=\"no owner answered\"");
            refuse(StatusCode::SERVICE_UNAVAILABLE, "the job's owner can't be reached")
        }
    }
}

/// Takes a job back.
async fn cancel(host: &Host, asked: &Asked<'_>) -> Answer {
    let Ok(job) = asked.rest.parse::<JobId>() else {
        return plain(StatusCode::GONE, "no such job");
    };
    let seen = ask(host, job, true, asked.end).await;
    info!("event=cancel-asked job={job} outcome={seen:?}");
    match seen {
        Some(Seen::Job(_)) => Response::new(Full::default()),
        Some(_) => plain(StatusCode::GONE, "no such job"),
        None => refuse(StatusCode::SERVICE_UNAVAILABLE, "the job's owner can't be reached"),
    }
}

/// Counts the jobs of a queue that have not begun, over all cells.
async fn count(host: &Host, asked: &Asked<'_>) -> Answer {
    let mut sum = 0;
    for cell in 0..host.layout().map_or(1, Layout::count) {
        let Some(counts) = counts(host, cell, asked.end).await else {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "an owner can't be reached");
        };
        sum += counts.get(&asked.queue.policy.queue).copied().unwrap_or(0);
    }
    json(pending_body(sum))
}
