// Ways to share out what a cold target bears, compared by what they let through
// where nodes know other hosts than the others do:
//
//   - one part for each of some carriers, ranked over hosts known for long (in
//     use), or over those heard just now;
//   - as many carriers as the target bears requests;
//   - one carrier, as a ration that one node hands out would have.

#include "fennelladder/dispatch/assignment_table.hpp"

#include "fennelladder/base/random.hpp"
#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr std::uint32_t limit = 18;

using hosts = std::vector<host_id>;

hosts fleet(std::size_t n)
{
    hosts out;
    for (std::size_t i = 0; i < n; ++i)
        out.emplace_back("host-" + std::to_string(i));
    return out;
}

/// Requests in a second that all nodes together let through to one target,
/// where node i knows views[i].
std::uint32_t total(const hosts& all, const std::vector<hosts>& views,
                    assignment_options options, const target_id& target)
{
    std::uint32_t out = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        assignment_table carriers(all[i], options);
        carriers.set_hosts(views[i]);
        out += carriers.cold_quota(target, limit);
    }
    return out;
}

std::uint32_t most_of_targets(const hosts& all, const std::vector<hosts>& views,
                              assignment_options options)
{
    std::uint32_t out = 0;
    for (int i = 0; i < 50; ++i)
        out = std::max(out, total(all, views, options,
                                  target_id("i-" + std::to_string(i))));
    return out;
}

constexpr std::size_t sizes[] = {1, 2, 3, 8, 30, 77, 340};

} // namespace

TEST_GROUP(assignment_table){};

TEST(assignment_table, nodes_that_agree_stay_below_the_limit_and_starve_nobody)
{
    for (const std::size_t n : sizes) {
        const hosts all = fleet(n);
        const std::vector<hosts> views(n, all);
        for (int i = 0; i < 20; ++i) {
            const auto sum =
                total(all, views, {}, target_id("i-" + std::to_string(i)));
            CHECK(sum <= limit * 2 / 3);
            CHECK(sum >= limit / 2);
        }
    }
}

// Guards against a cold target that gets the load of all nodes, each of which
// believes that it is among its carriers since it heard late of some hosts.
TEST(assignment_table, late_views_stay_below_the_limit)
{
    random_source random(7);
    for (const std::size_t n : sizes) {
        const hosts all = fleet(n);
        for (int round = 0; round < 10; ++round) {
            // Each has missed one host that came lately.
            std::vector<hosts> views(n, all);
            const std::size_t missed = random.below(n);
            for (std::size_t i = 0; i < n; ++i)
                if (i != missed && random.chance(0.5))
                    std::erase(views[i], all[missed]);
            CHECK(most_of_targets(all, views, {}) <= limit);
        }
    }
}

// Guards against a node that is cut off, hears nobody and so ranks first for
// every target: hosts known for long are counted, and one that knows of none
// carries nothing.
TEST(assignment_table, a_node_that_knows_nobody_carries_nothing)
{
    assignment_table carriers(host_id("host-0"), {});
    carriers.set_hosts({});
    UNSIGNED_LONGS_EQUAL(0, carriers.cold_quota(target_id("i-1"), limit));
}

// Guards against halves of a fleet that each choose carriers of their own.
TEST(assignment_table, halves_that_remember_each_other_stay_below_the_limit)
{
    const hosts all = fleet(77);
    const std::vector<hosts> remembered(all.size(), all);
    CHECK(most_of_targets(all, remembered, {}) <= limit);
    std::vector<hosts> heard;
    for (std::size_t i = 0; i < all.size(); ++i) {
        hosts half;
        for (std::size_t j = i % 2; j < all.size(); j += 2)
            half.push_back(all[j]);
        heard.push_back(half);
    }
    // By those heard just now, two halves would send more than the target
    // bears, whether each target has one carrier or as many as it bears.
    for (const std::size_t carriers :
         {std::size_t(1), std::size_t(3), std::size_t(12)}) {
        assignment_options by_heard;
        by_heard.assigned_nodes = carriers;
        CHECK(most_of_targets(all, heard, by_heard) > limit);
    }
}

// With one carrier for each, a target is starved where that host is gone.
TEST(assignment_table, the_loss_of_some_hosts_starves_few_targets)
{
    const hosts all = fleet(77);
    const auto starved = [&](std::size_t carriers) {
        assignment_options options;
        options.assigned_nodes = carriers;
        int out = 0;
        for (int i = 0; i < 200; ++i) {
            std::uint32_t sum = 0;
            for (std::size_t j = all.size() / 3; j < all.size(); ++j) {
                assignment_table one(all[j], options);
                one.set_hosts(all);
                sum +=
                    one.cold_quota(target_id("i-" + std::to_string(i)), limit);
            }
            out += sum == 0;
        }
        return out;
    };
    CHECK(starved(3) < 20);
    CHECK(starved(1) > 40);
}

TEST(assignment_table, a_small_limit_is_carried_by_few)
{
    assignment_table alone(host_id("host-0"), {});
    alone.set_hosts(fleet(1));
    UNSIGNED_LONGS_EQUAL(0, alone.cold_quota(target_id("i-1"), 0));
    UNSIGNED_LONGS_EQUAL(1, alone.cold_quota(target_id("i-1"), 2));
    const hosts all = fleet(8);
    const std::vector<hosts> views(all.size(), all);
    UNSIGNED_LONGS_EQUAL(2, total(all, views, {}, target_id("i-1")) / 6);
}

TEST(assignment_table, sends_count_for_a_span)
{
    const instant start(seconds(100));
    recent_sends sends;
    sends.note(start);
    sends.note(start + milliseconds(400));
    UNSIGNED_LONGS_EQUAL(2, sends.count(start + seconds(1), cold_window));
    UNSIGNED_LONGS_EQUAL(1,
                         sends.count(start + milliseconds(1001), cold_window));
    sends.note(start + seconds(3));
    UNSIGNED_LONGS_EQUAL(1, sends.count(start + seconds(3), cold_window));
    UNSIGNED_LONGS_EQUAL(3, sends.count(start + seconds(3), limit_window));
    UNSIGNED_LONGS_EQUAL(1, sends.count(start + seconds(5), limit_window));
}

// Guards against a limit that is never found to be over, since the first hosts
// are dead or have no callers.
TEST(assignment_table, while_nobody_hears_of_a_limit_more_hosts_carry)
{
    const hosts all = fleet(40);
    const hosts first(all.begin(), all.begin() + 10);
    const hosts rest(all.begin() + 10, all.end());
    const auto sent = [&](duration silence) {
        std::uint32_t out = 0;
        for (const host_id& it : all) {
            assignment_table one(it, {});
            one.set_hosts(first, rest);
            out += one.limited_quota(target_id("i-1"), 1, silence);
        }
        return out;
    };
    UNSIGNED_LONGS_EQUAL(4, sent(seconds(0)));
    // Not more than one in 4 s, a quarter of what the target takes.
    UNSIGNED_LONGS_EQUAL(5, sent(seconds(4)));
    UNSIGNED_LONGS_EQUAL(14, sent(seconds(40)));
    UNSIGNED_LONGS_EQUAL(34, sent(seconds(120)));
}

TEST(assignment_table, all_that_a_limit_allows_is_shared_out)
{
    const hosts all = fleet(8);
    const auto share = [&](double rate) {
        std::uint32_t out = 0;
        for (const host_id& it : all) {
            assignment_table one(it, {});
            one.set_hosts(all);
            out += one.limited_quota(target_id("i-1"), rate, seconds(0));
        }
        return out;
    };
    // One of them finds out whether the limit is over.
    UNSIGNED_LONGS_EQUAL(1, share(0));
    UNSIGNED_LONGS_EQUAL(1, share(0.4));
    UNSIGNED_LONGS_EQUAL(4, share(1));
    UNSIGNED_LONGS_EQUAL(30, share(7.5));
    UNSIGNED_LONGS_EQUAL(120, share(30));
}

// Guards against nodes that refuse all their callers while others have room,
// where the few targets of a service all name limits.
TEST(assignment_table, a_limit_that_has_room_for_all_is_carried_by_all)
{
    for (const host_id& it : fleet(8)) {
        assignment_table one(it, {});
        one.set_hosts(fleet(8));
        CHECK(one.limited_quota(target_id("i-1"), 5, seconds(0)) > 0);
    }
}

// Guards against a rank that was kept from before other hosts were known.
TEST(assignment_table, other_hosts_change_the_carriers)
{
    assignment_table one(host_id("host-0"), {});
    one.set_hosts(fleet(1));
    CHECK(one.cold_quota(target_id("i-1"), limit) > 0);
    int carried = 0;
    for (std::size_t n = 1; n <= 100; n += 33) {
        one.set_hosts(fleet(n));
        carried += one.cold_quota(target_id("i-1"), limit) > 0 ? 1 : 0;
    }
    CHECK(carried < 4);
    one.set_hosts({});
    UNSIGNED_LONGS_EQUAL(0, one.cold_quota(target_id("i-1"), limit));
}
