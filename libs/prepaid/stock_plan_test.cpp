#include "fennelladder/prepaid/stock_plan.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

stock_state busy()
{
    stock_state out;
    out.prepaid = tokens(1'000'000);
    out.left = tokens(900'000);
    out.fleet_spending = 20'000;
    out.live_holders = 3;
    out.is_holder = true;
    return out;
}

} // namespace

TEST_GROUP(stock_plan)
{
    const stock_options options;
};

TEST(stock_plan, the_stockists_fill_the_gap_together)
{
    stock_state it = busy();
    it.left = tokens(2'400'000); // For two minutes: no share is in the way.
    const double goal = 20'000 * to_seconds(options.horizon);
    const tokens wish = tokens_to_take(it, options);
    DOUBLES_EQUAL(goal / 3, static_cast<double>(wish.count()), 2);
    it.fleet_free = tokens(static_cast<std::int64_t>(goal));
    it.stocked = it.fleet_free;
    CHECK(tokens_to_take(it, options) == tokens(0));
}

// Story: eighty nodes hold the rest of a request each, too little for the next
// one. The stockists counted that as stock and took nothing out; so each
// request that came waited for a write of its own to the platform.
TEST(stock_plan, what_lies_at_other_nodes_is_no_stock)
{
    stock_state it = busy();
    const auto goal =
        static_cast<std::int64_t>(20'000 * to_seconds(options.horizon));
    it.fleet_free = tokens(goal / 4);
    const tokens wish = tokens_to_take(it, options);
    CHECK(wish.count() > goal / 4 && wish.count() <= goal / 3);
    it.left = tokens(it.fleet_free.count() / 2);
    CHECK(tokens_to_take(it, options) == tokens(0));
}

TEST(stock_plan, others_take_only_what_somebody_waits_for)
{
    stock_state it = busy();
    it.is_holder = false;
    CHECK(tokens_to_take(it, options) == tokens(0));
    it.unmet_demand = tokens(700);
    CHECK(tokens_to_take(it, options) == tokens(700));
}

// Story: all nodes of a fleet are killed at once while their team's tokens
// run low. What they had taken out is lost; enough must be left in the record
// for the nodes that start after them.
TEST(stock_plan, most_of_the_unspent_stays_in_the_record)
{
    stock_state it = busy();
    it.live_holders = 1;
    it.left = tokens(50'000);
    const tokens wish = tokens_to_take(it, options);
    CHECK(wish.count() <= 50'000 * options.max_share_of_unspent + 1);
    it.fleet_free = wish;
    it.stocked = wish;
    it.left -= wish;
    CHECK(tokens_to_take(it, options) == tokens(0));
}

TEST(stock_plan, the_last_tokens_go_to_whom_waits)
{
    stock_state it = busy();
    it.left = tokens(300);
    it.unmet_demand = tokens(700);
    CHECK(tokens_to_take(it, options) == tokens(300));
    it.left = tokens(0);
    CHECK(tokens_to_take(it, options) == tokens(0));
}

TEST(stock_plan, stockists_are_few_and_agreed_on)
{
    std::vector<host_id> nodes;
    for (int i = 0; i < 80; ++i)
        nodes.emplace_back("n" + std::to_string(i));
    std::vector<host_id> reversed(nodes.rbegin(), nodes.rend());
    std::map<host_id, int> load;
    for (int i = 0; i < 200; ++i) {
        const team_id team("t" + std::to_string(i));
        const auto few =
            holders_of(team, holder_candidates_of(nodes, options), options);
        UNSIGNED_LONGS_EQUAL(3, few.size());
        CHECK(holders_of(team, holder_candidates_of(reversed, options),
                         options) == few);
        for (const host_id& it : few)
            ++load[it];
    }
    UNSIGNED_LONGS_EQUAL(options.holder_candidates, load.size());
    for (const auto& [host, teams] : load)
        CHECK(teams > 30 && teams < 130);
}

// Story: all nodes lose power while a team nears its end. A fifth of its
// unspent tokens lay in their stocks: its callers were refused for the rest of
// the day, though the team had prepaid for them. A team with tokens for a long
// time may stock a larger share, and is served longer while the platform is
// away.
TEST(stock_plan, a_team_close_to_its_end_stocks_little)
{
    stock_state it = busy();
    it.live_holders = 1;
    const auto share = [&](std::int64_t runway_s) {
        it.left = tokens(20'000 * runway_s);
        return static_cast<double>(tokens_to_take(it, options).count()) /
               static_cast<double>(it.left.count());
    };
    DOUBLES_EQUAL(options.max_share_of_unspent / 6, share(10), 0.001);
    DOUBLES_EQUAL(options.max_share_of_unspent / 2, share(30), 0.001);
    CHECK(20'000 * 40 * share(40) >= 20'000 * 10);
}

/// A fleet is cut off from its platform for eight seconds, and later again when
/// its teams near their ends. Guards against stocks for two or three seconds
/// that leave the callers of the second cut with refusals.
TEST(stock_plan, an_outage_seen_before_is_stocked_for)
{
    stock_state it = busy();
    it.live_holders = 1;
    it.left = tokens(20'000 * 20);
    const auto seconds_stocked = [&] {
        return static_cast<double>(tokens_to_take(it, options).count()) /
               20'000;
    };
    CHECK(seconds_stocked() < 3);
    it.longest_outage = seconds(8);
    CHECK(seconds_stocked() >= 9);
    // Not all of what is left: whoever starts after a loss of all nodes finds
    // some.
    it.left = tokens(20'000 * 8);
    DOUBLES_EQUAL(8 * options.max_share_for_outage, seconds_stocked(), 0.01);
}

TEST(stock_plan, an_outage_adds_nothing_where_more_is_stocked_anyway)
{
    stock_state it = busy();
    it.left = tokens(2'400'000);
    const tokens before = tokens_to_take(it, options);
    it.longest_outage = seconds(4);
    CHECK(tokens_to_take(it, options) == before);
}

/// All callers of a busy team keep to one host that holds no stock: 90 requests
/// a second. Guards against a question to other nodes for each of them, which
/// waits behind the callers' bytes on a narrow link until it is too late.
TEST(stock_plan, a_host_that_a_busy_team_keeps_to_asks_seldom)
{
    constexpr int each_second = 90;
    constexpr std::int64_t size = 3'000;
    const auto questions = [&](const stock_options& by) {
        const tokens left(each_second * size * 100);
        std::int64_t held = 0;
        int out = 0;
        for (int i = 0; i < 10 * each_second; ++i) {
            if (held < size) {
                ++out;
                held += size - held +
                        extra_to_request(each_second * size, left, by).count();
            }
            held -= size;
        }
        return out;
    };
    stock_options each_alone;
    each_alone.request_ahead = duration(0);
    LONGS_EQUAL(10 * each_second, questions(each_alone));
    CHECK(questions(options) <= 10);
}

TEST(stock_plan, while_tokens_are_scarce_nobody_asks_beyond_its_need)
{
    CHECK(extra_to_request(1e6, tokens(0), options) == tokens(0));
}

/// Eight nodes spend what is left of a team within seconds. Guards against the
/// last tokens lying at all of them, too few at each for a request.
TEST(stock_plan, the_last_tokens_are_not_spread_over_nodes)
{
    constexpr std::int64_t left = 600'000;
    constexpr int nodes = 8;
    std::int64_t request_ahead = 0;
    for (int i = 0; i < nodes; ++i)
        request_ahead +=
            extra_to_request(200'000, tokens(left), options).count();
    CHECK(request_ahead <= left / 5);
}
