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
    prepaid::token_balances balances;
};

TEST(token_balances, spends_at_most_what_it_holds)
{
    balances.credit(team, tokens(100));
    CHECK(balances.reserve(team, tokens(60), start));
    CHECK(!balances.reserve(team, tokens(41), start));
    balances.settle(team, tokens(60), tokens(25), start);
    CHECK(balances.free_of(team) == tokens(75));
    CHECK(balances.debit(team, tokens(200)) == tokens(75));
    CHECK(balances.free_of(team) == tokens(0));
}

// Random operations: tokens credited equal tokens held, spent and debited.
TEST(token_balances, conserves_tokens)
{
    random_source random(7);
    tokens in;
    tokens out;
    std::vector<tokens> open;
    for (int i = 0; i < 20'000; ++i) {
        const tokens amount(static_cast<std::int64_t>(random.below(500)));
        switch (random.below(4)) {
        case 0:
            balances.credit(team, amount);
            in += amount;
            break;
        case 1:
            if (balances.reserve(team, amount, start))
                open.push_back(amount);
            break;
        case 2:
            if (!open.empty()) {
                const tokens held = open.back();
                open.pop_back();
                balances.settle(team, held, std::min(held, amount), start);
            }
            break;
        default:
            out += balances.debit(team, amount);
        }
        const holding& it = balances.holdings().at(team);
        CHECK(it.free >= tokens(0));
        CHECK(it.free + it.reserved + it.spent + out == in);
    }
}

// A team begins to send just before the platform becomes unreachable. The rate
// measured in the first seconds must be close to the real one, or the stock
// taken out is a fraction of what the outage needs.
TEST(token_balances, spending_rate_is_accurate_from_the_start)
{
    balances.credit(team, tokens(1'000'000));
    for (int i = 0; i < 40; ++i) {
        const instant at = start + milliseconds(50) * i;
        CHECK(balances.reserve(team, tokens(500), at));
    }
    const double rate = balances.spending(team, start + seconds(2));
    CHECK(rate > 8'000 && rate < 12'500);
    CHECK(balances.spending(team, start + seconds(40)) < 100);
}
