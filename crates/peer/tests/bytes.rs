//! Messages between hosts of different builds: the bytes of earlier builds are read, and they read ours.
//!
//! Messages are encoded by position. A call or a field that is not added at the end makes hosts of two builds deaf to
//! each other while a deployment is upgraded.

use bincode::Options;
use serde::Serialize;
use serde::de::DeserializeOwned;

use myrtle_base::Room;
use myrtle_job::{FreeRoom, JobId, Load, State};
use myrtle_peer::{FrontPeerRequest, FrontPeerResponse, JobReport, encoding};

fn hex(value: &impl Serialize) -> String {
    let bytes = encoding().serialize(value).expect("memory holds a message");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn read<T: DeserializeOwned>(hex: &str) -> T {
    let digits = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits");
    let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(digits).collect();
    encoding().deserialize(&bytes).expect("a message of an earlier build")
}

fn load() -> Load {
    let free = FreeRoom { service: "s".into(), room: Room { cpu: 8_000, mem: 900, accel: 0 } };
    Load { claimed: 1.5, capacity: 4.0, free: vec![free], restart_free: vec![], soon_free: vec![] }
}

/// The bytes of each call as builds before `cell_report` sent them.
#[test]
fn calls_keep_their_positions() {
    let job = JobId(7);
    let calls = [
        (hex(&FrontPeerRequest::State { cell: 1, job }), "000107"),
        (hex(&FrontPeerRequest::Cancel { cell: 1, job }), "010107"),
        (hex(&FrontPeerRequest::Pending { cell: 1 }), "0201"),
        (hex(&FrontPeerRequest::Forward { cell: 1, job, record: vec![5] }), "0301070105"),
        (hex(&FrontPeerRequest::ReleaseCell { cell: 1 }), "0401"),
        (hex(&FrontPeerRequest::Load { cell: 1 }), "0501"),
        (hex(&FrontPeerRequest::Explain { cell: 1, job }), "060107"),
        (hex(&FrontPeerRequest::CanWrite { cell: 1 }), "0701"),
        (hex(&FrontPeerRequest::ReportEnds { cell: 1, fence: 3, ends: vec![] }), "08010300"),
        (hex(&FrontPeerRequest::CellReport { cell: 1 }), "0901"),
        (hex(&FrontPeerRequest::Admits { cell: 1, job, bytes: 9 }), "0a010709"),
    ];
    for (ours, recorded) in calls {
        assert_eq!(ours, recorded);
    }
}

/// The bytes of replies as builds before `cell_report` sent them, and read them.
#[test]
fn replies_keep_their_layout() {
    let state = FrontPeerResponse::State(JobReport::Job(State::Running));
    assert_eq!(hex(&state), "000201");
    let reply = FrontPeerResponse::Load(Some(load()));
    assert_eq!(hex(&reply), "0501000000000000f83f0000000000001040010173fb401ffb8403000000");
    let FrontPeerResponse::Load(Some(read)) = read(&hex(&reply)) else {
        panic!("another reply");
    };
    assert_eq!(read, load());
}

/// Guards against fields of a later build that make this one close the connection.
#[test]
fn what_a_later_build_adds_at_the_end_is_passed_over() {
    let longer = format!("{}0102030405", hex(&FrontPeerResponse::Load(Some(load()))));
    let FrontPeerResponse::Load(Some(read)) = read(&longer) else {
        panic!("another reply");
    };
    assert_eq!(read, load());
}
