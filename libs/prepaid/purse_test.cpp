#include "fennelladder/base/random.hpp"
#include "fennelladder/prepaid/purse.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

const team_id team("t");
constexpr instant start = instant(seconds(100));

} // namespace

TEST_GROUP(purse)
{
    prepaid::purse purse;
};

TEST(purse, spends_no_more_than_it_holds)
{
    purse.credit(team, tokens(100));
    CHECK(purse.reserve(team, tokens(60), start));
    CHECK(!purse.reserve(team, tokens(41), start));
    purse.settle(team, tokens(60), tokens(25), start);
    CHECK(purse.free_of(team) == tokens(75));
    CHECK(purse.debit(team, tokens(200)) == tokens(75));
    CHECK(purse.free_of(team) == tokens(0));
}

// Random operations; what came in is always what is there, spent or gone.
TEST(purse, nothing_is_made_or_lost)
{
    random_source random(7);
    tokens in;
    tokens out;
    std::vector<tokens> open;
    for (int i = 0; i < 20'000; ++i) {
        const tokens amount(static_cast<std::int64_t>(random.below(500)));
        switch (random.below(4)) {
        case 0:
            purse.credit(team, amount);
            in += amount;
            break;
        case 1:
            if (purse.reserve(team, amount, start))
                open.push_back(amount);
            break;
        case 2:
            if (!open.empty()) {
                const tokens held = open.back();
                open.pop_back();
                purse.settle(team, held, std::min(held, amount), start);
            }
            break;
        default:
            out += purse.debit(team, amount);
        }
        const holding& it = purse.holdings().at(team);
        CHECK(it.free >= tokens(0));
        CHECK(it.free + it.reserved + it.spent + out == in);
    }
}

// Story: a team begins to send just before the platform is cut off. The rate
// seen in the first seconds must be what it really spends, or the stock taken
// out is a fraction of what the cut needs.
TEST(purse, a_rate_is_right_from_the_beginning)
{
    purse.credit(team, tokens(1'000'000));
    for (int i = 0; i < 40; ++i) {
        const instant at = start + milliseconds(50) * i;
        CHECK(purse.reserve(team, tokens(500), at));
    }
    const double rate = purse.spending(team, start + seconds(2));
    CHECK(rate > 8'000 && rate < 12'500);
    CHECK(purse.spending(team, start + seconds(40)) < 100);
}
