//! Tests of the engine model in simulated time.

use std::time::Duration;

use quickcheck::{QuickCheck, TestResult};
use stand::{
    cache::Prompt,
    model::{Engine, Job, Load, Output, Settings},
    run::End,
};
use wire::time::Instant;

const FAR_FUTURE: Instant = Instant(u64::MAX / 2);

fn settings() -> Settings {
    Settings {
        prefill_rate: 10_000.0,
        step_base: Duration::from_millis(10),
        step_per_job: Duration::from_millis(1),
        chunk_tokens: 500,
        max_batch: 4,
        block_tokens: 100,
        cache_blocks: 20,
        ..Settings::default()
    }
}

fn job(id: u64, tokens: u32, output_tokens: u32) -> Job {
    let prompt = Prompt { tokens, prefix_tokens: 0, prefix: 0, full: id };
    Job { id, fingerprint: id, prompt, output_tokens }
}

fn run_to_end(engine: &mut Engine) -> Vec<Output> {
    let mut outputs = Vec::new();
    engine.advance(FAR_FUTURE, &mut outputs);
    outputs
}

/// Guards against a model that runs its jobs one after another, or whose decode steps take
/// the same time at every batch size.
#[test]
fn jobs_of_a_batch_share_steps() {
    let mut engine = Engine::new(settings(), 1);
    for id in 0..4 {
        assert!(engine.submit(Instant(0), job(id, 100, 11)));
    }
    let outputs = run_to_end(&mut engine);
    let ends: Vec<Instant> = outputs.iter().filter(|o| o.end.is_some()).map(|o| o.at).collect();
    // The first job starts alone: 10 ms. The other three share a chunk of 30 ms with its
    // first decode step of 11 ms; nine steps of four jobs, at 14 ms, complete the first.
    let first = Instant((10 + 41 + 9 * 14) * 1000);
    // The last step runs three jobs.
    let others = first + Duration::from_millis(13);
    assert_eq!(ends, [first, others, others, others]);
}

/// Guards against a batch above its limit, and against a waiting job that never runs.
#[test]
fn waiting_jobs_run_after_the_batch() {
    let mut engine = Engine::new(settings(), 1);
    for id in 0..6 {
        engine.submit(Instant(0), job(id, 100, 2));
    }
    engine.advance(Instant(20_000), &mut Vec::new());
    let later = Instant(20_000) + Duration::from_secs(1);
    assert_eq!(engine.load(later), Load { running: 4, waiting: 2 });
    assert_eq!(run_to_end(&mut engine).iter().filter(|o| o.end == Some(End::Finished)).count(), 6);
}

/// Guards against a cache that saves no prefill, matches another prompt beyond the shared prefix,
/// or has no size limit.
#[test]
fn cache_hits_reduce_prefill() {
    let mut engine = Engine::new(settings(), 1);
    let prompt = |full| Prompt { tokens: 1000, prefix_tokens: 800, prefix: 7, full };
    for (id, full) in [(0, 1), (1, 1), (2, 2)] {
        let now = Instant(id * 10_000_000);
        engine.submit(now, Job { prompt: prompt(full), ..job(id, 0, 1) });
        engine.advance(now + Duration::from_secs(5), &mut Vec::new());
    }
    // A prompt as large as the cache evicts all others.
    engine.submit(Instant(30_000_000), job(3, 2000, 1));
    engine.advance(Instant(35_000_000), &mut Vec::new());
    engine.submit(Instant(40_000_000), Job { prompt: prompt(1), ..job(4, 0, 1) });
    run_to_end(&mut engine);
    let computed: Vec<u32> = engine.record().iter().map(|run| run.prefill_computed).collect();
    assert_eq!(computed, [1000, 1, 200, 2000, 1000]);
}

/// Guards against load reports that are newer than `load_lag` allows.
#[test]
fn load_reports_are_delayed_by_the_lag() {
    let lag = Duration::from_millis(300);
    let mut engine = Engine::new(Settings { load_lag: lag, ..settings() }, 1);
    engine.submit(Instant(50_000), job(0, 100_000, 1));
    let busy = Instant(50_000) + lag;
    assert_eq!(engine.load(Instant(busy.0 - 1)), Load::default());
    assert_eq!(engine.load(busy), Load { running: 1, waiting: 0 });
}

/// Guards against a speed, a slowdown or a freeze without effect on the times.
#[test]
fn speed_slowdown_and_freeze_change_times() {
    let end = |speed, slow, freeze| {
        let mut engine = Engine::new(Settings { speed, ..settings() }, 1);
        engine.set_slowdown(slow);
        engine.submit(Instant(0), job(0, 500, 1));
        engine.freeze(Instant(0), freeze);
        run_to_end(&mut engine)[0].at
    };
    assert_eq!(end(1.0, 1.0, Duration::ZERO), Instant(50_000));
    assert_eq!(end(2.0, 1.0, Duration::ZERO), Instant(25_000));
    assert_eq!(end(1.0, 8.0, Duration::ZERO), Instant(400_000));
    assert_eq!(end(1.0, 1.0, Duration::from_millis(7)), Instant(57_000));
}

/// Guards against freezes that overlap and delay a step by the sum of their durations.
#[test]
fn overlapping_freezes_last_until_the_later_end() {
    let mut engine = Engine::new(settings(), 1);
    engine.submit(Instant(0), job(0, 500, 1));
    engine.freeze(Instant(0), Duration::from_millis(7));
    engine.freeze(Instant(2_000), Duration::from_millis(7));
    engine.freeze(Instant(3_000), Duration::from_millis(1));
    assert_eq!(run_to_end(&mut engine)[0].at, Instant(59_000));
}

/// Guards against a poison job that doesn't crash the engine, jobs or a cache that survive the
/// crash, an instance number used twice, and jobs accepted during the restart.
#[test]
fn poison_crashes_the_engine() {
    let mut engine = Engine::new(settings(), 41);
    engine.add_poison(9);
    engine.submit(Instant(0), job(0, 1000, 100));
    engine.advance(Instant(500_000), &mut Vec::new());
    engine.submit(Instant(500_000), job(9, 100, 1));
    let outputs = run_to_end(&mut engine);
    assert_eq!(outputs.iter().filter(|o| o.end == Some(End::Crashed)).count(), 2);
    assert_eq!(engine.instance(), 42);
    let crash = engine.record()[0].ended_at.expect("the job has ended");
    assert!(!engine.submit(crash, job(1, 1000, 1)));
    let up = crash + settings().restart;
    assert!(engine.submit(up, Job { prompt: job(0, 1000, 1).prompt, ..job(1, 0, 1) }));
    run_to_end(&mut engine);
    assert_eq!(engine.record()[2].prefill_computed, 1000);
    assert_eq!(engine.record()[2].instance, 42);
}

/// Guards against jobs that never end, end twice or end with the wrong number of tokens, and
/// against a record that differs from the outputs, under random submissions, cancellations
/// and crashes.
#[test]
fn every_job_ends_once() {
    fn check(steps: Vec<(u8, u16, u8)>) -> TestResult {
        let mut engine = Engine::new(settings(), 1);
        let mut outputs = Vec::new();
        let mut now = Instant(0);
        for (id, (action, size, output)) in steps.into_iter().enumerate() {
            now = now + Duration::from_micros(u64::from(size) * 10);
            engine.advance(now, &mut outputs);
            match action % 8 {
                0 => engine.crash(now, &mut outputs),
                1 => drop(engine.cancel(now, u64::from(output))),
                _ => drop(engine.submit(now, job(id as u64, size.into(), output.into()))),
            }
        }
        engine.advance(FAR_FUTURE, &mut outputs);
        let consistent = engine.record().iter().all(|run| {
            let job_outputs: Vec<&Output> = outputs.iter().filter(|o| o.id == run.id).collect();
            let ends: Vec<End> = job_outputs.iter().filter_map(|o| o.end).collect();
            let tokens = job_outputs.iter().filter(|o| o.end != Some(End::Crashed)).count() as u32;
            let prefill_complete =
                run.prefill_computed + run.prefill_cached == run.prompt_tokens.max(1);
            let ended = match run.end {
                Some(End::Finished) => ends == [End::Finished] && prefill_complete,
                Some(End::Crashed) => ends == [End::Crashed],
                Some(End::Cancelled) => ends.is_empty(),
                None => false,
            };
            ended && tokens == run.tokens
        });
        TestResult::from_bool(consistent && engine.next_timer().is_none())
    }
    QuickCheck::new().quickcheck(check as fn(Vec<(u8, u16, u8)>) -> TestResult);
}
