#include "fennelladder/base/random.hpp"
#include "fennelladder/prepaid/urgency_reserve.hpp"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

constexpr instant start = instant(seconds(100));
const team_id team("t");

/// A kind of request: so many a second, of so many tokens each.
struct kind
{
    int urgency;
    double each_second;
    std::int64_t tokens_each;
};

/// Shop traffic: short lookups first, long guides next, labels last. The guides
/// take two thirds of all tokens.
constexpr std::array traffic{kind{0, 12.5, 930}, kind{1, 11.8, 7000},
                             kind{2, 20.1, 1830}};

/// Plays an outage of nine seconds with stock for four; the share served of
/// each kind. `rationed`: by ration, or as they come.
std::array<double, traffic.size()> play_outage(bool rationed)
{
    urgency_reserve shares({});
    random_source random(5);
    double all = 0;
    for (const kind& it : traffic)
        all += it.each_second * static_cast<double>(it.tokens_each);
    auto free = static_cast<std::int64_t>(all * 4);
    std::array<int, traffic.size()> asked{};
    std::array<int, traffic.size()> served{};
    const instant outage = start + seconds(20);
    for (instant now = start; now < outage + seconds(9); now += milliseconds(1))
        for (std::size_t i = 0; i < traffic.size(); ++i) {
            const kind& it = traffic[i];
            if (!random.chance(it.each_second / 1000))
                continue;
            const tokens wanted(it.tokens_each);
            shares.note(team, it.urgency, wanted, now);
            if (now < outage)
                continue;
            ++asked[i];
            const tokens kept =
                rationed ? shares.kept_back(team, it.urgency, now) : tokens(0);
            if (free - it.tokens_each < kept.count())
                continue;
            free -= it.tokens_each;
            ++served[i];
        }
    std::array<double, traffic.size()> out{};
    for (std::size_t i = 0; i < traffic.size(); ++i)
        out[i] = static_cast<double>(served[i]) / asked[i];
    return out;
}

} // namespace

TEST_GROUP(urgency_reserve){};

// Story: the platform is away for nine seconds, and stock for four is there.
// Callers of all kinds were served for four seconds and refused for five; the
// lookups for which a customer waits at the counter too, though all of them
// together need a twelfth of the tokens.
TEST(urgency_reserve, the_urgent_are_served_throughout_an_outage)
{
    CHECK(play_outage(false)[0] < 0.6);
    const auto served = play_outage(true);
    CHECK(served[0] > 0.95);
    // The others share what is left: four ninths less the lookups' part.
    CHECK(served[1] > 0.3);
    CHECK(served[2] > 0.3);
}

// An urgent kind that needs most of the tokens is served as it comes.
TEST(urgency_reserve, no_kind_is_starved_by_a_large_more_urgent_one)
{
    urgency_reserve shares({});
    for (int i = 0; i < 40; ++i) {
        const instant at = start + milliseconds(100) * i;
        shares.note(team, 0, tokens(900), at);
        shares.note(team, 1, tokens(100), at);
    }
    CHECK(shares.kept_back(team, 1, start + seconds(4)) == tokens(0));
}

TEST(urgency_reserve, more_callers_are_served_than_as_they_come)
{
    double before = 0;
    double after = 0;
    for (std::size_t i = 0; i < traffic.size(); ++i) {
        before += traffic[i].each_second * play_outage(false)[i];
        after += traffic[i].each_second * play_outage(true)[i];
    }
    CHECK(after > before);
}

TEST(urgency_reserve, the_most_urgent_leave_nothing)
{
    urgency_reserve shares({});
    shares.note(team, 1, tokens(5000), start);
    CHECK(shares.kept_back(team, 0, start) == tokens(0));
    CHECK(shares.kept_back(team, 1, start) == tokens(0));
    CHECK(shares.kept_back(team_id("other"), 9, start) == tokens(0));
}

TEST(urgency_reserve, demand_is_forgotten)
{
    urgency_reserve shares({});
    for (int i = 0; i < 40; ++i) {
        shares.note(team, 0, tokens(100), start + milliseconds(100) * i);
        shares.note(team, 1, tokens(900), start + milliseconds(100) * i);
    }
    const tokens then = shares.kept_back(team, 1, start + seconds(4));
    DOUBLES_EQUAL(8 * 1000, static_cast<double>(then.count()), 800);
    CHECK(shares.kept_back(team, 1, start + seconds(60)) < tokens(20));
}
