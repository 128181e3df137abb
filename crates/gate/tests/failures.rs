//! Failure responses of backend servers of plain services.

mod common;

use common::{PLAIN, TestGateway, request};
use gate::{event::AttemptResult, load::Load};
use wire::time::Instant;

/// Guards against the ejection of servers by failures that the whole service gives, and against a
/// server that alone fails and is not ejected.
#[test]
fn failures_that_the_service_gives_eject_no_server() {
    let play = |own: f64, usual: f64| {
        let mut rng = fastrand::Rng::with_seed(1);
        let (mut load, now) = (Load::default(), Instant(1_000_000));
        let ejects = |fails: bool| match fails {
            true => load.record_failure_response(now, usual),
            false => {
                load.record_success();
                false
            }
        };
        (0..20_000).map(|_| rng.f64() < own).map(ejects).filter(|ejected| *ejected).count()
    };
    assert_eq!(play(0.14, 0.14), 0);
    assert_eq!(play(0.9, 0.9), 0);
    assert!(play(0.14, 0.0) > 0, "as before, where no other server fails");
    assert!(play(1.0, 0.14) > 1_000);
    // Once through a gateway: 4 in 4 answers of the only server that fails, of two.
    let mut gateway = TestGateway::with_backends(PLAIN, 2);
    let mut failing = None;
    for _ in 0..60 {
        let number = gateway.arrive(request("bid"));
        let Some(dispatch) = gateway.dispatched(number) else { continue };
        let failing = *failing.get_or_insert(dispatch.backend);
        let fails = dispatch.backend == failing;
        gateway.end(number, if fails { AttemptResult::Failed } else { AttemptResult::Complete });
    }
    let failing = gateway.machine.backends().get(failing.expect("a dispatch")).expect("a server");
    assert!(!failing.load.is_usable(gateway.now));
}
