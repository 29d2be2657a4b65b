//! Time to choose an upstream, with as many upstreams as a large data centre has.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use myrtle_route::{Choice, LeastBusy, Scored, TwoChoices, Upstreams};

fn choose(c: &mut Criterion) {
    for upstreams in [48, 1_400] {
        bench(c, &format!("scored of {upstreams}"), upstreams, Scored);
        bench(c, &format!("two choices of {upstreams}"), upstreams, TwoChoices);
        bench(c, &format!("least busy of {upstreams}"), upstreams, LeastBusy);
    }
}

fn bench<C: Choice>(c: &mut Criterion, name: &str, upstreams: usize, choice: C) {
    let mut table = Upstreams::new(choice, ChaCha8Rng::seed_from_u64(1));
    for _ in 0..upstreams {
        let upstream = table.add();
        table.set_slots(upstream, 8);
    }
    let mut in_use = std::collections::VecDeque::new();
    let mut now = Duration::ZERO;
    c.bench_function(name, |b| {
        b.iter(|| {
            now += Duration::from_micros(50);
            in_use.push_back(black_box(table.take(now, None, 1)));
            if in_use.len() > upstreams * 6
                && let Some(Some(ticket)) = in_use.pop_front()
            {
                table.done(ticket, now);
            }
        });
    });
}

criterion_group!(benches, choose);
criterion_main!(benches);
