//! Who is turned away for the ends of upstreams, and who isn't.

use {
    fernring_gateway::{
        fingerprint::Fingerprint,
        endings::Run,
        suspects::{ClearFact, ENDS_MAX, EndFact, LIFETIME, Suspects},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{collections::HashMap, time::Duration},
};

const NOW: Duration = Duration::from_secs(10_000);

fn run(number: usize) -> Run {
    Run { instance: format!("i-{number}").into(), started_ms: None }
}

fn content(number: usize) -> Fingerprint {
    Fingerprint::of(None, &number.to_string(), b"")
}

fn seconds(seconds: u64) -> Duration {
    NOW + Duration::from_secs(seconds)
}

/// Charges contents with the end of a start at the second of its number.
fn end(suspects: &mut Suspects, number: usize, contents: &[usize]) -> Vec<Fingerprint> {
    let contents: Vec<_> = contents.iter().map(|number| content(*number)).collect();
    let at = seconds(number as u64);
    suspects.ended(at, &run(number), at, &contents).turned_away
}

#[test]
fn the_third_end_turns_a_request_away_and_names_all_three() {
    let mut suspects = Suspects::default();
    assert!(end(&mut suspects, 1, &[7]).is_empty() && end(&mut suspects, 2, &[7]).is_empty());
    assert_eq!(end(&mut suspects, 3, &[7, 8]), [content(7)]);
    assert!(suspects.is_turned_away(content(7)) && !suspects.is_turned_away(content(8)));
    assert_eq!(suspects.ends_of(content(7)), [run(1), run(2), run(3)]);
}

#[test]
fn the_same_start_counts_once_whoever_tells_of_it() {
    let mut suspects = Suspects::default();
    for _ in 0..5 {
        assert!(end(&mut suspects, 1, &[7]).is_empty());
    }
    let again = suspects.ended(seconds(9), &run(1), seconds(2), &[content(7)]);
    assert!(!again.is_new, "seen by another node a little later");
    assert_eq!(suspects.ends_of(content(7)), [run(1)]);
}

#[test]
fn a_whole_answer_covers_what_ended_before_it_and_a_minute_after() {
    let mut suspects = Suspects::default();
    end(&mut suspects, 1, &[7]);
    end(&mut suspects, 2, &[7]);
    assert!(suspects.answered(content(7), seconds(5)));
    assert!(!suspects.answered(content(8), seconds(6)), "no suspect");
    for (number, at) in [(3, 4), (4, 6), (5, 65)] {
        let covered = suspects.ended(seconds(at), &run(number), seconds(at), &[content(7)]);
        assert!(!covered.is_new, "an end at {at} s");
    }
    for number in [66, 67] {
        assert!(end(&mut suspects, number, &[7]).is_empty());
    }
    assert_eq!(end(&mut suspects, 68, &[7]), [content(7)]);
}

/// Callers asked the same of the same pipeline many times a second while other requests ended upstream after upstream. The common
/// content was in hand at nearly each end, three of which came before its next answer; it was turned away, and no answer
/// could clear it any more: `r137 ended no upstream and was turned away`, 39 times in 15 s.
#[test]
fn a_content_that_is_often_answered_is_not_turned_away_for_the_ends_of_others() {
    let mut suspects = Suspects::default();
    suspects.answered(content(7), seconds(0));
    for number in 1..=5 {
        assert!(end(&mut suspects, number, &[7, 100 + number]).is_empty());
    }
    suspects.answered(content(7), seconds(50));
    for number in 60..100 {
        assert!(end(&mut suspects, number, &[7, 100 + number]).is_empty());
    }
    let mut others = Suspects::default();
    for number in 0..10_000 {
        others.answered(content(number), seconds(0) + Duration::from_millis(number as u64));
    }
    let (ends, _) = others.facts(usize::MAX);
    assert!(ends.is_empty(), "answers alone make no accounts");
}

/// A peer that saw the answer tells of it; one that had charged the content takes its ends off, whichever came first.
#[test]
fn an_answer_that_a_peer_tells_of_covers_as_much() {
    let mut suspects = Suspects::default();
    for number in 1..=ENDS_MAX {
        end(&mut suspects, number, &[7]);
    }
    assert!(suspects.is_turned_away(content(7)));
    let fact = ClearFact { content: content(7), at: seconds(1) };
    assert!(suspects.cleared(seconds(5), fact) && !suspects.cleared(seconds(6), fact));
    assert!(!suspects.is_turned_away(content(7)), "it was answered when the first ended");
}

#[test]
fn others_are_not_charged_with_ends_that_are_explained() {
    let mut suspects = Suspects::default();
    end(&mut suspects, 1, &[7, 8]);
    end(&mut suspects, 2, &[7, 8]);
    end(&mut suspects, 3, &[7]);
    assert!(suspects.ends_of(content(8)).is_empty(), "the one that is turned away did both");
    end(&mut suspects, 4, &[7, 8, 9]);
    assert!(suspects.ends_of(content(8)).is_empty() && suspects.ends_of(content(9)).is_empty());
    let from_another_node = suspects.ended(seconds(5), &run(3), seconds(3), &[content(9)]);
    assert!(!from_another_node.is_new && suspects.ends_of(content(9)).is_empty());
}

#[test]
fn an_account_is_kept_for_its_lifetime_and_no_longer() {
    let mut suspects = Suspects::default();
    for number in 1..=ENDS_MAX {
        end(&mut suspects, number, &[7]);
    }
    let last = seconds(ENDS_MAX as u64);
    assert!(suspects.expire(last + LIFETIME - Duration::from_secs(1)).is_empty());
    assert_eq!(suspects.expire(last + LIFETIME), [content(7)]);
    assert!(!suspects.is_turned_away(content(7)) && suspects.facts(9) == (Vec::new(), Vec::new()));
    let old = suspects.ended(last + LIFETIME, &run(1), seconds(1), &[content(7)]);
    assert!(!old.is_new, "a peer whose clock runs behind tells of it once more");
}

/// Whoever sends request after request that ends one upstream each can't make room for one that ended two.
#[test]
fn accounts_are_bounded_and_those_with_more_ends_stay() {
    let mut suspects = Suspects::default();
    end(&mut suspects, 1, &[7]);
    end(&mut suspects, 2, &[7]);
    let others: Vec<_> = (100..10_000).collect();
    for (number, chunk) in others.chunks(64).enumerate() {
        end(&mut suspects, 10 + number, chunk);
    }
    let (_, cleared) = suspects.facts(usize::MAX);
    assert!(cleared.is_empty());
    let (ends, _) = suspects.facts(10_000);
    let accounts: usize = ends.iter().map(|fact| fact.contents.len()).sum();
    assert!(accounts <= 4_097, "{accounts}");
    assert_eq!(suspects.ends_of(content(7)).len(), 2);
    let (first, _) = suspects.facts(1);
    assert!(first.iter().all(|fact| fact.contents == [content(7)]), "told before all others");
}

/// What nodes know doesn't depend on the order in which they hear it, nor on hearing it twice.
#[test]
fn nodes_that_hear_the_same_in_any_order_turn_the_same_away() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut facts = Vec::new();
        for number in 1..12 {
            let in_hand = (0..6).filter(|_| random.random_bool(0.3)).map(content).collect();
            facts.push(Ok(EndFact {
                run: run(number),
                at: seconds(number as u64),
                contents: in_hand,
            }));
        }
        for number in 0..2 {
            let at = seconds(random.random_range(1..12)) + Duration::from_millis(500);
            facts.push(Err(ClearFact { content: content(number), at }));
        }
        let mut told = |facts: &mut Vec<Result<EndFact, ClearFact>>| {
            let again = facts[random.random_range(0..facts.len())].clone();
            facts.push(again);
            facts.shuffle(&mut random);
            let mut suspects = Suspects::default();
            for fact in &*facts {
                match fact {
                    Ok(end) => drop(suspects.ended(seconds(20), &end.run, end.at, &end.contents)),
                    Err(clear) => drop(suspects.cleared(seconds(20), *clear)),
                }
            }
            suspects
        };
        let (one, other) = (told(&mut facts), told(&mut facts));
        // Two that are as guilty by what is known are told apart by nobody: the first that has three ends
        // explains the others'. No request is known to end upstreams at one node and to be cleared at another.
        for number in 0..2 {
            let is_cleared = |suspects: &Suspects| {
                let (_, cleared) = suspects.facts(usize::MAX);
                cleared.iter().any(|fact| fact.content == content(number))
            };
            assert_eq!(is_cleared(&one), is_cleared(&other), "seed {seed}");
        }
    }
}

/// A node of before a partition and one of after it exchange what matters and then agree.
#[test]
fn what_is_told_makes_another_node_turn_the_same_away() {
    let mut one = Suspects::default();
    for number in 1..=5 {
        end(&mut one, number, &[7, 10 + number]);
    }
    one.answered(content(12), seconds(6));
    let mut other = Suspects::default();
    let (ends, cleared) = one.facts(512);
    for fact in ends {
        other.ended(seconds(7), &fact.run, fact.at, &fact.contents);
    }
    for fact in cleared {
        other.cleared(seconds(7), fact);
    }
    let turned_away = |suspects: &Suspects| suspects.turned_away().collect::<HashMap<_, _>>();
    assert_eq!(turned_away(&one), turned_away(&other));
    assert!(other.is_turned_away(content(7)));
}

/// By far most requests that meet ends are innocent: on days with a third of the upstreams ending four times, callers who come
/// back once, and requests that may go to three upstreams, nobody is turned away.
#[test]
fn nobody_is_turned_away_when_a_third_of_the_upstreams_ends_four_times() {
    let (mut ends_met, mut turned_away) = (0, 0);
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut suspects = Suspects::default();
        let mut starts = [0; 18];
        let ends_at: Vec<u64> = (0..4).map(|wave| 3_000 + 5_000 * wave).collect();
        for request in 0..2_000 {
            let mut at_ms = random.random_range(0..22_000);
            // Two tries of a caller, with up to three upstreams each; a run takes up to three seconds.
            for _ in 0..6 {
                let upstream = random.random_range(0..18);
                let lasts_ms = random.random_range(50..3_000);
                let ended_at =
                    ends_at.iter().position(|end| (at_ms..at_ms + lasts_ms).contains(end));
                let Some(wave) = ended_at.filter(|_| upstream % 3 == 0) else {
                    suspects
                        .answered(content(request), NOW + Duration::from_millis(at_ms + lasts_ms));
                    break;
                };
                ends_met += 1;
                starts[upstream] = starts[upstream].max(wave + 1);
                let name =
                    Run { instance: format!("i-{upstream}").into(), started_ms: Some(wave as u64) };
                let at = NOW + Duration::from_millis(ends_at[wave]);
                let news = suspects.ended(seconds(30), &name, at, &[content(request)]);
                turned_away += news.turned_away.len();
                at_ms = ends_at[wave] + random.random_range(1..300);
            }
        }
    }
    assert!(ends_met > 10_000, "the days were as hard as meant: {ends_met}");
    assert_eq!(turned_away, 0, "of {ends_met} ends met");
}

/// In the first second of a fleet, before anything was answered, a harmless content was in hand at the same three ends as a
/// deadly one, and was refused 4 times until its first answer came. Neither can be told from the other by its ends.
#[test]
fn two_requests_that_share_all_their_ends_are_in_doubt_for_a_moment() {
    let mut suspects = Suspects::default();
    for number in 1..=3 {
        end(&mut suspects, number, &[7, 8]);
    }
    let third = seconds(3);
    let in_doubt = |suspects: &Suspects, number, later_ms| {
        suspects.is_in_doubt(third + Duration::from_millis(later_ms), content(number))
    };
    assert!(in_doubt(&suspects, 7, 0) && in_doubt(&suspects, 8, 500));
    assert!(!in_doubt(&suspects, 7, 700), "an answer would have come");
    assert!(!in_doubt(&suspects, 9, 0), "it isn't turned away");
    // The answer that was being given settles it: the other one is no longer in doubt, and stays turned away.
    assert!(suspects.answered(content(8), third + Duration::from_millis(100)));
    assert!(!in_doubt(&suspects, 7, 200) && !in_doubt(&suspects, 8, 200));
    assert!(suspects.is_turned_away(content(7)) && !suspects.is_turned_away(content(8)));
}

#[test]
fn a_request_that_has_an_end_of_its_own_is_in_no_doubt() {
    let mut suspects = Suspects::default();
    end(&mut suspects, 1, &[7, 8]);
    end(&mut suspects, 2, &[7, 8]);
    assert_eq!(end(&mut suspects, 3, &[7]), [content(7)]);
    assert!(!suspects.is_in_doubt(seconds(3), content(7)));
}
