use super::*;
use crate::test_fixtures::*;

/// So many proxies per backend that admission control is in effect.
const MANY: Peers = Peers { per_backend: 100.0 };
/// So few proxies per backend that the concurrency limits suffice.
const FEW: Peers = Peers { per_backend: 2.0 };

fn control() -> AdmissionControl {
    AdmissionControl::new(&Config::example())
}

/// Returns how many of 1,000 arriving requests are admitted.
fn admitted_of_1000(control: &mut AdmissionControl) -> usize {
    let config = Config::example();
    let latencies = LatencyEstimates::new(&config);
    let mut rng = Rng::new(1);
    let mut admit = |_: &usize| {
        let weight = control.record_arrival(START, &config, &arrival(1));
        control.admit(START, ClassId(0), weight, &config, &latencies, &mut rng)
    };
    (0..1_000).filter(&mut admit).count()
}

#[test]
fn every_request_is_admitted_before_any_late_response() {
    assert_eq!(admitted_of_1000(&mut control()), 1_000);
}

#[test]
fn late_responses_shed_load_down_to_the_minimum_fraction() {
    let mut control = control();
    for _ in 0..100 {
        control.adjust(Promptness::Late, MANY);
    }
    let admitted = admitted_of_1000(&mut control);
    assert!(
        (20..90).contains(&admitted),
        "{admitted}, expected about 50"
    );
}

#[test]
fn no_load_is_shed_while_one_response_in_four_is_late() {
    let mut control = control();
    for number in 0..100 {
        let is_fourth = number % 4 == 0;
        let promptness = if is_fourth {
            Promptness::Late
        } else {
            Promptness::Prompt
        };
        control.adjust(promptness, MANY);
    }
    assert_eq!(admitted_of_1000(&mut control), 1_000);
}

#[test]
fn no_load_is_shed_if_few_proxies_share_each_backend() {
    let mut control = control();
    for _ in 0..100 {
        control.adjust(Promptness::Late, FEW);
    }
    assert_eq!(admitted_of_1000(&mut control), 1_000);
}
