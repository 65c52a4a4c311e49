#include "fennelladder/base/random.hpp"
#include "fennelladder/prepaid/token_balances.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

const team_id team("t");
constexpr instant start = instant(seconds(100));

} // namespace

TEST_GROUP(token_balances)
{
    prepaid::token_balances token_balances;
};

TEST(token_balances, spends_no_more_than_it_holds)
{
    token_balances.credit(team, tokens(100));
    CHECK(token_balances.reserve(team, tokens(60), start));
    CHECK(!token_balances.reserve(team, tokens(41), start));
    token_balances.settle(team, tokens(60), tokens(25), start);
    CHECK(token_balances.free_of(team) == tokens(75));
    CHECK(token_balances.debit(team, tokens(200)) == tokens(75));
    CHECK(token_balances.free_of(team) == tokens(0));
}

// Random operations; what came in is always what is there, spent or gone.
TEST(token_balances, nothing_is_made_or_lost)
{
    random_source random(7);
    tokens in;
    tokens out;
    std::vector<tokens> open;
    for (int i = 0; i < 20'000; ++i) {
        const tokens amount(static_cast<std::int64_t>(random.below(500)));
        switch (random.below(4)) {
        case 0:
            token_balances.credit(team, amount);
            in += amount;
            break;
        case 1:
            if (token_balances.reserve(team, amount, start))
                open.push_back(amount);
            break;
        case 2:
            if (!open.empty()) {
                const tokens held = open.back();
                open.pop_back();
                token_balances.settle(team, held, std::min(held, amount),
                                      start);
            }
            break;
        default:
            out += token_balances.debit(team, amount);
        }
        const holding& it = token_balances.holdings().at(team);
        CHECK(it.free >= tokens(0));
        CHECK(it.free + it.reserved + it.spent + out == in);
    }
}

// Story: a team begins to send just before the platform is cut off. The rate
// seen in the first seconds must be what it really spends, or the stock taken
// out is a fraction of what the cut needs.
TEST(token_balances, a_rate_is_right_from_the_beginning)
{
    token_balances.credit(team, tokens(1'000'000));
    for (int i = 0; i < 40; ++i) {
        const instant at = start + milliseconds(50) * i;
        CHECK(token_balances.reserve(team, tokens(500), at));
    }
    const double rate = token_balances.spending(team, start + seconds(2));
    CHECK(rate > 8'000 && rate < 12'500);
    CHECK(token_balances.spending(team, start + seconds(40)) < 100);
}
