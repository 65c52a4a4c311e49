#include "fennelladder/base/random.hpp"
#include "fennelladder/dispatch/retry_window.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

const service_id desk("desk");
constexpr instant start = instant(seconds(100));

} // namespace

TEST_GROUP(retry_window){};

// Slow oracle: random traffic at four nodes that hear nothing of each other;
// every window is counted by hand against the operator's limit.
TEST(retry_window, the_sum_over_all_nodes_keeps_the_limit)
{
    constexpr std::size_t nodes = 4;
    const retry_window_options options{
        .share = 0.2, .slack = 40, .window = seconds(10)};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        random_source random(seed);
        std::vector<retry_window> all(nodes, retry_window(options));
        std::vector<double> requests;
        std::vector<double> retries;
        double now = 0;
        for (int i = 0; i < 4000; ++i) {
            now += random.exponential(i % 1000 < 500 ? 0.005 : 0.05);
            const instant at = start + from_seconds(now);
            retry_window& it = all[random.below(nodes)];
            it.count_request(desk, at);
            requests.push_back(now);
            for (int k = 0; k < 3; ++k)
                if (it.take_retry(desk, nodes, at))
                    retries.push_back(now);
        }
        for (double from = 0; from < now; from += 0.37) {
            double sent = 0;
            double again = 0;
            for (const double it : requests)
                sent += it >= from && it < from + 10 ? 1 : 0;
            for (const double it : retries)
                again += it >= from && it < from + 10 ? 1 : 0;
            double earlier = 0;
            for (const double it : requests)
                earlier += it >= from - 5 && it < from + 5 ? 1 : 0;
            const double most = std::max(sent, earlier);
            CHECK(again <= options.share * most + options.slack);
        }
    }
}

TEST(retry_window, the_slack_is_shared)
{
    const retry_window_options options{
        .share = 0, .slack = 40, .window = seconds(10), .caution = 1};
    retry_window alone(options);
    retry_window one_of_eight(options);
    int taken_alone = 0;
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
        taken_alone += alone.take_retry(desk, 1, start) ? 1 : 0;
        taken += one_of_eight.take_retry(desk, 8, start) ? 1 : 0;
    }
    CHECK_EQUAL(40, taken_alone);
    CHECK_EQUAL(5, taken);
}

TEST(retry_window, what_is_old_counts_no_more)
{
    retry_window it(
        {.share = 0, .slack = 4, .window = seconds(10), .caution = 1});
    for (int i = 0; i < 4; ++i)
        CHECK(it.take_retry(desk, 1, start));
    CHECK(!it.take_retry(desk, 1, start + seconds(9)));
    CHECK(it.take_retry(desk, 1, start + seconds(12)));
}
