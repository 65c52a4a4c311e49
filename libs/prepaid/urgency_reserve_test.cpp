#include "fennelladder/base/random.hpp"
#include "fennelladder/prepaid/urgency_reserve.hpp"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

constexpr instant start = instant(seconds(100));
const team_id team("t");

/// A kind of request: its rate a second and its size.
struct kind
{
    int urgency;
    double each_second;
    std::int64_t tokens_each;
};

/// Sample traffic, the most urgent kind first: lookups that a customer waits
/// for, with short prompts; guides, with long prompts that take two thirds of
/// all tokens; and labels.
constexpr std::array traffic{kind{0, 12.5, 930}, kind{1, 11.8, 7000},
                             kind{2, 20.1, 1830}};

/// Simulates an outage of nine seconds with stock for four. Returns the served
/// share of each kind. `with_reserve`: false serves in order of arrival.
std::array<double, traffic.size()> simulate_outage(bool with_reserve)
{
    urgency_reserve reserve({});
    random_source random(5);
    double all = 0;
    for (const kind& it : traffic)
        all += it.each_second * static_cast<double>(it.tokens_each);
    auto free = static_cast<std::int64_t>(all * 4);
    std::array<int, traffic.size()> requested{};
    std::array<int, traffic.size()> served{};
    const instant outage = start + seconds(20);
    for (instant now = start; now < outage + seconds(9); now += milliseconds(1))
        for (std::size_t i = 0; i < traffic.size(); ++i) {
            const kind& it = traffic[i];
            if (!random.chance(it.each_second / 1000))
                continue;
            const tokens wanted(it.tokens_each);
            reserve.note(team, it.urgency, wanted, now);
            if (now < outage)
                continue;
            ++requested[i];
            const tokens kept =
                with_reserve
                    ? reserve.reserved_for_urgent(team, it.urgency, now)
                    : tokens(0);
            if (free - it.tokens_each < kept.count())
                continue;
            free -= it.tokens_each;
            ++served[i];
        }
    std::array<double, traffic.size()> out{};
    for (std::size_t i = 0; i < traffic.size(); ++i)
        out[i] = static_cast<double>(served[i]) / requested[i];
    return out;
}

} // namespace

TEST_GROUP(urgency_reserve){};

// The platform is unreachable for nine seconds, with stock for four. All kinds
// of requests were served for four seconds and refused for five, including the
// lookups that a customer waits for, although these need only a twelfth of the
// tokens.
TEST(urgency_reserve, urgent_requests_are_served_throughout_an_outage)
{
    CHECK(simulate_outage(false)[0] < 0.6);
    const auto served = simulate_outage(true);
    CHECK(served[0] > 0.95);
    // The others share the rest: four ninths minus the lookups' part.
    CHECK(served[1] > 0.3);
    CHECK(served[2] > 0.3);
}

// An urgent kind that needs most of the tokens is served in order of arrival.
TEST(urgency_reserve, large_urgent_kind_does_not_starve_others)
{
    urgency_reserve reserve({});
    for (int i = 0; i < 40; ++i) {
        const instant at = start + milliseconds(100) * i;
        reserve.note(team, 0, tokens(900), at);
        reserve.note(team, 1, tokens(100), at);
    }
    CHECK(reserve.reserved_for_urgent(team, 1, start + seconds(4)) ==
          tokens(0));
}

TEST(urgency_reserve, serves_more_requests_than_in_order_of_arrival)
{
    double before = 0;
    double after = 0;
    for (std::size_t i = 0; i < traffic.size(); ++i) {
        before += traffic[i].each_second * simulate_outage(false)[i];
        after += traffic[i].each_second * simulate_outage(true)[i];
    }
    CHECK(after > before);
}

TEST(urgency_reserve, nothing_is_reserved_against_the_most_urgent)
{
    urgency_reserve reserve({});
    reserve.note(team, 1, tokens(5000), start);
    CHECK(reserve.reserved_for_urgent(team, 0, start) == tokens(0));
    CHECK(reserve.reserved_for_urgent(team, 1, start) == tokens(0));
    CHECK(reserve.reserved_for_urgent(team_id("other"), 9, start) == tokens(0));
}

TEST(urgency_reserve, demand_decays)
{
    urgency_reserve reserve({});
    for (int i = 0; i < 40; ++i) {
        reserve.note(team, 0, tokens(100), start + milliseconds(100) * i);
        reserve.note(team, 1, tokens(900), start + milliseconds(100) * i);
    }
    const tokens then =
        reserve.reserved_for_urgent(team, 1, start + seconds(4));
    DOUBLES_EQUAL(8 * 1000, static_cast<double>(then.count()), 800);
    CHECK(reserve.reserved_for_urgent(team, 1, start + seconds(60)) <
          tokens(20));
}
