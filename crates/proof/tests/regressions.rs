//! Schedules that broke a guarantee in the past. Each was shrunk from a longer one; the name of its
//! test ends with the generator seed of that one.

use std::time::Duration;

use proof::{
    check,
    fault::Fault,
    plan::{Op, Plan},
};

fn us(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

fn check_plan(plan: Plan) {
    let record = plan.run().simulation.record;
    let violations = check::violations(&record);
    assert!(violations.is_empty(), "{}", violations.join("; "));
}

/// Guards against work that starts on a leaving backend server later than 3 s after the order.
#[test]
fn leaving_backend_seed_1() {
    check_plan(Plan {
        seed: 10214595023568632981,
        entries: 3,
        agents: 4,
        max_queued: 200,
        max_open: 6,
        ops: vec![
            (us(240_883), Op::Key { entry: 4 }),
            (
                us(78_390),
                Op::Fault {
                    fault: Fault::FreezeAgent,
                    entry: 5,
                    agent: 6,
                    duration: us(3_615_000),
                },
            ),
            (
                us(60_503),
                Op::Fault { fault: Fault::Drain, entry: 0, agent: 6, duration: us(4_000_000) },
            ),
            (us(123_581), Op::Bid { entry: 7, key: 2 }),
        ],
    });
}

/// Guards against work that starts on a leaving backend server later than 3 s after the order.
#[test]
fn leaving_backend_seed_770002() {
    check_plan(Plan {
        seed: 15386772421512852082,
        entries: 3,
        agents: 4,
        max_queued: 2,
        max_open: 30,
        ops: vec![
            (us(56_389), Op::Key { entry: 4 }),
            (
                us(14_756),
                Op::Fault {
                    fault: Fault::FreezeAgent,
                    entry: 1,
                    agent: 1,
                    duration: us(4_130_000),
                },
            ),
            (us(84_598), Op::Bid { entry: 6, key: 3 }),
            (
                us(255_424),
                Op::Fault { fault: Fault::StaleHosts, entry: 1, agent: 5, duration: us(4_802_000) },
            ),
        ],
    });
}

/// Guards against work that starts on a leaving backend server later than 3 s after the order.
#[test]
fn leaving_backend_seed_770003() {
    check_plan(Plan {
        seed: 0,
        entries: 3,
        agents: 4,
        max_queued: 200,
        max_open: 6,
        ops: vec![
            (
                us(244_756),
                Op::Fault { fault: Fault::Drain, entry: 3, agent: 7, duration: us(1_000) },
            ),
            (
                us(58_207),
                Op::Fault {
                    fault: Fault::FreezeEntry,
                    entry: 1,
                    agent: 7,
                    duration: us(5_862_000),
                },
            ),
            (
                us(235_202),
                Op::Fault { fault: Fault::StaleHosts, entry: 5, agent: 4, duration: us(5_071_000) },
            ),
            (
                us(51_615),
                Op::Fault {
                    fault: Fault::FreezeAgent,
                    entry: 0,
                    agent: 3,
                    duration: us(3_238_000),
                },
            ),
            (us(23_144), Op::Request { entry: 6, tier: 2, count: 9 }),
            (us(43_111), Op::Request { entry: 4, tier: 1, count: 10 }),
        ],
    });
}

/// Guards against a poison request that crashes a third engine.
#[test]
fn third_crash_seed_770004() {
    check_plan(Plan {
        seed: 16491438208161121234,
        entries: 3,
        agents: 4,
        max_queued: 2,
        max_open: 1000,
        ops: vec![
            (us(85_798), Op::Request { entry: 4, tier: 0, count: 8 }),
            (us(2_851), Op::Request { entry: 6, tier: 0, count: 2 }),
            (
                us(152_199),
                Op::Fault { fault: Fault::Poison, entry: 3, agent: 2, duration: us(455_000) },
            ),
            (
                us(87_880),
                Op::Fault { fault: Fault::KillAgent, entry: 6, agent: 1, duration: us(1_407_000) },
            ),
            (
                us(299_910),
                Op::Fault { fault: Fault::KillAgent, entry: 2, agent: 7, duration: us(5_388_000) },
            ),
            (
                us(15_241),
                Op::Fault { fault: Fault::KillEntry, entry: 1, agent: 5, duration: us(1_057_000) },
            ),
        ],
    });
}

/// Guards against work that starts on a leaving backend server later than 3 s after the order.
#[test]
fn leaving_backend_seed_770005() {
    check_plan(Plan {
        seed: 1198038984228974685,
        entries: 3,
        agents: 4,
        max_queued: 2,
        max_open: 6,
        ops: vec![
            (
                us(125_960),
                Op::Fault { fault: Fault::Drain, entry: 4, agent: 2, duration: us(872_000) },
            ),
            (us(88_362), Op::Key { entry: 0 }),
            (us(227_336), Op::Request { entry: 4, tier: 2, count: 2 }),
            (us(64_612), Op::Request { entry: 0, tier: 0, count: 10 }),
            (
                us(82_732),
                Op::Fault {
                    fault: Fault::FreezeEntry,
                    entry: 5,
                    agent: 4,
                    duration: us(5_650_000),
                },
            ),
            (
                us(72_459),
                Op::Fault { fault: Fault::StaleHosts, entry: 7, agent: 3, duration: us(5_643_000) },
            ),
            (us(224_344), Op::Bid { entry: 5, key: 1 }),
        ],
    });
}

/// Guards against a refusal with `not_run` for a request that ran.
#[test]
fn false_not_run_seed_770006() {
    check_plan(Plan {
        seed: 9241848768814532462,
        entries: 3,
        agents: 4,
        max_queued: 8,
        max_open: 6,
        ops: vec![
            (
                us(136_330),
                Op::Fault { fault: Fault::Drain, entry: 1, agent: 6, duration: us(5_651_000) },
            ),
            (us(69_589), Op::Request { entry: 2, tier: 2, count: 2 }),
            (us(182_989), Op::Request { entry: 0, tier: 0, count: 3 }),
            (us(156_828), Op::Request { entry: 5, tier: 0, count: 12 }),
            (us(231_220), Op::Key { entry: 3 }),
            (us(107_453), Op::Request { entry: 7, tier: 2, count: 7 }),
            (us(212_358), Op::Bid { entry: 6, key: 3 }),
            (
                us(5_887),
                Op::Fault {
                    fault: Fault::FreezeAgent,
                    entry: 5,
                    agent: 4,
                    duration: us(3_409_000),
                },
            ),
            (us(80_913), Op::Request { entry: 4, tier: 1, count: 3 }),
            (us(255_989), Op::Bid { entry: 4, key: 2 }),
        ],
    });
}

/// Guards against a response that is incomplete or belongs to another request.
#[test]
fn wrong_response_seed_770007() {
    check_plan(Plan {
        seed: 2838227423879065187,
        entries: 3,
        agents: 4,
        max_queued: 8,
        max_open: 30,
        ops: vec![
            (
                us(241_309),
                Op::Fault { fault: Fault::SlowEngine, entry: 1, agent: 5, duration: us(5_359_000) },
            ),
            (us(169_836), Op::Request { entry: 1, tier: 2, count: 11 }),
            (
                us(178_039),
                Op::Fault {
                    fault: Fault::FreezeAgent,
                    entry: 5,
                    agent: 5,
                    duration: us(3_282_000),
                },
            ),
        ],
    });
}

/// Guards against a response that is incomplete or belongs to another request.
#[test]
fn wrong_response_seed_770008() {
    check_plan(Plan {
        seed: 17778282532816930937,
        entries: 3,
        agents: 4,
        max_queued: 2,
        max_open: 6,
        ops: vec![
            (us(277_983), Op::Request { entry: 0, tier: 2, count: 11 }),
            (us(157_828), Op::Key { entry: 3 }),
            (us(88_545), Op::Request { entry: 3, tier: 2, count: 11 }),
            (us(43_901), Op::Request { entry: 6, tier: 0, count: 3 }),
            (us(59_686), Op::Key { entry: 6 }),
            (us(38_427), Op::Request { entry: 6, tier: 1, count: 6 }),
            (us(295_097), Op::Request { entry: 4, tier: 0, count: 11 }),
            (us(111_135), Op::Request { entry: 6, tier: 2, count: 4 }),
            (us(126_985), Op::Bid { entry: 5, key: 2 }),
            (us(240_643), Op::Request { entry: 1, tier: 0, count: 4 }),
            (us(240_482), Op::Request { entry: 1, tier: 1, count: 11 }),
            (
                us(65_296),
                Op::Fault {
                    fault: Fault::FreezeAgent,
                    entry: 6,
                    agent: 2,
                    duration: us(3_064_000),
                },
            ),
            (
                us(32_379),
                Op::Fault { fault: Fault::CutEngine, entry: 6, agent: 6, duration: us(1_350_000) },
            ),
        ],
    });
}

/// Guards against a poison request that crashes a third engine.
#[test]
fn third_crash_seed_770009() {
    check_plan(Plan {
        seed: 16476747413783540083,
        entries: 3,
        agents: 4,
        max_queued: 200,
        max_open: 30,
        ops: vec![
            (
                us(1),
                Op::Fault { fault: Fault::KillAgent, entry: 1, agent: 3, duration: us(3_182_000) },
            ),
            (
                us(173_613),
                Op::Fault {
                    fault: Fault::FreezeEntry,
                    entry: 4,
                    agent: 4,
                    duration: us(5_908_000),
                },
            ),
            (
                us(180_692),
                Op::Fault { fault: Fault::Poison, entry: 6, agent: 7, duration: us(4_210_000) },
            ),
            (
                us(8_505),
                Op::Fault { fault: Fault::KillAgent, entry: 0, agent: 1, duration: us(3_224_000) },
            ),
        ],
    });
}

/// Guards against a poison request that crashes a third engine.
#[test]
fn third_crash_seed_880001() {
    check_plan(Plan {
        seed: 5715732840246705923,
        entries: 3,
        agents: 4,
        max_queued: 8,
        max_open: 1000,
        ops: vec![
            (us(0), Op::Poison { entry: 0 }),
            (us(0), Op::Poison { entry: 0 }),
            (us(1_315), Op::Poison { entry: 0 }),
            (
                us(27_178),
                Op::Fault { fault: Fault::CutPeers, entry: 0, agent: 1, duration: us(877_000) },
            ),
        ],
    });
}

/// Guards against a refusal with `not_run` for a key whose work ran while the entry of its first
/// request was frozen.
#[test]
fn false_not_run_seed_880002() {
    check_plan(Plan {
        seed: 17493858105995515951,
        entries: 3,
        agents: 4,
        max_queued: 2,
        max_open: 6,
        ops: vec![
            (us(143_923), Op::Key { entry: 4 }),
            (
                us(281_191),
                Op::Fault { fault: Fault::CrashEngine, entry: 7, agent: 1, duration: us(653_000) },
            ),
            (us(19_427), Op::Bid { entry: 0, key: 3 }),
            (us(80_108), Op::Bid { entry: 2, key: 1 }),
            (
                us(12_316),
                Op::Fault {
                    fault: Fault::FreezeEntry,
                    entry: 5,
                    agent: 2,
                    duration: us(1_291_000),
                },
            ),
            (us(155_391), Op::Bid { entry: 7, key: 1 }),
            (us(52_018), Op::Request { entry: 6, tier: 1, count: 3 }),
        ],
    });
}

/// Guards against a poison request that crashes a third engine.
#[test]
fn third_crash_seed_880011() {
    check_plan(Plan {
        seed: 14555245722908630539,
        entries: 3,
        agents: 4,
        max_queued: 2,
        max_open: 6,
        ops: vec![
            (us(184_342), Op::Poison { entry: 0 }),
            (us(14_138), Op::Poison { entry: 1 }),
            (us(1), Op::Poison { entry: 2 }),
            (
                us(31_268),
                Op::Fault { fault: Fault::CutPeers, entry: 2, agent: 1, duration: us(1_000) },
            ),
        ],
    });
}

/// Guards against a poison request that crashes a third engine after its agent and host were
/// replaced and another agent was paused.
#[test]
fn third_crash_seed_120331() {
    let fault = |fault, entry, agent, duration| Op::Fault { fault, entry, agent, duration };
    check_plan(Plan {
        seed: 6657551461591383248,
        entries: 3,
        agents: 4,
        max_queued: 2,
        max_open: 6,
        ops: vec![
            (us(190_576), fault(Fault::Poison, 5, 7, us(4_345_000))),
            (us(4_340), fault(Fault::FreezeAgent, 1, 7, us(4_305_000))),
            (us(250_926), fault(Fault::ReplaceHost, 7, 3, us(5_931_000))),
            (us(0), fault(Fault::KillAgent, 4, 3, us(1_392_000))),
        ],
    });
}

/// Guards against a caller without a final answer.
#[test]
fn missing_answer_seed_777123() {
    let fault = |fault, entry, agent, duration| Op::Fault { fault, entry, agent, duration };
    check_plan(Plan {
        seed: 1990190990013317576,
        entries: 3,
        agents: 4,
        max_queued: 8,
        max_open: 6,
        ops: vec![
            (us(33_417), fault(Fault::SlowEngine, 5, 3, us(5_578_000))),
            (us(148_268), fault(Fault::SlowEngine, 0, 7, us(5_052_000))),
            (us(30_728), fault(Fault::Poison, 0, 7, us(3_615_000))),
        ],
    });
}

/// Guards against a third crash by a copy that is sent when the entry of the second one is killed,
/// before the second crash is known.
#[test]
fn third_crash_seed_4417001() {
    check_plan(Plan {
        seed: 16115749612190095756,
        entries: 3,
        agents: 4,
        max_queued: 2,
        max_open: 6,
        ops: vec![
            (us(244_182), Op::Request { entry: 2, tier: 2, count: 3 }),
            (us(119_745), Op::Request { entry: 7, tier: 0, count: 1 }),
            (us(288_971), Op::Bid { entry: 4, key: 3 }),
            (
                us(15_919),
                Op::Fault { fault: Fault::Drain, entry: 7, agent: 5, duration: us(1_002_000) },
            ),
            (
                us(21_190),
                Op::Fault { fault: Fault::StopEntry, entry: 6, agent: 1, duration: us(1_000) },
            ),
            (
                us(1),
                Op::Fault { fault: Fault::Poison, entry: 1, agent: 5, duration: us(3_182_000) },
            ),
            (
                us(91_979),
                Op::Fault { fault: Fault::KillEntry, entry: 3, agent: 1, duration: us(3_615_000) },
            ),
        ],
    });
}

/// Guards against a bid whose caller gets `not_run` although another request with its key ran.
#[test]
fn refused_bid_ran_seed_6200001() {
    check_plan(Plan {
        seed: 7673210739104735722,
        entries: 3,
        agents: 4,
        max_queued: 2,
        max_open: 30,
        ops: vec![
            (us(69_893), Op::Key { entry: 0 }),
            (us(13_431), Op::Request { entry: 1, tier: 1, count: 4 }),
            (us(198_120), Op::Request { entry: 2, tier: 0, count: 11 }),
            (us(64_491), Op::Bid { entry: 6, key: 0 }),
            (
                us(1),
                Op::Fault {
                    fault: Fault::FreezeEntry,
                    entry: 6,
                    agent: 1,
                    duration: us(4_585_000),
                },
            ),
            (us(113_459), Op::Bid { entry: 1, key: 1 }),
        ],
    });
}
