#include "fennelladder/mesh/source_choice.hpp"

#include <CppUTest/TestHarness.h>
#include <limits>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

const data_center_id near("austin");
const data_center_id far("boston");
const instant start = from_nanoseconds(1'000'000'000);

/// How often each source is chosen in 10,000 draws.
std::map<std::string, int> choices(const std::vector<update_source>& sources)
{
    random_source random(5);
    std::map<std::string, int> out;
    for (int i = 0; i < 10'000; ++i)
        ++out[choose_source(sources, near, random)];
    return out;
}

} // namespace

TEST_GROUP(source_choice){};

TEST(source_choice, follows_capacity_and_data_center)
{
    struct row
    {
        update_source a;
        update_source b;
        double share_of_a;
    };
    const double inf = std::numeric_limits<double>::infinity();
    const double none = std::numeric_limits<double>::quiet_NaN();
    const row rows[] = {
        {{"a", near, 100}, {"b", near, 100}, 0.5},
        {{"a", near, 300}, {"b", near, 100}, 0.75},
        {{"a", near, 100}, {"b", far, 100}, 0.889},
        {{"a", near, 100}, {"b", far, 800}, 0.5},
        {{"a", near, 0}, {"b", near, 1}, 0.5},
        {{"a", near, none}, {"b", near, 1}, 0.5},
        {{"a", near, -5}, {"b", near, 3}, 0.25},
        {{"a", near, inf}, {"b", near, 1e5}, 0.5},
    };
    for (const row& it : rows)
        DOUBLES_EQUAL(it.share_of_a, choices({it.a, it.b})["a"] / 10'000.0,
                      0.02);
}

TEST(source_choice, one_or_none)
{
    random_source random(5);
    CHECK(choose_source({}, near, random).empty());
    const std::string only = choose_source({{"a", far, 0}}, near, random);
    STRCMP_EQUAL("a", only.c_str());
}

// Guards against requests that concentrate on one source. 59 nodes learned of a
// configuration from the same heartbeats and all asked the largest node that
// had it; its link completed none of the transfers.
TEST(source_choice, nodes_with_the_same_sources_ask_different_ones)
{
    std::vector<update_source> sources;
    sources.reserve(5);
    for (int i = 0; i < 5; ++i)
        sources.push_back({std::to_string(i), near, 100});
    std::map<std::string, int> asked;
    for (std::uint64_t node = 0; node < 59; ++node) {
        random_source random(node);
        ++asked[choose_source(sources, near, random)];
    }
    for (const update_source& it : sources)
        CHECK(asked[it.address] >= 4 && asked[it.address] <= 24);
}

TEST(source_choice, requests_to_one_source_are_limited)
{
    CHECK(request_interval(60, 1) == milliseconds(120));
    CHECK(request_interval(60, 3) == milliseconds(50));
    CHECK(request_interval(340, 1) == milliseconds(250));
    CHECK(request_interval(340, 8) == milliseconds(84));
    CHECK(request_interval(1, 1) == milliseconds(50));
    CHECK(request_interval(5, 0) == milliseconds(50));
}

TEST(source_choice, large_hosts_ask_first)
{
    random_source random(3);
    duration last_large{0};
    duration first_small = seconds(1);
    duration last_small{0};
    for (int i = 0; i < 1'000; ++i) {
        const duration large = initial_delay(true, 0.1, 340, 1, random);
        const duration small = initial_delay(false, 0.1, 340, 1, random);
        last_large = std::max(last_large, large);
        first_small = std::min(first_small, small);
        last_small = std::max(last_small, small);
    }
    CHECK(last_large <= milliseconds(15));
    CHECK(first_small >= milliseconds(15));
    CHECK(last_small > milliseconds(140) && last_small <= milliseconds(150));
    // If all are large, they don't ask at once either.
    duration last{0};
    for (int i = 0; i < 1'000; ++i)
        last = std::max(last, initial_delay(true, 1, 340, 1, random));
    CHECK(last > milliseconds(140));
}

TEST(source_choice, backoff_grows_with_each_failure)
{
    struct row
    {
        fetch_result end;
        duration first; ///< Longest of all draws.
        duration last;
    };
    const row rows[] = {
        {fetch_result::done, duration(0), duration(0)},
        {fetch_result::not_newer, milliseconds(150), milliseconds(600)},
        {fetch_result::busy, milliseconds(150), milliseconds(600)},
        {fetch_result::failed, milliseconds(750), milliseconds(3000)},
    };
    const std::vector<update_source> both{{"a", near, 1}, {"b", near, 1}};
    for (const row& it : rows) {
        random_source random(1);
        source_backoff backoff;
        backoff.note("a", it.end, start, random);
        CHECK_EQUAL(it.end == fetch_result::done ? 2U : 1U,
                    backoff.available(both, start).size());
        CHECK_EQUAL(2U, backoff.available(both, start + it.first).size());
        for (int i = 0; i < 6; ++i)
            backoff.note("a", it.end, start, random);
        CHECK_EQUAL(2U, backoff.available(both, start + it.last).size());
        const instant early = start + it.last / 3 - milliseconds(1);
        CHECK_EQUAL(it.end == fetch_result::done ? 2U : 1U,
                    backoff.available(both, early).size());
    }
}

TEST(source_choice, failures_are_forgotten)
{
    random_source random(1);
    source_backoff backoff;
    CHECK_EQUAL(1, backoff.note("a", fetch_result::busy, start, random));
    CHECK_EQUAL(2, backoff.note("a", fetch_result::busy, start, random));
    CHECK_EQUAL(0, backoff.note("a", fetch_result::done, start, random));
    CHECK_EQUAL(1, backoff.note("a", fetch_result::busy, start, random));
    CHECK_EQUAL(
        1, backoff.note("b", fetch_result::busy, start + seconds(60), random));
    UNSIGNED_LONGS_EQUAL(1, backoff.size());
}
