//! Evidence shared by the workers of a rack, a data centre or a software version.

use std::collections::BTreeMap;

use derive_more::Display;
use log::{info, warn};

use myrtle_job::Listing;

use crate::health::evidence::UNSOUND_RATE;
use crate::health::tally::Tally;

/// The half-life of shared counts, in milliseconds: a spell in one place shows within a second, and
/// its end soon after.
const HALF_LIFE: f64 = 2_000.0;

/// The share of unsound workers where nothing speaks for more.
pub(crate) const USUAL_SHARE: f64 = 0.02;

/// The largest share that shared evidence may say: single workers have to clear themselves.
const MAX_SHARE: f64 = 0.6;

/// How many standard deviations more runs than expected have to fail before the rest counts as
/// evidence: with hundreds of groups, two are exceeded all the time.
const DEVIATIONS: f64 = 3.0;

/// The fading number of runs from which a group is judged: runs that fail end sooner than those that
/// succeed, so the first ends are mostly failures.
const MIN_RUNS: f64 = 20.0;

/// The fading number of runs below which a group is forgotten.
const MIN_WEIGHT: f64 = 0.01;

/// How long a group has to look sound before that is logged, in milliseconds.
const CALM: u64 = 2_000;

/// What workers have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub(crate) enum Group {
    /// The rack.
    #[display("rack {_0}")]
    Rack(String),
    /// The data centre.
    #[display("data centre {_0}")]
    DataCentre(String),
    /// The software version.
    #[display("version {_0}")]
    Version(String),
}

/// Counts of runs by group.
#[derive(Debug, Default, Clone)]
pub(crate) struct Groups {
    tallies: BTreeMap<Group, Tally>,
    /// The unusual shares of unsound workers, as of the last review.
    shares: BTreeMap<Group, f64>,
    /// Groups whose share of unsound workers is logged as unusual, and when it last was.
    doubted: BTreeMap<Group, u64>,
}

impl Groups {
    /// Counts the end of a run on a worker.
    pub(crate) fn count(&mut self, listing: &Listing, failed: bool, expected: f64, now: u64) {
        for group in groups(listing) {
            self.tallies.entry(group).or_default().count(failed, expected, HALF_LIFE, now);
        }
    }

    /// The largest share of unsound workers in any of a worker's groups, as of the last review.
    pub(crate) fn share(&self, listing: &Listing) -> f64 {
        if self.shares.is_empty() {
            return USUAL_SHARE;
        }
        let shares = groups(listing).into_iter().filter_map(|group| self.shares.get(&group));
        shares.copied().fold(USUAL_SHARE, f64::max)
    }

    /// Updates the shares and logs the groups that have come to be doubted, or are no longer; drops
    /// those without runs.
    pub(crate) fn review(&mut self, now: u64) {
        self.tallies.retain(|_, tally| tally.at(HALF_LIFE, now).runs > MIN_WEIGHT);
        self.shares.clear();
        for (group, tally) in &self.tallies {
            let tally = tally.at(HALF_LIFE, now);
            let share = unsound_share(&tally);
            if share <= USUAL_SHARE {
                continue;
            }
            self.shares.insert(group.clone(), share);
            if self.doubted.insert(group.clone(), now).is_none() {
                let Tally { runs, failed, expected, .. } = tally;
                warn!(
                    "event=group-doubted group=\"{group}\" share={share:.2} runs={runs:.0} \
                     failed={failed:.0} expected={expected:.0}"
                );
            }
        }
        for (group, _) in self.doubted.extract_if(.., |_, last| now >= *last + CALM) {
            info!("event=group-trusted group=\"{group}\"");
        }
    }
}

/// The share of unsound workers that explains the failures beyond chance.
fn unsound_share(tally: &Tally) -> f64 {
    let Tally { runs, failed, expected, .. } = *tally;
    let chance = expected + DEVIATIONS * expected.max(1.0).sqrt();
    let each = UNSOUND_RATE * runs - expected;
    if runs < MIN_RUNS || failed <= chance || each <= 0.0 {
        return USUAL_SHARE;
    }
    ((failed - expected) / each).clamp(USUAL_SHARE, MAX_SHARE)
}

/// The groups of a worker.
fn groups(listing: &Listing) -> Vec<Group> {
    let rack = listing.labels.last().cloned().map(Group::Rack);
    let version = Some(listing.version.clone()).filter(|v| !v.is_empty()).map(Group::Version);
    let centre = Group::DataCentre(listing.data_centre.clone());
    rack.into_iter().chain(version).chain([centre]).collect()
}
