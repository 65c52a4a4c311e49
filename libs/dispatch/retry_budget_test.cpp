#include "fennelladder/base/random.hpp"
#include "fennelladder/dispatch/retry_budget.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

const service_id desk("desk");
constexpr instant start = instant(seconds(100));

} // namespace

TEST_GROUP(retry_budget){};

// Brute-force check: random traffic at four nodes that exchange no messages;
// the retries of every window are compared with the operator's limit.
TEST(retry_budget, sum_over_all_nodes_keeps_the_limit)
{
    constexpr std::size_t nodes = 4;
    const retry_budget_options options{
        .share = 0.2, .slack = 40, .window = seconds(10)};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        random_source random(seed);
        std::vector<retry_budget> all(nodes, retry_budget(options));
        for (retry_budget& it : all)
            it.set_hosts(nodes, start);
        std::vector<double> requests;
        std::vector<double> retries;
        double now = 0;
        for (int i = 0; i < 4000; ++i) {
            now += random.exponential(i % 1000 < 500 ? 0.005 : 0.05);
            const instant at = start + from_seconds(now);
            retry_budget& it = all[random.below(nodes)];
            it.count_request(desk, at);
            requests.push_back(now);
            for (int k = 0; k < 3; ++k)
                if (it.take_retry(desk, at))
                    retries.push_back(now);
        }
        for (double from = 0; from < now; from += 0.37) {
            double sent = 0;
            double retried = 0;
            for (const double it : requests)
                sent += it >= from && it < from + 10 ? 1 : 0;
            for (const double it : retries)
                retried += it >= from && it < from + 10 ? 1 : 0;
            double earlier = 0;
            for (const double it : requests)
                earlier += it >= from - 5 && it < from + 5 ? 1 : 0;
            const double most = std::max(sent, earlier);
            CHECK(retried <= options.share * most + options.slack);
        }
    }
}

TEST(retry_budget, slack_is_divided_among_hosts)
{
    const retry_budget_options options{
        .share = 0, .slack = 40, .window = seconds(10), .safety_factor = 1};
    // Half is saved in one window and half is earned in the next.
    const auto taken_by = [&](std::size_t hosts) {
        retry_budget it(options);
        it.set_hosts(hosts, start);
        int out = 0;
        for (int i = 0; i <= 100; ++i) {
            const instant now = start + seconds(10) + i * milliseconds(100);
            while (it.take_retry(desk, now))
                ++out;
        }
        return out;
    };
    CHECK_EQUAL(40, taken_by(1));
    CHECK_EQUAL(5, taken_by(8));
}

TEST(retry_budget, at_most_one_window_is_saved)
{
    retry_budget it(
        {.share = 0, .slack = 4, .window = seconds(10), .safety_factor = 1});
    it.set_hosts(1, start);
    DOUBLES_EQUAL(2, it.left(desk, start + seconds(100)), 1e-9);
}

TEST(retry_budget, requests_expire_after_a_window)
{
    retry_budget it(
        {.share = 0.2, .slack = 0, .window = seconds(10), .safety_factor = 1});
    for (int i = 0; i < 100; ++i)
        it.count_request(desk, start);
    DOUBLES_EQUAL(10, it.left(desk, start + seconds(9)), 1e-9);
    DOUBLES_EQUAL(0, it.left(desk, start + seconds(11)), 1e-9);
}

// A node that knows no other host must not take the whole slack.
TEST(retry_budget, no_slack_without_known_hosts)
{
    retry_budget it({});
    DOUBLES_EQUAL(0, it.left(desk, start + seconds(100)), 1e-9);
    it.set_hosts(8, start + seconds(100));
    CHECK(!it.take_retry(desk, start + seconds(100)));
    CHECK(it.take_retry(desk, start + seconds(110)));
}

// Guards against retries saved in a calm period that are spent at once and
// earned again within the same window.
TEST(retry_budget, burst_uses_at_most_the_saved_half)
{
    retry_budget it(
        {.share = 0.2, .slack = 0, .window = seconds(10), .safety_factor = 1});
    int taken = 0;
    for (int i = 0; i < 2000; ++i) {
        const instant now = start + i * milliseconds(10);
        it.count_request(desk, now);
        while (now >= start + seconds(10) && it.take_retry(desk, now))
            ++taken;
    }
    CHECK(taken > 180 && taken <= 200);
}
