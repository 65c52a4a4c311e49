// Fleets of real tables over a fake network in virtual time, with the faults
// of the brief in a table.

#include "fennelladder/telemetry/event_catalog.hpp"
#include "fennelladder/testing/member_fleet.hpp"
#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <iostream>
#include <rapidcheck.h>
#include <string>

using namespace fennelladder;
using namespace fennelladder::membership;
using namespace fennelladder::testing;

namespace event = fennelladder::telemetry::event;

namespace {

/// One fault, and what must hold a while after it set in and after it ended.
struct fault_case
{
    const char* story;
    void (*begin)(member_fleet&);
    duration lasts;
    void (*during)(member_fleet&); ///< Checks just before the end.
    void (*end)(member_fleet&);
    duration heals_in;
};

void nothing(member_fleet&)
{}

void connect_all(member_fleet& fleet)
{
    fleet.reachable = nullptr;
}

void check_all_up(member_fleet& fleet)
{
    for (std::size_t n = 0; n < fleet.size(); ++n)
        CHECK_EQUAL(fleet.size() - 1, fleet.seen_up(n));
}

void check_three_is_out(member_fleet& fleet)
{
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        if (n != 3 && fleet.at(n).running)
            CHECK_FALSE(fleet.gives_out(n, 3, 50));
    }
}

const fault_case fault_cases[] = {
    {"A host dies without a word. Callers must not be sent there after some "
     "seconds; a replacement under the same name must be used soon.",
     [](member_fleet& fleet) { fleet.at(3).running = false; }, seconds(6),
     check_three_is_out,
     [](member_fleet& fleet) { fleet.start(3, fleet.host_list()); },
     seconds(5)},
    {"A process crashes and its host refuses connections: it's out sooner "
     "than after silence.",
     [](member_fleet& fleet) {
         fleet.at(3).running = false;
         fleet.at(3).refuses = true;
     },
     seconds(4), check_three_is_out,
     [](member_fleet& fleet) { fleet.start(3, fleet.host_list()); },
     seconds(5)},
    {"A host is replaced by one whose clock is far behind: its version is "
     "below the dead one's, and everyone would pass over it for ever if it "
     "didn't raise its version above what it hears.",
     [](member_fleet& fleet) { fleet.at(3).running = false; }, seconds(12),
     check_three_is_out,
     [](member_fleet& fleet) { fleet.start(3, fleet.host_list(), 7); },
     seconds(15)},
    {"A node is stopped for half a minute and wakes up believing that all is "
     "as before. It's out meanwhile, accuses nobody on waking, and is back "
     "soon after.",
     [](member_fleet& fleet) { fleet.at(3).paused = true; }, seconds(30),
     check_three_is_out,
     [](member_fleet& fleet) {
         fleet.resume(3);
         CHECK_EQUAL(0, fleet.at(3).table->counters().deaths);
     },
     seconds(20)},
    {"Two nodes can't reach each other, all others reach both: neither is "
     "called dead by the fleet.",
     [](member_fleet& fleet) {
         fleet.reachable = [](std::size_t a, std::size_t b) {
             return a + b != 7 || (a != 3 && a != 4);
         };
     },
     minutes(2), check_all_up, connect_all, seconds(10)},
    {"A one-way partition: what node 3 sends to the even nodes is lost, the "
     "other direction works. Others vouch for it.",
     [](member_fleet& fleet) {
         fleet.reachable = [](std::size_t a, std::size_t b) {
             return a != 3 || b % 2 == 1;
         };
     },
     minutes(2), check_all_up, connect_all, seconds(10)},
    {"Nothing reaches node 3, though its own packets get out: it would be "
     "given out in each good moment if coming back weren't made harder.",
     [](member_fleet& fleet) {
         fleet.reachable = [](std::size_t, std::size_t b) { return b != 3; };
     },
     seconds(30), check_three_is_out, connect_all, seconds(90)},
    {"A node comes and goes every three seconds: its callers are sent to "
     "others, also in its good moments.",
     [](member_fleet& fleet) {
         for (int n = 0; n < 10; ++n) {
             fleet.at(3).paused = true;
             fleet.run_for(seconds(3));
             fleet.resume(3);
             fleet.run_for(seconds(3));
         }
     },
     milliseconds(1), check_three_is_out, nothing, seconds(90)},
    {"The regions lose each other for an hour. Each goes on with its own "
     "half, calls the other dead, and finds it again afterwards.",
     [](member_fleet& fleet) {
         fleet.reachable = [](std::size_t a, std::size_t b) {
             return a % 2 == b % 2;
         };
     },
     hours(1),
     [](member_fleet& fleet) {
         for (std::size_t n = 0; n < fleet.size(); ++n)
             CHECK_EQUAL(fleet.size() / 2 - 1, fleet.seen_up(n));
     },
     connect_all, seconds(60)},
    {"A rack of three hosts goes at once.",
     [](member_fleet& fleet) {
         for (const std::size_t n : {3, 4, 5})
             fleet.at(n).running = false;
     },
     seconds(12),
     [](member_fleet& fleet) {
         check_three_is_out(fleet);
         CHECK(fleet.agrees());
     },
     [](member_fleet& fleet) {
         for (const std::size_t n : {3, 4, 5})
             fleet.start(n, fleet.host_list());
     },
     seconds(15)},
    {"The host list comes back empty: nobody is lost for that.",
     [](member_fleet& fleet) {
         for (std::size_t n = 0; n < fleet.size(); ++n)
             fleet.at(n).table->set_host_list({}, fleet.queue.now());
     },
     minutes(15), check_all_up, nothing, seconds(1)},
    {"The host list calls every host leaving: answers are still given, and "
     "from members that serve.",
     [](member_fleet& fleet) {
         auto hosts = fleet.host_list();
         for (auto& it : hosts)
             it.leaving = true;
         for (std::size_t n = 0; n < fleet.size(); ++n)
             fleet.at(n).table->set_host_list(hosts, fleet.queue.now());
     },
     minutes(1), [](member_fleet& fleet) { CHECK(fleet.gives_out(0, 3, 50)); },
     nothing, seconds(1)},
    {"The host list goes on naming a host that never comes up: it's never "
     "given out.",
     [](member_fleet& fleet) {
         fleet.at(3).running = false;
         fleet.at(0).table->set_host_list(fleet.host_list(), fleet.queue.now());
     },
     minutes(15), check_three_is_out,
     [](member_fleet& fleet) { fleet.start(3, fleet.host_list()); },
     seconds(8)},
    {"A node drains: it leaves the answers at once and is not called dead.",
     [](member_fleet& fleet) {
         fleet.at(3).table->set_state(member_state::draining,
                                      fleet.queue.now());
     },
     seconds(2),
     [](member_fleet& fleet) {
         check_three_is_out(fleet);
         CHECK_EQUAL(fleet.size() - 1, fleet.seen_up(3));
     },
     nothing, seconds(1)},
};

void run_fault(const fault_case& it, std::size_t nodes)
{
    member_fleet fleet({.nodes = nodes, .data_centers = 2});
    fleet.start_all();
    fleet.run_for(seconds(15));
    CHECK_TEXT(fleet.agrees(), "the fleet didn't come together");
    it.begin(fleet);
    fleet.run_for(it.lasts);
    it.during(fleet);
    it.end(fleet);
    fleet.run_for(it.heals_in);
    CHECK_TEXT(fleet.agrees(), it.story);
}

} // namespace

TEST_GROUP(member_table){};

TEST(member_table, weathers_each_fault)
{
    for (const fault_case& it : fault_cases) {
        for (const std::size_t nodes : {8, 40}) {
            run_fault(it, nodes);
        }
    }
}

// A node that knows a single address (a seed) and no host list, because the
// platform is down when it starts, finds the whole fleet through it.
TEST(member_table, joins_through_one_seed)
{
    member_fleet fleet({.nodes = 30});
    for (std::size_t n = 0; n + 1 < fleet.size(); ++n)
        fleet.start(n, fleet.host_list());
    fleet.run_for(seconds(15));
    listed_host seed;
    seed.peer_address = fleet.at(4).description.peer_address;
    fleet.start(29, {seed});
    fleet.run_for(seconds(5));
    CHECK(fleet.agrees());
}

// Operators restart all nodes one after the other, each as soon as the one
// before is back. No node is given out while it's down for longer than
// seconds, and at the end everyone sees the new lives.
TEST(member_table, survives_a_rolling_restart)
{
    member_fleet fleet({.nodes = 24});
    fleet.start_all();
    fleet.run_for(seconds(15));
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        fleet.at(n).table->set_state(member_state::draining, fleet.queue.now());
        fleet.run_for(seconds(1));
        fleet.at(n).table->set_state(member_state::gone, fleet.queue.now());
        fleet.run_for(milliseconds(200));
        fleet.at(n).running = false;
        const std::size_t other = (n + 7) % fleet.size();
        CHECK_FALSE(fleet.gives_out(other, n, 50));
        fleet.run_for(seconds(2));
        fleet.start(n, fleet.host_list());
        fleet.run_for(seconds(3));
        CHECK(fleet.gives_out(other, n, 50));
    }
    fleet.run_for(seconds(10));
    CHECK(fleet.agrees());
}

// Two processes run under one host name (a copied setting): they outbid each
// other, but slowly, and neither floods the fleet.
TEST(member_table, two_lives_under_one_name_outbid_each_other_slowly)
{
    member_options options;
    member_description mine{incarnation_id("h.1"), {}, {}, "a", "b", 1};
    member_table table(host_id("h"), mine, 5, options, random_source(1));
    instant now = instant(hours(1));
    table.tick(now);
    heartbeat rival;
    rival.gossip.sender = {host_id("x"),         1, member_state::serving,
                           member_health::alive, 1, std::nullopt};
    rival.gossip.updates.resize(1);
    for (int n = 0; n < 600; ++n) {
        now += milliseconds(100);
        rival.gossip.updates[0] = {host_id("h"),
                                   table.self().version + 1,
                                   member_state::serving,
                                   member_health::alive,
                                   9,
                                   std::nullopt};
        table.receive(rival, now);
        table.tick(now);
    }
    CHECK(table.counters().namesakes >= 4);
    CHECK(table.counters().namesakes <= 11);
    CHECK_EQUAL(event::host_name_doubled, table.take_events().at(0).number);
}

// What a message costs doesn't grow with the fleet, also while all of it is
// news.
TEST(member_table, messages_stay_bounded)
{
    member_fleet fleet({.nodes = 120});
    fleet.start_all();
    fleet.run_for(seconds(60));
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        const fleet_node& it = fleet.at(n);
        CHECK(it.bytes_sent / it.messages_sent < 1500);
        CHECK(it.messages_sent < 60 * 14);
    }
    CHECK(fleet.agrees());
}

// Whatever comes and goes, and whatever is lost on the way: once it stops,
// every live node sees every live node and no other.
TEST(member_table, converges_after_any_history)
{
    check_property({.name = "converges", .seed = 11, .cases = 25}, [] {
        const auto nodes = *rc::gen::inRange<std::size_t>(3, 20);
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::arbitrary<std::uint32_t>());
        member_fleet fleet({.nodes = nodes, .data_centers = 3});
        random_source loss(steps.size());
        fleet.start_all();
        fleet.reachable = [&](std::size_t, std::size_t) {
            return !loss.chance(0.2);
        };
        for (const std::uint32_t step : steps) {
            fleet_node& it = fleet.at(step % nodes);
            if (!it.running)
                fleet.start(it.number, fleet.host_list());
            else if (step % 3 == 0)
                it.running = false;
            else if (it.paused)
                fleet.resume(it.number);
            else if (step % 3 == 1)
                it.paused = true;
            fleet.run_for(milliseconds(step % 5000));
        }
        for (std::size_t n = 0; n < nodes; ++n)
            fleet.resume(n);
        fleet.reachable = nullptr;
        fleet.run_for(seconds(60));
        RC_ASSERT(fleet.agrees());
    });
}

TEST(member_table, passes_on_the_highest_generation)
{
    member_fleet fleet({.nodes = 60});
    fleet.start_all();
    fleet.run_for(seconds(20));
    fleet.at(7).table->set_generations(generation(9), generation(9),
                                       fleet.queue.now());
    fleet.run_for(seconds(2));
    for (std::size_t n = 0; n < fleet.size(); ++n)
        CHECK(fleet.at(n).table->highest_generation() == generation(9));
    fleet.run_for(seconds(20));
    // Node 13 is in the data center of node 7.
    const auto holders = fleet.at(13).table->holders(generation(9), 2);
    CHECK_EQUAL(1, holders.size());
    CHECK(fleet.at(7).host == holders[0]);
}

// The first two of each data center by rank watch the platform for the rest:
// agreed tables must agree on who that is.
TEST(member_table, ranks_each_node_once_per_data_center)
{
    member_fleet fleet({.nodes = 30, .data_centers = 3});
    fleet.start_all();
    fleet.run_for(seconds(20));
    std::vector<std::size_t> ranks;
    for (std::size_t n = 0; n < fleet.size(); n += 3)
        ranks.push_back(fleet.at(n).table->rank("watch", false));
    std::ranges::sort(ranks);
    for (std::size_t n = 0; n < ranks.size(); ++n)
        CHECK_EQUAL(n, ranks[n]);
}
