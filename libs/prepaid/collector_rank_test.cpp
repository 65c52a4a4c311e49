#include "fennelladder/prepaid/collector_rank.hpp"

#include <CppUTest/TestHarness.h>
#include <set>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

const team_id team("t");

host_id host(int i)
{
    return host_id("n" + std::to_string(i));
}

/// The host whose request goes before those of all others.
host_id first_of(const team_id& team, int hosts)
{
    host_id out = host(0);
    for (int i = 1; i < hosts; ++i)
        if (goes_first(rank_of(team, 0, host(i)), rank_of(team, 0, out)))
            out = host(i);
    return out;
}

} // namespace

TEST_GROUP(collector_rank){};

TEST(collector_rank, the_more_urgent_request_goes_first)
{
    for (int i = 0; i < 20; ++i) {
        const auto urgent = rank_of(team, 1, host(i));
        const auto other = rank_of(team, 2, host(i + 1));
        CHECK(goes_first(urgent, other));
        CHECK(!goes_first(other, urgent));
    }
}

// Guards against nodes that each wait for the other to give first.
TEST(collector_rank, of_two_requests_exactly_one_goes_first)
{
    for (int i = 0; i < 20; ++i)
        for (int k = 0; k < 20; ++k) {
            const auto one = rank_of(team, 3, host(i));
            const auto other = rank_of(team, 3, host(k));
            LONGS_EQUAL(i == k ? 0 : 1,
                        goes_first(one, other) + goes_first(other, one));
        }
}

TEST(collector_rank, teams_prefer_different_hosts)
{
    std::set<host_id> first;
    for (int i = 0; i < 40; ++i)
        first.insert(first_of(team_id("t" + std::to_string(i)), 8));
    CHECK(first.size() >= 6);
}
