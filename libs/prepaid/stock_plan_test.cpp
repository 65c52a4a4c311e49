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

TEST(stock_plan, stock_holders_share_the_refill)
{
    stock_state it = busy();
    it.left = tokens(2'400'000); // Two minutes: no share limits it.
    const double goal = 20'000 * to_seconds(options.horizon);
    const tokens amount = tokens_to_take(it, options);
    DOUBLES_EQUAL(goal / 3, static_cast<double>(amount.count()), 2);
    it.fleet_free = tokens(static_cast<std::int64_t>(goal));
    it.stocked = it.fleet_free;
    CHECK(tokens_to_take(it, options) == tokens(0));
}

// Eighty nodes each hold what a request left over, too little for the next one.
// Counted as stock, it kept the stock holders from taking out tokens, and each
// request waited for its own write to the platform.
TEST(stock_plan, tokens_at_other_nodes_are_not_stock)
{
    stock_state it = busy();
    const auto goal =
        static_cast<std::int64_t>(20'000 * to_seconds(options.horizon));
    it.fleet_free = tokens(goal / 4);
    const tokens amount = tokens_to_take(it, options);
    CHECK(amount.count() > goal / 4 && amount.count() <= goal / 3);
    it.left = tokens(it.fleet_free.count() / 2);
    CHECK(tokens_to_take(it, options) == tokens(0));
}

TEST(stock_plan, other_nodes_take_only_unmet_demand)
{
    stock_state it = busy();
    it.is_holder = false;
    CHECK(tokens_to_take(it, options) == tokens(0));
    it.unmet_demand = tokens(700);
    CHECK(tokens_to_take(it, options) == tokens(700));
}

// All nodes are killed at once while a team's tokens run low. What they had
// taken out is lost; enough must be left in the record for the nodes that start
// after them.
TEST(stock_plan, most_unspent_tokens_stay_in_the_record)
{
    stock_state it = busy();
    it.live_holders = 1;
    it.left = tokens(50'000);
    const tokens amount = tokens_to_take(it, options);
    CHECK(amount.count() <= 50'000 * options.max_share_of_unspent + 1);
    it.fleet_free = amount;
    it.stocked = amount;
    it.left -= amount;
    CHECK(tokens_to_take(it, options) == tokens(0));
}

TEST(stock_plan, the_last_tokens_go_to_waiting_requests)
{
    stock_state it = busy();
    it.left = tokens(300);
    it.unmet_demand = tokens(700);
    CHECK(tokens_to_take(it, options) == tokens(300));
    it.left = tokens(0);
    CHECK(tokens_to_take(it, options) == tokens(0));
}

TEST(stock_plan, nodes_agree_on_a_few_stock_holders)
{
    std::vector<host_id> nodes;
    for (int i = 0; i < 80; ++i)
        nodes.emplace_back("n" + std::to_string(i));
    std::vector<host_id> reversed(nodes.rbegin(), nodes.rend());
    std::map<host_id, int> load;
    for (int i = 0; i < 200; ++i) {
        const team_id team("t" + std::to_string(i));
        const auto holders =
            holders_of(team, holder_candidates_of(nodes, options), options);
        UNSIGNED_LONGS_EQUAL(3, holders.size());
        CHECK(holders_of(team, holder_candidates_of(reversed, options),
                         options) == holders);
        for (const host_id& it : holders)
            ++load[it];
    }
    UNSIGNED_LONGS_EQUAL(options.holder_candidates, load.size());
    for (const auto& [host, teams] : load)
        CHECK(teams > 30 && teams < 130);
}

// All nodes lose power while a team is close to its end, with a fifth of its
// unspent tokens in their stocks: its callers were refused for the rest of the
// day, although the team had prepaid for them. A team whose tokens last long
// may stock a larger share, and is served longer while the platform is
// unreachable.
TEST(stock_plan, team_close_to_its_end_stocks_little)
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

// The platform is unreachable for eight seconds, and again later when teams are
// close to their ends. Guards against stocks for two or three seconds, with
// which callers are refused during the second outage.
TEST(stock_plan, stock_covers_a_recent_outage)
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
    // Not all unspent tokens: some are left for nodes that start after a loss
    // of all nodes.
    it.left = tokens(20'000 * 8);
    DOUBLES_EQUAL(8 * options.max_share_for_outage, seconds_stocked(), 0.01);
}

TEST(stock_plan, short_outage_does_not_raise_a_larger_stock)
{
    stock_state it = busy();
    it.left = tokens(2'400'000);
    const tokens before = tokens_to_take(it, options);
    it.longest_outage = seconds(4);
    CHECK(tokens_to_take(it, options) == before);
}

// All callers of a busy team use one host that holds no stock, at 90 requests a
// second. Guards against a token request to other nodes for each of them, which
// queues behind the callers' traffic on a narrow link until it is too late.
TEST(stock_plan, busy_host_without_stock_sends_few_token_requests)
{
    constexpr int each_second = 90;
    constexpr std::int64_t size = 3'000;
    const auto token_requests = [&](const stock_options& by) {
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
    LONGS_EQUAL(10 * each_second, token_requests(each_alone));
    CHECK(token_requests(options) <= 10);
}

TEST(stock_plan, no_extra_is_requested_without_unallotted_tokens)
{
    CHECK(extra_to_request(1e6, tokens(0), options) == tokens(0));
}

// Eight nodes spend the rest of a team's tokens within seconds. Guards against
// the last tokens being spread over all of them, with too few at each node for
// a request.
TEST(stock_plan, the_last_tokens_are_not_spread_over_nodes)
{
    constexpr std::int64_t left = 600'000;
    constexpr int nodes = 8;
    std::int64_t total = 0;
    for (int i = 0; i < nodes; ++i)
        total += extra_to_request(200'000, tokens(left), options).count();
    CHECK(total <= left / 5);
}
