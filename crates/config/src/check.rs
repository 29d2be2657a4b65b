//! Validation of configuration files: references, bounds and contradictions.

use std::collections::BTreeMap;

use crate::{Desired, Fault, Job};

/// The scope of the configuration that all customers share.
pub const PLATFORM: &str = "platform";

/// The most tasks one job may have.
const MAX_TASKS: u32 = 100_000;

/// A problem: the path of keys to it, the text of the fault and the hint.
type Problem = (Vec<String>, String, &'static str);

/// Validates a file by itself and against the platform scope in force; returns every fault, in the order of the
/// file's sections.
pub fn check_refs(
    file: &str,
    source: &str,
    desired: &Desired,
    platform: Option<&Desired>,
) -> Vec<Fault> {
    let shared = if desired.scope == PLATFORM { Some(desired) } else { platform };
    let mut problems = Vec::new();
    check_scope(desired, &mut problems);
    check_services(desired, &mut problems);
    check_classes(desired, &mut problems);
    check_customers(desired, &mut problems);
    for (name, job) in &desired.jobs {
        check_job(desired, shared, name, job, &mut problems);
    }
    let fault = |(path, text, hint): Problem| {
        let path: Vec<_> = path.iter().map(String::as_str).collect();
        Fault::at(file, source, &path, text, hint)
    };
    problems.into_iter().map(fault).collect()
}

fn check_scope(desired: &Desired, problems: &mut Vec<Problem>) {
    if desired.scope.is_empty() {
        let text = "the scope is empty".into();
        problems.push((path(["scope"]), text, "write 'platform' or the name of a party"));
    }
    let shared = [
        ("data_centres", desired.data_centres.is_empty()),
        ("services", desired.services.is_empty()),
        ("classes", desired.classes.is_empty()),
        ("parties", desired.customers.is_empty()),
    ];
    for (key, empty) in shared {
        if desired.scope != PLATFORM && !empty {
            let text = format!("'{key}' belongs to the scope 'platform' only");
            problems.push((path([key]), text, "move it to the platform's file"));
        }
    }
    for (name, data_centre) in &desired.data_centres {
        if data_centre.hosts.is_empty() {
            let text = format!("data centre '{name}' has no hosts");
            problems.push((path(["data_centres", name]), text, "list its hosts"));
        }
    }
}

fn check_services(desired: &Desired, problems: &mut Vec<Problem>) {
    for (name, service) in &desired.services {
        if service.slots == 0 || service.connections < service.slots {
            let text = format!(
                "service '{name}' has {} slots and {} connections",
                service.slots, service.connections
            );
            let hint = "give it at least one slot and a connection for each slot";
            problems.push((path(["services", name]), text, hint));
        }
    }
}

fn check_classes(desired: &Desired, problems: &mut Vec<Problem>) {
    for (name, class) in &desired.classes {
        if class.price < 0 {
            let text = format!("class '{name}' has the negative price {}", class.price);
            problems.push((path(["classes", name, "price"]), text, "a price is 0 or more"));
        }
        if class.deadline.0.0 == 0 {
            let text = format!("class '{name}' has no time to answer");
            problems.push((path(["classes", name, "deadline"]), text, "allow at least 1ms"));
        }
    }
}

fn check_customers(desired: &Desired, problems: &mut Vec<Problem>) {
    let mut tokens = BTreeMap::new();
    for (name, customer) in &desired.customers {
        let token = &customer.token_sha256;
        let hex = token.len() == 64 && token.bytes().all(|b| b.is_ascii_hexdigit());
        if !hex {
            let text = format!("the token hash of party '{name}' is no SHA-256 in hexadecimal");
            let hint = "make it with: printf TOKEN | sha256sum";
            problems.push((path(["parties", name, "token_sha256"]), text, hint));
        }
        if let Some(other) = tokens.insert(token, name) {
            let text = format!("parties '{other}' and '{name}' have the same token");
            let hint = "give each party its own token";
            problems.push((path(["parties", name, "token_sha256"]), text, hint));
        }
        for class in customer.classes.iter().filter(|c| !desired.classes.contains_key(*c)) {
            let text = format!("party '{name}' names the class '{class}', which is not configured");
            problems.push((path(["parties", name, "classes"]), text, "use a class of this file"));
        }
    }
}

fn check_job(
    desired: &Desired,
    shared: Option<&Desired>,
    name: &str,
    job: &Job,
    problems: &mut Vec<Problem>,
) {
    let mut add = |key: &str, text: String, hint| {
        problems.push((path(["jobs", name, key]), text, hint));
    };
    if job.tasks == 0 || job.tasks > MAX_TASKS {
        add("tasks", format!("job '{name}' has {} tasks", job.tasks), "use 1 to 100000");
    }
    if !job.cores.is_finite() || job.cores <= 0.0 || job.cores > 4096.0 {
        add("cores", format!("job '{name}' asks for {} cores", job.cores), "use 0.001 to 4096");
    }
    if job.watcher == job.run_time.is_some() {
        let text = format!("job '{name}' is a watcher with a run time, or neither");
        add("run_time", text, "give a job its run_time and a watcher none");
    }
    if desired.scope != PLATFORM && job.customer != desired.scope {
        let text = format!("job '{name}' is of party '{}'", job.customer);
        add("party", text, "a party's file holds its own jobs only");
    }
    let Some(shared) = shared else {
        add("party", "the platform scope is not in force yet".into(), "apply its file first");
        return;
    };
    match shared.customers.get(&job.customer) {
        None => {
            let text = format!("job '{name}' names the party '{}'", job.customer);
            add("party", text, "use a configured party");
        }
        Some(customer) if !customer.classes.contains(&job.class) => {
            let text = format!("party '{}' may not use the class '{}'", job.customer, job.class);
            add("class", text, "use a class that the party is granted");
        }
        Some(_) => {}
    }
    if !shared.data_centres.contains_key(&job.data_centre) {
        let text = format!("job '{name}' names the data centre '{}'", job.data_centre);
        add("data_centre", text, "use a configured data centre");
    }
}

fn path<const N: usize>(keys: [&str; N]) -> Vec<String> {
    keys.iter().map(|k| k.to_string()).collect()
}
