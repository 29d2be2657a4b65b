//! Bounds on placement figures, simulated in virtual time with fixed seeds.

use myrtle_load::placing::{Policy, Site, line};
use rstest::rstest;

#[rstest]
#[case::gas(Site::GAS)]
#[case::market(Site::MARKET)]
fn services_meet_targets_while_batch_uses_remaining_room(#[case] site: Site) {
    let run = |policy| line(policy, &site, 4, 900);
    let (learned, plain) = (run(Policy::Learned), run(Policy::NoLearning));
    let (least, best) = (run(Policy::LeastLoaded), run(Policy::BestFit(0.4)));
    assert!(learned.median(|o| o.within) >= 0.985, "{}", learned.median(|o| o.within));
    assert!(least.median(|o| o.within) <= 0.9);
    let work = |l: &myrtle_load::placing::Line| l.median(|o| o.work);
    assert!(work(&learned) >= 1.15 * work(&best), "{} of {}", work(&learned), work(&best));
    assert!(work(&learned) >= 1.15 * work(&plain), "{} of {}", work(&learned), work(&plain));
    let evictions = learned.runs.iter().map(|o| o.evictions).sum::<u32>();
    let others = plain.runs.iter().map(|o| o.evictions).sum::<u32>();
    assert!(evictions <= others.max(8), "{evictions} of {others}");
}
