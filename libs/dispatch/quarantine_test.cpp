#include "fennelladder/dispatch/quarantine.hpp"

#include "fennelladder/base/random.hpp"
#include "fennelladder/dispatch/run_leases.hpp"
#include "quarantine_samples.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace fennelladder;
using namespace fennelladder::dispatch;

TEST_GROUP(quarantine)
{
    quarantine table;

    void note(const crash_mark& mark, const crash_death<instant>& it)
    {
        table.note_death(mark, it, it.at);
    }

    void answer(const crash_mark& mark, double s, run_place place = v1)
    {
        const std::vector<crash_mark> one{mark};
        table.note_answer(one, place, at(s));
    }
};

TEST(quarantine, fingerprint_covers_what_a_caller_sends_again)
{
    const auto mark = fingerprint_of("POST", "/a", team_id("t"), "crash");
    CHECK(mark == fingerprint_of("POST", "/a", team_id("t"), "crash"));
    CHECK(mark != fingerprint_of("POST", "/b", team_id("t"), "crash"));
    CHECK(mark != fingerprint_of("POST", "/a", team_id("u"), "crash"));
    CHECK(mark != fingerprint_of("POST", "/a", team_id("t"), "other"));
}

TEST(quarantine, a_part_is_not_a_request_with_the_same_number)
{
    note(bad, death("a", 0));
    CHECK(level_of(table, crash_mark::of(request_fingerprint(bad.value)), 0) ==
          suspicion::clear);
}

// Two targets die under a mark, so no third one gets it. A mark that ran beside
// it at the first target may run again.
TEST(quarantine, one_death_makes_a_mark_suspected_and_a_second_one_condemned)
{
    note(bad, death("a", 0));
    note(other, death("a", 0));
    CHECK(level_of(table, bad, 0) == suspicion::suspected);
    note(bad, death("b", 1));
    CHECK(level_of(table, bad, 1) == suspicion::condemned);
    const std::vector<crash_mark> marks{other, bad};
    CHECK(table.assess(other, marks, v1, at(1)).level == suspicion::suspected);
}

// Targets that die at once, as with their rack, are one piece of evidence.
TEST(quarantine, targets_that_die_together_are_one_round)
{
    for (int i = 0; i < 9; ++i)
        note(other, death("t" + std::to_string(i), 0.01 * i));
    const auto got = table.assess(other, {}, v1, at(1));
    CHECK(got.level == suspicion::suspected);
    CHECK_EQUAL(1, got.rounds);
    CHECK_EQUAL(9, got.deaths);
}

// Of targets that die at once, a sound part ran at one; a crashing one that is
// sent to many at a time ran at each.
TEST(quarantine, targets_that_die_beside_others_excuse_a_round)
{
    for (int i = 0; i < 5; ++i) {
        const auto it = death("t" + std::to_string(i), 0.01 * i);
        note(crash_mark::of_part(100 + std::uint64_t(i)), it);
        note(bad, it);
    }
    CHECK(level_of(table, bad, 1) == suspicion::suspected);
    const auto sound = crash_mark::of_part(102);
    CHECK(level_of(table, sound, 1) == suspicion::clear);
    // Only one round is excused, or several parts could hide each other.
    for (int i = 0; i < 5; ++i)
        note(crash_mark::of_part(100 + std::uint64_t(i)),
             death("u" + std::to_string(i), 5 + 0.01 * i));
    CHECK(level_of(table, sound, 6) == suspicion::suspected);
}

// A request that runs once more after its target's death, within one attempt of
// its caller, is sent after that death.
TEST(quarantine, the_second_attempt_of_a_request_is_a_round)
{
    const auto request = crash_mark::of(request_fingerprint(5));
    note(request, death("a", 0));
    note(request, death("b", 0.105));
    CHECK(level_of(table, request, 1) == suspicion::condemned);
}

TEST(quarantine, a_run_under_a_lease_is_a_round_by_itself)
{
    note(bad, death("a", 0));
    note(bad, death("b", 0.2, true));
    CHECK(level_of(table, bad, 1) == suspicion::condemned);
}

// Sound parts in demand are answered all the time; a crashing one never is.
TEST(quarantine, an_answer_after_the_deaths_clears_a_mark)
{
    struct row
    {
        const char* what;
        double answered;
        run_place place;
        suspicion level;
    };
    const row rows[] = {
        {"after the deaths", 3, v1, suspicion::clear},
        {"between them", 1.5, v1, suspicion::clear},
        {"before them", -0.5, v1, suspicion::suspected},
        {"long before them", -90, v1, suspicion::condemned},
        {"by another version", 3, v2, suspicion::condemned},
    };
    for (const row& it : rows) {
        table = quarantine();
        answer(bad, it.answered, it.place);
        note(bad, death("a", 1));
        answer(bad, it.answered, it.place);
        note(bad, death("b", 2));
        answer(bad, it.answered, it.place);
        CHECK_TEXT(it.level == level_of(table, bad, 4), it.what);
    }
}

// A part that crashes one software version goes on at another that answers it.
TEST(quarantine, a_version_that_answers_a_part_is_assessed_by_itself)
{
    note(bad, death("a", 0, false, v2));
    note(bad, death("b", 2, false, v2));
    CHECK(level_of(table, bad, 3, v1) == suspicion::condemned);
    answer(bad, 3, v1);
    CHECK(level_of(table, bad, 3, v1) == suspicion::clear);
    CHECK(level_of(table, bad, 3, v2) == suspicion::condemned);
}

// Guards against sound parts that are refused because they ran beside a
// crashing one: its deaths have a known cause.
TEST(quarantine, a_condemned_mark_explains_the_deaths_of_others)
{
    note(bad, death("a", 0));
    note(bad, death("b", 1));
    note(bad, death("c", 2));
    note(first, death("a", 0));
    note(first, death("b", 1));
    const std::vector<crash_mark> sound{first, other};
    const std::vector<crash_mark> crashing{first, bad};
    CHECK(table.assess(first, sound, v1, at(3)).level == suspicion::clear);
    CHECK(table.assess(bad, crashing, v1, at(3)).level == suspicion::condemned);
    CHECK(table.worst_of(crashing, v1, at(3))->mark == bad);
    // Beside the part that explains them they stay.
    CHECK(table.assess(first, crashing, v1, at(3)).level ==
          suspicion::condemned);
}

// Of two parts that were always sent together, a request with one of them may
// show which it is.
TEST(quarantine, a_mark_with_the_same_deaths_as_a_condemned_one_may_run_alone)
{
    for (const crash_mark& it : {bad, first}) {
        note(it, death("a", 0));
        note(it, death("b", 1));
    }
    const std::vector<crash_mark> both{first, bad};
    const std::vector<crash_mark> one{first};
    CHECK(table.assess(first, both, v1, at(3)).level == suspicion::condemned);
    CHECK(table.assess(first, one, v1, at(3)).level == suspicion::suspected);
    answer(first, 4);
    CHECK(table.assess(first, both, v1, at(5)).level == suspicion::clear);
    CHECK(table.assess(bad, both, v1, at(5)).level == suspicion::condemned);
}

// Guards against a sound part that is refused because a node that knew of some
// runs of the crashing one has died with what it knew.
TEST(quarantine, a_sound_part_with_a_death_of_its_own_may_run_alone)
{
    for (const crash_mark& it : {bad, first}) {
        note(it, death("a", 0));
        note(it, death("b", 1));
    }
    note(first, death("c", 2));
    const std::vector<crash_mark> one{first, other};
    CHECK(table.assess(first, one, v1, at(3)).level == suspicion::suspected);
    // A further death of a run with it alone tells the two apart.
    note(first, death("d", 3, true));
    CHECK(table.assess(first, one, v1, at(4)).level == suspicion::condemned);
}

// Guards against a wrong verdict that never ends, and against trials that cost
// a target each few seconds.
TEST(quarantine, pauses_grow_with_each_trial_and_an_answer_ends_them)
{
    double s = 0;
    note(bad, death("a", s));
    const double pauses[] = {1, 10, 60, 180, 600, 600};
    for (const double pause : pauses) {
        s += pause;
        CHECK(table.assess(bad, {}, v1, at(s)).next_run <= at(s));
        note(bad, death("t" + std::to_string(s), s, true));
        CHECK(table.assess(bad, {}, v1, at(s + 1)).next_run > at(s + 1));
    }
    answer(bad, s + 600);
    CHECK(level_of(table, bad, s + 600) == suspicion::clear);
}

// Of a part that goes on coming for two minutes after five targets died under
// it, at most three requests reach targets.
TEST(quarantine, at_most_three_trials_in_two_minutes_after_five_deaths)
{
    for (int i = 0; i < 5; ++i)
        note(bad, death("w" + std::to_string(i), 0.02 * i));
    int runs = 0;
    run_leases leases;
    const std::vector<crash_mark> marks{bad};
    std::uint64_t number = 0;
    for (double s = 0.2; s < 120; s += 0.1) {
        const lease_holder holder{1, ++number};
        const auto got = leases.ask(holder, marks, v1, table, at(s));
        if (!got.granted)
            continue;
        runs += s > 3;
        note(bad, death("r" + std::to_string(number), s + 0.1, true));
        leases.end(holder, seconds(1), at(s + 0.1));
    }
    CHECK(runs > 0);
    CHECK(runs <= 3);
}

TEST(quarantine, an_operator_clears_a_mark_everywhere)
{
    quarantine peer;
    for (const auto& it : {death("a", 0), death("b", 2, false, v2)}) {
        note(bad, it);
        peer.note_death(bad, it, it.at);
    }
    CHECK(table.forgive(bad, at(3)));
    CHECK(!table.forgive(other, at(3)));
    CHECK(level_of(table, bad, 3) == suspicion::clear);
    for (const auto& it : table.take_news(seconds(20), 8, at(3)))
        peer.merge(it, at(3));
    CHECK(level_of(peer, bad, 3) == suspicion::clear);
    CHECK(level_of(peer, bad, 3, v2) == suspicion::clear);
}

// A target may restart under its id. Nodes of earlier releases report deaths
// without the start of the process.
TEST(quarantine, processes_of_one_id_are_told_apart_by_their_start)
{
    using deaths = std::vector<catalog::target_process>;
    const auto process = [](const char* id, std::uint64_t started) {
        return catalog::target_process{target_id(id),
                                       catalog::target_start(started)};
    };
    struct row
    {
        const char* what;
        deaths reported;
        std::size_t counted;
    };
    const row rows[] = {
        {"one process, reported twice", {process("a", 5), process("a", 5)}, 1},
        {"two processes of one id", {process("a", 5), process("a", 9)}, 2},
        {"two ids that started together",
         {process("a", 5), process("b", 5)},
         2},
        {"one without its start time", {process("a", 5), process("a", 0)}, 1},
        {"without its start time first", {process("a", 0), process("a", 5)}, 1},
        {"a further process with its start time",
         {process("a", 0), process("a", 5), process("a", 9)},
         2},
        {"in another order",
         {process("a", 9), process("a", 0), process("a", 5)},
         2},
    };
    for (const row& it : rows) {
        quarantine noted;
        quarantine merged;
        double s = 0;
        for (const catalog::target_process& target : it.reported) {
            crash_death<instant> one = death("", ++s);
            one.target = target;
            noted.note_death(bad, one, one.at);
            merged.merge({bad, {{target, v1, duration(0), duration(0)}}, {}},
                         one.at);
        }
        CHECK_EQUAL_TEXT(it.counted, noted.assess(bad, {}, v1, at(9)).deaths,
                         it.what);
        CHECK_EQUAL_TEXT(it.counted, merged.assess(bad, {}, v1, at(9)).deaths,
                         it.what);
    }
}

// Neither newer suspects nor a caller who invents parts displace a condemned
// mark, in the table or in what peers are told.
TEST(quarantine, condemned_marks_are_not_crowded_out)
{
    quarantine_options few;
    few.max_records = 100;
    table = quarantine(few);
    note(bad, death("a", 0));
    note(bad, death("b", 2));
    for (int i = 0; i < 1000; ++i)
        note(crash_mark::of_part(1000 + std::uint64_t(i)),
             death("c" + std::to_string(i), 3 + 0.001 * i));
    CHECK(table.size() <= few.max_records);
    CHECK(level_of(table, bad, 5) == suspicion::condemned);
    for (int i = 0; i < 10; ++i) {
        const auto told = table.take_news(seconds(20), 8, at(5 + i));
        CHECK(std::ranges::any_of(
            told, [](const auto& it) { return it.mark == bad; }));
    }
    CHECK_EQUAL(1, table.take_news(seconds(20), 8, at(60)).size());
}

// Guards against news that are never told, or told for ever, as marks change
// again and records are evicted.
TEST(quarantine, tells_exactly_what_changed_lately)
{
    quarantine_options few;
    few.max_records = 40;
    // None is condemned: such marks are told at any time.
    few.condemning_rounds = 1000;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_source random(seed);
        table = quarantine(few);
        std::map<crash_mark, double> changed;
        for (int i = 0; i < 400; ++i) {
            const double s = 0.5 * i;
            const crash_mark mark = crash_mark::of_part(random.below(60));
            const std::vector<crash_mark> one{mark};
            const auto kind = random.below(8);
            const auto it =
                death("t" + std::to_string(i), s, false,
                      place_of(service_id("s"),
                               catalog::software_version(std::to_string(i))));
            const bool changes = kind == 0 ? table.forgive(mark, at(s))
                                 : kind == 1
                                     ? table.note_answer(one, it.place, at(s))
                                     : table.note_death(mark, it, at(s));
            if (changes)
                changed[mark] = s;
            std::set<crash_mark> expected;
            for (const auto& [known, when] : changed) {
                const std::vector<crash_mark> those{known};
                const bool is_kept = !table.records_of(those, at(s)).empty();
                if (is_kept && s - when < 20)
                    expected.insert(known);
            }
            std::set<crash_mark> told;
            for (const auto& record :
                 table.take_news(seconds(20), few.max_records, at(s)))
                told.insert(record.mark);
            CHECK(told == expected);
        }
    }
}

TEST(quarantine, a_record_keeps_its_rounds_when_it_drops_deaths)
{
    for (int i = 0; i < 200; ++i)
        note(bad, death("w" + std::to_string(i), 0.001 * i));
    for (int i = 0; i < 3; ++i)
        note(bad, death("r" + std::to_string(i), 10 + 20 * i, true));
    const auto own = table.assess(bad, {}, v1, at(60));
    CHECK_EQUAL(4, own.rounds);
    quarantine peer;
    for (const auto& it : table.take_news(seconds(100), 8, at(60))) {
        CHECK(it.deaths.size() <= table.options().max_deaths_told);
        peer.merge(it, at(60));
    }
    CHECK_EQUAL(own.rounds, peer.assess(bad, {}, v1, at(60)).rounds);
    CHECK(own.next_run == peer.assess(bad, {}, v1, at(60)).next_run);
}

TEST(quarantine, records_expire)
{
    note(bad, death("a", 0));
    note(bad, death("b", 1));
    CHECK(level_of(table, bad, 1700) == suspicion::condemned);
    CHECK(level_of(table, bad, 1900) == suspicion::clear);
}

TEST_GROUP(run_leases)
{
    quarantine table;
    run_leases leases;
    const std::vector<crash_mark> marks{bad, other};
    const std::vector<crash_mark> one{bad};

    bool ask(std::uint64_t node, const std::vector<crash_mark>& of, double s)
    {
        return leases.ask({node, 1}, of, v1, table, at(s)).granted;
    }
};

TEST(run_leases, one_request_at_a_time_runs_with_a_suspected_mark)
{
    table.note_death(bad, death("a", 0), at(0));
    CHECK(ask(1, marks, 0.1));
    CHECK(ask(1, marks, 0.1)); // Asked again: the answer was lost.
    CHECK(!ask(2, one, 0.1));
    const auto later = leases.ask({2, 1}, one, v1, table, at(0.1)).retry_after;
    CHECK(later > duration(0));
    leases.end({1, 1}, duration(0), at(0.2));
    CHECK(ask(2, one, 0.2));
}

// The node that decides may not have heard of the death yet.
TEST(run_leases, a_mark_that_the_table_does_not_know_needs_a_lease)
{
    CHECK(ask(1, one, 0));
    CHECK(!ask(2, one, 0));
}

TEST(run_leases, a_mark_known_to_be_harmless_needs_none)
{
    table.note_answer(one, v1, at(0));
    CHECK(ask(1, one, 0.1));
    CHECK(ask(2, one, 0.1));
}

// Guards against a second run before the death of the first one is known.
TEST(run_leases, marks_are_held_after_a_run_whose_end_is_in_doubt)
{
    CHECK(ask(1, one, 0));
    leases.end({1, 1}, seconds(1), at(0.1));
    CHECK(!ask(2, one, 1));
    CHECK(ask(2, one, 1.2));
}

TEST(run_leases, a_lease_whose_holder_died_ends)
{
    CHECK(ask(1, one, 0));
    CHECK(!ask(2, one, 14));
    CHECK(ask(2, one, 16));
}

TEST(run_leases, a_condemned_mark_waits_for_its_next_run)
{
    table.note_death(bad, death("a", 0), at(0));
    table.note_death(bad, death("b", 1), at(1));
    const auto early = leases.ask({1, 1}, marks, v1, table, at(5));
    CHECK(!early.granted);
    CHECK(early.retry_after == seconds(6));
    CHECK(ask(1, marks, 11));
    // A trial that came to nothing isn't repeated at once.
    leases.end({1, 1}, duration(0), at(11.1));
    CHECK(!ask(2, marks, 15));
    CHECK(ask(2, marks, 22));
}

TEST(run_leases, are_bounded)
{
    run_lease_options few;
    few.max_leases = 300;
    leases = run_leases(few);
    for (std::uint64_t i = 0; i < 1000; ++i)
        (void)leases.ask({1, i}, std::vector{crash_mark::of_part(i)}, v1, table,
                         at(0));
    CHECK(leases.size() <= few.max_leases);
}
