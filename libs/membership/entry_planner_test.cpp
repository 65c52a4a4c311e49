#include "fennelladder/membership/entry_planner.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>

using namespace fennelladder;
using namespace fennelladder::membership;

namespace {

constexpr int callers = 4000;
const instant start = instant(hours(1));

/// One node's table that heard of `count` others, two data centers by turns.
struct entry_world
{
    member_table table;
    entry_planner planner{{}};
    std::uint64_t sequence = 0;

    explicit entry_world(int count)
        : table(host_id("n0"), describe(0), 1, {}, random_source(1))
    {
        table.set_state(member_state::serving, start);
        table.set_load(500, start);
        for (int n = 1; n < count; ++n)
            hear(n, 1, member_state::serving, 500);
        planner.update(table, start);
    }

    static member_description describe(int n)
    {
        const std::string name = "n" + std::to_string(n);
        return {incarnation_id(name + ".1"),
                data_center_id(n % 2 ? "b" : "a"),
                region_id("r"),
                name + ":1",
                name + ":2",
                1};
    }

    void hear(int n, std::uint64_t version, member_state state,
              std::uint32_t load, member_health doubt = member_health::alive)
    {
        const host_id host("n" + std::to_string(n));
        heartbeat it;
        it.gossip.sender = {host,
                            version,
                            state,
                            member_health::alive,
                            life_tag(describe(n).life),
                            describe(n)};
        it.gossip.sample = {host, ++sequence, load, {}};
        table.receive(it, start);
        if (doubt == member_health::alive)
            return;
        // Word of it from another node.
        it.gossip.sender.health = doubt;
        it.gossip.updates = {it.gossip.sender};
        it.gossip.sender.host = host_id("n1");
        it.gossip.sender.life_tag = life_tag(describe(1).life);
        it.gossip.sender.health = member_health::alive;
        it.gossip.sender.description.reset();
        table.receive(it, start);
    }

    std::map<int, host_id> first_choices()
    {
        planner.update(table, start);
        std::map<int, host_id> out;
        for (int n = 0; n < callers; ++n)
            out[n] = answer(n).addresses.at(0).host;
        return out;
    }

    entry_answer answer(int caller) const
    {
        return planner.answer({caller_id("c" + std::to_string(caller)),
                               data_center_id("a"), region_id("r")});
    }

    double share(const host_id& host)
    {
        const auto chosen = first_choices();
        return static_cast<double>(std::ranges::count_if(
                   chosen, [&](const auto& it) { return it.second == host; })) /
               callers;
    }
};

bool names(const entry_answer& answer, const host_id& host)
{
    return std::ranges::any_of(answer.addresses,
                               [&](const auto& it) { return it.host == host; });
}

} // namespace

TEST_GROUP(entry_planner){};

TEST(entry_planner, spreads_callers_over_their_data_center)
{
    entry_world it(16);
    for (int n = 0; n < 16; ++n) {
        const double share = it.share(host_id("n" + std::to_string(n)));
        if (n % 2 == 1)
            DOUBLES_EQUAL(0, share, 0);
        else
            DOUBLES_EQUAL(0.125, share, 0.025);
    }
}

TEST(entry_planner, gives_a_loaded_node_fewer_callers)
{
    entry_world it(16);
    it.hear(2, 2, member_state::serving, 875);
    // One eighth of its capacity is free, half of the others'.
    DOUBLES_EQUAL(1.0 / 29, it.share(host_id("n2")), 0.01);
}

TEST(entry_planner, moves_only_the_callers_of_a_node_that_leaves)
{
    entry_world it(16);
    const auto before = it.first_choices();
    it.hear(2, 2, member_state::draining, 500);
    for (const auto& [caller, host] : it.first_choices()) {
        CHECK(host != host_id("n2"));
        CHECK(before.at(caller) == host_id("n2") || before.at(caller) == host);
    }
}

// The third address is elsewhere: a caller whose data center goes dark still
// knows a node.
TEST(entry_planner, names_another_data_center_last)
{
    const entry_world it(16);
    for (int n = 0; n < 100; ++n) {
        const auto answer = it.answer(n);
        CHECK_EQUAL(3, answer.addresses.size());
        CHECK(answer.addresses[1].data_center == data_center_id("a"));
        CHECK(answer.addresses[2].data_center == data_center_id("b"));
        CHECK(answer.addresses[0].origin.str().ends_with(".1"));
        CHECK(answer.valid_for > seconds(14) &&
              answer.valid_for <= seconds(20));
    }
}

// Whatever the view says, the answer isn't empty, and the better comes first.
TEST(entry_planner, falls_back_step_by_step)
{
    entry_world it(3);
    it.hear(1, 2, member_state::draining, 500);
    it.hear(2, 2, member_state::serving, 500, member_health::suspect);
    it.planner.update(it.table, start);
    const auto answer = it.answer(1);
    CHECK_EQUAL(3, answer.addresses.size());
    CHECK(answer.addresses[0].host == host_id("n0"));
    CHECK(answer.addresses[1].host == host_id("n2"));
    CHECK(answer.addresses[2].host == host_id("n1"));
    it.hear(1, 3, member_state::gone, 500);
    it.planner.update(it.table, start);
    CHECK_FALSE(names(it.answer(1), host_id("n1")));
}
