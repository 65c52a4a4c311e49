#include "fennelladder/budget/budget_agent.hpp"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace fennelladder;
using namespace fennelladder::budget;

namespace {

const incarnation_id self("a.1");
const incarnation_id peer("b.1");
const budget_id fund("fund");
const shard_id shard(1);

struct agent_fixture : Utest, home_directory
{
    budget_agent agent{self, *this, [](const budget_id&) { return shard; }, {}};
    incarnation_id home = self;
    instant now = instant(seconds(1));

    std::vector<incarnation_id> homes_of(const budget_id&) const override
    {
        return {home};
    }

    // The last wish of a kind that a drain sends.
    template <class Record>
    std::optional<book_wish> drained()
    {
        agent_output out;
        agent.drain(now, out);
        std::optional<book_wish> found;
        for (const book_wish& it : out.wishes) {
            if (std::holds_alternative<Record>(it.body))
                found = it;
        }
        return found;
    }

    void answer(const book_wish& wish, verdict what, bool closed = false,
                std::int64_t granted = 0)
    {
        outcome made;
        made.what = what;
        made.closed = closed;
        made.granted_total = tokens(granted);
        made.sender = standing::good;
        agent_output out;
        agent.on_outcome(wish, &made, now, out);
    }

    void grant(std::int64_t n)
    {
        answer({shard, allot{fund, tokens(n), tokens(1), 1, tokens(n)}},
               verdict::applied, false, n);
    }
};

} // namespace

TEST_GROUP_BASE(budget_agent, agent_fixture){};

// A node that refused a request for want of tokens never leaves in order. The
// request made an entry in its table and none in the books, which refuse a
// give-back without an entry, again and again.
TEST(budget_agent, a_budget_unknown_to_the_books_does_not_hold_up_leaving)
{
    agent_output out;
    CHECK(!agent.admit(fund, tokens(5), now, out).held);
    CHECK(!agent.done());
    answer(*drained<give_back>(), verdict::refused, true);
    CHECK(agent.done());
}

// The journal has a give-back and no longer knows how it came out. Were it
// taken for lost, the tokens would be spent here and by whoever got them.
TEST(budget_agent, a_give_back_without_a_verdict_is_not_taken_back)
{
    for (const verdict what :
         {verdict::refused, verdict::replayed, verdict::applied}) {
        agent_fixture run;
        run.grant(50);
        const auto wish = run.drained<give_back>();
        LONGS_EQUAL(50, std::get<give_back>(wish->body).amount.count());
        run.answer(*wish, what);
        LONGS_EQUAL(what == verdict::refused ? 50 : 0,
                    run.agent.table().level(fund)->available().count());
    }
}

// A node leaves before the books know what it was given; its giver then holds
// in the books what it no longer has, and can't leave in order.
TEST(budget_agent, leaving_waits_for_the_reports_of_transfers)
{
    home = peer;
    agent_output out;
    CHECK(agent.admit(fund, tokens(5), now, out).wait);
    const transfer_reply given{out.asks.front().number, {peer, 1}, tokens(5)};
    agent.on_reply(out.asks.front(), &given, now, out);
    admission made = agent.admit(fund, tokens(5), now, out);
    if (!made.held)
        FAIL("no tokens though the peer gave them");
    bill charge;
    charge.budget = fund;
    charge.amount = tokens(5);
    agent.finish(std::move(*made.held), charge, now);
    agent_output leaving;
    agent.drain(now, leaving);
    for (const book_wish& it : leaving.wishes) {
        if (!std::holds_alternative<transfer>(it.body))
            answer(it, verdict::applied, true);
    }
    CHECK(!agent.done());
    for (const book_wish& it : leaving.wishes) {
        if (std::holds_alternative<transfer>(it.body))
            answer(it, verdict::applied);
    }
    answer(*drained<give_back>(), verdict::refused, true);
    CHECK(agent.done());
}

// A node stops dead, or holds less than nothing of a budget. It had passed on
// all that it was given, gave back nothing and forgot the entry that the books
// didn't know yet; then the taker gave up and the gift came back.
TEST(budget_agent, an_entry_stays_while_a_gift_may_come_back)
{
    grant(50);
    agent_output out;
    const transfer_ask ask{peer, self, 1, fund, tokens(50), tokens(50)};
    LONGS_EQUAL(50, agent.give(ask, now, out).amount.count());
    answer(*drained<give_back>(), verdict::refused, true);
    LONGS_EQUAL(0, agent.table().level(fund)->available().count());
    agent.take_word({peer, self, 1, false});
    LONGS_EQUAL(50, agent.table().level(fund)->available().count());
}
