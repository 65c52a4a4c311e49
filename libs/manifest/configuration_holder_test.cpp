#include "fennelladder/telemetry/event_catalog.hpp"
#include "fennelladder/testing/property.hpp"
#include "holder_world.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <rapidcheck.h>

using namespace fennelladder;
using namespace fennelladder::manifest;
namespace event = fennelladder::telemetry::event;

namespace {

bool noted(const holder_world::node& it, int number)
{
    return std::ranges::any_of(
        it.notes, [&](const holder_note& one) { return one.event == number; });
}

constexpr duration limit = seconds(13);

} // namespace

TEST_GROUP(configuration_holder)
{
    holder_world world{8, 5};

    void setup() override
    {
        world.accept(1);
        world.run(seconds(1));
        CHECK(world.all_have(generation(1)));
    }

    void teardown() override
    {
        STRCMP_EQUAL("", world.broken.c_str());
    }
};

// An operator's change has to be in force on every node within 13 s, whatever
// single way of spreading news is broken: silent watches show as a fleet that
// stays on the old generation while the platform answers well.
TEST(configuration_holder, a_change_is_in_force_in_time_each_way)
{
    const struct
    {
        const char* story;
        bool watch;
        bool heartbeats;
        double lost;
        double damaged;
    } cases[] = {
        {"all is well", true, true, 0, 0},
        {"every watch is silent", false, true, 0, 0},
        {"watches silent, peers away: the poll alone", false, false, 0, 0},
        {"peers away", true, false, 0, 0},
        {"one answer in five is lost", true, true, 0.2, 0},
        {"one answer in five is damaged", true, true, 0, 0.2},
    };
    int n = 1;
    for (const auto& it : cases) {
        world.heartbeats = it.heartbeats;
        world.lost = it.lost;
        world.damaged = it.damaged;
        for (auto& node : world.nodes)
            node.watch = it.watch;
        const generation number = world.accept(++n);
        world.run(limit);
        CHECK_TEXT(world.all_have(number), it.story);
    }
}

// The platform goes down. Half an hour later hosts are replaced, and the new
// nodes must get the configuration from peers; a node that is alone takes no
// work at all, since it can't know who may do what.
TEST(configuration_holder, nodes_that_start_in_an_outage_ask_their_peers)
{
    world.platform_up = false;
    world.run(minutes(30), seconds(1));
    auto& alone = world.start_node();
    alone.side = 9;
    const auto alone_at = world.nodes.size() - 1;
    for (int n = 0; n < 3; ++n)
        world.start_node();
    CHECK(!world.nodes.back().holder->may_take_work(world.now));
    world.run(limit);
    CHECK(!world.nodes[alone_at].holder->may_take_work(world.now));
    world.nodes[alone_at].side = 0;
    world.run(limit);
    CHECK(world.all_have(generation(1)));
    for (const auto& it : world.nodes)
        CHECK(it.holder->may_take_work(world.now));
}

// The platform accepts a change and goes down in the middle of its way: one
// node has it, the others hear of it from that one. If that node can't be
// reached either, the rest stay where they are and take it up on return.
TEST(configuration_holder, an_outage_in_the_middle_is_bridged_by_peers)
{
    for (auto& it : world.nodes)
        it.watch = &it == world.nodes.data();
    const generation number = world.accept(2);
    while (!(world.nodes[0].holder->announce().number == number))
        world.run(milliseconds(50));
    world.platform_up = false;
    world.nodes[0].side = 1;
    world.run(minutes(5), milliseconds(200));
    for (const auto& it : world.nodes)
        CHECK(it.holder->may_take_work(world.now));
    world.nodes[0].side = 0;
    world.run(limit);
    CHECK(world.all_have(number));
}

// A node's virtual machine is paused for an hour while four changes are
// accepted. It wakes with the old configuration and must not act on it: it
// asks first. Without anyone to ask it goes on, since an outage must not stop
// it.
TEST(configuration_holder, a_paused_node_asks_before_it_takes_work)
{
    auto& sleeper = world.nodes[3];
    for (const bool reachable : {true, false}) {
        sleeper.paused = true;
        world.run(seconds(20), seconds(1));
        const generation number = world.accept(reachable ? 2 : 3);
        world.run(hours(1), seconds(1));
        sleeper.paused = false;
        sleeper.platform = reachable;
        sleeper.side = reachable ? 0 : 4;
        world.run(milliseconds(50));
        CHECK(!sleeper.holder->may_take_work(world.now));
        world.run(seconds(3));
        CHECK(sleeper.holder->may_take_work(world.now));
        CHECK_EQUAL(reachable, sleeper.holder->announce().number == number);
        CHECK(noted(sleeper, event::configuration_after_pause));
    }
    sleeper.side = 0;
    sleeper.platform = true;
    world.run(limit);
    CHECK(world.all_have(generation(3)));
}

// The same, and a request arrives at the very moment of waking. The platform
// names a newer root at once but its parts are slow: until they are there the
// old configuration must take no work.
TEST(configuration_holder, a_newer_root_alone_confirms_nothing)
{
    auto& holder = *world.nodes[3].holder;
    world.nodes[3].paused = true;
    world.accept(2);
    const std::string bytes = world.store.get(root_key())->value;
    instant now = world.now + hours(1);
    CHECK(!holder.may_take_work(now));
    for (const fetch& it : holder.step(now)) {
        if (it.what == fetch_kind::root)
            holder.on_answer(it.call, bytes, now);
    }
    CHECK(holder.highest_seen() == generation(2));
    CHECK(!holder.may_take_work(now));
    now += seconds(3);
    holder.step(now);
    CHECK(holder.may_take_work(now));
}

// A read of the platform, or a watch that was cut off long ago, brings an old
// root. Taking it would revert an accepted change.
TEST(configuration_holder, older_roots_are_refused)
{
    const std::string old = world.store.get(root_key())->value;
    const generation number = world.accept(2);
    world.run(limit);
    world.nodes[0].holder->on_watch(old, world.now);
    world.stale_root = 1;
    world.run(minutes(1));
    CHECK(world.all_have(number));
    CHECK(noted(world.nodes[0], event::configuration_older_refused));
}

// The platform is wiped and a manifest applied anew: generation 1 again, with
// other content. Nodes keep what they have, and say that two configurations
// carry one number.
TEST(configuration_holder, a_wiped_platform_is_told_not_followed)
{
    platform::memory_object_store other;
    applier operators(other, {}, [](duration) {});
    apply_request request;
    request.manifest = make_synthetic({.teams = 3});
    request.apply = apply_id("elsewhere");
    CHECK(operators.apply(request).has_value());
    const auto bytes = other.get(root_key())->value;
    world.nodes[2].holder->on_watch(bytes, world.now);
    world.run(seconds(1));
    CHECK(noted(world.nodes[2], event::configuration_contradiction));
    CHECK(world.all_have(generation(1)));
}

// A node has the new root and some parts when an even newer change is
// accepted and the orphans are collected: the rest of what it fetches is
// gone. It must go over to the newer one and not wait for good.
TEST(configuration_holder, parts_that_are_gone_lead_to_the_newer_root)
{
    auto& slow = world.nodes[5];
    for (auto& it : world.nodes)
        it.watch = false;
    world.accept(2);
    slow.holder->on_watch(world.store.get(root_key())->value, world.now);
    CHECK(slow.holder->highest_seen() == generation(2));
    CHECK(slow.holder->announce().number == generation(1));
    const generation number = world.accept(3);
    world.collect_orphans();
    world.heartbeats = false;
    world.run(seconds(1)); // Sooner than a poll comes round.
    CHECK(slow.holder->announce().number == number);
    world.run(limit);
    CHECK(world.all_have(number));
}

// A power cut takes the whole fleet; on its return every node needs every
// part at once. Single reads would be hundreds a node; the listing is few.
TEST(configuration_holder, a_cold_start_reads_the_listing)
{
    platform::memory_object_store store;
    applier operators(store, {}, [](duration) {});
    apply_request request;
    request.manifest = make_synthetic({.teams = 200, .budgets = 60'000});
    request.apply = apply_id("cold");
    const auto receipt = operators.apply(request);
    CHECK(receipt->parts_sent > 64);
    instant now = world.now;
    configuration_holder holder({}, random_source(1), now);
    while (!holder.in_force()) {
        for (const fetch& it : holder.step(now)) {
            if (it.what == fetch_kind::parts)
                holder.on_page(it.call,
                               store.list(part_prefix(), it.after, 1'000), now);
            else
                holder.on_answer(
                    it.call,
                    store
                        .get(it.what == fetch_kind::root ? root_key()
                                                         : part_key(it.part))
                        .map([](const auto& got) { return got.value; }),
                    now);
        }
        now += milliseconds(10);
    }
    CHECK(holder.counts().platform_calls <= 6);
    CHECK(
        holder.in_force()->find_budget(budget_id("budget-59999")).has_value());
}

// Any order of changes, collections, outages, partitions, pauses, deaths,
// starts, lost, damaged, late and stale answers: no node ever reverts or has
// what was never accepted (holder_world checks that at every step), and once
// the faults end everyone has the newest in time.
TEST(configuration_holder, no_interleaving_reverts_a_node)
{
    testing::check_property(
        {.name = "configuration never reverts", .seed = 23, .cases = 150}, [] {
            holder_world any(5, *rc::gen::arbitrary<std::uint64_t>());
            any.delay = milliseconds(*rc::gen::inRange(1, 4'000));
            any.lost = *rc::gen::inRange(0, 40) / 100.0;
            any.damaged = *rc::gen::inRange(0, 40) / 100.0;
            any.stale_root = *rc::gen::inRange(0, 60) / 100.0;
            generation newest = any.accept(0);
            const int steps = *rc::gen::inRange(1, 40);
            for (int n = 1; n <= steps; ++n) {
                const auto at = *rc::gen::inRange<std::size_t>(0, 1'000);
                auto& node = any.nodes[at % any.nodes.size()];
                switch (*rc::gen::inRange(0, 9)) {
                case 0:
                case 1:
                    newest = any.accept(n);
                    break;
                case 2:
                    any.collect_orphans();
                    break;
                case 3:
                    any.platform_up = !any.platform_up;
                    break;
                case 4:
                    node.side = 1 - node.side;
                    break;
                case 5:
                    node.paused = !node.paused;
                    break;
                case 6:
                    node.platform = !node.platform;
                    break;
                case 7:
                    node.watch = !node.watch;
                    break;
                default:
                    node.alive = false;
                    any.start_node();
                    break;
                }
                any.run(milliseconds(*rc::gen::inRange(50, 9'000)),
                        milliseconds(100));
                RC_ASSERT(any.broken.empty());
            }
            any.platform_up = true;
            any.lost = any.damaged = any.stale_root = 0;
            any.delay = milliseconds(100);
            for (auto& it : any.nodes) {
                it.side = 0;
                it.platform = true;
                it.paused = false;
            }
            any.run(limit + seconds(6), milliseconds(100));
            RC_ASSERT(any.broken.empty());
            RC_ASSERT(any.all_have(newest));
        });
}
