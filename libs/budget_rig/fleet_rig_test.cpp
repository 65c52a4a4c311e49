#include "fennelladder/budget_rig/fleet_rig.hpp"
#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <rapidcheck.h>
#include <string>

using namespace fennelladder;
using namespace fennelladder::budget;
using namespace fennelladder::budget_rig;

namespace {

rig_options small()
{
    rig_options made;
    made.nodes = 6;
    made.shards = 2;
    made.flush_interval = milliseconds(100);
    made.fence_after = seconds(5);
    made.agent.refill = policy_for(preference::false_refusal);
    made.agent.refill.least_ceiling = tokens(1000);
    return made;
}

void send(fleet_rig& rig, int node, std::int64_t worst,
          const std::string& key = "", int budget = 0)
{
    rig.request({.node = node,
                 .budget = budget,
                 .worst = tokens(worst),
                 .actual = tokens(worst / 2),
                 .time = milliseconds(700),
                 .key = key});
}

budget_view view(const fleet_rig& rig, int budget = 0)
{
    for (int n = 0; n < rig.books().shards(); ++n) {
        if (const auto it =
                rig.books().of(n).find_budget(fleet_rig::name_of(budget)))
            return *it;
    }
    return {};
}

std::int64_t stranded(const fleet_rig& rig)
{
    tokens sum;
    for (const holding& it : view(rig).holdings)
        sum += it.stranded;
    return sum.count();
}

void check_bounds(const fleet_rig& rig)
{
    LONGS_EQUAL(0, rig.figures().overspent.count());
    LONGS_EQUAL(0, rig.figures().double_billed);
    for (int n = 0; n < rig.books().shards(); ++n)
        CHECK(rig.books().of(n).consistent());
}

// Sends a request a second to every node in turn, for a while.
void trickle(fleet_rig& rig, int times, std::int64_t worst)
{
    for (int n = 0; n < times; ++n) {
        send(rig, n % rig.options().nodes, worst);
        rig.run_for(seconds(1));
    }
}

} // namespace

TEST_GROUP(budget_story){};

// A region loses the other for an hour. The budget is drawn on from both
// sides, and topped up while they don't see each other. Callers on the side
// that reaches the store get the new tokens, those on the other what was
// stocked there before; once healed, all of it can be spent.
TEST(budget_story, partition_with_topup_on_the_side_of_the_store)
{
    for (const int store_side : {0, 1}) {
        fleet_rig rig(small());
        rig.top_up(0, tokens(60'000), "t1");
        rig.run_for(seconds(2));
        trickle(rig, 12, 1000);
        rig.partition({{0, 1}, {2}}, store_side);
        rig.run_for(minutes(30));
        rig.top_up(0, tokens(40'000), "t2");
        rig.top_up(0, tokens(40'000), "t2");
        rig.run_for(minutes(30));
        trickle(rig, 30, 1000);
        check_bounds(rig);
        LONGS_EQUAL(0, rig.figures().refused);
        rig.heal();
        rig.run_for(seconds(10));
        LONGS_EQUAL(100'000, view(rig).topped_up.count());
        LONGS_EQUAL(42 * 500, view(rig).spent.count());
    }
}

// The platform is down for an hour. Requests go on from what was stocked, the
// nodes of a data center draw on their home, and bills wait; when the platform
// is back every one of them is folded once.
TEST(budget_story, platform_down_for_an_hour)
{
    fleet_rig rig(small());
    rig.top_up(0, tokens(500'000), "t1");
    rig.run_for(seconds(2));
    trickle(rig, 12, 1000);
    rig.store_up(false);
    trickle(rig, 360, 1000);
    rig.run_for(minutes(54));
    LONGS_EQUAL(0, rig.figures().refused);
    LONGS_EQUAL(12 * 500, view(rig).spent.count());
    rig.store_up(true);
    rig.run_for(seconds(10));
    check_bounds(rig);
    LONGS_EQUAL(372 * 500, view(rig).spent.count());
}

// The platform's replies are lost after every write took effect, in the first
// seconds (joins, top-up, allotments), later (bills, ceilings, transfers) and
// while a node returns everything. All is sent again and counts once.
TEST(budget_story, replies_lost_after_the_effect)
{
    fleet_rig rig(small());
    rig.lose_replies(20);
    rig.top_up(0, tokens(100'000), "t1");
    rig.run_for(seconds(3));
    trickle(rig, 12, 1000);
    rig.lose_replies(20);
    trickle(rig, 12, 1000);
    rig.lose_replies(4);
    for (int n = 0; n < 100 && !rig.agent(0).done(); ++n) {
        rig.drain(0);
        rig.run_for(milliseconds(200));
    }
    rig.run_for(seconds(3));
    check_bounds(rig);
    CHECK(rig.agent(0).done());
    LONGS_EQUAL(100'000, view(rig).topped_up.count());
    LONGS_EQUAL(24 * 500, view(rig).spent.count());
    for (const holding& it : view(rig).holdings)
        CHECK(it.holder != rig.incarnation(0));
}

// A node is paused for a minute with tokens in hand and requests running. Its
// host drops off the list; the books take back what lies above its ceilings
// and others spend all of that. It wakes, still believes in its allotment, and
// spends: no more than was left to it, so the team never pays too much.
TEST(budget_story, paused_holder_wakes_and_spends)
{
    fleet_rig rig(small());
    rig.top_up(0, tokens(60'000), "t1");
    rig.run_for(seconds(2));
    trickle(rig, 12, 1000);
    rig.pause(0, minutes(1));
    rig.fence(0);
    rig.run_for(seconds(5));
    CHECK(rig.books().of(0).standing_of(rig.incarnation(0)) ==
              standing::settled ||
          rig.books().of(1).standing_of(rig.incarnation(0)) ==
              standing::settled);
    LONGS_EQUAL(0, stranded(rig) > 10'000);
    for (int n = 0; n < 200; ++n)
        send(rig, 1 + n % 5, 1000);
    rig.run_for(minutes(1));
    for (int n = 0; n < 100; ++n)
        send(rig, 0, 1000);
    rig.run_for(seconds(10));
    check_bounds(rig);
    CHECK(view(rig).spent <= view(rig).topped_up);
}

// A node dies at any point of a request's way: waiting for tokens, reserved,
// dispatched, answered, settled, billed, in the journal (100 ms flushes; the
// request runs 700 ms). Its caller tries again under the same key elsewhere.
// One bill, and what the dead node may have spent stays out of reach.
TEST(budget_story, node_dies_at_any_point)
{
    for (int ms = 0; ms <= 1200; ms += 50) {
        fleet_rig rig(small());
        rig.top_up(0, tokens(20'000), "t1");
        rig.run_for(seconds(2));
        send(rig, 0, 1000, "key");
        rig.run_for(milliseconds(ms));
        rig.kill(0, seconds(20));
        rig.run_for(milliseconds(200));
        send(rig, 1, 1000, "key");
        rig.run_for(seconds(15));
        check_bounds(rig);
        LONGS_EQUAL(500, view(rig).spent.count());
        for (int n = 0; n < 60; ++n) {
            send(rig, 1 + n % 5, 1000);
            rig.run_for(milliseconds(500));
        }
        rig.run_for(seconds(5));
        check_bounds(rig);
        CHECK(stranded(rig) <= 2000);
    }
}

// The store is down when a node dies with bills. Its peer has copies of those
// older than two seconds and brings them once the store is back.
TEST(budget_story, peer_brings_bills_after_an_outage)
{
    fleet_rig rig(small());
    rig.top_up(0, tokens(60'000), "t1");
    rig.run_for(seconds(2));
    trickle(rig, 6, 1000);
    rig.store_up(false);
    trickle(rig, 12, 1000);
    rig.run_for(seconds(4));
    rig.kill(0, minutes(5));
    rig.run_for(seconds(30));
    rig.store_up(true);
    rig.run_for(seconds(10));
    check_bounds(rig);
    LONGS_EQUAL(18 * 500, view(rig).spent.count());
}

// A caller's answer is late; it crosses over and sends the same request to
// another node. Both run it and both bill; one bill counts, and the tokens of
// the other go back, so that nothing is lost to the team.
TEST(budget_story, same_request_at_two_nodes)
{
    fleet_rig rig(small());
    rig.top_up(0, tokens(20'000), "t1");
    rig.run_for(seconds(2));
    send(rig, 0, 1000, "key");
    send(rig, 3, 1000, "key");
    rig.run_for(seconds(5));
    check_bounds(rig);
    LONGS_EQUAL(500, view(rig).spent.count());
    for (int node = 0; node < 6; ++node) {
        for (int n = 0; n < 200 && !rig.agent(node).done(); ++n) {
            rig.drain(node);
            rig.run_for(milliseconds(200));
        }
    }
    LONGS_EQUAL(19'500, view(rig).free.count());
}

// A fifth of all messages between nodes is lost and a fifth comes twice, the
// second one late, while the platform is down and slices have to come from
// peers. Nothing is minted, and when all is quiet nothing is missing.
TEST(budget_story, transfers_lost_doubled_and_late)
{
    rig_options options = small();
    options.message_loss = 0.2;
    options.message_double = 0.2;
    fleet_rig rig(options);
    rig.top_up(0, tokens(200'000), "t1");
    rig.run_for(seconds(2));
    trickle(rig, 12, 1000);
    rig.store_up(false);
    trickle(rig, 60, 2000);
    rig.store_up(true);
    trickle(rig, 12, 1000);
    rig.run_for(seconds(30));
    check_bounds(rig);
    for (int node = 0; node < 6; ++node) {
        for (int n = 0; n < 300 && !rig.agent(node).done(); ++n) {
            rig.drain(node);
            rig.run_for(milliseconds(200));
        }
    }
    LONGS_EQUAL(200'000,
                (view(rig).free + view(rig).spent).count() + stranded(rig));
}

TEST_GROUP(budget_machine){};

// Any interleaving of requests (some sent to two nodes), top-ups, deaths,
// pauses, fences, partitions, outages, lost replies and bad networks keeps
// what is spent and running within what was prepaid, and bills a key once.
TEST(budget_machine, any_interleaving_keeps_the_bounds)
{
    const testing::property_options property{
        .name = "bounds hold", .seed = 4, .cases = 150, .max_size = 80};
    testing::check_property(property, [] {
        rig_options options = small();
        options.seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
        options.message_loss = *rc::gen::element(0.0, 0.1, 0.4);
        options.message_double = *rc::gen::element(0.0, 0.3);
        if (*rc::gen::arbitrary<bool>())
            options.agent.refill = policy_for(preference::overspend);
        options.agent.refill.least_ceiling = tokens(1500);
        fleet_rig rig(options);
        rig.top_up(0, tokens(30'000), "t0");
        rig.top_up(1, tokens(5'000), "t0");
        rig.run_for(seconds(1));
        int n = 0;
        for (const int step :
             *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000))) {
            ++n;
            const int node = step % 6;
            const int budget = step % 2;
            const std::string key = "k" + std::to_string(n);
            switch (step / 72) {
            case 0:
                rig.kill(node, seconds(step % 9));
                break;
            case 1:
                rig.pause(node, seconds(step % 30));
                break;
            case 2:
                rig.fence(node);
                break;
            case 3:
                rig.partition({{0}, {1, 2}}, step % 3 - 1);
                break;
            case 4:
                rig.heal();
                break;
            case 5:
                rig.store_up(step % 4 != 0);
                break;
            case 6:
                rig.lose_replies(step % 4);
                break;
            case 7:
                rig.top_up(budget, tokens(step),
                           "t" + std::to_string(step % 5));
                break;
            default:
                for (int i = 0; i < 3; ++i) {
                    send(rig, node, 200 + step, key + std::to_string(i),
                         budget);
                    send(rig, (node + i) % 6, 700, "", budget);
                }
                send(rig, (node + 1) % 6, 200 + step, key + "0", budget);
            }
            rig.run_for(milliseconds(step % 7 * 150));
            RC_ASSERT(rig.figures().overspent == tokens(0));
            RC_ASSERT(rig.figures().double_billed == 0U);
        }
        rig.heal();
        rig.store_up(true);
        rig.run_for(minutes(2));
        RC_ASSERT(rig.figures().overspent == tokens(0));
        RC_ASSERT(rig.figures().double_billed == 0U);
        for (int i = 0; i < rig.books().shards(); ++i)
            RC_ASSERT(rig.books().of(i).consistent());
    });
}
