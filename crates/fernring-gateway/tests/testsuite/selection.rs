//! Which upstream a request is sent to.

use {
    fernring_gateway::{
        model::UpstreamKey,
        selection::{Candidate, PromptDemand, choose, choose_model},
    },
    slotmap::SlotMap,
    std::collections::BTreeSet,
};

fn candidates(count: u64) -> Vec<Candidate> {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let candidate = |identity| Candidate {
        key: keys.insert(()),
        identity,
        load: 0.0,
        slots: 4,
        is_same_domain: false,
        is_avoided: false,
        is_cold: false,
        is_rollout_target: false,
    };
    (0..count).map(candidate).collect()
}

fn need(prefix: u64) -> PromptDemand {
    PromptDemand {
        prefix,
        uncached_tokens: 1_000.0,
        total_tokens: 10_000.0,
        token_budget: 20_000.0,
        home: None,
    }
}

fn chosen(candidates: &[Candidate], need: PromptDemand) -> Option<UpstreamKey> {
    choose_model(candidates, need).map(|choice| choice.key)
}

#[test]
fn requests_that_share_a_prompt_meet_and_prompts_spread() {
    let all = candidates(6);
    let mut reversed = all.clone();
    reversed.reverse();
    let mut used = BTreeSet::new();
    for prefix in 0..50 {
        let engine = chosen(&all, need(prefix)).unwrap();
        assert_eq!(chosen(&reversed, need(prefix)), Some(engine));
        used.insert(engine);
    }
    assert_eq!(used.len(), 6);
}

#[test]
fn a_backlog_that_would_make_it_late_sends_a_request_elsewhere() {
    let mut all = candidates(3);
    let first = chosen(&all, need(7)).unwrap();
    let at = |all: &[Candidate], key| all.iter().position(|c| c.key == key).unwrap();
    let index = at(&all, first);
    all[index].load = 15_000.0;
    assert_eq!(chosen(&all, need(7)), Some(first), "still in time there");
    all[index].load = 25_000.0;
    assert_ne!(chosen(&all, need(7)), Some(first));
}

#[test]
fn when_all_are_late_the_least_loaded_is_chosen() {
    let mut all = candidates(3);
    for (candidate, load) in all.iter_mut().zip([90_000.0, 50_000.0, 70_000.0]) {
        candidate.load = load;
    }
    assert_eq!(chosen(&all, need(7)), Some(all[1].key));
}

#[test]
fn the_home_goes_first_while_it_is_in_time() {
    let mut all = candidates(3);
    for home in 0..3 {
        let wanted = PromptDemand { home: Some(all[home].key), ..need(7) };
        assert_eq!(chosen(&all, wanted), wanted.home);
    }
    all[0].load = 50_000.0;
    let wanted = PromptDemand { home: Some(all[0].key), ..need(7) };
    assert_ne!(chosen(&all, wanted), wanted.home);
}

#[test]
fn those_to_be_avoided_are_chosen_only_when_nothing_else_is_there() {
    let mut all = candidates(2);
    all[0].is_avoided = true;
    assert_eq!(choose(&all, 1), Some(all[1].key));
    all[1].is_avoided = true;
    assert!(choose(&all, 1).is_some());
    assert_eq!(choose(&[], 1), None);
    assert_eq!(chosen(&[], need(1)), None);
}

#[test]
fn the_least_loaded_for_its_size_and_then_the_nearest_is_chosen() {
    let mut all = candidates(3);
    all[0].load = 2.0;
    all[1].load = 3.0;
    all[1].slots = 16;
    all[2].load = 3.0;
    assert_eq!(choose(&all, 1), Some(all[1].key));
    let mut equal = candidates(3);
    equal[2].is_same_domain = true;
    assert_eq!(choose(&equal, 1), Some(equal[2].key));
}

#[test]
fn the_usual_engine_of_a_shared_part_has_it_also_where_another_was_to_be_home() {
    let mut all = candidates(4);
    let usual = chosen(&all, need(7)).unwrap();
    let home = all.iter().position(|c| c.key != usual).unwrap();
    // Nobody is in time, and the home least of all.
    for candidate in &mut all {
        candidate.load = 30_000.0;
    }
    all[home].load = 90_000.0;
    let wanted = PromptDemand { home: Some(all[home].key), ..need(7) };
    assert_eq!(chosen(&all, wanted), Some(usual));
}

#[test]
fn a_cold_upstream_is_left_out_while_others_suffice() {
    let mut all = candidates(3);
    let usual = chosen(&all, need(7)).unwrap();
    let at = all.iter().position(|c| c.key == usual).unwrap();
    all[at].is_cold = true;
    assert_ne!(chosen(&all, need(7)), Some(usual));
    assert_ne!(choose(&all, 1), Some(usual));
    for other in all.iter_mut().filter(|c| c.key != usual) {
        other.load = 50_000.0;
    }
    assert_eq!(chosen(&all, need(7)), Some(usual), "the others would be late");
    assert_ne!(choose(&all, 1), Some(usual), "they would serve, though");
    for other in all.iter_mut().filter(|c| c.key != usual) {
        other.is_avoided = true;
    }
    assert_eq!(choose(&all, 1), Some(usual), "nothing else is sound");
}
