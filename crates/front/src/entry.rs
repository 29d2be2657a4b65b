//! Serves clients: accepts jobs, returns their states, cancels them, and counts pending ones.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, EXPECT, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use log::{Level, info, warn};
use tokio::time::{Instant, timeout_at};

use myrtle_adapter::{BadJob, Configuration, Queue, headers, pending_body, read_job, state_body};
use myrtle_job::{JobId, Submission, encode};
use myrtle_meter::Meter;
use myrtle_peer::{Forwarded, JobReport};

use crate::answer::{Answer, json, plain, refuse};
use crate::ask::{ask, cell_of, counts, left};
use crate::body::{self, BodyError, BodyLimits, discard};
use crate::clients::{Charge, NoRoom, OpenConnection, Reason};
use crate::clock::wall;
use crate::host::Host;
use crate::intake;
use crate::job_room::has_room;
use crate::layout::Layout;
use crate::log_limit::shorten;

/// The part of a client's time that is reserved for the reply.
const REPLY_TIME: Duration = Duration::from_millis(60);

/// The time limit if neither the client nor the queue sets one.
const DEFAULT_LIMIT: Duration = Duration::from_secs(3);

/// The longest time limit that a client may set.
const MAX_LIMIT: Duration = Duration::from_secs(300);

/// How often a job's record is in memory while it is written: here, on the way to the owner, in the append.
const RECORD_COPIES: usize = 3;

/// How long after the end of a client's time a request without an answer gets its last one. Calls that end with the
/// client's time know better what became of the request, so they come first.
const LAST_CHANCE: Duration = Duration::from_millis(20);

/// The queue and path of a client's request, and when it has to be answered.
struct Target<'a> {
    queue: &'a Queue,
    rest: &'a str,
    end: Instant,
}

/// Serves one request.
pub async fn serve(
    host: Arc<Host>,
    open: &Arc<OpenConnection>,
    request: Request<Incoming>,
) -> Answer {
    let started = Instant::now();
    let (head, mut body) = request.into_parts();
    let mut answer = tokio::select! {
        biased;
        answer = respond(&host, open, &head, &mut body, started) => answer,
        () = host.ending.cancelled() => last_answer(&host, &head),
    };
    if !head.headers.contains_key(EXPECT) {
        open.activity.body_begun();
        tokio::select! {
            () = discard(&mut body) => {}
            () = host.ending.cancelled() => {}
        }
    }
    if host.stopping() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    host.meter.took("myrtle_answer_micros", head.method.as_str(), started.elapsed());
    host.meter.count("myrtle_answers", answer.status().as_str());
    answer
}

/// Finds the queue of a request and has the request carried out there.
async fn respond(
    host: &Host,
    open: &Arc<OpenConnection>,
    head: &Parts,
    body: &mut Incoming,
    started: Instant,
) -> Answer {
    if open.is_evicted() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, &NoRoom.to_string());
    }
    let Some(configuration) = host.configuration() else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet");
    };
    if host.layout().is_none() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "the cells are not known yet");
    }
    let path = head.uri.path();
    let name = head.headers.get(HOST).and_then(|h| h.to_str().ok()).unwrap_or("");
    let Some(queue) = find(&configuration, name, path) else {
        if !host.in_contact() {
            // A newer configuration may have it.
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "the configuration may be out of date");
        }
        return plain(StatusCode::NOT_FOUND, "no queue has this host and path");
    };
    let requested = head.headers.get(headers::DEADLINE);
    let requested = requested.and_then(|h| h.to_str().ok()?.parse().ok());
    let limit = requested.or((queue.timeout > 0).then_some(queue.timeout));
    let limit = limit.map_or(DEFAULT_LIMIT, Duration::from_millis).min(MAX_LIMIT);
    let end = started + limit.saturating_sub(REPLY_TIME);
    let rest = path.strip_prefix(&queue.prefix).unwrap_or("");
    let target = Target { queue, rest, end };
    let answer = async {
        match head.method {
            Method::POST => submit(host, open, &configuration, &target, body).await,
            Method::GET if rest.is_empty() => count(host, &target).await,
            Method::GET => state(host, &target).await,
            Method::DELETE => cancel(host, &target).await,
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE"),
        }
    };
    // Calls to other hosts and to the store have limits of their own, which may end later.
    timeout_at(end + LAST_CHANCE, answer).await.unwrap_or_else(|_| last_answer(host, head))
}

/// The answer to a request that is still in progress when its time is over or the process has to end.
fn last_answer(host: &Host, head: &Parts) -> Answer {
    host.meter.count("myrtle_last_answers", head.method.as_str());
    host.clients.log(Level::Warn, || {
        format!("event=last-answer method={} path={}", head.method, shorten(head.uri.path()))
    });
    match head.method {
        Method::POST => plain(StatusCode::GATEWAY_TIMEOUT, "the job may have been taken"),
        _ => refuse(StatusCode::SERVICE_UNAVAILABLE, "no owner has answered in time"),
    }
}

/// Finds the queue with this host and the longest prefix of the path.
fn find<'a>(configuration: &'a Configuration, host: &str, path: &str) -> Option<&'a Queue> {
    let host = host.split(':').next().unwrap_or(host);
    let fits = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix);
    configuration.queues.iter().filter(fits).max_by_key(|q| q.prefix.len())
}

/// Accepts a job.
async fn submit(
    host: &Host,
    open: &Arc<OpenConnection>,
    configuration: &Configuration,
    target: &Target<'_>,
    body: &mut Incoming,
) -> Answer {
    let Ok(job) = target.rest.parse::<JobId>() else {
        return plain(StatusCode::BAD_REQUEST, "the path must end with 16 hexadecimal digits");
    };
    let mut charge = Charge::new(open.clone());
    let pace = host.settings.limits.body_pace();
    let limits = BodyLimits { size: configuration.limits.body, end: target.end, pace };
    open.activity.body_begun();
    let body = body::read(body, limits, &mut charge, &host.meter).await;
    open.activity.body_ended();
    if open.is_evicted() {
        return unread(host, job, &BodyError::NoRoom(NoRoom));
    }
    let spec = match body.map(|body| read_job(&body)) {
        Ok(Ok(spec)) => spec,
        Ok(Err(e)) => return unusable(host, job, &e),
        Err(why) => return unread(host, job, &why),
    };
    let cell = cell_of(host, job);
    if !has_room(host, cell, job, spec.memory()).await {
        host.meter.count("myrtle_jobs_without_room", &target.queue.policy.queue);
        host.clients.log(Level::Info, || format!("event=job-without-room job={job} cell={cell}"));
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "the cell has no room for so large a job");
    }
    let steps = spec.steps.len();
    let policy = target.queue.policy.clone();
    let record = encode(&Submission { policy, spec, accepted_at: wall() });
    if let Err(full) = hold_record(&mut charge, record.len(), &host.meter).await {
        return unread(host, job, &BodyError::NoRoom(full));
    }
    let started = Instant::now();
    let passed = intake::accept(host, cell, job, record, left(target.end)).await;
    let took = started.elapsed().as_millis();
    let queue = &target.queue.policy.queue;
    let version = configuration.version;
    info!(
        "event=job-taken job={job} queue={queue} cell={cell} steps={steps} version={version} \
         outcome={passed:?} took_ms={took} store_age_ms={}",
        host.store_age()
    );
    match passed {
        Forwarded::Kept => Response::new(Full::default()),
        Forwarded::Refused => refuse(StatusCode::SERVICE_UNAVAILABLE, "the store can't be reached"),
        Forwarded::Unknown => plain(StatusCode::GATEWAY_TIMEOUT, "the job may have been taken"),
    }
}

/// Counts the record of a job in place of its body, until the job is answered.
async fn hold_record(charge: &mut Charge, size: usize, meter: &Meter) -> Result<(), NoRoom> {
    charge.clear();
    charge.add(RECORD_COPIES * size, meter).await
}

/// The answer to a body that is no job.
fn unusable(host: &Host, job: JobId, why: &BadJob) -> Answer {
    // The reason may repeat any part of the body.
    let reason = why.to_string();
    let reason = shorten(&reason);
    host.clients
        .log(Level::Info, || format!("event=job-refused job={job} status=400 reason=\"{reason}\""));
    plain(StatusCode::BAD_REQUEST, reason)
}

/// The answer to a job whose body could not be read; nothing of it was passed on.
fn unread(host: &Host, job: JobId, why: &BodyError) -> Answer {
    host.clients.log(Level::Info, || format!("event=body-unread job={job} reason=\"{why}\""));
    let status = match why {
        BodyError::NoRoom(_) => return refuse(StatusCode::SERVICE_UNAVAILABLE, &why.to_string()),
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Broken => StatusCode::BAD_REQUEST,
        BodyError::Late => {
            host.meter.count("myrtle_client_evictions", &Reason::SlowBody.to_string());
            StatusCode::REQUEST_TIMEOUT
        }
    };
    plain(status, &why.to_string())
}

/// Returns the state of a job.
async fn state(host: &Host, target: &Target<'_>) -> Answer {
    let Ok(job) = target.rest.parse::<JobId>() else {
        return plain(StatusCode::GONE, "no such job");
    };
    match ask(host, job, false, target.end).await {
        Some(JobReport::Job(state)) => json(state_body(state)),
        Some(_) => plain(StatusCode::GONE, "no such job"),
        None => {
            warn!("event=state-unknown job={job} reason=\"no owner answered\"");
            refuse(StatusCode::SERVICE_UNAVAILABLE, "the job's owner can't be reached")
        }
    }
}

/// Cancels a job.
async fn cancel(host: &Host, target: &Target<'_>) -> Answer {
    let Ok(job) = target.rest.parse::<JobId>() else {
        return plain(StatusCode::GONE, "no such job");
    };
    let seen = ask(host, job, true, target.end).await;
    info!("event=cancel-asked job={job} outcome={seen:?}");
    match seen {
        Some(JobReport::Job(_)) => Response::new(Full::default()),
        Some(_) => plain(StatusCode::GONE, "no such job"),
        None => refuse(StatusCode::SERVICE_UNAVAILABLE, "the job's owner can't be reached"),
    }
}

/// Counts the pending jobs of a queue over all cells.
async fn count(host: &Host, target: &Target<'_>) -> Answer {
    let mut sum = 0;
    for cell in 0..host.layout().map_or(1, Layout::count) {
        let Some(counts) = counts(host, cell, target.end).await else {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "an owner can't be reached");
        };
        sum += counts.get(&target.queue.policy.queue).copied().unwrap_or(0);
    }
    json(pending_body(sum))
}
