#include "fennelladder/prepaid/outage_tracker.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

constexpr instant start = instant(seconds(100));

} // namespace

TEST_GROUP(outage_tracker)
{
    outage_tracker outages;

    /// The platform is unreachable from second `from` to second `to`.
    void unreachable(int from, int to)
    {
        outages.note(true, start + seconds(from) - milliseconds(1));
        for (int at = from; at < to; ++at)
            outages.note(false, start + seconds(at));
        outages.note(true, start + seconds(to));
    }

    long longest_at(int at)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(
                   outages.longest(start + seconds(at)))
            .count();
    }
};

TEST(outage_tracker, returns_the_longest_outage)
{
    LONGS_EQUAL(0, longest_at(0));
    unreachable(5, 13);
    unreachable(20, 23);
    LONGS_EQUAL(8, longest_at(30));
}

TEST(outage_tracker, outage_in_progress_counts)
{
    outages.note(false, start);
    LONGS_EQUAL(0, longest_at(0));
    LONGS_EQUAL(6, longest_at(6));
}

TEST(outage_tracker, a_single_failed_call_is_no_outage)
{
    outages.note(false, start);
    outages.note(true, start + milliseconds(900));
    LONGS_EQUAL(0, longest_at(1));
}

TEST(outage_tracker, outages_expire)
{
    unreachable(0, 8);
    LONGS_EQUAL(8, longest_at(600));
    LONGS_EQUAL(0, longest_at(700));
}
