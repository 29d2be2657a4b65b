//! Queues that need tickets, with real processes and the stand-in of the ticket service.

mod common;

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::sleep;

use myrtle_standin::{TicketMode, TicketSpans};

use common::{Site, call, owner};

/// The run time of a task.
const WORK: Duration = Duration::from_millis(60);

/// The number of jobs of a burst, of two steps each; the service needs several seconds for them.
const BURST: u32 = 50;

/// The times of the service: about 80 ms for a question about the site's four workers.
const SPANS: TicketSpans = TicketSpans {
    call: Duration::from_millis(60),
    worker: Duration::from_millis(5),
    valid: Duration::from_millis(3_000),
};

/// Defines a test with a site whose queue needs tickets; no start without a valid one may have been sent, and no
/// call may have come back because too many waited.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident, $site:ident, $spans:expr, $body:block) => {
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $site = Site::with_tickets(WORK, $spans).await;
            $body
            assert_eq!($site.book.overlapping(), vec![]);
            let tickets = $site.tickets();
            assert_eq!((tickets.refused(), tickets.invalid()), (0, 0), "calls and starts refused");
        }
    };
}

/// The id of a job.
fn id(n: u32) -> String {
    format!("{:016x}", 0x700 + n)
}

/// Submits the jobs of a burst at the given hosts in turn.
async fn submit_burst(site: &Site, hosts: &[&str]) {
    for n in 0..BURST {
        let host = hosts[n as usize % hosts.len()];
        assert_eq!(site.submit(host, &id(n), 2).await, 200, "{}", id(n));
    }
}

/// Waits until all jobs of a burst are completed.
async fn wait_burst(site: &Site, host: &str) {
    for n in 0..BURST {
        site.wait_completed(host, &id(n)).await;
    }
}

/// Checks that the service was asked about once for each of the burst's steps, apart from `more`.
fn check_answers(site: &Site, more: u32) {
    let answers = site.tickets().answers();
    let (steps, sum) = (answers.len() as u32, answers.values().sum::<u32>());
    assert_eq!(steps, 2 * BURST);
    assert!(sum <= steps + more, "{sum} answers about {steps} steps");
}

case!(
    /// Guards against questions that are all sent at once, given up before their turn and asked again behind
    /// themselves: the service then works on abandoned calls for good, and accepted jobs never start.
    a_burst_of_jobs_that_need_tickets_is_served, site, SPANS, {
        submit_burst(&site, &["h1", "h2"]).await;
        wait_burst(&site, "h1").await;
        check_answers(&site, BURST / 10);
        assert_eq!(site.tickets().unheard(), 0, "answers whose callers had gone");
    }
);

case!(
    /// The same where the service passes over calls whose callers have gone.
    a_burst_is_served_by_a_service_that_skips_abandoned_calls, site, SPANS, {
        site.tickets().set(TicketMode::Skipping);
        submit_burst(&site, &["h1", "h2"]).await;
        wait_burst(&site, "h1").await;
        check_answers(&site, BURST / 10);
    }
);

case!(
    /// Guards against late answers that are thrown away: each question then costs the service several.
    a_burst_is_served_by_a_service_that_is_slower_than_it_says, site,
    TicketSpans { call: Duration::from_millis(8), worker: Duration::from_millis(1), ..SPANS }, {
        site.tickets().set(TicketMode::Slow(8.0));
        submit_burst(&site, &["h1", "h2"]).await;
        wait_burst(&site, "h1").await;
        check_answers(&site, BURST / 10);
    }
);

case!(
    /// Guards against tickets that expire while their steps wait for a turn.
    a_burst_with_tickets_of_short_validity_is_served, site,
    TicketSpans { valid: Duration::from_millis(600), ..SPANS }, {
        submit_burst(&site, &["h1", "h2"]).await;
        wait_burst(&site, "h1").await;
    }
);

case!(
    /// Guards against a silent service that is asked ever more, and whose answers are thrown away once it is back.
    a_service_that_is_silent_for_seconds_is_asked_little_and_used_again, site, SPANS, {
        site.tickets().set(TicketMode::Holding);
        submit_burst(&site, &["h1", "h2"]).await;
        sleep(Duration::from_millis(3_000)).await;
        let received = site.tickets().received();
        assert!((1..=16).contains(&received), "{received} calls");
        site.tickets().set(TicketMode::Ok);
        wait_burst(&site, "h1").await;
        check_answers(&site, received + BURST / 10);
        assert_eq!(site.tickets().unheard(), 0, "answers whose callers had gone");
    }
);

case!(
    /// Guards against calls without an answer that are waited for though the service answers others.
    calls_that_a_service_forgets_are_made_again, site, SPANS, {
        site.tickets().set(TicketMode::Forgetting);
        submit_burst(&site, &["h1", "h2"]).await;
        sleep(Duration::from_millis(1_500)).await;
        site.tickets().set(TicketMode::Ok);
        wait_burst(&site, "h1").await;
        check_answers(&site, BURST / 10);
    }
);

case!(
    /// Guards against a fixed pause after a failure, with which each waiting step asks a refusing service ten times a
    /// second.
    a_service_that_refuses_calls_is_asked_little_and_used_again, site, SPANS, {
        site.tickets().set(TicketMode::Refusing(503));
        submit_burst(&site, &["h1", "h2"]).await;
        sleep(Duration::from_millis(2_000)).await;
        let received = site.tickets().received();
        assert!((1..=20).contains(&received), "{received} calls");
        site.tickets().set(TicketMode::Ok);
        wait_burst(&site, "h1").await;
        check_answers(&site, BURST / 10);
    }
);

case!(
    /// The same where the service rejects whatever it is asked, as one that is set up wrongly does.
    a_service_that_rejects_everything_is_asked_little_and_used_again, site, SPANS, {
        site.tickets().set(TicketMode::Refusing(404));
        submit_burst(&site, &["h1", "h2"]).await;
        sleep(Duration::from_millis(2_000)).await;
        let received = site.tickets().received();
        assert!((1..=30).contains(&received), "{received} calls");
        site.tickets().set(TicketMode::Ok);
        wait_burst(&site, "h1").await;
        check_answers(&site, BURST / 10);
    }
);

case!(
    /// Guards against questions of an owner that was killed and that hold up its successor's.
    a_successor_of_a_killed_owner_gets_answers, site, SPANS, {
        let killed = owner(&site).await;
        let other = if killed == "h1" { "h2" } else { "h1" };
        submit_burst(&site, &[other]).await;
        site.hosts[&killed].signal(Signal::SIGKILL);
        wait_burst(&site, other).await;
        check_answers(&site, BURST / 5);
    }
);

case!(
    /// The same after a planned stop.
    a_successor_of_a_stopped_owner_gets_answers, site, SPANS, {
        let stopped = owner(&site).await;
        let other = if stopped == "h1" { "h2" } else { "h1" };
        submit_burst(&site, &[other]).await;
        site.hosts[&stopped].signal(Signal::SIGTERM);
        wait_burst(&site, other).await;
        check_answers(&site, BURST / 5);
    }
);

case!(
    /// Guards against questions about jobs that were cancelled while they waited for their turn.
    nothing_is_asked_about_cancelled_jobs, site, SPANS, {
        site.tickets().set(TicketMode::Holding);
        submit_burst(&site, &["h1", "h2"]).await;
        for n in 1..BURST {
            let (status, _) = call(site.clients("h1"), "DELETE", &format!("/p/{}", id(n)), "").await;
            assert_eq!(status, 200);
        }
        site.tickets().set(TicketMode::Ok);
        site.wait_completed("h1", &id(0)).await;
        let steps = site.tickets().answers().len();
        // Those whose questions were under way before they were cancelled, and the two of the one that is left.
        assert!(steps <= 18, "{steps} steps");
    }
);
