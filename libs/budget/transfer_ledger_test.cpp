#include "fennelladder/budget/transfer_ledger.hpp"
#include "fennelladder/budget/witness_ledger.hpp"

#include <CppUTest/TestHarness.h>
#include <string_view>

using namespace fennelladder;
using namespace fennelladder::budget;

namespace {

const incarnation_id giver("giver.1");
const incarnation_id taker("taker.1");
const budget_id fund("fund");
const shard_id shard(1);

instant at(std::int64_t ms)
{
    return instant(milliseconds(ms));
}

struct transfer_fixture : Utest
{
    allotment_table giving;
    allotment_table taking;
    transfer_ledger theirs{giver, giving};
    transfer_ledger mine{taker, taking};

    transfer_fixture()
    {
        giving.credit_grant(fund, tokens(100), at(0));
        giving.raise_ceiling(fund, tokens(80));
    }

    std::int64_t left(const allotment_table& table)
    {
        const auto level = table.level(fund);
        return level ? level->available().count() : 0;
    }
};

} // namespace

TEST_GROUP_BASE(transfer, transfer_fixture){};

// After a platform outage a node can't leave: its give-backs are refused for
// good. It got tokens of two budgets from one giver, which counts its transfers
// shard by shard, so that both had the number 1. While no report got out, the
// second took the place of the first, which the books were never told.
TEST(transfer, reports_of_two_shards_with_one_number_both_get_out)
{
    const budget_id other("other");
    giving.credit_grant(other, tokens(100), at(0));
    giving.raise_ceiling(other, tokens(80));
    const auto move = [&](const budget_id& budget, shard_id where) {
        const auto ask = mine.ask(giver, budget, tokens(9), tokens(9), at(0));
        mine.accept(theirs.give(ask, tokens(9), where), at(0));
    };
    move(fund, shard);
    move(other, shard_id(2));
    auto reports = mine.reports();
    LONGS_EQUAL(2, reports.size());
    CHECK(reports[0].id == reports[1].id);
    CHECK(reports[0].budget != reports[1].budget);
    mine.reported(reports[0], true);
    mine.reported(reports[1], false);
    reports = mine.reports();
    LONGS_EQUAL(1, reports.size());
    mine.reported(reports[0], true);
    LONGS_EQUAL(0, mine.unreported());
}

// Messages between giver and taker are lost, doubled or late. A caller may be
// refused for it, but the tokens of both sides together never grow, and after
// both have spoken again they are the same as before. Steps, in order:
//   a: the taker's ask reaches the giver     r: the last reply arrives
//   t: the taker repeats or gives up (5 s)   c: the taker's word arrives
TEST_GROUP_BASE(transfer_story, transfer_fixture){};

TEST(transfer_story, lost_doubled_and_late_messages)
{
    const struct
    {
        std::string_view steps;
        std::int64_t giver_left, taker_left;
    } cases[] = {
        {"arc", 60, 40},   // nothing lost
        {"aarrc", 60, 40}, // all doubled
        {"aar", 60, 40},   // first reply lost, asked again
        {"a", 60, 0},      // reply lost: missing until the taker speaks
        {"atc", 100, 0},   // ... given up, and taken back
        {"atrc", 100, 0},  // reply later than giving up: not credited
        {"tcar", 100, 0},  // ask later than the word that it's given up
        {"arcar", 60, 40}, // ask doubled, long after all was done
        {"atca", 100, 0},  // ask doubled after it was taken back
        {"arccc", 60, 40}, // word doubled
        {"t", 100, 0},     // all lost
    };
    for (const auto& it : cases) {
        transfer_fixture run;
        const transfer_ask ask =
            run.mine.ask(giver, fund, tokens(40), tokens(40), at(0));
        transfer_reply reply{ask.number, {giver, 0}, {}, false};
        instant late = at(6000);
        for (const char step : it.steps) {
            if (step == 'a')
                reply = run.theirs.give(ask, tokens(1000), shard);
            if (step == 'r')
                run.mine.accept(reply, at(1));
            if (step == 't')
                run.mine.repeats(at(6000));
            if (step == 'c') {
                for (const transfer_confirm& word : run.mine.confirms(late))
                    run.theirs.confirm(word);
                late += seconds(1);
            }
            CHECK(run.left(run.giving) + run.left(run.taking) <= 100);
        }
        LONGS_EQUAL(it.giver_left, run.left(run.giving));
        LONGS_EQUAL(it.taker_left, run.left(run.taking));
        LONGS_EQUAL(it.taker_left > 0 ? 1 : 0, run.mine.unreported());
    }
}

TEST(transfer, gives_within_capital_ceiling_and_limit)
{
    const struct
    {
        std::int64_t wish, most, expected;
    } cases[] = {{10, 100, 10}, {50, 20, 20}, {500, 500, 80}, {5, 0, 0}};
    for (const auto& it : cases) {
        transfer_fixture run;
        const auto ask =
            run.mine.ask(giver, fund, tokens(it.wish), tokens(1), at(0));
        LONGS_EQUAL(
            it.expected,
            run.theirs.give(ask, tokens(it.most), shard).amount.count());
    }
}

// A taker dies after it confirmed and before it told the books. The giver
// tells them in its place.
TEST(transfer, giver_reports_for_a_taker_that_is_gone)
{
    const auto ask = mine.ask(giver, fund, tokens(30), tokens(1), at(0));
    mine.accept(theirs.give(ask, tokens(30), shard), at(0));
    LONGS_EQUAL(0, theirs.take_over(taker).size());
    LONGS_EQUAL(30, theirs.unconfirmed().count());
    theirs.confirm(mine.confirms(at(0)).front());
    const auto reports = mine.reports();
    CHECK(theirs.take_over(taker).front().id == reports.front().id);
    LONGS_EQUAL(0, mine.reports().size());
    mine.reported(reports.front(), false);
    LONGS_EQUAL(1, mine.reports().size());
    mine.reported(reports.front(), true);
    LONGS_EQUAL(0, mine.unreported());
    LONGS_EQUAL(0, theirs.unconfirmed().count());
}

TEST(transfer, repeats_until_it_gives_up)
{
    const auto ask = mine.ask(giver, fund, tokens(30), tokens(1), at(0));
    CHECK(mine.asking(fund));
    LONGS_EQUAL(0, mine.repeats(at(100)).size());
    LONGS_EQUAL(ask.number, mine.repeats(at(300)).front().number);
    LONGS_EQUAL(0, mine.repeats(at(300)).size());
    LONGS_EQUAL(0, mine.repeats(at(5000)).size());
    CHECK(!mine.asking(fund));
    const auto words = mine.confirms(at(5000));
    CHECK(!words.front().credited);
    LONGS_EQUAL(0, mine.confirms(at(5500)).size());
    LONGS_EQUAL(1, mine.confirms(at(6000)).size());
    mine.confirmed(words.front());
    LONGS_EQUAL(0, mine.confirms(at(9000)).size());
}

TEST_GROUP(witness_ledger){};

// A holder is cut off from the store and goes on with its witness's word. The
// books fence it: from then on the witness agrees to nothing more, and says
// what it had agreed to.
TEST(witness_ledger, agrees_until_it_has_to_tell)
{
    witness_ledger witness({.max_ceilings = 3, .ceilings_per_record = 2});
    for (const char* it : {"a", "b", "c"})
        CHECK(witness.vouch(taker, budget_id(it), tokens(10)));
    CHECK(!witness.vouch(taker, budget_id("d"), tokens(10)));
    CHECK(witness.vouch(taker, budget_id("a"), tokens(30)));
    CHECK(witness.vouch(taker, budget_id("a"), tokens(20)));
    const auto all = [](const budget_id&) { return true; };
    const auto words = witness.fence(taker, all);
    LONGS_EQUAL(2, words.size());
    LONGS_EQUAL(30, words[0].ceilings[0].ceiling.count());
    CHECK(!words[0].last && words[1].last);
    CHECK(!witness.vouch(taker, budget_id("a"), tokens(1)));
    LONGS_EQUAL(2, witness.fence(taker, all).size());
    witness.settled(taker);
    LONGS_EQUAL(0, witness.size());
    CHECK(!witness.vouch(taker, budget_id("a"), tokens(1)));
}
