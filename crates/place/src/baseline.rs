//! Baseline policies that a placement policy must beat.

use crate::{Fleet, Machine, Placer, TaskRequest};

/// Places on the first machine with room.
#[derive(Debug, Default)]
pub struct FirstFit;

/// Places on the machine with the largest share of its declared room taken.
#[derive(Debug, Default)]
pub struct BestFit;

/// Places on the machine with the smallest share of its declared room taken.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl Placer for FirstFit {
    fn place(&mut self, fleet: &Fleet, request: &TaskRequest) -> Option<u32> {
        candidates(fleet, request).next().map(|c| c.0)
    }
}

impl Placer for BestFit {
    fn place(&mut self, fleet: &Fleet, request: &TaskRequest) -> Option<u32> {
        let fullest =
            candidates(fleet, request).max_by(|a, b| a.1.used_share().total_cmp(&b.1.used_share()));
        fullest.map(|c| c.0)
    }
}

impl Placer for LeastLoaded {
    fn place(&mut self, fleet: &Fleet, request: &TaskRequest) -> Option<u32> {
        let emptiest =
            candidates(fleet, request).min_by(|a, b| a.1.used_share().total_cmp(&b.1.used_share()));
        emptiest.map(|c| c.0)
    }
}

/// The machines that can take the task, with their numbers.
pub(crate) fn candidates<'a>(
    fleet: &'a Fleet,
    request: &'a TaskRequest,
) -> impl Iterator<Item = (u32, &'a Machine)> {
    let all = fleet.machines.iter().enumerate().map(|(n, m)| (n as u32, m));
    all.filter(|(n, m)| request.avoid != Some(*n) && m.accepts(request))
}
