//! Races at the end of an attempt: its time-out, the request's deadline, its answer, its failure, a disconnect of its
//! viewer and an update of its server come in one step, in each order, before and after the report of a cancellation.

mod common;
mod races;

use common::*;
use races::Occurrence::{self, *};
use races::{Front, ALL};
use std::time::Duration;

/// Position of the caller's report on the cancelled attempt. With `SameStep` the attempt times out in the step of the
/// race; else it timed out one step before, and its report comes before or after the occurrences.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CancelReport {
    SameStep,
    Before,
    After,
}

/// Time at which the first attempt times out if nothing else happens.
fn time_out(class: &str) -> Duration {
    let mut front = Front::new("undisturbed".into(), class);
    loop {
        front.now = front.core.next_deadline().unwrap();
        if !front.step(vec![]).is_empty() {
            return front.now;
        }
    }
}

fn race(class: &str, occurrences: &[Occurrence], is_sent: bool, now: Duration, report: CancelReport) {
    let mut front =
        Front::new(format!("{class} {occurrences:?}, sent {is_sent}, {:?}, {report:?}", now - START), class);
    front.attempts.first_entry().unwrap().get_mut().is_sent = is_sent;
    front.now = now;
    let late_reports = if report == CancelReport::SameStep { vec![] } else { front.step(vec![]) };
    let cancelled_end = front.attempts.first_entry().unwrap().get_mut().end;
    if report == CancelReport::After {
        front.attempts.first_entry().unwrap().get_mut().end = None; // Not reported yet.
    }
    let mut inputs: Vec<_> = occurrences.iter().map(|o| front.input(*o)).collect();
    let mut first = front.attempts.first_entry().unwrap();
    let first = first.get_mut();
    if !first.plays {
        first.end = first.end.or(cancelled_end);
    }
    inputs.splice(
        if report == CancelReport::Before { 0..0 } else { occurrences.len()..occurrences.len() },
        late_reports,
    );
    // The answer counts if no other report on the attempt came before it. A viewer gets it unless it has disconnected
    // by then.
    let position = |of: Occurrence| occurrences.iter().position(|o| *o == of);
    let answered =
        first.plays && position(Disconnect).is_none_or(|d| position(Answer).is_some_and(|a| a < d));
    let expected_answers = usize::from(answered || position(Disconnect).is_none());
    let is_unwanted = first.plays && expected_answers == 0;
    let reports = front.step(inputs);
    assert!(!is_unwanted || front.sessions_ended == 1, "{}: it plays without a viewer", front.case);
    front.settle(reports);
    front.assert_outcome(expected_answers);
}

/// All sequences of `length` different occurrences that are possible for an attempt that was sent, or was not.
fn sequences(length: usize, is_sent: bool) -> Vec<Vec<Occurrence>> {
    let mut all = vec![vec![]];
    for _ in 0..length {
        let is_possible =
            |o: &Occurrence| if is_sent { *o != Unsent } else { !matches!(o, Answer | Reset | Full) };
        let extended = |s: Vec<Occurrence>| {
            let more = ALL.into_iter().filter(|o| is_possible(o) && !s.contains(o)).collect::<Vec<_>>();
            more.into_iter().map(move |o| [s.clone(), vec![o]].concat())
        };
        all = all.into_iter().flat_map(extended).collect();
    }
    all
}

/// Runs all sequences of the given lengths at four times: well before the time-out, at the time-out, at the deadline of
/// the request, and past both.
fn run_all(lengths: &[usize], reports: &[CancelReport]) {
    let mut cases = 0;
    for class in ["paid", "clip"] {
        let time_out = time_out(class);
        assert!(time_out > START + ms(10) && time_out <= START + ms(2_950), "{time_out:?}");
        for is_sent in [true, false] {
            for occurrences in lengths.iter().flat_map(|l| sequences(*l, is_sent)) {
                for now in [START + ms(10), time_out, START + ms(2_950), START + ms(2_999)] {
                    for report in reports {
                        race(class, &occurrences, is_sent, now, *report);
                        cases += 1;
                    }
                }
            }
        }
    }
    assert!(cases > 1_000, "{cases}");
}

#[test]
fn races_in_the_step_of_the_time_out_give_one_answer_and_all_releases() {
    run_all(&[0, 1, 2, 3], &[CancelReport::SameStep]);
}

#[test]
fn races_with_the_report_of_a_cancellation_give_one_answer_and_all_releases() {
    run_all(&[0, 1, 2], &[CancelReport::Before, CancelReport::After]);
}
