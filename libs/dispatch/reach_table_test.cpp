#include "fennelladder/dispatch/reach_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr instant start = instant(seconds(100));
constexpr duration dial_time = milliseconds(350);

catalog::target_process process_of(int n)
{
    return {target_id("i-" + std::to_string(n)), catalog::target_start(7)};
}

const service_id llm("llm");
const service_id shop("shop");
const host_id peer("n1");

} // namespace

TEST_GROUP(reach_table)
{
    reach_table reach{{}};
    instant now = start;

    void setup() override
    {
        std::vector<listed_process> all;
        for (int i = 0; i < 4; ++i)
            all.push_back({process_of(i), i < 3 ? llm : shop});
        reach.set_targets(all);
    }

    void pass(duration time)
    {
        now += time;
    }

    void fail_to_connect(int n)
    {
        pass(dial_time);
        reach.note_dial_failed(process_of(n), now - dial_time, now);
    }

    /// A peer reports that it heard from these targets a moment ago.
    void report(std::initializer_list<int> targets)
    {
        std::vector<reached_target> all;
        for (const int it : targets)
            all.push_back({mark_of(process_of(it)), milliseconds(10)});
        reach.set_peer(peer, all, now);
    }
};

TEST(reach_table, relays_nothing_while_all_is_reached)
{
    report({0, 1, 2, 3});
    for (int i = 0; i < 4; ++i) {
        CHECK(!reach.needs_relay(process_of(i)));
        CHECK(reach.may_use_open(process_of(i)));
    }
    CHECK(!reach.next_probe(now));
    CHECK(reach.relays(process_of(0), now).empty());
}

// Guards against taking a lost link for the target's failure.
TEST(reach_table, relays_to_a_lost_target_that_a_peer_hears_from)
{
    fail_to_connect(0);
    CHECK(!reach.needs_relay(process_of(0)));
    pass(milliseconds(100));
    report({0, 1});
    CHECK(reach.needs_relay(process_of(0)));
    CHECK(!reach.needs_relay(process_of(1)));
    CHECK(reach.relays(process_of(0), now) == std::vector{peer});
    CHECK(!reach.may_use_open(process_of(0)));
}

// Guards against relaying to a target that failed: what peers heard before is
// no evidence.
TEST(reach_table, does_not_relay_to_a_target_that_no_peer_hears_from_since)
{
    report({0, 1});
    pass(milliseconds(100));
    fail_to_connect(0);
    CHECK(!reach.needs_relay(process_of(0)));
    pass(milliseconds(200));
    report({1});
    CHECK(!reach.needs_relay(process_of(0)));
}

// Guards against losing the targets one by one, a connect timeout each.
TEST(reach_table, two_failures_without_a_byte_cut_off_a_service)
{
    fail_to_connect(0);
    fail_to_connect(1);
    CHECK(!reach.is_cut_off(llm));
    report({2});
    CHECK(reach.is_cut_off(llm));
    CHECK(reach.needs_relay(process_of(2)));
    CHECK(!reach.may_use_open(process_of(2)));
    CHECK(!reach.is_cut_off(shop));
    CHECK(reach.impaired_services() == std::vector{llm});
    CHECK(!reach.needs_relay(process_of(3)));
    CHECK(reach.relays(process_of(0), now) == std::vector{peer});
}

// Open connections that go on working while new ones are refused don't hide
// the loss of the targets themselves.
TEST(reach_table, bytes_end_the_cut_but_not_the_loss_of_a_target)
{
    fail_to_connect(0);
    fail_to_connect(1);
    pass(milliseconds(100));
    reach.note_contact(process_of(0), now);
    report({0, 1, 2});
    CHECK(!reach.is_cut_off(llm));
    CHECK(reach.needs_relay(process_of(0)));
    CHECK(reach.may_use_open(process_of(0)));
    CHECK(reach.needs_relay(process_of(1)));
    CHECK(!reach.may_use_open(process_of(1)));
    CHECK(!reach.needs_relay(process_of(2)));
}

// Guards against relaying in circles when a service is down for everybody.
TEST(reach_table, nothing_is_relayed_to_a_service_that_nobody_reaches)
{
    report({0, 1, 2});
    pass(milliseconds(100));
    for (int i = 0; i < 3; ++i)
        fail_to_connect(i);
    pass(seconds(1));
    report({3});
    CHECK(reach.impaired_services().empty());
    for (int i = 0; i < 3; ++i)
        CHECK(!reach.needs_relay(process_of(i)));
}

TEST(reach_table, a_target_that_the_peer_does_not_reach_is_not_relayed)
{
    fail_to_connect(0);
    fail_to_connect(1);
    report({0, 2});
    pass(milliseconds(100));
    reach.note_unreachable_by_peer(process_of(0), now);
    CHECK(!reach.needs_relay(process_of(0)));
    CHECK(reach.needs_relay(process_of(1)));
    pass(milliseconds(100));
    report({0, 2});
    CHECK(reach.needs_relay(process_of(0)));
}

TEST(reach_table, a_peer_that_did_not_relay_is_left_alone_for_a_while)
{
    fail_to_connect(0);
    report({0});
    reach.note_relay_failed(peer, now);
    CHECK(reach.relays(process_of(0), now).empty());
    pass(reach_options().relay_backoff);
    CHECK(reach.relays(process_of(0), now) == std::vector{peer});
    pass(reach_options().peer_memory);
    CHECK(reach.relays(process_of(0), now).empty());
    report({0});
    reach.forget_peer(peer);
    CHECK(reach.relays(process_of(0), now).empty());
    CHECK(reach.needs_relay(process_of(0)));
}

// Probes find healed links within a second, and the others right after.
TEST(reach_table, probes_end_a_loss)
{
    fail_to_connect(0);
    fail_to_connect(1);
    report({0, 1, 2});
    const instant healed = now;
    int probes = 0;
    while (reach.lost_count() > 0) {
        const auto probed = reach.next_probe(now);
        if (probed) {
            ++probes;
            reach.note_connected(*probed, now);
        } else {
            pass(milliseconds(10));
        }
        CHECK(now - healed < seconds(1));
    }
    CHECK(probes <= 3);
    for (int i = 0; i < 3; ++i)
        CHECK(!reach.needs_relay(process_of(i)));
}

// Guards against a cut that never ends because the two targets whose loss began
// it have really failed.
TEST(reach_table, probes_also_test_targets_that_were_not_lost_themselves)
{
    fail_to_connect(0);
    fail_to_connect(1);
    report({2});
    const instant begun = now;
    while (reach.is_cut_off(llm)) {
        const auto probed = reach.next_probe(now);
        if (probed && *probed == process_of(2))
            reach.note_connected(*probed, now);
        else if (probed)
            reach.note_dial_failed(*probed, now - dial_time, now);
        pass(milliseconds(50));
        CHECK(now - begun < seconds(1));
    }
}

// Guards against alternating on a path that drops packets.
TEST(reach_table, a_target_lost_again_needs_more_successes)
{
    for (int needed = 1; needed <= 3; ++needed) {
        fail_to_connect(0);
        report({0});
        for (int i = 1; i <= needed; ++i) {
            CHECK(reach.needs_relay(process_of(0)));
            reach.note_connected(process_of(0), now);
        }
        CHECK(!reach.needs_relay(process_of(0)));
    }
    pass(reach_options().relapse_span);
    fail_to_connect(0);
    reach.note_connected(process_of(0), now);
    CHECK(!reach.lost_since(process_of(0)));
}

// Guards against counting from the failure of a target that is gone: what peers
// heard before the other failures would be evidence of a cut.
TEST(reach_table, a_cut_begins_with_the_first_failure_of_a_listed_target)
{
    fail_to_connect(0);
    reach.set_targets({{process_of(1), llm}, {process_of(2), llm}});
    pass(seconds(1));
    report({2});
    pass(milliseconds(100));
    fail_to_connect(1);
    fail_to_connect(2);
    CHECK(!reach.is_cut_off(llm));
}

TEST(reach_table, a_new_process_starts_anew)
{
    fail_to_connect(0);
    report({0});
    CHECK(reach.needs_relay(process_of(0)));
    const catalog::target_process next{target_id("i-0"),
                                       catalog::target_start(8)};
    reach.set_targets({{next, llm}});
    UNSIGNED_LONGS_EQUAL(0, reach.lost_count());
    CHECK(!reach.needs_relay(next));
    CHECK(!reach.heard_by_peers(next));
}

TEST(reach_table, reports_the_targets_heard_from_last)
{
    for (int i = 0; i < 4; ++i) {
        reach.note_contact(process_of(i), now);
        pass(seconds(1));
    }
    const auto all = reach.own_report(10, now);
    UNSIGNED_LONGS_EQUAL(3, all.size());
    CHECK(all[0].mark == mark_of(process_of(3)));
    UNSIGNED_LONGS_EQUAL(1, reach.own_report(1, now).size());
}
