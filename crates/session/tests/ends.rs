//! An attempt's end, without I/O: its time-out, the request's deadline, its answer, its failure, its viewer's leaving and
//! news of its server meet in one step, in each order, before and after the shell's word on a recall.

mod common;
mod meets;

use common::*;
use meets::Meets::{self, *};
use meets::{Front, ALL};
use std::time::Duration;

/// When the shell's word on the recall of a time-out comes: with the rest in the step in which the time is up, or the
/// time was up a step before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Word {
    SameStep,
    Before,
    Behind,
}

/// When the first attempt's time is up, by itself.
fn time_out(class: &str) -> Duration {
    let mut front = Front::new("alone".into(), class);
    loop {
        front.now = front.core.next_deadline().unwrap();
        if !front.step(vec![]).is_empty() {
            return front.now;
        }
    }
}

fn meet(class: &str, meets: &[Meets], went: bool, now: Duration, word: Word) {
    let mut front = Front::new(format!("{class} {meets:?}, went {went}, {:?}, {word:?}", now - DAY), class);
    front.attempts.first_entry().unwrap().get_mut().went = went;
    front.now = now;
    let late = if word == Word::SameStep { vec![] } else { front.step(vec![]) };
    let recalled = front.attempts.first_entry().unwrap().get_mut().end;
    if word == Word::Behind {
        front.attempts.first_entry().unwrap().get_mut().end = None; // not said yet
    }
    let mut inputs: Vec<_> = meets.iter().map(|m| front.input(*m)).collect();
    let mut first = front.attempts.first_entry().unwrap();
    let first = first.get_mut();
    if !first.plays {
        first.end = first.end.or(recalled);
    }
    inputs.splice(if word == Word::Before { 0..0 } else { meets.len()..meets.len() }, late);
    // The answer counts if no other word on the attempt came before it; who has it by then is one who did not leave.
    let at = |of: Meets| meets.iter().position(|m| *m == of);
    let answered = first.plays && at(HangUp).is_none_or(|left| at(Answer).is_some_and(|a| a < left));
    let want = usize::from(answered || at(HangUp).is_none());
    let for_nobody = first.plays && want == 0;
    let words = front.step(inputs);
    assert!(!for_nobody || front.over == 1, "{}: it plays for nobody", front.case);
    front.ends(words);
    front.judge(want);
}

/// All sequences of that many different ones that can happen to an attempt that went out, or did not.
fn sequences(length: usize, went: bool) -> Vec<Vec<Meets>> {
    let mut all = vec![vec![]];
    for _ in 0..length {
        let can = |m: &Meets| if went { *m != Unsent } else { !matches!(m, Answer | Reset | Full) };
        let longer = |s: Vec<Meets>| {
            let more = ALL.into_iter().filter(|m| can(m) && !s.contains(m)).collect::<Vec<_>>();
            more.into_iter().map(move |m| [s.clone(), vec![m]].concat())
        };
        all = all.into_iter().flat_map(longer).collect();
    }
    all
}

/// The step in which they meet: well before, when the attempt's time is up, when the request's is, and past both.
fn each(lengths: &[usize], words: &[Word]) {
    let mut cases = 0;
    for class in ["paid", "clip"] {
        let up = time_out(class);
        assert!(up > DAY + ms(10) && up <= DAY + ms(2_950), "{up:?}");
        for went in [true, false] {
            for meets in lengths.iter().flat_map(|l| sequences(*l, went)) {
                for now in [DAY + ms(10), up, DAY + ms(2_950), DAY + ms(2_999)] {
                    for word in words {
                        meet(class, &meets, went, now, *word);
                        cases += 1;
                    }
                }
            }
        }
    }
    assert!(cases > 1_000, "{cases}");
}

#[test]
fn whatever_meets_its_time_out_in_one_step_gets_one_answer_one_attempt_and_its_releases() {
    each(&[0, 1, 2, 3], &[Word::SameStep]);
}

#[test]
fn whatever_meets_the_word_on_its_recall_gets_one_answer_one_attempt_and_its_releases() {
    each(&[0, 1, 2], &[Word::Before, Word::Behind]);
}
