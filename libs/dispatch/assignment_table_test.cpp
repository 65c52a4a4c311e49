// Compares ways to divide the capacity of a cold target, by the requests that
// they let through when nodes have different membership views:
//
//   - an equal quota for each of a few assigned nodes, ranked over hosts known
//     for long (the one in use), or over hosts heard from just now;
//   - as many assigned nodes as the target can serve requests;
//   - a single assigned node, as if one node handed out the whole quota.

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

/// Requests in a second that all nodes together may send to one target, where
/// node i knows the hosts views[i].
std::uint32_t total(const hosts& all, const std::vector<hosts>& views,
                    assignment_options options, const target_id& target)
{
    std::uint32_t out = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        assignment_table assignments(all[i], options);
        assignments.set_hosts(views[i]);
        out += assignments.cold_quota(target, limit);
    }
    return out;
}

std::uint32_t max_over_targets(const hosts& all,
                               const std::vector<hosts>& views,
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

TEST(assignment_table, agreeing_nodes_use_most_of_the_limit_and_stay_below_it)
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

// Nodes that learn late of a host may wrongly count themselves among the nodes
// assigned to a cold target. It must not get the load of all nodes then.
TEST(assignment_table, outdated_views_stay_below_the_limit)
{
    random_source random(7);
    for (const std::size_t n : sizes) {
        const hosts all = fleet(n);
        for (int round = 0; round < 10; ++round) {
            // About half of the nodes have missed a host that joined recently.
            std::vector<hosts> views(n, all);
            const std::size_t missed = random.below(n);
            for (std::size_t i = 0; i < n; ++i)
                if (i != missed && random.chance(0.5))
                    std::erase(views[i], all[missed]);
            CHECK(max_over_targets(all, views, {}) <= limit);
        }
    }
}

// A partitioned node that ranked only the hosts it can reach would rank first
// for every target. Hosts known for long are ranked instead, and a node that
// knows none is assigned no target.
TEST(assignment_table, node_without_known_hosts_is_assigned_nothing)
{
    assignment_table assignments(host_id("host-0"), {});
    assignments.set_hosts({});
    UNSIGNED_LONGS_EQUAL(0, assignments.cold_quota(target_id("i-1"), limit));
}

// Two halves of a partitioned fleet must not each assign nodes of their own.
TEST(assignment_table, partitioned_halves_stay_below_the_limit)
{
    const hosts all = fleet(77);
    const std::vector<hosts> remembered(all.size(), all);
    CHECK(max_over_targets(all, remembered, {}) <= limit);
    std::vector<hosts> reachable;
    for (std::size_t i = 0; i < all.size(); ++i) {
        hosts half;
        for (std::size_t j = i % 2; j < all.size(); j += 2)
            half.push_back(all[j]);
        reachable.push_back(half);
    }
    // Ranked over the hosts heard from just now, two halves would send more
    // than the limit, whether a target is assigned to one node or to many.
    for (const std::size_t assigned_nodes :
         {std::size_t(1), std::size_t(3), std::size_t(12)}) {
        assignment_options by_reachable;
        by_reachable.assigned_nodes = assigned_nodes;
        CHECK(max_over_targets(all, reachable, by_reachable) > limit);
    }
}

// With one assigned node, a target is starved when that host is gone.
TEST(assignment_table, loss_of_some_hosts_starves_few_targets)
{
    const hosts all = fleet(77);
    const auto starved = [&](std::size_t assigned_nodes) {
        assignment_options options;
        options.assigned_nodes = assigned_nodes;
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

TEST(assignment_table, small_limit_is_assigned_to_few_nodes)
{
    assignment_table alone(host_id("host-0"), {});
    alone.set_hosts(fleet(1));
    UNSIGNED_LONGS_EQUAL(0, alone.cold_quota(target_id("i-1"), 0));
    UNSIGNED_LONGS_EQUAL(1, alone.cold_quota(target_id("i-1"), 2));
    const hosts all = fleet(8);
    const std::vector<hosts> views(all.size(), all);
    UNSIGNED_LONGS_EQUAL(2, total(all, views, {}, target_id("i-1")) / 6);
}

TEST(assignment_table, sends_are_counted_within_a_window)
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

// The hosts that rank first may be dead or have no callers; the end of a limit
// must be detected nevertheless.
TEST(assignment_table, more_hosts_are_assigned_while_no_node_gets_an_answer)
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
    // At most one more in 4 s, a quarter of the limit's rate.
    UNSIGNED_LONGS_EQUAL(5, sent(seconds(4)));
    UNSIGNED_LONGS_EQUAL(14, sent(seconds(40)));
    UNSIGNED_LONGS_EQUAL(34, sent(seconds(120)));
}

TEST(assignment_table, quotas_add_up_to_the_limit)
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
    // One node detects whether the limit has ended.
    UNSIGNED_LONGS_EQUAL(1, share(0));
    UNSIGNED_LONGS_EQUAL(1, share(0.4));
    UNSIGNED_LONGS_EQUAL(4, share(1));
    UNSIGNED_LONGS_EQUAL(30, share(7.5));
    UNSIGNED_LONGS_EQUAL(120, share(30));
}

// If the few targets of a service all announce limits, no node may refuse all
// of its callers while other nodes have quota left.
TEST(assignment_table, large_limit_is_assigned_to_all_nodes)
{
    for (const host_id& it : fleet(8)) {
        assignment_table one(it, {});
        one.set_hosts(fleet(8));
        CHECK(one.limited_quota(target_id("i-1"), 5, seconds(0)) > 0);
    }
}

// Guards against a cached rank from before other hosts were known.
TEST(assignment_table, changed_hosts_change_the_assignment)
{
    assignment_table one(host_id("host-0"), {});
    one.set_hosts(fleet(1));
    CHECK(one.cold_quota(target_id("i-1"), limit) > 0);
    int assigned = 0;
    for (std::size_t n = 1; n <= 100; n += 33) {
        one.set_hosts(fleet(n));
        assigned += one.cold_quota(target_id("i-1"), limit) > 0 ? 1 : 0;
    }
    CHECK(assigned < 4);
    one.set_hosts({});
    UNSIGNED_LONGS_EQUAL(0, one.cold_quota(target_id("i-1"), limit));
}
