#include "sample_targets.hpp"

#include "fennelladder/dispatch/target_registry.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr instant start = instant(seconds(100));

using entry_map = catalog::target_list::entry_map;

entry_map engines(int n)
{
    entry_map out;
    for (int i = 0; i < n; ++i) {
        const auto it = sample_engine(i, 64);
        out.emplace(it.id, it);
    }
    return out;
}

routing_request prompt(std::uint64_t part, std::uint32_t size = 5000)
{
    routing_request out;
    out.service = service_id("llm");
    out.on_engine = true;
    out.prompt = {{1, 500}, {part, size}, {part * 1000 + 7, 1000}};
    out.prompt_size = 1500 + size;
    out.objective = seconds(1);
    return out;
}

} // namespace

TEST_GROUP(target_registry)
{
    target_registry registry{{}};
    random_source random{1};

    void setup() override
    {
        registry.sync(engines(6), false, start);
    }

    target_id chosen(const routing_request& request, instant now = start)
    {
        const auto made = registry.choose(request, now, random);
        return made ? made->target : target_id();
    }
};

TEST(target_registry, nodes_agree_where_a_part_is_read)
{
    target_registry other{{}};
    other.sync(engines(6), false, start);
    random_source dice(99);
    for (std::uint64_t part = 2; part < 40; ++part) {
        const auto request = prompt(part);
        CHECK(chosen(request) == other.choose(request, start, dice)->target);
    }
}

TEST(target_registry, parts_are_spread)
{
    std::map<target_id, int> count;
    for (std::uint64_t part = 2; part < 302; ++part)
        ++count[chosen(prompt(part))];
    UNSIGNED_LONGS_EQUAL(6, count.size());
    for (const auto& [target, n] : count)
        CHECK(n > 20);
}

// Story: one thing is asked for by everybody. Its target fills up; the next
// requests go elsewhere and fetch the part instead of reading it.
TEST(target_registry, a_hot_part_spills_over_and_is_fetched)
{
    const auto request = prompt(5);
    const auto first = registry.choose(request, start, random);
    for (int i = 0; i < 400; ++i)
        registry.started(*first, request, start);
    const auto next = registry.choose(request, start, random);
    CHECK(next->target != first->target);
    STRCMP_EQUAL(first->address.c_str(), next->fetch_from.c_str());
    CHECK(first->fetch_from.empty());
}

// Story: a target dies. The first failed connection takes it out of the
// choice; after its rest one request finds out whether it is back.
TEST(target_registry, an_unreachable_target_rests_and_is_tried_gently)
{
    const auto request = prompt(5);
    const target_id dead = chosen(request);
    registry.note_evidence({dead}, target_evidence::unreachable, start);
    for (int i = 0; i < 20; ++i)
        CHECK(chosen(request) != dead);
    const instant later = start + seconds(30);
    const auto made = registry.choose(request, later, random);
    CHECK(made->target == dead);
    registry.started(*made, request, later);
    CHECK(chosen(request, later) != dead);
    registry.finished(*made, false, target_evidence::answered, later);
    CHECK(chosen(request, later) == dead);
}

TEST(target_registry, all_resting_targets_are_better_than_none)
{
    for (int i = 0; i < 6; ++i)
        registry.note_evidence({target_id("i-" + std::to_string(i))},
                               target_evidence::unreachable, start);
    CHECK(!chosen(prompt(5)).empty());
}

TEST(target_registry, another_life_is_never_sent_to_again)
{
    const auto request = prompt(5);
    const target_id was = chosen(request);
    registry.note_evidence({was}, target_evidence::other_life, start);
    CHECK(!registry.may_use(was, start));
    CHECK(chosen(request) != was);
}

TEST(target_registry, a_leaving_target_gets_nothing_new)
{
    const auto request = prompt(5);
    auto listed = engines(6);
    const target_id leaves = chosen(request);
    listed[leaves].leaving = true;
    registry.sync(listed, false, start);
    CHECK(chosen(request) != leaves);
}

// Story: the platform was away and the entries of living targets lapsed. They
// are used for a moment, until they are back or surely gone.
TEST(target_registry, lapsed_entries_are_used_for_a_moment)
{
    registry.sync({}, true, start);
    CHECK(!chosen(prompt(5)).empty());
    CHECK(chosen(prompt(5), start + seconds(2)).empty());
}

TEST(target_registry, a_removed_target_is_not_used)
{
    registry.sync({}, false, start);
    CHECK(chosen(prompt(5)).empty());
}

// Story: a target's entry was removed after a silence, while a request of this
// node ran there, and came back: the target lives. As long as the node ran, it
// sent nothing more there.
TEST(target_registry, a_target_that_comes_back_is_used)
{
    const auto request = prompt(5);
    const choice made = *registry.choose(request, start, random);
    registry.started(made, request, start);
    registry.sync({}, false, start);
    CHECK(!registry.may_use(made.target, start));
    registry.sync(engines(6), false, start);
    CHECK(registry.may_use(made.target, start));
    registry.finished(made, false, target_evidence::other_life, start);
    registry.sync(engines(6), false, start);
    CHECK(!registry.may_use(made.target, start));
}

TEST(target_registry, a_slow_target_is_left_and_found_again)
{
    // Little is shared, so that nothing but its speed holds requests there.
    const auto request = prompt(5, 100);
    auto fresh = request;
    fresh.prompt.back().id = 99;
    const auto made = registry.choose(request, start, random);
    for (int i = 0; i < 5; ++i) {
        registry.started(*made, request, start);
        registry.first_byte(*made, made->predicted * 20, start);
        registry.finished(*made, true, target_evidence::answered, start);
    }
    CHECK(chosen(fresh) != made->target);
    CHECK(chosen(fresh, start + seconds(60)) == made->target);
}

TEST(target_registry, load_of_peers_counts_until_they_are_forgotten)
{
    const auto request = prompt(5);
    const target_id usual = chosen(request);
    registry.set_peer_load(host_id("p"), {{usual, 500, 200'000}});
    CHECK(chosen(request) != usual);
    registry.set_peer_load(host_id("p"), {});
    CHECK(chosen(request) == usual);
    registry.set_peer_load(host_id("p"), {{usual, 500, 200'000}});
    registry.sync(engines(6), false, start);
    CHECK(chosen(request) != usual);
    registry.forget_peer(host_id("p"));
    CHECK(chosen(request) == usual);
}

/// Six engines; `id` started at `started` and listens at `address`.
entry_map restarted(const target_id& id, std::uint64_t started,
                    const char* address)
{
    entry_map out = engines(6);
    out[id].start = catalog::target_start(started);
    out[id].address = address;
    return out;
}

TEST_GROUP(target_restart)
{
    target_registry registry{{}};
    random_source random{1};
    const routing_request request = prompt(5);
    choice before; ///< Of the process that started at 100.

    void setup() override
    {
        registry.sync(engines(6), false, start);
        const target_id usual = registry.choose(request, start, random)->target;
        registry.sync(restarted(usual, 100, "10.0.1.1:80"), false, start);
        before = *registry.choose(request, start, random);
        CHECK(before.target == usual);
        CHECK(before.start == catalog::target_start(100));
    }

    /// Returns the entries that were replaced.
    std::vector<catalog::target_entry> starts_again(
        std::uint64_t at, const char* address = "10.0.1.1:80")
    {
        return registry.sync(restarted(before.target, at, address), false,
                             start);
    }

    choice chosen(const routing_request& wanted, instant now = start)
    {
        return *registry.choose(wanted, now, random);
    }
};

// Story: a process was shunned, for any reason, and its target started again
// under its id. What was held against the process kept requests away from the
// next, which had done nothing.
TEST(target_restart, nothing_is_held_against_the_next_process)
{
    using step =
        void (*)(target_registry&, const choice&, const routing_request&);
    struct row
    {
        const char* what;
        step shun;
    };
    const row rows[] = {
        {"unreachable",
         [](target_registry& it, const choice& made, const routing_request&) {
             it.note_evidence(made.process(), target_evidence::unreachable,
                              start);
         }},
        {"full",
         [](target_registry& it, const choice& made, const routing_request&) {
             it.note_evidence(made.process(), target_evidence::full, start);
         }},
        {"another life",
         [](target_registry& it, const choice& made, const routing_request&) {
             it.note_evidence(made.process(), target_evidence::other_life,
                              start);
         }},
        {"failures",
         [](target_registry& it, const choice& made, const routing_request&) {
             for (int i = 0; i < 9; ++i)
                 it.note_evidence(made.process(), target_evidence::broke,
                                  start);
         }},
        {"slow",
         [](target_registry& it, const choice& made, const routing_request&) {
             for (int i = 0; i < 9; ++i) {
                 it.started(made, routing_request(), start);
                 it.first_byte(made, seconds(60), start);
                 it.finished(made, true, target_evidence::answered, start);
             }
         }},
        {"own load",
         [](target_registry& it, const choice& made,
            const routing_request& wanted) {
             for (int i = 0; i < 500; ++i)
                 it.started(made, wanted, start);
         }},
        {"load of a peer",
         [](target_registry& it, const choice& made, const routing_request&) {
             it.set_peer_load(host_id("p"),
                              {{made.target, 500, 200'000, made.start}});
         }},
        {"leaving",
         [](target_registry& it, const choice& made, const routing_request&) {
             auto listed = restarted(made.target, 100, "10.0.1.1:80");
             listed[made.target].leaving = true;
             it.sync(listed, false, start);
         }},
    };
    for (const row& it : rows) {
        registry = target_registry{{}};
        setup();
        it.shun(registry, before, request);
        CHECK_TEXT(chosen(request).target != before.target, it.what);
        starts_again(200);
        CHECK_TEXT(chosen(request).target == before.target, it.what);
        CHECK_TEXT(chosen(request).start == catalog::target_start(200),
                   it.what);
    }
}

// Story: a target had read a long prompt and started again. It was still
// chosen, and named to others as the place to fetch the prompt from, though it
// holds nothing.
TEST(target_restart, what_was_read_before_is_not_expected)
{
    routing_request own = prompt(5);
    own.prompt.erase(own.prompt.begin(), own.prompt.begin() + 2);
    const choice made = chosen(own);
    registry.sync(restarted(made.target, 100, "10.0.1.1:80"), false, start);
    const choice first = chosen(own);
    CHECK(first.target == made.target);
    registry.started(first, prompt(5), start);
    const std::uint32_t to_read = chosen(prompt(5)).work.reading;
    CHECK(to_read < 500);
    registry.sync(restarted(made.target, 200, "10.0.1.1:80"), false, start);
    CHECK(chosen(prompt(5)).work.reading > to_read);
}

// Story: requests were under way as the target started again, and end
// afterwards. Taken off the counts of the next process, they made it look free
// (or ended the node, whose counts must not fall below nothing).
TEST(target_restart, what_ends_late_is_not_taken_off_the_next_process)
{
    for (int i = 0; i < 3; ++i)
        registry.started(before, request, start);
    starts_again(200);
    CHECK(registry.own_load().empty());
    choice next = chosen(request);
    registry.started(next, request, start);
    registry.first_byte(before, seconds(60), start);
    for (int i = 0; i < 3; ++i)
        registry.finished(before, i == 0, target_evidence::unreachable, start);
    const auto load = registry.own_load();
    UNSIGNED_LONGS_EQUAL(1, load.size());
    UNSIGNED_LONGS_EQUAL(1, load.at(0).running);
    UNSIGNED_LONGS_EQUAL(next.work.reading, load.at(0).reading);
    CHECK(load.at(0).start == catalog::target_start(200));
    registry.finished(next, false, target_evidence::answered, start);
    CHECK(chosen(request).target == next.target);
    registry.note_evidence(before.process(), target_evidence::other_life,
                           start);
    CHECK(registry.may_use(next.target, start));
}

// Story: a peer that hasn't heard of the restart tells what it has running at
// the process before. Counted at the next one, that kept requests away from it.
TEST(target_restart, a_peers_load_counts_for_its_process)
{
    struct row
    {
        std::uint64_t start; ///< 0: a peer of an earlier release.
        bool counts;
    };
    const row rows[] = {{100, false}, {200, true}, {300, false}, {0, true}};
    starts_again(200);
    for (const row& it : rows) {
        registry.set_peer_load(
            host_id("p"),
            {{before.target, 500, 200'000, catalog::target_start(it.start)}});
        CHECK_EQUAL(it.counts, chosen(request).target != before.target);
    }
    registry.forget_peer(host_id("p"));
    CHECK(chosen(request).target == before.target);
}

// Story: a request was tried at a process. Its target started again, alone in
// its service; a request that may be repeated is sent to the next process.
TEST(target_restart, a_process_that_was_tried_is_avoided_and_the_next_is_not)
{
    routing_request again = request;
    again.avoid = {before.process()};
    CHECK(chosen(again).target != before.target);
    starts_again(200);
    CHECK(chosen(again).target == before.target);
}

// Connections to what a target was are of no use: kept, they would carry
// requests to a process that is gone, or to another at the address.
TEST(target_restart, tells_what_was_replaced)
{
    struct row
    {
        const char* what;
        std::uint64_t start;
        const char* address;
        bool replaced;
        std::uint64_t start_after;
    };
    const row rows[] = {
        {"nothing new", 100, "10.0.1.1:80", false, 100},
        {"a later start", 200, "10.0.1.1:80", true, 200},
        {"a later start elsewhere", 300, "10.0.1.2:80", true, 300},
        {"the same process elsewhere", 300, "10.0.1.3:80", true, 300},
        {"an earlier start", 200, "10.0.1.2:80", false, 300},
    };
    for (const row& it : rows) {
        const auto known = registry.entry_of(before.target);
        const auto replaced = starts_again(it.start, it.address);
        CHECK_EQUAL_TEXT(it.replaced, !replaced.empty(), it.what);
        if (it.replaced)
            CHECK_TEXT(replaced.at(0) == *known, it.what);
        CHECK_TEXT(chosen(request).start ==
                       catalog::target_start(it.start_after),
                   it.what);
    }
}

// Story: requests failed at an address that its target had left, or got there
// that another life has it. When the list tells the new address, the process
// is the same and was never out of reach.
TEST(target_restart, what_an_address_did_ends_with_it)
{
    for (const auto evidence :
         {target_evidence::unreachable, target_evidence::other_life}) {
        registry = target_registry{{}};
        setup();
        registry.note_evidence(before.process(), evidence, start);
        CHECK(chosen(request).target != before.target);
        starts_again(100, "10.0.1.2:80");
        CHECK(chosen(request).target == before.target);
    }
}

// The same address under another id is another target, of which nothing is
// known.
TEST(target_restart, another_id_at_the_address_begins_anew)
{
    registry.note_evidence(before.process(), target_evidence::unreachable,
                           start);
    entry_map listed = engines(6);
    catalog::target_entry other = listed[before.target];
    listed.erase(before.target);
    other.id = target_id("i-new");
    other.address = before.address;
    listed[other.id] = other;
    registry.sync(listed, false, start);
    CHECK(!registry.may_use(before.target, start));
    CHECK(registry.may_use(other.id, start));
    routing_request alone = request;
    for (const auto& [id, entry] : listed)
        if (id != other.id)
            alone.avoid.push_back(entry.process());
    STRCMP_EQUAL(before.address.c_str(), chosen(alone).address.c_str());
}

// Story: a host goes dark. A summary that may not be sent again waits there
// until its deadline, eight seconds later, and so do the others that were sent
// after it: nothing has ended, so nothing said that the target was gone.
TEST(target_registry, a_target_that_fell_silent_gets_no_more)
{
    const auto request = prompt(5);
    const auto first = registry.choose(request, start, random);
    registry.started(*first, request, start);
    CHECK(chosen(request) == first->target);
    const instant later = start + milliseconds(1'001);
    CHECK(chosen(request, later) != first->target);
    // It was only slow, or it is back.
    registry.note_activity(first->process(), later);
    CHECK(chosen(request, later) == first->target);
    // Nothing is waited for any more.
    registry.first_byte(*first, seconds(1), later);
    CHECK(chosen(request, later + seconds(2)) == first->target);
    registry.finished(*first, true, target_evidence::answered, later);
}

// A target may be alone in its service.
TEST(target_registry, silence_is_no_reason_to_refuse)
{
    target_registry alone{{}};
    alone.sync(engines(1), false, start);
    const auto request = prompt(5);
    const auto made = alone.choose(request, start, random);
    alone.started(*made, request, start);
    CHECK(alone.choose(request, start + seconds(5), random).has_value());
}
